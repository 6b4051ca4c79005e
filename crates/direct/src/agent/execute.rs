//! Carries out an order at a rank, and repeats it until its outcome is known.
//!
//! Requests and answers may be lost, so an order may take effect although no answer arrives.
//! [`execute`] therefore reads the rank's report before and after it sends the order;
//! [`execute_remotely`] is for ranks on other instances, whose reports are out of date.

use super::rank::{OrderReply, RankClient, RankError, RankReport};
use crate::decision_log::DecisionLog;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hickorycross_core::map_change::{EngineOrder, OrderKind, OrderOutcome, OrderResult, RankOrder};
use hickorycross_core::placement::ExpertMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of attempts at one order. With half of all answers lost, the probability that
/// none of these arrives is one in a million; the leader repeats the order after that.
const MAX_SENDS: u32 = 20;

/// Interval at which a rank on the same instance is checked for the effect of an order.
pub(crate) const EFFECT_POLL_MS: u64 = 5;

/// The same for a rank on another instance, whose report is some hundred milliseconds old.
pub(crate) const REMOTE_EFFECT_POLL_MS: u64 = 60;

/// Time after which an unanswered order is sent again to a rank on another instance; an answer
/// usually arrives within 6 ms.
const REMOTE_RESEND_MS: u64 = 15;

/// The same for the rank on the same instance, which answers within 12 ms when the agent is busy.
const LOCAL_RESEND_MS: u64 = 12;

/// Maximum number of concurrent sends of one order. With half of all answers lost, the probability
/// that none of these arrives is one in two hundred.
const MAX_IN_FLIGHT: u32 = 8;

/// Number of checks whether an order has taken effect.
const MAX_EFFECT_POLLS: u32 = 6;

/// Carries out an order and returns its result, or `None` if the rank does not answer.
///
/// The outcome is read from the rank's report and not from the answer to the order, which may be
/// lost although the rank accepted the order. `is_current` tells whether the leader that gave the
/// order still leads, as far as this agent knows.
pub(crate) async fn execute(
    client: &dyn RankClient,
    order: &RankOrder,
    effect_poll_ms: u64,
    is_current: &dyn Fn() -> bool,
    log: &DecisionLog,
) -> Option<OrderResult> {
    let is_void = matches!(order.kind, OrderKind::Void { .. });
    let mut sends = 0;
    for send in 1..=MAX_SENDS {
        let report = match check_before_send(client, order, send, is_current, log).await {
            SendCheck::Proceed(report) => report,
            SendCheck::Unreadable => continue,
            SendCheck::Finish(end) => return Some(OrderResult { end, sends }),
        };
        if is_redundant(&report, order) {
            return Some(OrderResult { end: OrderOutcome::Done, sends });
        }
        let is_hold_ahead = matches!(order.kind, OrderKind::HoldAhead { .. });
        let actual_order = match order.kind {
            OrderKind::Void { version, experts_per_layer } => {
                let held = prepare_current(client, &report, version, experts_per_layer).await;
                let Some(kind) = held else { continue };
                Some(RankOrder { kind, ..*order })
            }
            _ => resolve_hold_ahead(order, &report),
        };
        let order = actual_order.as_ref().unwrap_or(order);
        let armed = report.armed.map(|armed| armed.version);
        let max_in_flight =
            if completes_later(&order.kind) && !is_void { 1 } else { MAX_IN_FLIGHT };
        let resends = ResendPolicy { pause_ms: LOCAL_RESEND_MS, max_in_flight };
        let Some(engine_order) = EngineOrder::of(order, armed) else {
            log_outcome(log, order, send, "lacks-map");
            return Some(OrderResult { end: OrderOutcome::LacksMap, sends });
        };
        let answer = first_answer(client, &engine_order, resends, is_current, &mut sends).await;
        let result = |end| Some(OrderResult { end, sends });
        match answer {
            Err(SendError::OtherLeader) => {
                log_outcome(log, order, send, "other-leader");
                return result(OrderOutcome::Fenced);
            }
            // Copying the experts takes time. The leader sees in later statuses when it is done.
            Ok(OrderReply::Accepted) if completes_later(&order.kind) && !is_void => {
                log_outcome(log, order, send, "done");
                return result(OrderOutcome::Done);
            }
            Ok(OrderReply::Accepted) if is_fence(&order.kind) => {
                // Without a report it is unknown what the fence has found.
                let Some(report) = read_report(client).await else { continue };
                let is_done = has_effect(&report, order);
                log_outcome(log, order, send, if is_done { "done" } else { "refused" });
                return result(if is_done { OrderOutcome::Done } else { OrderOutcome::Refused });
            }
            Ok(OrderReply::Accepted) => {
                if takes_effect(client, order, effect_poll_ms).await {
                    log_outcome(log, order, send, "done");
                    return result(OrderOutcome::Done);
                }
            }
            Ok(OrderReply::Fenced) => {
                log_outcome(log, order, send, "fenced");
                return result(OrderOutcome::Fenced);
            }
            // The pass has begun in the meantime, so the next attempt names a later one.
            Ok(OrderReply::Conflict) if is_hold_ahead => log_outcome(log, order, send, "conflict"),
            Ok(OrderReply::Conflict | OrderReply::Rejected(_)) => {
                // An earlier send of the order may have taken effect already.
                let end = if takes_effect(client, order, effect_poll_ms).await {
                    OrderOutcome::Done
                } else {
                    OrderOutcome::Refused
                };
                log_outcome(
                    log,
                    order,
                    send,
                    if end == OrderOutcome::Done { "done" } else { "refused" },
                );
                return result(end);
            }
            Err(SendError::Rank(error)) => log_resend(log, order, send, &error),
        }
    }
    None
}

