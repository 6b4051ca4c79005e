//! HTTP client for the engine beside this agent: sends orders and polls state and load.
//!
//! The engine defines the protocol, which docs/PLATFORM.md describes.

use super::balance::Decision;
use hickorycross_core::Fencing;
use hickorycross_core::group::{
    EngineOrder, EngineState, ExpertMap, FencedOrder, MapRef, OrderId, StepReport,
};
use hickorycross_core::placement::{RankLoad, SpanBuilder};
use hickorycross_runtime::bounded_body::{BodyError, read_json};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::AbortHandle;

/// Timeout for each request to the engine. An order that is not answered in time has failed.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer of the engine: several times the maps of 256 experts in a hundred layers.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Pause between two polls of the state of the engine's ranks.
const RANKS_POLL_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a poll that failed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Pause between two polls of the load of the engine's ranks.
const LOADS_POLL_PAUSE: Duration = Duration::from_millis(500);

/// An event from the engine, or from the decision about its map.
pub(crate) enum EngineEvent {
    /// The engine answered an order with its state, which shows whether it carried the order out.
    Answered { id: OrderId, state: EngineState },
    /// An order failed: the engine did not answer, answered with an error, or was not asked.
    Failed { id: OrderId },
    /// The engine refused an order because it has seen a higher fencing token.
    Refused { id: OrderId, seen: Fencing },
    /// The engine returned the content of a map.
    MapRead { id: OrderId, map: Arc<ExpertMap> },
    /// State of the engine's ranks.
    Ranks(RanksReport),
    /// Load of the engine's ranks over a span of steps.
    Load(RankLoad),
    /// A rebalancing decision is complete.
    Decided(Box<Decision>),
}

/// An item in the queue of orders.
enum QueuedOrder {
    /// An order to send.
    Send(FencedOrder),
    /// An order to report as failed without sending it.
    Fail(OrderId),
}

/// Body of a request that carries an order.
#[derive(Serialize)]
struct OrderRequest<'a> {
    fencing: Fencing,
    order: &'a EngineOrder,
}

/// Body of a response that refuses an order because of its fencing token.
#[derive(Deserialize)]
struct StaleFencing {
    /// The highest token that the engine has seen.
    highest: Fencing,
}

#[derive(Deserialize)]
struct LoadsResponse {
    windows: Vec<RankLoad>,
}

#[derive(Deserialize)]
struct MapsResponse {
    maps: Vec<ExpertMap>,
}

/// An engine's report on its ranks.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct RanksReport {
    /// The latest step of each local rank.
    pub(crate) steps: Vec<StepReport>,
    /// Maps whose experts are loaded.
    pub(crate) resident: Vec<MapRef>,
    /// The map whose load failed most recently, if any did.
    pub(crate) stage_failed: Option<MapRef>,
}

/// Handle to the engine beside this agent, with the tasks that call it.
#[derive(Debug)]
pub(crate) struct Engine {
    orders: UnboundedSender<QueuedOrder>,
    tasks: [AbortHandle; 3],
}

impl Engine {
    /// Starts the tasks that send orders to the engine and poll it. They report to `events`.
    pub(crate) fn start(base_url: &str, events: UnboundedSender<EngineEvent>) -> Self {
        let client = EngineClient::new(base_url);
        let (orders, queue) = unbounded_channel();
        let order_task = tokio::spawn(process_orders(client.clone(), queue, events.clone()));
        let ranks_task = tokio::spawn(poll_ranks(client.clone(), events.clone()));
        let loads_task = tokio::spawn(poll_loads(client, events));
        let tasks =
            [order_task.abort_handle(), ranks_task.abort_handle(), loads_task.abort_handle()];
        Self { orders, tasks }
    }

    /// Queues an order, which is sent after all earlier ones have been answered.
    pub(crate) fn enqueue_order(&self, order: FencedOrder) {
        let _ = self.orders.send(QueuedOrder::Send(order));
    }

