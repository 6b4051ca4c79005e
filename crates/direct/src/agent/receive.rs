//! Receives messages of other agents and dispatches them.

use super::collect;
use super::datagram::{Datagram, MAX_DATAGRAM_BYTES, Poll};
use super::handle_order::handle_order;
use super::link_traffic::Direction;
use super::member::Member;
use super::status::read_status;
use super::{leader_watch, relay, remote_orders};
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use hickorycross_core::map_change::{CollectedStatuses, RankStatus};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Receives messages continuously.
pub(crate) async fn run(member: Rc<Member>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match member.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // An earlier datagram to an instance without a listener causes an error here.
                member.log.note_routine(DecisionLog::fields("datagram").with("error", error));
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            }
        };
        match Datagram::decode(&buffer[..length]) {
            Ok(datagram) => {
                member.link_traffic.count(Direction::Received, datagram.kind(), length);
                member.silent_ranks.note_heard(from.ip());
                tokio::task::spawn_local(handle(Rc::clone(&member), from, datagram));
            }
            Err(error) => {
                let line = DecisionLog::fields("datagram").with("from", from);
                member.log.note(line.with("error", error).with("outcome", "unreadable"));
            }
        }
    }
}

/// Processes one message.
async fn handle(member: Rc<Member>, from: SocketAddr, datagram: Datagram) {
    match datagram {
        Datagram::Poll(poll) => {
            if let Some(status) = answer_poll(&member, from, &poll).await {
                member.send(from, &Datagram::Status(status)).await;
            }
        }
        Datagram::SectionPoll(poll) => {
            if let Some(status) = answer_poll(&member, from, &poll).await {
                member.send(from, &Datagram::SectionStatus(status)).await;
            }
        }
        Datagram::Collect { section, poll, others } => {
            let includes_own_rank = accept_poll(&member, from, &poll).await;
            collect::start(&member, from, section, poll, &others, includes_own_rank).await;
        }
        Datagram::SectionStatus(status) => collect::add_status(&member, from, status).await,
        Datagram::Collected(CollectedStatuses { section, statuses, counts }) => {
            for (agent, status) in statuses {
                handle_status(&member, agent, status);
            }
            if let Some(leader) = member.leader.borrow_mut().as_mut() {
                leader.on_section_counts(boot_now(), section, &counts);
            }
        }
        Datagram::Status(status) => handle_status(&member, from, status),
        Datagram::Order { number, order } => handle_order(&member, from, number, order).await,
        Datagram::Relay { number, order, targets } => {
            if order.fence >= member.highest_fence.get() {
                relay::forward(&member, from, &order, &targets).await;
            }
            handle_order(&member, from, number, order).await;
        }
        Datagram::Relayed { leader, number, order } => {
            handle_order(&member, leader, number, order).await;
        }
        Datagram::ArmLeaderRank { rank, number, order } => {
            if order.fence >= member.highest_fence.get() {
                remote_orders::arm_leader_rank(&member, from, rank, number, order).await;
            }
        }
        Datagram::OrderResult { rank, number, fence, result } => {
            if let Some(leader) = member.leader.borrow_mut().as_mut()
                && fence <= leader.fence()
            {
                leader.on_order_result(rank, number, result);
                member.leader_wakeup.notify_one();
            }
        }
    }
}

/// Processes the leader's announcement in a poll. Returns whether the poll is for this agent's
/// group.
async fn accept_poll(member: &Rc<Member>, from: SocketAddr, poll: &Poll) -> bool {
    if !is_own_group(member, &poll.group).await {
        return false;
    }
    note_leader(member, poll.fence);
    match poll.watch {
        Some(watch) => leader_watch::start_or_refresh(member, from.ip(), poll.fence, watch),
        None if poll.is_watched => leader_watch::refresh(member, poll.fence),
        None => leader_watch::stop(member, poll.fence),
    }
    true
}

/// Returns the status that answers a poll, unless the poll is for another group or the rank does
/// not answer.
async fn answer_poll(member: &Rc<Member>, from: SocketAddr, poll: &Poll) -> Option<RankStatus> {
    if !accept_poll(member, from, poll).await {
        return None;
    }
    let status = read_status(member, poll.known_map, poll.wants_counts).await?;
    member.own_rank.set(Some(status.rank));
    Some(status)
}

/// Returns whether `group` is the group of the own rank. Leaders of other groups must not be
/// followed.
async fn is_own_group(member: &Member, group: &str) -> bool {
    if member.own_group.borrow().is_none()
        && let Ok(report) = member.rank_client.report().await
    {
        *member.own_group.borrow_mut() = report.membership.map(|membership| membership.group);
    }
    member.own_group.borrow().as_deref() == Some(group)
}

/// Records that the leader with a fencing number is alive, unless a higher one is known.
fn note_leader(member: &Member, fence: u64) {
    if fence >= member.highest_fence.get() {
        member.highest_fence.set(fence);
        member.leader_heard_at.set(boot_now());
        step_down(member, fence);
    }
}

/// Stops leading if another leader has a higher fencing number.
fn step_down(member: &Member, fence: u64) {
    let mut leader = member.leader.borrow_mut();
    if leader.as_ref().is_some_and(|leader| leader.fence() < fence) {
        *leader = None;
        let line = DecisionLog::fields("leader").with("fence", fence);
        member.log.note(line.with("outcome", "stepped-down"));
    }
}

/// Processes the status of a rank of the own group.
fn handle_status(member: &Member, from: SocketAddr, status: RankStatus) {
    let Some(dimensions) = member.fleet.dimensions() else { return };
    if member.own_group.borrow().as_deref() != Some(&status.group) {
        return;
    }
    member.agents.borrow_mut().insert(status.rank, from);
    member.silent_ranks.note_heard(from.ip());
    let highest = member.highest_fence.get().max(status.highest_fence);
    member.highest_fence.set(highest);
    if let Some(leader) = member.leader.borrow_mut().as_mut() {
        leader.on_status(boot_now(), status, &dimensions);
        member.leader_wakeup.notify_one();
    }
}
