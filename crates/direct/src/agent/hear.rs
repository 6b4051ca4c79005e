//! Hears other agents: answers a leader's questions, and takes what is told to a leader.

use super::collect;
use super::datagram::{Datagram, MOST_DATAGRAM_BYTES, Poll};
use super::link::Way;
use super::member::Member;
use super::status::status;
use super::take_order::take_order;
use super::{afar, relay, watch};
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use hickorycross_core::map_change::{CollectedStatuses, RankStatus};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Hears other agents for ever.
pub(crate) async fn hear(member: Rc<Member>) {
    let mut buffer = vec![0; MOST_DATAGRAM_BYTES];
    loop {
        let (length, from) = match member.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // A machine without a listener answers an earlier datagram with an error.
                member.log.note_ordinary(DecisionLog::fields("datagram").with("error", error));
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            }
        };
        match Datagram::read(&buffer[..length]) {
            Ok(datagram) => {
                member.link.count(Way::Heard, datagram.kind(), length);
                member.silent.heard(from.ip());
                tokio::task::spawn_local(handle(Rc::clone(&member), from, datagram));
            }
            Err(error) => {
                let line = DecisionLog::fields("datagram").with("from", from);
                member.log.note(line.with("error", error).with("outcome", "unreadable"));
            }
        }
    }
}

async fn handle(member: Rc<Member>, from: SocketAddr, datagram: Datagram) {
    match datagram {
        Datagram::Poll(poll) => {
            if let Some(status) = answer(&member, from, &poll).await {
                member.send(from, &Datagram::Status(status)).await;
            }
        }
        Datagram::PollPart(poll) => {
            if let Some(status) = answer(&member, from, &poll).await {
                member.send(from, &Datagram::Part(status)).await;
            }
        }
        Datagram::Collect { section, poll, others } => {
            let is_of_group = heeds(&member, from, &poll).await;
            collect::begin(&member, from, section, poll, &others, is_of_group).await;
        }
        Datagram::Part(status) => collect::take_part(&member, from, status).await,
        Datagram::Collected(CollectedStatuses { section, statuses, counts }) => {
            for (agent, status) in statuses {
                take_status(&member, agent, status);
            }
            if let Some(leader) = member.leader.borrow_mut().as_mut() {
                leader.on_section_counts(boot_now(), section, &counts);
            }
        }
        Datagram::Status(status) => take_status(&member, from, status),
        Datagram::Order { number, order } => take_order(&member, from, number, order).await,
        Datagram::Relay { number, order, legs } => {
            relay::pass_on(&member, from, &order, &legs).await;
            take_order(&member, from, number, order).await;
        }
        Datagram::Relayed { leader, number, order } => {
            take_order(&member, leader, number, order).await;
        }
        Datagram::ArmBeside { rank, number, order } => {
            if order.fence >= member.highest_fence.get() {
                afar::arm_beside(&member, from, rank, number, order).await;
            }
        }
        Datagram::End { rank, number, fence, ended } => {
            if let Some(leader) = member.leader.borrow_mut().as_mut()
                && fence <= leader.fence()
            {
                leader.on_order_result(rank, number, ended);
                member.news.notify_one();
            }
        }
    }
}

/// Hears a leader's question. Returns whether it is for this agent's group.
async fn heeds(member: &Rc<Member>, from: SocketAddr, poll: &Poll) -> bool {
    if !is_own_group(member, &poll.group).await {
        return false;
    }
    hear_leader(member, poll.fence);
    match poll.watch {
        Some(watch) => watch::begin(member, from.ip(), poll.fence, watch),
        None if poll.is_watched => watch::go_on(member, poll.fence),
        None => watch::end(member, poll.fence),
    }
    true
}

/// The answer to a leader's question.
async fn answer(member: &Rc<Member>, from: SocketAddr, poll: &Poll) -> Option<RankStatus> {
    if !heeds(member, from, poll).await {
        return None;
    }
    let status = status(member, poll.known_map, poll.wants_counts).await?;
    member.own_rank.set(Some(status.rank));
    Some(status)
}

/// Whether a leader's group is that of the own rank. The leader of another group must not be followed.
async fn is_own_group(member: &Member, group: &str) -> bool {
    if member.own_group.borrow().is_none()
        && let Ok(report) = member.engine.report().await
    {
        *member.own_group.borrow_mut() = report.membership.map(|membership| membership.group);
    }
    member.own_group.borrow().as_deref() == Some(group)
}

/// Notes that somebody leads.
fn hear_leader(member: &Member, fence: u64) {
    if fence >= member.highest_fence.get() {
        member.highest_fence.set(fence);
        member.leader_heard_at.set(boot_now());
        step_down(member, fence);
    }
}

/// Stops leading when another leader has a higher fence.
fn step_down(member: &Member, fence: u64) {
    let mut leader = member.leader.borrow_mut();
    if leader.as_ref().is_some_and(|leader| leader.fence() < fence) {
        *leader = None;
        let line = DecisionLog::fields("leader").with("fence", fence);
        member.log.note(line.with("outcome", "stepped-down"));
    }
}

fn take_status(member: &Member, from: SocketAddr, status: RankStatus) {
    let Some(dimensions) = member.fleet.dimensions() else { return };
    if member.own_group.borrow().as_deref() != Some(&status.group) {
        return;
    }
    member.ranks.borrow_mut().insert(status.rank, from);
    member.silent.heard(from.ip());
    let highest = member.highest_fence.get().max(status.highest_fence);
    member.highest_fence.set(highest);
    if let Some(leader) = member.leader.borrow_mut().as_mut() {
        leader.on_status(boot_now(), status, &dimensions);
        member.news.notify_one();
    }
}
