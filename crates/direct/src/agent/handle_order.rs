//! Processes an order of a leader: carries it out at the own rank and reports the result.

use super::datagram::Datagram;
use super::execute::{EFFECT_POLL_MS, execute};
use super::member::Member;
use super::remote_orders::is_current;
use super::status::read_status;
use crate::decision_log::DecisionLog;
use hickorycross_core::map_change::{OrderKind, OrderOutcome, OrderResult, RankOrder, UnknownMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// Maximum number of results kept for a leader that repeats an order.
const MAX_KEPT_RESULTS: usize = 64;

/// Carries out an order, or repeats its result if it was carried out before.
pub(super) async fn handle_order(
    member: &Rc<Member>,
    from: SocketAddr,
    number: u64,
    order: RankOrder,
) {
    let fence = order.fence;
    if fence < member.highest_fence.get() {
        let result = OrderResult { end: OrderOutcome::Fenced, sends: 0 };
        let rank = member.own_rank.get().unwrap_or_default();
        member.send(from, &Datagram::OrderResult { rank, number, fence, result }).await;
        return;
    }
    member.highest_fence.set(fence);
    let key = (fence, number);
    let known = member.orders.borrow().get(&key).copied();
    let result = match known {
        // The order is being executed; its result is sent when it is known.
        Some(None) => return,
        Some(Some(result)) => Some(result),
        None => {
            let kind = member.known_maps.borrow_mut().resolve(&order.kind);
            let order = match kind {
                Ok(kind) => RankOrder { kind, ..order },
                Err(error) => {
                    report_missing_map(member, from, key, error).await;
                    return;
                }
            };
            remember(member, key, None);
            let result = {
                let is_current = is_current(member, &order);
                execute(&*member.rank_client, &order, EFFECT_POLL_MS, &is_current, &member.log)
                    .await
            };
            remember(member, key, result);
            result
        }
    };
    let Some(result) = result else {
        // The rank did not answer. The leader may repeat the order.
        member.orders.borrow_mut().shift_remove(&key);
        return;
    };
    if matches!(order.kind, OrderKind::HoldAhead { .. })
        && let Some(status) = read_status(member, None, false).await
    {
        member.send(from, &Datagram::Status(status)).await;
    }
    let rank = member.own_rank.get().unwrap_or_default();
    member.send(from, &Datagram::OrderResult { rank, number, fence, result }).await;
}

/// Reports that this agent lacks the map to which a change applies, so that the leader sends the
/// whole map.
async fn report_missing_map(
    member: &Member,
    leader: SocketAddr,
    (fence, number): (u64, u64),
    error: UnknownMap,
) {
    let line = DecisionLog::fields("order").with("kind", "prepare-change").with("fence", fence);
    member.log.note(line.with("error", error).with("outcome", "lacks-map"));
    let rank = member.own_rank.get().unwrap_or_default();
    let result = OrderResult { end: OrderOutcome::LacksMap, sends: 0 };
    member.send(leader, &Datagram::OrderResult { rank, number, fence, result }).await;
}

/// Stores the state of an order and drops the oldest ones.
pub(super) fn remember(member: &Member, key: (u64, u64), result: Option<OrderResult>) {
    let mut orders = member.orders.borrow_mut();
    orders.insert(key, result);
    while orders.len() > MAX_KEPT_RESULTS {
        orders.shift_remove_index(0);
    }
}
