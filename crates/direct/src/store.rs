//! Interface to the platform's store, which holds the operators' configuration and the list of
//! backend servers.

use hickorycross_core::direct::{BackendServer, Catalog, ListedCold};
use std::future::Future;
use std::pin::Pin;

/// Future of a call to the store.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + 'a>>;

/// A value with the revision of the store at which it was current. Revisions only rise: those after a
/// return of the store from a copy are higher than all before.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRead<T> {
    /// The value.
    pub value: T,
    /// Revision of the store.
    pub as_of: u64,
}

/// Entries of backend servers, each decoded on its own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendList {
    /// Entries that could be decoded.
    pub servers: Vec<BackendServer>,
    /// Entries that could not be decoded.
    pub unreadable: Vec<UnreadableBackend>,
    /// How long the decoded ones stay cold.
    pub warm_ups: Vec<ListedWarmUp>,
}

/// How long a backend server stays cold, by its entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedWarmUp {
    /// Name of the entry.
    pub id: String,
    /// When the incarnation started, as in [`BackendServer::born_ms`].
    pub born_ms: u64,
    /// What the entry says.
    pub listed: ListedCold,
    /// Description of a value that could not be used, which counts as none.
    pub fault: Option<String>,
}

/// An entry of a backend server that could not be decoded.
///
/// Other programs may write under the same prefix. Such an entry adds no backend server, and must
/// not prevent the use of those that can be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableBackend {
    /// Name of the entry.
    pub id: String,
    /// Description of the fault.
    pub fault: String,
}

/// A failure domain that the operators have drained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainedDomain {
    /// Name of the failure domain.
    pub domain: String,
    /// Description of the fault if the value could not be decoded. The domain is drained all the
    /// same.
    pub fault: Option<String>,
}

/// A change in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreChange {
    /// The operators wrote a configuration.
    Catalog(Box<Catalog>),
    /// A backend server wrote its entry.
    Backend(BackendServer),
    /// How long the backend server of the change before stays cold.
    BackendWarmUp(ListedWarmUp),
    /// The entry of a backend server was removed; contains the name of the incarnation.
    BackendGone(String),
    /// The entry of a backend server was overwritten by something that cannot be decoded.
    BackendUnreadable(UnreadableBackend),
    /// The operators started the drain of a failure domain, or wrote its value again.
    DrainStarted(DrainedDomain),
    /// The operators ended the drain of a failure domain; contains its name.
    DrainEnded(String),
    /// A value could not be decoded.
    Unreadable {
        /// Key of the value.
        key: String,
        /// Description of the fault.
        fault: String,
    },
}

/// Changes after a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreWatch {
    /// The changes in the order in which they were made.
    pub changes: Vec<StoreChange>,
    /// Revision from which the next watch continues.
    pub as_of: u64,
}

/// Error of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store no longer keeps the changes since the requested revision; everything has to be
    /// read again.
    #[error("the changes since the requested revision are no longer kept")]
    HistoryGone,
    /// The store refused the call with this status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No answer arrived, or the connection broke.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// The answer could not be decoded.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// Client of the platform's store. All reads are linearizable.
pub trait SharedStore {
    /// Reads the newest configuration; `None` if the operators have not written one yet.
    fn read_catalog(&self) -> StoreFuture<'_, StoreRead<Option<Catalog>>>;

    /// Reads all drained failure domains.
    fn read_drains(&self) -> StoreFuture<'_, StoreRead<Vec<DrainedDomain>>>;

    /// Waits up to `wait_ms` for configurations and changes of drains written after revision
    /// `after`.
    fn watch_catalog(&self, after: u64, wait_ms: u64) -> StoreFuture<'_, StoreWatch>;

    /// Reads the entries of all backend servers.
    fn read_backends(&self) -> StoreFuture<'_, StoreRead<BackendList>>;

    /// Waits up to `wait_ms` for changes of backend servers after revision `after`.
    fn watch_backends(&self, after: u64, wait_ms: u64) -> StoreFuture<'_, StoreWatch>;

    /// Returns how often the store has come back from a copy, as of its last answer: a number that
    /// rises by one each time.
    fn era(&self) -> u64;
}
