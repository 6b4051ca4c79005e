//! Interface to a rank, which a platform implements.

use hickorycross_core::map_change::{Armed, EngineOrder};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

/// Future of a call to a rank.
pub type RankFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, RankError>> + 'a>>;

/// State of a rank, as the rank reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankReport {
    /// Membership in a group; `None` for a backend server that belongs to no group.
    pub membership: Option<GroupMembership>,
    /// Number of the last pass that has begun.
    pub step: u64,
    /// Version of the map in use.
    pub map: u64,
    /// Version of the newest map that is copied completely.
    pub prepared: Option<u64>,
    /// The pending switch to another map, if any.
    pub armed: Option<Armed>,
    /// Number of the pass that the rank holds, if any. It does not begin until it is released.
    pub held_step: Option<u64>,
    /// Number of requests that wait at the rank.
    pub waiting: u32,
    /// Number of requests that run at the rank.
    pub running: u32,
    /// Duration of the rank's own work relative to its usual duration, in thousandths; 1000 is the
    /// usual duration.
    pub pace_permille: u32,
}

/// Membership of a rank in a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    /// Name of the group.
    pub group: String,
    /// Number of the rank within the group.
    pub rank: u16,
    /// Number of ranks in the group.
    pub ranks: u16,
    /// Epoch of the group, which increases each time the group is formed.
    pub epoch: u64,
    /// Whether the group runs passes.
    pub is_open: bool,
}

/// How often each expert was chosen since the rank started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpertCounts {
    /// Epoch of the group.
    pub epoch: u64,
    /// Unix time in milliseconds when the rank started, and the counts with it; 0 if it does not
    /// tell.
    pub born_ms: u64,
    /// Number of choices, ordered by layer and then by expert.
    pub choices: Vec<u64>,
}

/// Experts that a rank holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldExperts {
    /// Version of the map in use.
    pub map: u64,
    /// Numbers of the experts, by layer.
    pub experts: Vec<Vec<u16>>,
}

/// Answer of a rank to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The order is being carried out, or is in effect already.
    Accepted,
    /// The order does not fit the state of the rank.
    Conflict,
    /// The rank has seen a higher fencing number.
    Fenced,
    /// The rank does not support such an order, or is another incarnation; contains the status
    /// code.
    Rejected(u16),
}

/// Error of a call to a rank.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RankError {
    /// No answer arrived. The rank may have accepted an order, or may still carry it out.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// The answer could not be decoded.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// Client of one rank.
pub trait RankClient {
    /// Reads the report of the rank.
    fn report(&self) -> RankFuture<'_, RankReport>;

    /// Reads how often each expert was chosen.
    fn counts(&self) -> RankFuture<'_, ExpertCounts>;

    /// Reads which experts the rank holds.
    fn held_experts(&self) -> RankFuture<'_, HeldExperts>;

    /// Sends an order to the rank.
    fn order<'a>(&'a self, order: &'a EngineOrder) -> RankFuture<'a, OrderReply>;
}

/// Creates clients of ranks by their addresses.
pub trait RankClients {
    /// Returns the client of the rank at `address` on the same instance, which answers within
    /// milliseconds.
    fn local(&self, address: SocketAddr) -> Rc<dyn RankClient>;

    /// Returns the client of the rank at `address` on another instance.
    fn remote(&self, address: SocketAddr) -> Rc<dyn RankClient>;
}