/// Carries out an order at the rank `target` on another instance and returns its result, or `None`
/// if the rank does not answer.
///
/// Reports from another instance are some hundred milliseconds old. All ranks of a group run each
/// pass together, so the current pass is read from the `own` rank instead.
pub(crate) async fn execute_remotely(
    own: &dyn RankClient,
    target: &dyn RankClient,
    order: &RankOrder,
    is_current: &dyn Fn() -> bool,
    log: &DecisionLog,
) -> Option<OrderResult> {
    let is_hold_ahead = matches!(order.kind, OrderKind::HoldAhead { .. });
    let mut sends = 0;
    let next = RankOrder { kind: OrderKind::HoldAhead { steps: 1 }, ..*order };
    let mut tries_next_pass = false;
    for send in 1..=MAX_SENDS {
        let report = match check_before_send(own, order, send, is_current, log).await {
            SendCheck::Proceed(report) => report,
            SendCheck::Unreadable => continue,
            SendCheck::Finish(end) => return Some(OrderResult { end, sends }),
        };
        let actual_order = remote_order(if tries_next_pass { &next } else { order }, &report);
        let resends = ResendPolicy { pause_ms: REMOTE_RESEND_MS, max_in_flight: MAX_IN_FLIGHT };
        let Some(engine_order) = EngineOrder::of(actual_order.as_ref().unwrap_or(order), None)
        else {
            log_outcome(log, order, send, "lacks-map");
            return Some(OrderResult { end: OrderOutcome::LacksMap, sends });
        };
        let answer = first_answer(target, &engine_order, resends, is_current, &mut sends).await;
        let result = |end| Some(OrderResult { end, sends });
        match answer {
            Err(SendError::OtherLeader) => {
                log_outcome(log, order, send, "other-leader");
                return result(OrderOutcome::Fenced);
            }
            Ok(OrderReply::Accepted) => {
                log_outcome(log, order, send, "done");
                return result(OrderOutcome::Done);
            }
            Ok(OrderReply::Fenced) => {
                log_outcome(log, order, send, "fenced");
                return result(OrderOutcome::Fenced);
            }
            // Either the pass has begun in the meantime, or an earlier send whose answer was lost
            // holds another pass. In the second case the group may be stalled at that pass, and the
            // rank would refuse every later one, so attempts alternate with the very next pass.
            Ok(OrderReply::Conflict) if is_hold_ahead => {
                log_outcome(log, order, send, "conflict");
                tries_next_pass = !tries_next_pass;
            }
            Ok(OrderReply::Conflict | OrderReply::Rejected(_)) => {
                log_outcome(log, order, send, "refused");
                return result(OrderOutcome::Refused);
            }
            Err(SendError::Rank(error)) => log_resend(log, order, send, &error),
        }
    }
    None
}

