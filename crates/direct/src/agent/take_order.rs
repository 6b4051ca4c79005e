//! Takes a leader's order, carries it out at the own rank, and tells what became of it.

use super::afar::is_current;
use super::datagram::Datagram;
use super::execute::{SHOW_PAUSE_MS, execute};
use super::member::Member;
use super::status::status;
use crate::decision_log::DecisionLog;
use hickorycross_core::map_change::{OrderKind, OrderOutcome, OrderResult, RankOrder, UnknownMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// Ends of orders that are kept for a leader that asks again.
const MOST_KEPT_ENDS: usize = 64;

/// Carries an order out, unless it is under way or has ended.
pub(super) async fn take_order(
    member: &Rc<Member>,
    from: SocketAddr,
    number: u64,
    order: RankOrder,
) {
    let fence = order.fence;
    if fence < member.highest_fence.get() {
        let ended = OrderResult { end: OrderOutcome::Fenced, sends: 0 };
        let rank = member.own_rank.get().unwrap_or_default();
        member.send(from, &Datagram::End { rank, number, fence, ended }).await;
        return;
    }
    member.highest_fence.set(fence);
    let key = (fence, number);
    let known = member.orders.borrow().get(&key).copied();
    let ended = match known {
        // It is being carried out.
        Some(None) => return,
        Some(Some(ended)) => Some(ended),
        None => {
            let kind = member.known_maps.borrow_mut().resolve(&order.kind);
            let order = match kind {
                Ok(kind) => RankOrder { kind, ..order },
                Err(error) => {
                    lack_map(member, from, key, error).await;
                    return;
                }
            };
            remember(member, key, None);
            let ended = {
                let is_current = is_current(member, &order);
                execute(&*member.engine, &order, SHOW_PAUSE_MS, &is_current, &member.log).await
            };
            remember(member, key, ended);
            ended
        }
    };
    let Some(ended) = ended else {
        // Without an answer of the rank, the leader may ask again.
        member.orders.borrow_mut().shift_remove(&key);
        return;
    };
    if matches!(order.kind, OrderKind::HoldAhead { .. })
        && let Some(status) = status(member, None, false).await
    {
        member.send(from, &Datagram::Status(status)).await;
    }
    let rank = member.own_rank.get().unwrap_or_default();
    member.send(from, &Datagram::End { rank, number, fence, ended }).await;
}

/// Has the leader tell a map as a whole.
async fn lack_map(
    member: &Member,
    leader: SocketAddr,
    (fence, number): (u64, u64),
    error: UnknownMap,
) {
    let line = DecisionLog::fields("order").with("kind", "prepare-change").with("fence", fence);
    member.log.note(line.with("error", error).with("outcome", "lacks-map"));
    let rank = member.own_rank.get().unwrap_or_default();
    let ended = OrderResult { end: OrderOutcome::LacksMap, sends: 0 };
    member.send(leader, &Datagram::End { rank, number, fence, ended }).await;
}

fn remember(member: &Member, key: (u64, u64), ended: Option<OrderResult>) {
    let mut orders = member.orders.borrow_mut();
    orders.insert(key, ended);
    while orders.len() > MOST_KEPT_ENDS {
        orders.shift_remove_index(0);
    }
}
