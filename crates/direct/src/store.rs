//! What the platform's store must give: the operators' configuration and the backend servers.

use hickorycross_core::direct::{BackendServer, Catalog};
use std::future::Future;
use std::pin::Pin;

/// A call to the store in progress.
pub type StoreFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, StoreError>> + 'a>>;

/// Something read, with the store's revision at which it was true.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRead<T> {
    /// What was read.
    pub value: T,
    /// The store's revision.
    pub as_of: u64,
}

/// Entries of backend servers, decoded one by one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendList {
    /// Those that could be understood.
    pub servers: Vec<BackendServer>,
    /// The others.
    pub unreadable: Vec<UnreadableBackend>,
}

/// An entry of a backend server that could not be understood.
///
/// Others may write where backend servers write. Such an entry names no backend server to use, and
/// must not keep an entry from those that can be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableBackend {
    /// The name under which it stands.
    pub id: String,
    /// What is wrong.
    pub fault: String,
}

/// One change in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreChange {
    /// The operators wrote a configuration.
    Catalog(Box<Catalog>),
    /// A backend server wrote its entry.
    Backend(BackendServer),
    /// A backend server's entry is gone; holds the incarnation.
    BackendGone(String),
    /// A backend server's entry was overwritten by something that could not be understood.
    BackendUnreadable(UnreadableBackend),
    /// A value could not be understood.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong.
        fault: String,
    },
}

/// Changes since a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreWatch {
    /// In the order in which they were made.
    pub changes: Vec<StoreChange>,
    /// The revision from which to go on.
    pub as_of: u64,
}

/// Why a call gave nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The changes since that revision are no longer kept: read again in full.
    #[error("the history is gone")]
    HistoryGone,
    /// The store turned the call away.
    #[error("turned away with status {0}")]
    Refused(u16),
    /// No answer came, or the connection broke.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// The answer could not be understood.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// Reads the platform's store. Every answer is linearizable.
pub trait SharedStore {
    /// Reads the newest configuration; `None` before the operators wrote one.
    fn read_catalog(&self) -> StoreFuture<'_, StoreRead<Option<Catalog>>>;

    /// Waits up to `wait_ms` for configurations written after revision `after`.
    fn watch_catalog(&self, after: u64, wait_ms: u64) -> StoreFuture<'_, StoreWatch>;

    /// Reads the entries of all backend servers.
    fn read_backends(&self) -> StoreFuture<'_, StoreRead<BackendList>>;

    /// Waits up to `wait_ms` for changes of backend servers after revision `after`.
    fn watch_backends(&self, after: u64, wait_ms: u64) -> StoreFuture<'_, StoreWatch>;
}