/// Result of the check before each attempt at an order.
enum SendCheck {
    /// The order may be sent; contains the rank's report.
    Proceed(RankReport),
    /// The rank's report could not be read.
    Unreadable,
    /// The order must not be sent any more.
    Finish(OrderOutcome),
}

/// Reads the report of a rank of the group and checks that the order is still valid.
///
/// Where ranks do not enforce fencing numbers, a repeated order could otherwise outlive its leader
/// and arm a rank that the next leader has just disarmed.
async fn check_before_send(
    client: &dyn RankClient,
    order: &RankOrder,
    send: u32,
    is_current: &dyn Fn() -> bool,
    log: &DecisionLog,
) -> SendCheck {
    if !is_current() {
        log_outcome(log, order, send, "other-leader");
        return SendCheck::Finish(OrderOutcome::Fenced);
    }
    let report = match client.report().await {
        Ok(report) => report,
        Err(error) => {
            let line = DecisionLog::fields("order").with("kind", order.kind.as_str());
            log.note(line.with("error", error).with("outcome", "rank-not-read"));
            return SendCheck::Unreadable;
        }
    };
    if report.membership.as_ref().is_none_or(|membership| membership.epoch != order.epoch) {
        log_outcome(log, order, send, "other-epoch");
        return SendCheck::Finish(OrderOutcome::Refused);
    }
    SendCheck::Proceed(report)
}

/// How an unanswered order is repeated.
#[derive(Clone, Copy)]
struct ResendPolicy {
    /// Time between two sends.
    pause_ms: u64,
    /// Maximum number of concurrent sends; 1 for an order to copy experts, which a rank refuses
    /// while it is copying.
    max_in_flight: u32,
}

/// Reason why an order got no answer.
enum SendError {
    /// Another leader has taken over, and the order must not be sent any more.
    OtherLeader,
    /// No send was answered.
    Rank(RankError),
}

/// Sends an order repeatedly until the first answer to any of the sends arrives.
///
/// Earlier sends are not cancelled: the link of a small instance may be saturated for tens of
/// milliseconds, and their answers are then late but not lost. If they were cancelled each time, no
/// answer might ever arrive, and the group stalls meanwhile.
///
/// Each send is preceded by the question whether the leader still leads. Another agent, or this one,
/// may take over at any moment, and ranks that do not enforce fencing numbers would carry out an
/// order to release a pass in the middle of an undo.
async fn first_answer(
    target: &dyn RankClient,
    order: &EngineOrder,
    resends: ResendPolicy,
    is_current: &dyn Fn() -> bool,
    sends: &mut u32,
) -> Result<OrderReply, SendError> {
    let mut sends_in_flight = FuturesUnordered::new();
    let mut send_count = 0;
    loop {
        if send_count < resends.max_in_flight {
            if !is_current() {
                return Err(SendError::OtherLeader);
            }
            sends_in_flight.push(target.order(order));
            *sends += 1;
            send_count += 1;
        }
        let resend_timer = tokio::time::sleep(Duration::from_millis(resends.pause_ms));
        tokio::pin!(resend_timer);
        loop {
            tokio::select! {
                Some(answer) = sends_in_flight.next() => match answer {
                    Err(error) if sends_in_flight.is_empty() => return Err(SendError::Rank(error)),
                    Err(_) => {}
                    Ok(reply) => return Ok(reply),
                },
                () = &mut resend_timer, if send_count < resends.max_in_flight => break,
            }
        }
    }
}

/// Returns whether a rank accepts the order at once and completes it later, as its statuses show.
const fn completes_later(kind: &OrderKind) -> bool {
    matches!(kind, OrderKind::Prepare { .. })
}

/// Builds an order to prepare the experts that a rank holds already. The map is never switched to
/// and ranks do not compare maps, so the rows of the other ranks only have to make it valid.
async fn prepare_current(
    client: &dyn RankClient,
    report: &RankReport,
    version: u64,
    experts_per_layer: u16,
) -> Option<OrderKind> {
    let membership = report.membership.as_ref()?;
    let held_experts = client.held_experts().await.ok()?;
    let map = ExpertMap::from_known_rank(
        membership.rank,
        membership.ranks,
        &held_experts.experts,
        experts_per_layer,
    );
    Some(OrderKind::Prepare { version, map: Arc::new(map) })
}

