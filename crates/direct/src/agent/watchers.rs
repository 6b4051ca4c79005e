//! Agents that watch the one that leads, as that one polls them.

use super::datagram::{Datagram, Poll, Watch};
use super::member::Member;

/// Times that agents are told that they need not watch any more. One that hears none of them takes over from
/// a leader that lives.
const DISMISSALS: u32 = 4;

/// Ranks whose agents watch, each with the number of those that take over sooner.
#[derive(Default)]
pub(super) struct Watchers {
    ranks: Vec<(u8, u16)>,
    /// The one among them that alone orders the rank beside the leader to switch.
    witness: Option<u16>,
    dismissed: Vec<(u8, u16)>,
    /// How many times those that are dismissed are still to be told.
    dismissals_left: u32,
}

impl Watchers {
    /// Takes those that are needed now.
    pub(super) fn set(&mut self, ranks: Vec<(u8, u16)>, witness: Option<u16>) {
        if ranks.is_empty() && self.are_needed() {
            self.dismissed = std::mem::take(&mut self.ranks);
            self.dismissals_left = DISMISSALS;
        }
        self.ranks = ranks;
        self.witness = witness;
    }

    /// Whether any agent is to watch.
    pub(super) fn are_needed(&self) -> bool {
        !self.ranks.is_empty()
    }

    /// Asks those that watch, which also tells them that the leader lives, or dismisses them.
    pub(super) async fn poll(&mut self, member: &Member, poll: &Poll) {
        for (place, rank) in &self.ranks {
            let watch = Watch { place: *place, is_witness: self.witness == Some(*rank) };
            send(member, *rank, poll, Some(watch)).await;
        }
        if !self.are_needed() && self.dismissals_left > 0 {
            self.dismissals_left -= 1;
            for (_, rank) in &self.dismissed {
                send(member, *rank, poll, None).await;
            }
        }
    }
}

async fn send(member: &Member, rank: u16, poll: &Poll, watch: Option<Watch>) {
    let Some(to) = member.ranks.borrow().get(&rank).copied() else { return };
    let poll = Poll { wants_counts: false, watch, ..poll.clone() };
    member.send(to, &Datagram::Poll(poll)).await;
}
