//! A plain HTTP service, some of whose calls must not be repeated.

mod routes;

use crate::calls::Call;
use crate::http::HttpServer;
use crate::worker::{Knobs, Worker};
use hickorycross_config::Digest;
use indexmap::IndexMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A running stand-in of a plain service.
#[derive(Debug)]
pub struct ServiceStandIn {
    server: HttpServer,
    state: Arc<State>,
}

/// State shared by the handle and the routes.
#[derive(Debug)]
struct State {
    worker: Worker,
    lodged: Mutex<IndexMap<Digest, u32>>,
}

impl State {
    fn lock_lodged(&self) -> MutexGuard<'_, IndexMap<Digest, u32>> {
        self.lodged.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServiceStandIn {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// No port could be bound.
    pub async fn start(knobs: Knobs) -> io::Result<Self> {
        let state = Arc::new(State { worker: Worker::new(knobs), lodged: Mutex::default() });
        let server = HttpServer::start(state.clone(), routes::routes()).await?;
        Ok(Self { server, state })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.relay().address()
    }

    /// The knobs in force.
    #[must_use]
    pub fn knobs(&self) -> Knobs {
        self.state.worker.knobs()
    }

    /// Changes knobs; requests that run follow from their next piece on.
    pub fn update(&self, change: impl FnOnce(&mut Knobs)) {
        self.state.worker.update(change);
    }

    /// Requests that have a slot now.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.state.worker.running()
    }

    /// Every request so far, in the order of arrival.
    #[must_use]
    pub fn calls(&self) -> Vec<Call> {
        self.state.worker.calls.all()
    }

    /// Attempts in the order in which they got their slots.
    #[must_use]
    pub fn start_order(&self) -> Vec<String> {
        self.state.worker.calls.start_order()
    }

    /// How often each attempt was run.
    #[must_use]
    pub fn runs_by_attempt(&self) -> IndexMap<String, u32> {
        self.state.worker.calls.runs_by_attempt()
    }

    /// How often requests with each idempotency key were run.
    #[must_use]
    pub fn runs_by_key(&self) -> IndexMap<String, u32> {
        self.state.worker.calls.runs_by_key()
    }

    /// How often each application was lodged, by the digest of its body.
    #[must_use]
    pub fn lodged(&self) -> IndexMap<Digest, u32> {
        self.state.lock_lodged().clone()
    }

    /// Refuses connections, as a process that has died.
    pub async fn refuse(&self) {
        self.server.relay().refuse().await;
    }

    /// Accepts connections and never answers; open connections fall silent for good.
    pub async fn silence(&self) {
        self.server.relay().silence().await;
    }

    /// Takes connections again.
    pub async fn heal(&self) {
        self.server.relay().heal().await;
    }

    /// Ends it, cutting every connection.
    pub fn shutdown(&self) {
        self.server.shutdown();
    }
}
