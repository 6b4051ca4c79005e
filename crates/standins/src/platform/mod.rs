//! The platform: configuration service and instance list.
//!
//! Its protocol towards the system is written down in `docs/PLATFORM.md`.

mod counts;
mod routes;
mod state;

pub use counts::ReadCounts;
pub use state::{PublishError, READS_PER_S};

use crate::http::HttpServer;
use hickorycross_core::Instance;
use state::State;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Largest document that the platform holds.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// A running stand-in of the platform.
#[derive(Debug)]
pub struct PlatformStandIn {
    server: HttpServer,
    state: Arc<State>,
}

impl PlatformStandIn {
    /// Starts with nothing published and an empty instance list.
    ///
    /// # Errors
    ///
    /// No port could be bound.
    pub async fn start() -> io::Result<Self> {
        let state = Arc::new(State::new());
        let server = HttpServer::start(state.clone(), routes::routes()).await?;
        Ok(Self { server, state })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.relay().address()
    }

    /// Publishes a document under the next revision, which is returned.
    ///
    /// # Errors
    ///
    /// The document exceeds [`MAX_DOCUMENT_BYTES`].
    pub fn publish(&self, document: &str) -> Result<u64, PublishError> {
        self.state.publish(None, document)
    }

    /// Publishes a document under any revision, also one that was used or passed before: a fault
    /// that the platform should not have.
    pub fn publish_at(&self, revision: u64, document: &str) {
        self.state.publish_at(revision, document);
    }

    /// Replaces the instance list. Readers see it after the lag.
    pub fn set_instances(&self, instances: Vec<Instance>) -> u64 {
        State::set_instances(&self.state, instances)
    }

    /// Sets how long after a change of the instance list readers begin to see it.
    pub fn set_list_lag_ms(&self, lag_ms: u64) {
        self.state.set_list_lag_ms(lag_ms);
    }

    /// Sets how many reads are answered each second, all readers together.
    pub fn set_reads_per_s(&self, reads_per_s: u32) {
        self.state.set_reads_per_s(reads_per_s);
    }

    /// Refuses connections.
    pub async fn refuse(&self) {
        self.server.relay().refuse().await;
    }

    /// Answers every call with status 503.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.state.set_unavailable(unavailable);
    }

    /// Accepts connections and never answers; open connections fall silent for good.
    pub async fn silence(&self) {
        self.server.relay().silence().await;
    }

    /// Delays every answer.
    pub fn set_slow_ms(&self, slow_ms: u64) {
        self.state.set_slow_ms(slow_ms);
    }

    /// Goes on answering with what is seen now, whatever is published or set later.
    pub fn freeze(&self) {
        self.state.freeze();
    }

    /// Goes on answering with the document of an older revision; false if there was none.
    pub fn freeze_at(&self, revision: u64) -> bool {
        self.state.freeze_at(revision)
    }

    /// Ends every fault set by the methods above. The instance list's lag and the rate stay.
    pub async fn heal(&self) {
        self.state.set_unavailable(false);
        self.state.set_slow_ms(0);
        self.state.thaw();
        self.server.relay().heal().await;
    }

    /// Calls counted so far.
    #[must_use]
    pub fn read_counts(&self) -> ReadCounts {
        self.state.read_counts()
    }

    /// Ends it, cutting every connection.
    pub fn shutdown(&self) {
        self.server.shutdown();
    }
}
