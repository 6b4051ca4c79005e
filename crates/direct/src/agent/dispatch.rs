//! Sends orders of the leader to the agents that deliver them.

use super::datagram::Datagram;
use super::member::Member;
use super::remote_orders;
use hickorycross_core::map_change::RankOrder;
use std::rc::Rc;

/// Delivers an order to `rank`, or has it delivered by an agent.
///
/// Usually the agent of the rank delivers it, or this agent over the network while that one is
/// silent. If `delivered_by` is another rank, the order is either one to hold a pass, which this
/// agent delivers over the network, or one to arm this agent's own rank, which the agent of
/// `delivered_by` delivers.
pub(super) async fn dispatch(
    member: &Rc<Member>,
    rank: u16,
    delivered_by: u16,
    number: u64,
    order: RankOrder,
) {
    let agent_of = |rank: u16| member.agents.borrow().get(&rank).copied();
    if delivered_by != rank && member.own_rank.get() == Some(delivered_by) {
        let Some(holder) = agent_of(rank) else { return };
        remote_orders::hold(member, holder, rank, number, order);
    } else if delivered_by != rank {
        let Some(to) = agent_of(delivered_by) else { return };
        member.send(to, &Datagram::ArmLeaderRank { rank, number, order }).await;
    } else if let Some(client) = member.silent_ranks.client(rank) {
        remote_orders::order_silent_rank(member, client, rank, number, order);
    } else if let Some(to) = agent_of(rank) {
        member.send(to, &Datagram::Order { number, order }).await;
    }
}