/// Replaces a `HoldAhead` by a `Hold` of a specific pass: the one that an earlier send of the order
/// holds already, or else one after the running pass. Returns `None` for other orders.
fn resolve_hold_ahead(order: &RankOrder, report: &RankReport) -> Option<RankOrder> {
    let OrderKind::HoldAhead { steps } = order.kind else { return None };
    let step = report.held_step.unwrap_or(report.step + u64::from(steps));
    Some(RankOrder { kind: OrderKind::Hold { step }, ..*order })
}

/// Returns the order that is sent to a rank on another instance in place of `order`, if it differs.
///
/// The report of such a rank is too old to tell whether it still holds the pass. Instead of a
/// `Fence` it gets a `Hold` of the same pass, which it refuses once that pass has begun.
fn remote_order(order: &RankOrder, own: &RankReport) -> Option<RankOrder> {
    match order.kind {
        OrderKind::Fence { step } => Some(RankOrder { kind: OrderKind::Hold { step }, ..*order }),
        _ => resolve_hold_ahead(order, own),
    }
}

/// Returns whether an order records the fencing number and asks for the state of the rank.
const fn is_fence(kind: &OrderKind) -> bool {
    matches!(kind, OrderKind::Fence { .. } | OrderKind::FenceUnarmed)
}

/// Reads a rank's report, with several attempts.
async fn read_report(client: &dyn RankClient) -> Option<RankReport> {
    for _ in 0..MAX_EFFECT_POLLS {
        if let Ok(report) = client.report().await {
            return Some(report);
        }
    }
    None
}

/// Returns whether an order need not be sent because the rank is already in the requested state.
///
/// Orders to disarm or to hold also make the rank record their fencing number, so they are always
/// sent.
fn is_redundant(report: &RankReport, order: &RankOrder) -> bool {
    match &order.kind {
        OrderKind::Disarm { .. }
        | OrderKind::HoldAhead { .. }
        | OrderKind::Hold { .. }
        | OrderKind::Fence { .. }
        | OrderKind::FenceUnarmed => false,
        OrderKind::Prepare { .. }
        | OrderKind::PrepareChange { .. }
        | OrderKind::Void { .. }
        | OrderKind::Arm { .. }
        | OrderKind::Go { .. } => has_effect(report, order),
    }
}

/// Waits for a rank's report to show the effect of an order. Returns whether it does.
async fn takes_effect(client: &dyn RankClient, order: &RankOrder, effect_poll_ms: u64) -> bool {
    for _ in 0..MAX_EFFECT_POLLS {
        if let Ok(report) = client.report().await
            && has_effect(&report, order)
        {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(effect_poll_ms)).await;
    }
    false
}

/// Returns whether a rank's report shows the effect of an order.
fn has_effect(report: &RankReport, order: &RankOrder) -> bool {
    match &order.kind {
        OrderKind::Prepare { version, .. }
        | OrderKind::PrepareChange { version, .. }
        | OrderKind::Void { version, .. } => report.prepared == Some(*version),
        OrderKind::Arm { version, step } => {
            report.armed.is_some_and(|armed| armed.version == *version && armed.step == *step)
        }
        OrderKind::Disarm { .. } | OrderKind::FenceUnarmed => report.armed.is_none(),
        OrderKind::HoldAhead { .. } => report.held_step.is_some(),
        OrderKind::Hold { step } | OrderKind::Fence { step } => report.held_step == Some(*step),
        OrderKind::Go { step } => report.held_step != Some(*step),
    }
}

fn log_resend(log: &DecisionLog, order: &RankOrder, send: u32, error: &RankError) {
    let line = DecisionLog::fields("order").with("kind", order.kind.as_str());
    let line = line.with("fence", order.fence).with("send", send);
    log.note(line.with("error", error).with("outcome", "sent-again"));
}

fn log_outcome(log: &DecisionLog, order: &RankOrder, send: u32, outcome: &'static str) {
    metrics::counter!("hickorycross_orders_total", "outcome" => outcome).increment(1);
    let line = DecisionLog::fields("order").with("kind", order.kind.as_str());
    let line = line.with("epoch", order.epoch).with("fence", order.fence).with("send", send);
    log.note(line.with("outcome", outcome));
}
