//! What agents of a group say to each other, one datagram a message.
//!
//! Datagrams need no connection that could go silent; what is lost is asked for again.

use hickorycross_core::map_change::{OrderEnd, RankOrder, RankStatus};
use serde::{Deserialize, Serialize};

/// Longest message: a map of 64 ranks with 8 layers of 5 slots and 2 bytes a slot, twice over.
pub(crate) const MOST_BYTES: usize = 16 * 1024;

/// A message between agents.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// The leader asks for a status, which also says that it leads.
    Poll {
        /// The group that is led. A service may have several.
        group: String,
        /// The leader's fence.
        fence: u64,
        /// The map whose experts it knows.
        known_map: Option<u64>,
        /// Whether the choices of experts are asked for.
        wants_counts: bool,
    },
    /// An agent's answer to a poll.
    Status(RankStatus),
    /// The leader gives an order.
    Order {
        /// Names the order.
        number: u64,
        /// The order.
        order: RankOrder,
    },
    /// What became of an order.
    End {
        /// The rank that carried it out.
        rank: u16,
        /// Names the order.
        number: u64,
        /// The order's fence; numbers begin anew with each leader.
        fence: u64,
        /// What became of it.
        end: OrderEnd,
    },
}
