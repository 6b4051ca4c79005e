//! Collects the statuses of a section of a large group for its leader.

use super::datagram::{Datagram, Poll};
use super::member::Member;
use super::status::status;
use crate::clock::boot_now;
use hickorycross_core::map_change::{RankStatus, StatusCollection};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time for the agents of a section to answer. Most do within 10 ms; what comes later is told alone.
const WAIT_MS: u64 = 40;

/// Asks the agents in `others` and tells the leader what they say.
///
/// A service may have several groups, so that a section holds agents of another one; such an agent
/// collects as well, but says nothing of its own rank.
pub(super) async fn begin(
    member: &Rc<Member>,
    leader: SocketAddr,
    section: u16,
    poll: Poll,
    others: &[SocketAddr],
    is_of_group: bool,
) {
    // A leader asks again before the last answers are in when an agent of the section is slow.
    close(member).await;
    let collecting = &member.collecting;
    let number = collecting.number.get() + 1;
    collecting.number.set(number);
    collecting.leader.set(Some(leader));
    *collecting.open.borrow_mut() =
        Some(StatusCollection::new(boot_now(), section, others.len() + usize::from(is_of_group)));
    tokio::task::spawn_local(close_late(Rc::clone(member), number));
    let (known_map, wants_counts) = (poll.known_map, poll.wants_counts);
    let part = Datagram::PollPart(poll);
    for agent in others {
        member.send(*agent, &part).await;
    }
    if !is_of_group {
        return;
    }
    if let Some(status) = status(member, known_map, wants_counts).await {
        member.own_rank.set(Some(status.rank));
        let own = SocketAddr::new(member.machine, member.port);
        take_part(member, own, status).await;
    }
}

/// Takes the status of an agent of the section.
pub(super) async fn take_part(member: &Rc<Member>, agent: SocketAddr, status: RankStatus) {
    let is_complete = {
        let mut open = member.collecting.open.borrow_mut();
        // An agent that is always slow would never be heard by the leader if this were dropped.
        let collection = open.get_or_insert_with(|| StatusCollection::new(boot_now(), 0, 1));
        collection.add(agent, status);
        collection.is_complete()
    };
    if is_complete {
        close(member).await;
    }
}

async fn close_late(member: Rc<Member>, number: u64) {
    tokio::time::sleep(Duration::from_millis(WAIT_MS)).await;
    if member.collecting.number.get() == number {
        close(&member).await;
    }
}

async fn close(member: &Member) {
    let collection = member.collecting.open.take();
    let (Some(collection), Some(leader)) = (collection, member.collecting.leader.get()) else {
        return;
    };
    if let Some(collected) = collection.finish(boot_now()) {
        member.send(leader, &Datagram::Collected(collected)).await;
    }
}
