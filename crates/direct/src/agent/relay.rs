//! Relays orders that go to many ranks at once through some of their agents.
//!
//! A map for a group of 72 ranks has about 3 KB. Sending it to each rank over the link of one small
//! instance takes half a second, for which the group stays unbalanced. Instead, a few agents each
//! relay it to a few others over their own links.

use super::datagram::{Datagram, RelayTarget};
use super::dispatch::dispatch;
use super::member::Member;
use hickorycross_core::map_change::{LeaderAction, RankOrder};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// An order that another rank's agent relays.
struct RelayedOrder {
    rank: u16,
    /// Number of the order.
    number: u64,
    order: RankOrder,
}

/// Orders to be relayed, by the rank whose agent relays them.
#[derive(Default)]
pub(super) struct Relays {
    by_relay: IndexMap<u16, Vec<RelayedOrder>>,
}

impl Relays {
    /// Removes the orders that other agents relay from `actions`.
    pub(super) fn extract_from(actions: &mut Vec<LeaderAction>) -> Self {
        let mut relays = Self::default();
        actions.retain(|action| match action {
            LeaderAction::Send { rank, relayed_by: Some(relay_rank), number, order, .. } => {
                let relayed = RelayedOrder { rank: *rank, number: *number, order: order.clone() };
                relays.by_relay.entry(*relay_rank).or_default().push(relayed);
                false
            }
            LeaderAction::Send { .. } | LeaderAction::Note(_) => true,
        });
        relays
    }

    /// Sends an order to `rank` together with the orders that its agent is to relay.
    ///
    /// Orders for ranks that cannot be reached through the relay are sent directly.
    pub(super) async fn dispatch(
        &mut self,
        member: &Rc<Member>,
        rank: u16,
        number: u64,
        order: RankOrder,
    ) {
        let others = self.by_relay.swap_remove(&rank).unwrap_or_default();
        let relay = member.agents.borrow().get(&rank).copied();
        let Some(relay) =
            relay.filter(|_| !others.is_empty() && !member.silent_ranks.contains(rank))
        else {
            dispatch(member, rank, rank, number, order).await;
            for RelayedOrder { rank, number, order } in others {
                dispatch(member, rank, rank, number, order).await;
            }
            return;
        };
        let mut targets = Vec::new();
        for RelayedOrder { rank, number, order } in others {
            let agent = member.agents.borrow().get(&rank).copied();
            match agent.filter(|_| !member.silent_ranks.contains(rank)) {
                Some(agent) => targets.push(RelayTarget { agent, number }),
                None => dispatch(member, rank, rank, number, order).await,
            }
        }
        member.send(relay, &Datagram::Relay { number, order, targets }).await;
    }
}

/// Forwards an order of the leader at `leader` to other agents.
pub(super) async fn forward(
    member: &Member,
    leader: SocketAddr,
    order: &RankOrder,
    targets: &[RelayTarget],
) {
    for RelayTarget { agent, number } in targets {
        let (number, order) = (*number, order.clone());
        member.send(*agent, &Datagram::Relayed { leader, number, order }).await;
    }
}
