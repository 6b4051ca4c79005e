//! A model engine behind the usual model API.

mod answer;
mod orders;
mod request;
mod routes;

pub use answer::expected_answer;

use crate::calls::Call;
use crate::group::{OrderSeen, RankHost, RankOptions};
use crate::http::HttpServer;
use crate::worker::{Knobs, Worker};
use indexmap::IndexMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// What an engine is started with.
#[derive(Clone, Debug, Default)]
pub struct EngineOptions {
    /// Models that `GET /v1/models` names. Requests for any model are answered.
    pub models: Vec<String>,
    /// The knobs at the start.
    pub knobs: Knobs,
    /// Ranks of a group that it hosts. Its tokens then wait for the group's steps.
    pub ranks: Option<RankOptions>,
}

/// A running stand-in of a model engine.
#[derive(Debug)]
pub struct EngineStandIn {
    server: HttpServer,
    state: Arc<State>,
}

/// State shared by the handle and the routes.
#[derive(Debug)]
struct State {
    models: Vec<String>,
    worker: Worker,
    ranks: Option<Arc<RankHost>>,
}

impl EngineStandIn {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// No port could be bound.
    pub async fn start(options: EngineOptions) -> io::Result<Self> {
        let mut worker = Worker::new(options.knobs);
        let ranks = options.ranks.map(|ranks| RankHost::new(ranks, worker.subscribe()));
        if let Some(ranks) = &ranks {
            worker.pace_by(ranks.group().subscribe());
        }
        let state = Arc::new(State { models: options.models, worker, ranks });
        let server =
            HttpServer::start(state.clone(), [routes::routes(), orders::routes()].concat()).await?;
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

    /// Changes knobs; requests that run follow from their next token on.
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

    /// Every order so far, refused ones included.
    #[must_use]
    pub fn orders(&self) -> Vec<OrderSeen> {
        self.state.ranks.as_ref().map(|ranks| ranks.orders()).unwrap_or_default()
    }

    /// Experts that its ranks have loaded because of new maps, counted by layer and rank.
    #[must_use]
    pub fn experts_moved(&self) -> u64 {
        self.state.ranks.as_ref().map_or(0, |ranks| ranks.experts_moved())
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

    /// Ends it, cutting every connection. A group that it belongs to makes no further step.
    pub fn shutdown(&self) {
        self.server.shutdown();
        if let Some(ranks) = &self.state.ranks {
            ranks.leave();
        }
    }
}

impl Drop for EngineStandIn {
    fn drop(&mut self) {
        self.shutdown();
    }
}
