//! Has an order given: by the agent beside its rank, or by another one.

use super::afar;
use super::datagram::Datagram;
use super::member::Member;
use hickorycross_core::map_change::RankOrder;
use std::rc::Rc;

/// Has an order given: by the agent beside the rank, by this one, or by another.
pub(super) async fn give(
    member: &Rc<Member>,
    rank: u16,
    giver: u16,
    number: u64,
    order: RankOrder,
) {
    let agent_of = |rank: u16| member.ranks.borrow().get(&rank).copied();
    if giver != rank && member.own_rank.get() == Some(giver) {
        let Some(holder) = agent_of(rank) else { return };
        afar::hold(member, holder, rank, number, order);
    } else if giver != rank {
        let Some(to) = agent_of(giver) else { return };
        member.send(to, &Datagram::ArmBeside { rank, number, order }).await;
    } else if let Some(engine) = member.silent.engine(rank) {
        afar::order(member, engine, rank, number, order);
    } else if let Some(to) = agent_of(rank) {
        member.send(to, &Datagram::Order { number, order }).await;
    }
}
