//! Orders that go to many ranks at once, passed on by some of their agents.
//!
//! A map for a group of 72 ranks has some 3 KB. Sent to each of them over the link of one small machine
//! it takes half a second, in which the group stays uneven. Each of a few agents passes it on to a few
//! others instead, over its own link.

use super::datagram::{Datagram, Leg};
use super::give::give;
use super::member::Member;
use hickorycross_core::map_change::{LeaderAction, RankOrder};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// An order to be passed on.
struct Passed {
    rank: u16,
    /// Names the order.
    number: u64,
    order: RankOrder,
}

/// Orders to be passed on, by the rank whose agent does so.
#[derive(Default)]
pub(super) struct Relays {
    by_relay: IndexMap<u16, Vec<Passed>>,
}

impl Relays {
    /// Takes those orders out of `actions` that other agents pass on.
    pub(super) fn take_from(actions: &mut Vec<LeaderAction>) -> Self {
        let mut relays = Self::default();
        actions.retain(|action| match action {
            LeaderAction::Send { rank, relayed_by: Some(via), number, order, .. } => {
                let passed = Passed { rank: *rank, number: *number, order: order.clone() };
                relays.by_relay.entry(*via).or_default().push(passed);
                false
            }
            LeaderAction::Send { .. } | LeaderAction::Note(_) => true,
        });
        relays
    }

    /// Gives the order to `rank` together with those that its agent is to pass on.
    pub(super) async fn give(
        &mut self,
        member: &Rc<Member>,
        rank: u16,
        number: u64,
        order: RankOrder,
    ) {
        let others = self.by_relay.swap_remove(&rank).unwrap_or_default();
        let relay = member.ranks.borrow().get(&rank).copied();
        let Some(relay) = relay.filter(|_| !others.is_empty() && !member.silent.has(rank)) else {
            give(member, rank, rank, number, order).await;
            for Passed { rank, number, order } in others {
                give(member, rank, rank, number, order).await;
            }
            return;
        };
        let mut legs = Vec::new();
        for Passed { rank, number, order } in others {
            let agent = member.ranks.borrow().get(&rank).copied();
            match agent.filter(|_| !member.silent.has(rank)) {
                Some(agent) => legs.push(Leg { agent, number }),
                None => give(member, rank, rank, number, order).await,
            }
        }
        member.send(relay, &Datagram::Relay { number, order, legs }).await;
    }
}

/// Passes an order of the leader at `leader` on.
pub(super) async fn pass_on(member: &Member, leader: SocketAddr, order: &RankOrder, legs: &[Leg]) {
    for Leg { agent, number } in legs {
        let (number, order) = (*number, order.clone());
        member.send(*agent, &Datagram::Relayed { leader, number, order }).await;
    }
}
