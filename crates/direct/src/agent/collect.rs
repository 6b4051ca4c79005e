//! Collects the statuses of a section of a large group and sends them to the leader in one message.

use super::datagram::{Datagram, Poll};
use super::member::Member;
use super::status::read_status;
use crate::clock::boot_now;
use hickorycross_core::map_change::{RankStatus, StatusCollection};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time for the agents of a section to answer. Most answer within 10 ms; later statuses are sent to
/// the leader individually.
const ANSWER_TIMEOUT_MS: u64 = 40;

/// Polls the agents in `others` and collects their statuses for the leader.
///
/// A service may have several groups, so a section may contain agents of another group. Such an
/// agent also collects, but does not report its own rank.
pub(super) async fn start(
    member: &Rc<Member>,
    leader: SocketAddr,
    section: u16,
    poll: Poll,
    others: &[SocketAddr],
    includes_own_rank: bool,
) {
    // When an agent of the section is slow, the leader polls again before the last answer has
    // arrived.
    finish(member).await;
    let collection = &member.collection;
    let number = collection.number.get() + 1;
    collection.number.set(number);
    collection.leader.set(Some(leader));
    *collection.open.borrow_mut() = Some(StatusCollection::new(
        boot_now(),
        section,
        others.len() + usize::from(includes_own_rank),
    ));
    tokio::task::spawn_local(finish_after_timeout(Rc::clone(member), number));
    let (known_map, wants_counts) = (poll.known_map, poll.wants_counts);
    let section_poll = Datagram::SectionPoll(poll);
    for agent in others {
        member.send(*agent, &section_poll).await;
    }
    if !includes_own_rank {
        return;
    }
    if let Some(status) = read_status(member, known_map, wants_counts).await {
        member.own_rank.set(Some(status.rank));
        let own = SocketAddr::new(member.machine, member.port);
        add_status(member, own, status).await;
    }
}

/// Adds the status of an agent of the section, and ends the collection if it is complete.
pub(super) async fn add_status(member: &Rc<Member>, agent: SocketAddr, status: RankStatus) {
    let is_complete = {
        let mut open = member.collection.open.borrow_mut();
        // A late status gets a collection of its own. If it were dropped, the leader would never
        // receive the status of an agent that is always slow.
        let collection = open.get_or_insert_with(|| StatusCollection::new(boot_now(), 0, 1));
        collection.add(agent, status);
        collection.is_complete()
    };
    if is_complete {
        finish(member).await;
    }
}

/// Ends a collection after the timeout, unless it has ended before.
async fn finish_after_timeout(member: Rc<Member>, number: u64) {
    tokio::time::sleep(Duration::from_millis(ANSWER_TIMEOUT_MS)).await;
    if member.collection.number.get() == number {
        finish(&member).await;
    }
}

/// Ends the current collection, if any, and sends it to the leader.
async fn finish(member: &Member) {
    let collection = member.collection.open.take();
    let (Some(collection), Some(leader)) = (collection, member.collection.leader.get()) else {
        return;
    };
    if let Some(collected) = collection.finish(boot_now()) {
        member.send(leader, &Datagram::Collected(collected)).await;
    }
}
