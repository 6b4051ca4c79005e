//! Orders to ranks on other machines, given from this one.
//!
//! A rank is usually ordered by the agent beside it. A leader orders from afar where that agent is
//! silent, and when it lets a rank hold a pass: a machine that freezes right after an order to hold
//! must not be the one whose rank holds. The holder's agent arms the rank beside the leader, so that it
//! knows the state of that rank should the leader's machine freeze.

use super::datagram::Datagram;
use super::execute::{SHOW_PAUSE_AFAR_MS, execute, execute_afar};
use super::member::Member;
use super::rank::RankClient;
use crate::decision_log::DecisionLog;
use hickorycross_core::map_change::{
    ArmAttempt, OrderKind, OrderOutcome, OrderResult, RankOrder, Witness,
};
use std::net::SocketAddr;
use std::rc::Rc;

/// Gives an order to a rank whose agent is silent.
pub(crate) fn order(
    member: &Rc<Member>,
    engine: Rc<dyn RankClient>,
    rank: u16,
    number: u64,
    order: RankOrder,
) {
    let order = whole(member, order);
    let log = member.log.clone();
    let is_current = is_current(member, &order);
    let own = Rc::clone(&member.engine);
    give(member, rank, number, async move {
        if has_map(&order.kind) {
            execute(&*engine, &order, SHOW_PAUSE_AFAR_MS, &is_current, &log).await
        } else {
            execute_afar(&*own, &*engine, &order, &is_current, &log).await
        }
    });
}

/// An order with its whole map, as far as this agent was told of the map that it changes.
///
/// Where it was not, the leader hears that the map is lacking, and tells it whole.
fn whole(member: &Member, order: RankOrder) -> RankOrder {
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

/// Whether an order is about what a rank has prepared, so that the rank's own word is needed.
const fn has_map(kind: &OrderKind) -> bool {
    matches!(
        kind,
        OrderKind::Prepare { .. } | OrderKind::PrepareChange { .. } | OrderKind::Void { .. }
    )
}

/// Lets a rank, whose agent is at `agent`, hold its next pass.
pub(crate) fn hold(
    member: &Rc<Member>,
    agent: SocketAddr,
    rank: u16,
    number: u64,
    order: RankOrder,
) {
    let Some(target) = engine_beside(member, agent) else { return };
    let own = Rc::clone(&member.engine);
    let log = member.log.clone();
    let is_current = is_current(member, &order);
    give(member, rank, number, async move {
        execute_afar(&*own, &*target, &order, &is_current, &log).await
    });
}

/// Arms the rank beside the leader at `from`, and tells it so.
///
/// What was ordered is noted before the order leaves: from then on the rank may be armed.
pub(crate) async fn arm_beside(
    member: &Rc<Member>,
    from: SocketAddr,
    rank: u16,
    number: u64,
    order: RankOrder,
) {
    let Some(target) = engine_beside(member, from) else { return };
    let OrderKind::Arm { step, .. } = order.kind else { return };
    let fence = order.fence;
    let armed = Witness { fence, rank, ordered: Some(ArmAttempt { step, is_armed: true }) };
    let ended = if member.witness.get() == Some(armed) {
        Some(OrderResult { end: OrderOutcome::Done, sends: 0 })
    } else {
        let ordered = Some(ArmAttempt { step, is_armed: false });
        member.witness.set(Some(Witness { ordered, ..armed }));
        let is_current = is_current(member, &order);
        execute_afar(&*member.engine, &*target, &order, &is_current, &member.log).await
    };
    let Some(ended) = ended else { return };
    // Another leader may have asked meanwhile, and disarm that rank after its answer.
    if ended.end == OrderOutcome::Done && fence >= member.highest_fence.get() {
        member.witness.set(Some(armed));
    }
    member.send(from, &Datagram::End { rank, number, fence, ended }).await;
}

fn engine_beside(member: &Member, agent: SocketAddr) -> Option<Rc<dyn RankClient>> {
    let beside = |address: &SocketAddr| address.ip() == agent.ip();
    let address = member.fleet.addresses().into_iter().find(beside)?;
    Some(member.engines.remote(address))
}

/// Whether no leader with a higher fence has been heard since an order was taken.
pub(crate) fn is_current(member: &Rc<Member>, order: &RankOrder) -> impl Fn() -> bool + use<> {
    let (member, fence) = (Rc::clone(member), order.fence);
    move || fence >= member.highest_fence.get()
}

fn give(
    member: &Rc<Member>,
    rank: u16,
    number: u64,
    giving: impl Future<Output = Option<OrderResult>> + 'static,
) {
    if !member.under_way.0.borrow_mut().insert((rank, number)) {
        return;
    }
    let member = Rc::clone(member);
    tokio::task::spawn_local(async move {
        let ended = giving.await;
        member.under_way.0.borrow_mut().swap_remove(&(rank, number));
        if let (Some(ended), Some(leader)) = (ended, member.leader.borrow_mut().as_mut()) {
            leader.on_order_result(rank, number, ended);
            member.news.notify_one();
        }
    });
}
