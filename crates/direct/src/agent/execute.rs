//! Carries an order out for certain, whatever is lost on the way.

use super::rank::{OrderReply, RankClient, RankError, RankReport};
use crate::decision_log::DecisionLog;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hickorycross_core::map_change::{EngineOrder, OrderKind, OrderOutcome, OrderResult, RankOrder};
use hickorycross_core::placement::ExpertMap;
use std::sync::Arc;
use std::time::Duration;

/// Sends of one order. With half of all answers lost, the chance that none of so many comes is one
/// in a million; the leader asks again after that.
const MOST_SENDS: u32 = 20;

/// Pause before a rank on the own machine is asked again whether an order shows.
pub(crate) const SHOW_PAUSE_MS: u64 = 5;

/// The same for a rank on another machine, whose word is some hundred milliseconds old.
pub(crate) const SHOW_PAUSE_AFAR_MS: u64 = 60;

/// Pause before an order to a rank on another machine is given once more; an answer usually comes
/// within 6 ms.
const AGAIN_AFAR_MS: u64 = 15;

/// The same for the rank on the own machine, where an answer comes within 12 ms when the agent is busy.
const AGAIN_BESIDE_MS: u64 = 12;

/// Copies of one order that are under way together. With half of the answers lost, the chance that none of
/// so many comes is one in two hundred.
const MOST_COPIES: u32 = 8;

/// Times that the rank is asked whether an accepted order shows.
const SHOW_LOOKS: u32 = 6;

/// Carries an order out. Gives nothing when the rank does not answer.
///
/// The rank's own report decides, not the answer to the order: the answer may be lost though the
/// order was accepted. `is_current` says whether the order's leader still leads, as far as is known.
pub(crate) async fn execute(
    engine: &dyn RankClient,
    order: &RankOrder,
    show_pause_ms: u64,
    is_current: &dyn Fn() -> bool,
    log: &DecisionLog,
) -> Option<OrderResult> {
    let is_void = matches!(order.kind, OrderKind::Void { .. });
    let mut sends = 0;
    for send in 1..=MOST_SENDS {
        let report = match begin(engine, order, send, is_current, log).await {
            Begin::Go(report) => report,
            Begin::Unread => continue,
            Begin::End(end) => return Some(OrderResult { end, sends }),
        };
        if is_spared(&report, order) {
            return Some(OrderResult { end: OrderOutcome::Done, sends });
        }
        let is_ahead = matches!(order.kind, OrderKind::HoldAhead { .. });
        let meant = match order.kind {
            OrderKind::Void { version, experts_per_layer } => {
                let held = prepare_held(engine, &report, version, experts_per_layer).await;
                let Some(kind) = held else { continue };
                Some(RankOrder { kind, ..*order })
            }
            _ => ahead(order, &report),
        };
        let order = meant.as_ref().unwrap_or(order);
        let armed = report.armed.map(|armed| armed.version);
        let most = if copies(&order.kind) && !is_void { 1 } else { MOST_COPIES };
        let pace = Copies { pause_ms: AGAIN_BESIDE_MS, most };
        let Some(given) = EngineOrder::of(order, armed) else {
            note(log, order, send, "lacks-map");
            return Some(OrderResult { end: OrderOutcome::LacksMap, sends });
        };
        let answer = first_answer(engine, &given, pace, &mut sends).await;
        let ended = |end| Some(OrderResult { end, sends });
        match answer {
            // The copies take time; that they are complete is read from the statuses.
            Ok(OrderReply::Accepted) if copies(&order.kind) && !is_void => {
                note(log, order, send, "done");
                return ended(OrderOutcome::Done);
            }
            Ok(OrderReply::Accepted) if matches!(order.kind, OrderKind::Fence { .. }) => {
                let end = if is_held(engine, order).await {
                    OrderOutcome::Done
                } else {
                    OrderOutcome::Refused
                };
                note(log, order, send, if end == OrderOutcome::Done { "done" } else { "refused" });
                return ended(end);
            }
            Ok(OrderReply::Accepted) => {
                if comes_to_show(engine, order, show_pause_ms).await {
                    note(log, order, send, "done");
                    return ended(OrderOutcome::Done);
                }
            }
            Ok(OrderReply::Fenced) => {
                note(log, order, send, "fenced");
                return ended(OrderOutcome::Fenced);
            }
            // The pass began meanwhile; a later one is to be held.
            Ok(OrderReply::Conflict) if is_ahead => note(log, order, send, "conflict"),
            Ok(OrderReply::Conflict | OrderReply::Rejected(_)) => {
                // An earlier copy of the order may have been carried out meanwhile.
                let end = if comes_to_show(engine, order, show_pause_ms).await {
                    OrderOutcome::Done
                } else {
                    OrderOutcome::Refused
                };
                note(log, order, send, if end == OrderOutcome::Done { "done" } else { "refused" });
                return ended(end);
            }
            Err(error) => note_again(log, order, send, &error),
        }
    }
    None
}