    /// Queues a failure: the order is not sent, but reported as failed after all earlier orders
    /// have been answered.
    ///
    /// If the failure were reported at once, the core would assume that all earlier orders had been
    /// answered too.
    pub(crate) fn enqueue_failure(&self, id: OrderId) {
        let _ = self.orders.send(QueuedOrder::Fail(id));
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Sends HTTP requests to the engine.
#[derive(Clone)]
struct EngineClient {
    client: reqwest::Client,
    base_url: String,
}

impl EngineClient {
    fn new(base_url: &str) -> Self {
        let client = reqwest::Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .timeout(ORDER_TIMEOUT)
            .build()
            .unwrap_or_default();
        Self { client, base_url: base_url.trim_end_matches('/').to_owned() }
    }

    /// Sends an order and returns its outcome.
    async fn send_order(&self, order: &FencedOrder) -> Result<EngineEvent, BodyError> {
        let id = order.id;
        if let EngineOrder::ReadMap { map } = order.order {
            let found = self.read_map(map).await?;
            let to_event = |map| EngineEvent::MapRead { id, map };
            return Ok(found.map_or(EngineEvent::Failed { id }, to_event));
        }
        let call = OrderRequest { fencing: order.fencing, order: &order.order };
        let url = format!("{}/v1/orders", self.base_url);
        let response = self.client.post(url).json(&call).send().await?;
        match response.status().as_u16() {
            200 => Ok(EngineEvent::Answered {
                id,
                state: read_json(response, MAX_ANSWER_BYTES).await?,
            }),
            409 => {
                let stale: StaleFencing = read_json(response, MAX_ANSWER_BYTES).await?;
                Ok(EngineEvent::Refused { id, seen: stale.highest })
            }
            _ => Ok(EngineEvent::Failed { id }),
        }
    }

    /// Returns a map that the engine holds, or `None` if it does not hold it.
    async fn read_map(&self, wanted: MapRef) -> Result<Option<Arc<ExpertMap>>, BodyError> {
        let url = format!("{}/v1/ranks/maps", self.base_url);
        let response = self.client.get(url).send().await?;
        let maps: MapsResponse = read_json(response, MAX_ANSWER_BYTES).await?;
        let found = maps.maps.into_iter().find(|map| map.reference() == wanted);
        Ok(found.map(Arc::new))
    }

    async fn fetch_ranks(&self) -> Result<RanksReport, BodyError> {
        let url = format!("{}/v1/ranks", self.base_url);
        let response = self.client.get(url).send().await?.error_for_status()?;
        read_json(response, MAX_ANSWER_BYTES).await
    }

    /// Returns the load windows that end after `after_step`, oldest first.
    async fn fetch_loads(&self, after_step: u64) -> Result<LoadsResponse, BodyError> {
        let url = format!("{}/v1/ranks/load?after={after_step}", self.base_url);
        let response = self.client.get(url).send().await?.error_for_status()?;
        read_json(response, MAX_ANSWER_BYTES).await
    }
}

/// Sends queued orders one at a time, so that the state returned by an inspection reflects every
/// earlier order.
async fn process_orders(
    client: EngineClient,
    mut orders: UnboundedReceiver<QueuedOrder>,
    events: UnboundedSender<EngineEvent>,
) {
    while let Some(order) = orders.recv().await {
        let event = match order {
            QueuedOrder::Send(order) => {
                client.send_order(&order).await.unwrap_or(EngineEvent::Failed { id: order.id })
            }
            QueuedOrder::Fail(id) => EngineEvent::Failed { id },
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

/// Polls the state of the engine's ranks until the receiver is closed.
async fn poll_ranks(client: EngineClient, events: UnboundedSender<EngineEvent>) {
    loop {
        let pause = match client.fetch_ranks().await {
            Ok(report) => {
                if events.send(EngineEvent::Ranks(report)).is_err() {
                    return;
                }
                RANKS_POLL_PAUSE
            }
            Err(_) => RETRY_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Polls the load of the engine's ranks until the receiver is closed, and merges its windows into
/// spans.
async fn poll_loads(client: EngineClient, events: UnboundedSender<EngineEvent>) {
    let mut read_through = 0;
    let mut spans = SpanBuilder::default();
    loop {
        let pause = match client.fetch_loads(read_through).await {
            Ok(loads) => {
                for window in loads.windows {
                    read_through = window.last_step;
                    let Some(span) = spans.push(window) else { continue };
                    if events.send(EngineEvent::Load(span)).is_err() {
                        return;
                    }
                }
                LOADS_POLL_PAUSE
            }
            Err(_) => RETRY_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }
}
