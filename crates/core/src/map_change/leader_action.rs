//! What the leader of a group requests from its caller.

use super::order::RankOrder;

/// An action that the leader requests from its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderAction {
    /// Send an order to a rank.
    Send {
        /// The rank that carries out the order.
        rank: u16,
        /// The rank whose agent delivers the order to the engine, usually the same rank.
        delivered_by: u16,
        /// The rank whose agent relays the order. The same tick contains an order of the same kind
        /// for that rank.
        relayed_by: Option<u16>,
        /// Number of the order, which the agent repeats in its answer.
        number: u64,
        /// The order.
        order: RankOrder,
    },
    /// Log a decision.
    Note(LeaderNote),
}

/// Log record of a decision of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderNote {
    /// Name of the phase that begins.
    pub phase: &'static str,
    /// Reason for the decision.
    pub cause: &'static str,
    /// Version of the map concerned.
    pub version: u64,
    /// Epoch of the group.
    pub epoch: u64,
    /// Fencing number in use.
    pub fence: u64,
    /// Number of the newest known pass.
    pub step: u64,
    /// Bottleneck load before and after the change, in thousandths of a balanced load.
    pub bottleneck_permille: Option<(u64, u64)>,
}