/// Carries an order out at the rank `target` on another machine. Gives nothing when it does not answer.
///
/// All ranks of a group make each pass together, so the `own` rank, whose word is fresh, tells which
/// pass is next; what a rank says to another machine is some hundred milliseconds old.
pub(crate) async fn execute_afar(
    own: &dyn RankClient,
    target: &dyn RankClient,
    order: &RankOrder,
    is_current: &dyn Fn() -> bool,
    log: &DecisionLog,
) -> Option<OrderResult> {
    let is_ahead = matches!(order.kind, OrderKind::HoldAhead { .. });
    let mut sends = 0;
    let next = RankOrder { kind: OrderKind::HoldAhead { steps: 1 }, ..*order };
    let mut is_standing = false;
    for send in 1..=MOST_SENDS {
        let report = match begin(own, order, send, is_current, log).await {
            Begin::Go(report) => report,
            Begin::Unread => continue,
            Begin::End(end) => return Some(OrderResult { end, sends }),
        };
        let meant = meant_afar(if is_standing { &next } else { order }, &report);
        let pace = Copies { pause_ms: AGAIN_AFAR_MS, most: MOST_COPIES };
        let Some(given) = EngineOrder::of(meant.as_ref().unwrap_or(order), None) else {
            note(log, order, send, "lacks-map");
            return Some(OrderResult { end: OrderOutcome::LacksMap, sends });
        };
        let answer = first_answer(target, &given, pace, &mut sends).await;
        let ended = |end| Some(OrderResult { end, sends });
        match answer {
            Ok(OrderReply::Accepted) => {
                note(log, order, send, "done");
                return ended(OrderOutcome::Done);
            }
            Ok(OrderReply::Fenced) => {
                note(log, order, send, "fenced");
                return ended(OrderOutcome::Fenced);
            }
            // The pass began meanwhile, or an earlier copy of the order, whose answer was lost, holds
            // another one. The group may stand before that one: asked for a later one only, the rank
            // would refuse each time, and the group would stand for ever.
            Ok(OrderReply::Conflict) if is_ahead => {
                note(log, order, send, "conflict");
                is_standing = !is_standing;
            }
            Ok(OrderReply::Conflict | OrderReply::Rejected(_)) => {
                note(log, order, send, "refused");
                return ended(OrderOutcome::Refused);
            }
            Err(error) => note_again(log, order, send, &error),
        }
    }
    None
}

/// What comes before each send of an order.
enum Begin {
    /// The order may be given; this is the rank's word.
    Go(RankReport),
    /// The rank could not be read.
    Unread,
    /// The order is not to be given any more.
    End(OrderOutcome),
}

/// Reads a rank of the group, and looks whether the order is still meant.
///
/// Where ranks heed no fence, an order that is given again and again would outlive its leader, and arm a
/// rank that the next one has just disarmed.
async fn begin(
    engine: &dyn RankClient,
    order: &RankOrder,
    send: u32,
    is_current: &dyn Fn() -> bool,
    log: &DecisionLog,
) -> Begin {
    if !is_current() {
        note(log, order, send, "other-leader");
        return Begin::End(OrderOutcome::Fenced);
    }
    let report = match engine.report().await {
        Ok(report) => report,
        Err(error) => {
            let line = DecisionLog::fields("order").with("kind", order.kind.as_str());
            log.note(line.with("error", error).with("outcome", "rank-not-read"));
            return Begin::Unread;
        }
    };
    if report.membership.as_ref().is_none_or(|membership| membership.epoch != order.epoch) {
        note(log, order, send, "other-epoch");
        return Begin::End(OrderOutcome::Refused);
    }
    Begin::Go(report)
}

/// Copies of one order that are under way together.
#[derive(Clone, Copy)]
struct Copies {
    /// Pause between two of them.
    pause_ms: u64,
    /// One for an order to copy a map: a rank refuses it while it copies.
    most: u32,
}

/// Gives an order again and again while no answer comes, and takes the first answer of any of them.
///
/// A group stands meanwhile. The link of a small machine may be full for some tens of milliseconds, so
/// that an answer is neither soon nor lost; giving up on it each time would never get one.
async fn first_answer(
    target: &dyn RankClient,
    order: &EngineOrder,
    pace: Copies,
    sends: &mut u32,
) -> Result<OrderReply, RankError> {
    let mut given = FuturesUnordered::new();
    given.push(target.order(order));
    *sends += 1;
    let mut copies = 1;
    loop {
        let again = tokio::time::sleep(Duration::from_millis(pace.pause_ms));
        tokio::select! {
            Some(answer) = given.next() => match answer {
                Err(error) if given.is_empty() => return Err(error),
                Err(_) => {}
                answered => return answered,
            },
            () = again, if copies < pace.most => {
                given.push(target.order(order));
                *sends += 1;
                copies += 1;
            }
        }
    }
}

