//! Polls the agents that watch this agent while it leads.

use super::datagram::{Datagram, Poll, WatchAssignment};
use super::member::Member;

/// Number of times that agents are told to stop watching. An agent that receives none of these
/// would take over from a live leader.
const DISMISSAL_SENDS: u32 = 4;

/// Ranks whose agents watch the leader, each with the number of agents that take over before.
#[derive(Default)]
pub(super) struct Watchers {
    ranks: Vec<(u8, u16)>,
    /// The rank among them whose agent alone arms the leader's rank.
    witness: Option<u16>,
    dismissed: Vec<(u8, u16)>,
    /// How many more times the dismissed agents are told to stop.
    dismissals_left: u32,
}

impl Watchers {
    /// Replaces the watchers, and dismisses the previous ones if there are none any more.
    pub(super) fn set(&mut self, ranks: Vec<(u8, u16)>, witness: Option<u16>) {
        if ranks.is_empty() && self.are_needed() {
            self.dismissed = std::mem::take(&mut self.ranks);
            self.dismissals_left = DISMISSAL_SENDS;
        }
        self.ranks = ranks;
        self.witness = witness;
    }

    /// Returns whether any agent is to watch.
    pub(super) fn are_needed(&self) -> bool {
        !self.ranks.is_empty()
    }

    /// Polls the watchers, which also tells them that the leader is alive, or sends pending
    /// dismissals.
    pub(super) async fn poll(&mut self, member: &Member, poll: &Poll) {
        for (predecessors, rank) in &self.ranks {
            let watch = WatchAssignment {
                predecessors: *predecessors,
                is_witness: self.witness == Some(*rank),
            };
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

async fn send(member: &Member, rank: u16, poll: &Poll, watch: Option<WatchAssignment>) {
    let Some(to) = member.agents.borrow().get(&rank).copied() else { return };
    let poll = Poll { wants_counts: false, watch, ..poll.clone() };
    member.send(to, &Datagram::Poll(poll)).await;
}
