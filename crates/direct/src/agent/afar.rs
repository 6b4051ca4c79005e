//! Orders to ranks on other machines, given from this one.
//!
//! A rank is usually ordered by the agent beside it. A leader orders from afar where that agent is
//! silent, and when it lets a rank hold a pass: a machine that freezes right after an order to hold
//! must not be the one whose rank holds. The holder's agent arms the rank beside the leader, so that it
//! knows the state of that rank should the leader's machine freeze.

use super::datagram::Datagram;
use super::execute::{SHOW_PAUSE_AFAR_MS, execute, execute_afar};
use super::member::Member;
use super::rank::RankEngine;
use super::state::ArmedBeside;
use hickorycross_core::map_change::{OrderEnd, RankOrder};
use std::net::SocketAddr;
use std::rc::Rc;

/// Gives an order to a rank whose agent is silent.
pub(crate) fn order(
    member: &Rc<Member>,
    engine: Rc<dyn RankEngine>,
    rank: u16,
    number: u64,
    order: RankOrder,
) {
    let log = member.log.clone();
    let is_current = is_current(member, &order);
    give(member, rank, number, async move {
        execute(&*engine, &order, SHOW_PAUSE_AFAR_MS, &is_current, &log).await
    });
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
    let fence = order.fence;
    let known = member.armed_beside.get().filter(|armed| armed.fence == fence);
    let end = if known.is_some_and(|armed| armed.is_armed) {
        Some(OrderEnd::Done)
    } else {
        member.armed_beside.set(Some(ArmedBeside { fence, is_armed: false }));
        let is_current = is_current(member, &order);
        execute_afar(&*member.engine, &*target, &order, &is_current, &member.log).await
    };
    let Some(end) = end else { return };
    if end == OrderEnd::Done {
        member.armed_beside.set(Some(ArmedBeside { fence, is_armed: true }));
    }
    member.send(from, &Datagram::End { rank, number, fence, end }).await;
}

fn engine_beside(member: &Member, agent: SocketAddr) -> Option<Rc<dyn RankEngine>> {
    let beside = |address: &SocketAddr| address.ip() == agent.ip();
    let address = member.fleet.addresses().into_iter().find(beside)?;
    Some(member.engines.at(address))
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
    giving: impl Future<Output = Option<OrderEnd>> + 'static,
) {
    if !member.under_way.0.borrow_mut().insert((rank, number)) {
        return;
    }
    let member = Rc::clone(member);
    tokio::task::spawn_local(async move {
        let end = giving.await;
        member.under_way.0.borrow_mut().swap_remove(&(rank, number));
        if let (Some(end), Some(leader)) = (end, member.leader.borrow_mut().as_mut()) {
            leader.on_end(rank, number, end);
            member.news.notify_one();
        }
    });
}