/// Whether an order takes a rank some time, and is done when a later status shows it.
const fn copies(kind: &OrderKind) -> bool {
    matches!(kind, OrderKind::Prepare { .. })
}

/// An order to prepare what a rank holds. Ranks do not compare maps; the other ranks' rows only make
/// this one valid, and it is never switched to.
async fn prepare_held(
    engine: &dyn RankClient,
    report: &RankReport,
    version: u64,
    experts_per_layer: u16,
) -> Option<OrderKind> {
    let membership = report.membership.as_ref()?;
    let lists = engine.held_experts().await.ok()?;
    let map = ExpertMap::from_known_rank(
        membership.rank,
        membership.ranks,
        &lists.experts,
        experts_per_layer,
    );
    Some(OrderKind::Prepare { version, map: Arc::new(map) })
}

/// Names the pass that a `HoldAhead` is about: one of those after that which runs now, or the one
/// that is held already by an earlier copy of the order.
fn ahead(order: &RankOrder, report: &RankReport) -> Option<RankOrder> {
    let OrderKind::HoldAhead { steps } = order.kind else { return None };
    let step = report.held_step.unwrap_or(report.step + u64::from(steps));
    Some(RankOrder { kind: OrderKind::Hold { step }, ..*order })
}

/// What a rank on another machine is told in place of an order.
///
/// What it says of itself is old, so it cannot be asked whether it still holds: it is told to hold the same
/// pass again, which it refuses once that has begun.
fn meant_afar(order: &RankOrder, own: &RankReport) -> Option<RankOrder> {
    match order.kind {
        OrderKind::Fence { step } => Some(RankOrder { kind: OrderKind::Hold { step }, ..*order }),
        _ => ahead(order, own),
    }
}

/// Whether a rank that has seen the fence of an order still holds the pass.
async fn is_held(engine: &dyn RankClient, order: &RankOrder) -> bool {
    for _ in 0..SHOW_LOOKS {
        if let Ok(report) = engine.report().await {
            return shows(&report, order);
        }
    }
    false
}

/// Whether an order need not be given, because its effect is there already.
///
/// A disarming and a holding order also show their fence to the rank, so they are always given.
fn is_spared(report: &RankReport, order: &RankOrder) -> bool {
    match &order.kind {
        OrderKind::Disarm { .. }
        | OrderKind::HoldAhead { .. }
        | OrderKind::Hold { .. }
        | OrderKind::Fence { .. } => false,
        OrderKind::Prepare { .. }
        | OrderKind::PrepareChange { .. }
        | OrderKind::Void { .. }
        | OrderKind::Arm { .. }
        | OrderKind::Go { .. } => shows(report, order),
    }
}

async fn comes_to_show(engine: &dyn RankClient, order: &RankOrder, show_pause_ms: u64) -> bool {
    for _ in 0..SHOW_LOOKS {
        if let Ok(report) = engine.report().await
            && shows(&report, order)
        {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(show_pause_ms)).await;
    }
    false
}

/// Whether a rank's report shows that an order was carried out.
fn shows(report: &RankReport, order: &RankOrder) -> bool {
    match &order.kind {
        OrderKind::Prepare { version, .. }
        | OrderKind::PrepareChange { version, .. }
        | OrderKind::Void { version, .. } => report.prepared == Some(*version),
        OrderKind::Arm { version, step } => {
            report.armed.is_some_and(|armed| armed.version == *version && armed.step == *step)
        }
        OrderKind::Disarm { .. } => report.armed.is_none(),
        OrderKind::HoldAhead { .. } => report.held_step.is_some(),
        OrderKind::Hold { step } | OrderKind::Fence { step } => report.held_step == Some(*step),
        OrderKind::Go { step } => report.held_step != Some(*step),
    }
}

fn note_again(log: &DecisionLog, order: &RankOrder, send: u32, error: &RankError) {
    let line = DecisionLog::fields("order").with("kind", order.kind.as_str());
    let line = line.with("fence", order.fence).with("send", send);
    log.note(line.with("error", error).with("outcome", "sent-again"));
}

fn note(log: &DecisionLog, order: &RankOrder, send: u32, outcome: &'static str) {
    metrics::counter!("hickorycross_orders_total", "outcome" => outcome).increment(1);
    let line = DecisionLog::fields("order").with("kind", order.kind.as_str());
    let line = line.with("epoch", order.epoch).with("fence", order.fence).with("send", send);
    log.note(line.with("outcome", outcome));
}
