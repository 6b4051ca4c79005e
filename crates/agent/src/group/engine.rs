//! Orders to the engine and what it reports, over loopback.
//!
//! The protocol is the engine's; docs/PLATFORM.md describes it.

use super::balance::Decision;
use hickorycross_core::Fencing;
use hickorycross_core::group::{
    EngineOrder, EngineState, ExpertMap, FencedOrder, MapRef, OrderId, StepReport,
};
use hickorycross_core::placement::{RankLoad, SpanBuilder};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::AbortHandle;

/// An order that is not answered within this time has failed.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two readings of the engine's state.
const STATE_PAUSE: Duration = Duration::from_millis(100);
/// Pause before an engine that gave no state is read again.
const ABSENT_PAUSE: Duration = Duration::from_secs(1);
/// Pause between two readings of the engine's load.
const LOAD_PAUSE: Duration = Duration::from_millis(500);

/// What comes from the engine.
pub(crate) enum EngineEvent {
    /// It carried out an order, or says why not by its state.
    Answered { id: OrderId, state: EngineState },
    /// It gave no answer to an order.
    Failed { id: OrderId },
    /// It refused an order for its old fencing token.
    Refused { id: OrderId, seen: Fencing },
    /// It gave the content of a map.
    MapRead { id: OrderId, map: Arc<ExpertMap> },
    /// What its ranks have done.
    Ranks(RanksReport),
    /// Load of its ranks over a span of steps.
    Load(RankLoad),
    /// A decision about the map has been made.
    Decided(Box<Decision>),
}

/// A place in the queue of orders.
enum Queued {
    Give(FencedOrder),
    Withhold(OrderId),
}

/// An order on the wire.
#[derive(Serialize)]
struct OrderCall<'a> {
    fencing: Fencing,
    order: &'a EngineOrder,
}

#[derive(Deserialize)]
struct OldFencing {
    highest: Fencing,
}

#[derive(Deserialize)]
struct Loads {
    windows: Vec<RankLoad>,
}

#[derive(Deserialize)]
struct Maps {
    maps: Vec<ExpertMap>,
}

/// What an engine says of its ranks.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct RanksReport {
    /// The latest step of each local rank.
    pub(crate) steps: Vec<StepReport>,
    /// Maps that are loaded.
    pub(crate) resident: Vec<MapRef>,
    /// The map whose load failed last.
    pub(crate) stage_failed: Option<MapRef>,
}

/// The engine beside this agent.
#[derive(Debug)]
pub(crate) struct Engine {
    orders: UnboundedSender<Queued>,
    tasks: [AbortHandle; 3],
}

impl Engine {
    /// Begins to read the engine; events go to `events`.
    pub(crate) fn start(base_url: &str, events: UnboundedSender<EngineEvent>) -> Self {
        let calls = Calls::new(base_url);
        let (orders, queue) = unbounded_channel();
        let ordering = tokio::spawn(give_orders(calls.clone(), queue, events.clone()));
        let watching = tokio::spawn(watch_state(calls.clone(), events.clone()));
        let weighing = tokio::spawn(watch_load(calls, events));
        let tasks = [ordering.abort_handle(), watching.abort_handle(), weighing.abort_handle()];
        Self { orders, tasks }
    }

    /// Gives an order after those given before.
    pub(crate) fn order(&self, order: FencedOrder) {
        let _ = self.orders.send(Queued::Give(order));
    }

    /// Reports an order failed without giving it, after those given before are answered.
    ///
    /// Reported at once, it would make the core believe that earlier orders are answered too.
    pub(crate) fn withhold(&self, id: OrderId) {
        let _ = self.orders.send(Queued::Withhold(id));
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

#[derive(Clone)]
struct Calls {
    client: reqwest::Client,
    base_url: String,
}

impl Calls {
    fn new(base_url: &str) -> Self {
        let client = reqwest::Client::builder()
            .no_proxy()
            .retry(reqwest::retry::never())
            .timeout(ORDER_TIMEOUT)
            .build()
            .unwrap_or_default();
        Self { client, base_url: base_url.trim_end_matches('/').to_owned() }
    }

    async fn carry_out(&self, order: &FencedOrder) -> Result<EngineEvent, reqwest::Error> {
        let id = order.id;
        if let EngineOrder::ReadMap { map } = order.order {
            let found = self.read_map(map).await?;
            let read = |map| EngineEvent::MapRead { id, map };
            return Ok(found.map_or(EngineEvent::Failed { id }, read));
        }
        let call = OrderCall { fencing: order.fencing, order: &order.order };
        let url = format!("{}/v1/orders", self.base_url);
        let response = self.client.post(url).json(&call).send().await?;
        match response.status().as_u16() {
            200 => Ok(EngineEvent::Answered { id, state: response.json().await? }),
            409 => {
                let old: OldFencing = response.json().await?;
                Ok(EngineEvent::Refused { id, seen: old.highest })
            }
            _ => Ok(EngineEvent::Failed { id }),
        }
    }

    async fn read_map(&self, wanted: MapRef) -> Result<Option<Arc<ExpertMap>>, reqwest::Error> {
        let url = format!("{}/v1/ranks/maps", self.base_url);
        let maps: Maps = self.client.get(url).send().await?.json().await?;
        let found = maps.maps.into_iter().find(|map| map.reference() == wanted);
        Ok(found.map(Arc::new))
    }

    async fn ranks(&self) -> Result<RanksReport, reqwest::Error> {
        let url = format!("{}/v1/ranks", self.base_url);
        self.client.get(url).send().await?.error_for_status()?.json().await
    }

    /// The windows that end after a step, oldest first.
    async fn loads(&self, after_step: u64) -> Result<Loads, reqwest::Error> {
        let url = format!("{}/v1/ranks/load?after={after_step}", self.base_url);
        self.client.get(url).send().await?.error_for_status()?.json().await
    }
}

/// Gives one order at a time, so that the answer to an inspection covers every order before it.
async fn give_orders(
    calls: Calls,
    mut orders: UnboundedReceiver<Queued>,
    events: UnboundedSender<EngineEvent>,
) {
    while let Some(order) = orders.recv().await {
        let event = match order {
            Queued::Give(order) => {
                calls.carry_out(&order).await.unwrap_or(EngineEvent::Failed { id: order.id })
            }
            Queued::Withhold(id) => EngineEvent::Failed { id },
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

async fn watch_state(calls: Calls, events: UnboundedSender<EngineEvent>) {
    loop {
        let pause = match calls.ranks().await {
            Ok(report) => {
                if events.send(EngineEvent::Ranks(report)).is_err() {
                    return;
                }
                STATE_PAUSE
            }
            Err(_) => ABSENT_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }
}

async fn watch_load(calls: Calls, events: UnboundedSender<EngineEvent>) {
    let mut read_through = 0;
    let mut spans = SpanBuilder::default();
    loop {
        let pause = match calls.loads(read_through).await {
            Ok(loads) => {
                for window in loads.windows {
                    read_through = window.last_step;
                    let Some(span) = spans.push(window) else { continue };
                    if events.send(EngineEvent::Load(span)).is_err() {
                        return;
                    }
                }
                LOAD_PAUSE
            }
            Err(_) => ABSENT_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }
}
