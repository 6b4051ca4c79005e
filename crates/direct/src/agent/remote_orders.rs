//! Delivers orders over the network to ranks on other instances.
//!
//! Usually the agent on a rank's own instance delivers its orders. The leader delivers them itself
//! if that agent is silent, and when a change lets a rank hold a pass: an instance that freezes
//! right after the order must not be the one whose rank holds. The agent of the rank that holds
//! arms the leader's rank, so it knows the state of that rank if the leader's instance freezes.

use super::datagram::Datagram;
use super::execute::{REMOTE_EFFECT_POLL_MS, execute, execute_remotely};
use super::handle_order::remember;
use super::member::Member;
use super::rank::RankClient;
use crate::decision_log::DecisionLog;
use hickorycross_core::map_change::{
    ArmAttempt, OrderKind, OrderOutcome, OrderResult, RankOrder, Witness,
};
use std::net::SocketAddr;
use std::rc::Rc;

/// Delivers an order to a rank whose agent is silent.
pub(crate) fn order_silent_rank(
    member: &Rc<Member>,
    client: Rc<dyn RankClient>,
    rank: u16,
    number: u64,
    order: RankOrder,
) {
    let order = resolve_map(member, order);
    let log = member.log.clone();
    let is_current = is_current(member, &order);
    let own = Rc::clone(&member.rank_client);
    spawn_order(member, rank, number, async move {
        if is_decided_by_report(&order.kind) {
            execute(&*client, &order, REMOTE_EFFECT_POLL_MS, &is_current, &log).await
        } else {
            execute_remotely(&*own, &*client, &order, &is_current, &log).await
        }
    });
}

/// Replaces a map change in an order by the whole map, if this agent knows the map that it applies
/// to.
///
/// Otherwise the order stays as it is, and its result tells the leader to send the whole map.
fn resolve_map(member: &Member, order: RankOrder) -> RankOrder {
    match member.known_maps.borrow_mut().resolve(&order.kind) {
        Ok(kind) => RankOrder { kind, ..order },
        Err(error) => {
            let line = DecisionLog::fields("order").with("kind", order.kind.as_str());
            let line = line.with("fence", order.fence).with("error", error);
            member.log.note(line.with("outcome", "map-not-known"));
            order
        }
    }
}

/// Returns whether the outcome of an order has to be read from the rank's own report: it concerns the
/// map that the rank has prepared, or asks for its state.
const fn is_decided_by_report(kind: &OrderKind) -> bool {
    matches!(
        kind,
        OrderKind::Prepare { .. }
            | OrderKind::PrepareChange { .. }
            | OrderKind::Void { .. }
            | OrderKind::FenceUnarmed
    )
}

/// Delivers an order to hold a pass to the rank whose agent is at `agent`.
pub(crate) fn hold(
    member: &Rc<Member>,
    agent: SocketAddr,
    rank: u16,
    number: u64,
    order: RankOrder,
) {
    let Some(target) = client_on_instance(member, agent) else { return };
    let own = Rc::clone(&member.rank_client);
    let log = member.log.clone();
    let is_current = is_current(member, &order);
    spawn_order(member, rank, number, async move {
        execute_remotely(&*own, &*target, &order, &is_current, &log).await
    });
}

/// Arms the rank of the leader at `from`, for which this agent is the witness, and sends the result to
/// the leader.
///
/// An agent without a record for this leader refuses: it has restarted, and does not know whether it
/// armed that rank before.
pub(crate) async fn arm_leader_rank(
    member: &Rc<Member>,
    from: SocketAddr,
    rank: u16,
    number: u64,
    order: RankOrder,
) {
    let fence = order.fence;
    let key = (fence, number);
    let known = member.orders.borrow().get(&key).copied();
    let result = match known {
        // The rank is being armed; the result is sent when it is known.
        Some(None) => return,
        Some(Some(result)) => Some(result),
        None => {
            remember(member, key, None);
            let result = arm_as_witness(member, from, &order).await;
            remember(member, key, result);
            result
        }
    };
    let Some(result) = result else {
        // The rank did not answer. The leader may repeat the order.
        member.orders.borrow_mut().shift_remove(&key);
        return;
    };
    member.send(from, &Datagram::OrderResult { rank, number, fence, result }).await;
}

/// Arms the rank of the leader at `from` and records the outcome. Returns `None` if the rank does not
/// answer.
///
/// The attempt is recorded before the order is sent, because the rank may be armed from then on.
async fn arm_as_witness(
    member: &Rc<Member>,
    from: SocketAddr,
    order: &RankOrder,
) -> Option<OrderResult> {
    let OrderKind::Arm { step, .. } = order.kind else { return None };
    let Some(witness) = member.witness.get().filter(|witness| witness.fence == order.fence) else {
        let line = DecisionLog::fields("order").with("kind", "arm-beside");
        member.log.note(line.with("fence", order.fence).with("outcome", "no-witness-record"));
        return Some(OrderResult { end: OrderOutcome::Refused, sends: 0 });
    };
    let target = client_on_instance(member, from)?;
    let record = |is_armed| Witness { ordered: Some(ArmAttempt { step, is_armed }), ..witness };
    member.witness.set(Some(record(false)));
    let is_current = is_current(member, order);
    let own = &*member.rank_client;
    let result = execute_remotely(own, &*target, order, &is_current, &member.log).await?;
    if result.end != OrderOutcome::Done {
        return Some(result);
    }
    if !is_current() {
        // That leader may read the record of the attempt as unconfirmed and undo the change, so the
        // earlier one must not release the pass.
        return Some(OrderResult { end: OrderOutcome::Fenced, ..result });
    }
    member.witness.set(Some(record(true)));
    Some(result)
}

/// Returns the client of the rank on the same instance as the agent at `agent`.
fn client_on_instance(member: &Member, agent: SocketAddr) -> Option<Rc<dyn RankClient>> {
    let is_on_instance = |address: &SocketAddr| address.ip() == agent.ip();
    let address = member.fleet.addresses().into_iter().find(is_on_instance)?;
    Some(member.rank_clients.remote(address))
}

/// Returns a function that tells whether no leader with a higher fencing number than that of
/// `order` has been heard.
pub(crate) fn is_current(member: &Rc<Member>, order: &RankOrder) -> impl Fn() -> bool + use<> {
    let (member, fence) = (Rc::clone(member), order.fence);
    move || fence >= member.highest_fence.get()
}

/// Starts the execution of an order, unless it is in flight already, and passes the result to the
/// leader.
fn spawn_order(
    member: &Rc<Member>,
    rank: u16,
    number: u64,
    execution: impl Future<Output = Option<OrderResult>> + 'static,
) {
    if !member.orders_in_flight.0.borrow_mut().insert((rank, number)) {
        return;
    }
    let member = Rc::clone(member);
    tokio::task::spawn_local(async move {
        let result = execution.await;
        member.orders_in_flight.0.borrow_mut().swap_remove(&(rank, number));
        if let (Some(result), Some(leader)) = (result, member.leader.borrow_mut().as_mut()) {
            leader.on_order_result(rank, number, result);
            member.leader_wakeup.notify_one();
        }
    });
}
