//! Delivers orders over the network to ranks on other instances.
//!
//! Usually the agent on a rank's own instance delivers its orders. The leader delivers them itself
//! if that agent is silent, and when a change lets a rank hold a pass: an instance that freezes
//! right after the order must not be the one whose rank holds. The agent of the rank that holds
//! arms the leader's rank, so it knows the state of that rank if the leader's instance freezes.

use super::datagram::Datagram;
use super::execute::{REMOTE_EFFECT_POLL_MS, execute, execute_remotely};
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
        if concerns_prepared_map(&order.kind) {
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

/// Returns whether an order concerns the map that a rank has prepared, so that its outcome has to
/// be read from the rank's own report.
const fn concerns_prepared_map(kind: &OrderKind) -> bool {
    matches!(
        kind,
        OrderKind::Prepare { .. } | OrderKind::PrepareChange { .. } | OrderKind::Void { .. }
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

/// Arms the rank of the leader at `from` and sends the result to the leader.
///
/// The attempt is recorded before the order is sent, because the rank may be armed from then on.
pub(crate) async fn arm_leader_rank(
    member: &Rc<Member>,
    from: SocketAddr,
    rank: u16,
    number: u64,
    order: RankOrder,
) {
    let Some(target) = client_on_instance(member, from) else { return };
    let OrderKind::Arm { step, .. } = order.kind else { return };
    let fence = order.fence;
    let armed = Witness { fence, rank, ordered: Some(ArmAttempt { step, is_armed: true }) };
    let result = if member.witness.get() == Some(armed) {
        Some(OrderResult { end: OrderOutcome::Done, sends: 0 })
    } else {
        let ordered = Some(ArmAttempt { step, is_armed: false });
        member.witness.set(Some(Witness { ordered, ..armed }));
        let is_current = is_current(member, &order);
        execute_remotely(&*member.rank_client, &*target, &order, &is_current, &member.log).await
    };
    let Some(result) = result else { return };
    // Another leader may have polled in the meantime and disarm that rank after its answer.
    if result.end == OrderOutcome::Done && fence >= member.highest_fence.get() {
        member.witness.set(Some(armed));
    }
    member.send(from, &Datagram::OrderResult { rank, number, fence, result }).await;
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
