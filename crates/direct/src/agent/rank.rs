//! What a platform must give about the rank beside an agent.

use hickorycross_core::map_change::{Armed, EngineOrder};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

/// A call to a rank in progress.
pub type RankFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, RankError>> + 'a>>;

/// A rank's word about itself, as of this moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RankReport {
    /// Its place in a group; `None` for a backend server that stands alone.
    pub membership: Option<GroupMembership>,
    /// The last pass that was begun.
    pub step: u64,
    /// The map in use.
    pub map: u64,
    /// The newest map whose copies are complete.
    pub prepared: Option<u64>,
    /// The map to which it will switch.
    pub armed: Option<Armed>,
    /// The pass that does not begin before it is let go.
    pub held_step: Option<u64>,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that run there.
    pub running: u32,
    /// How much longer its own work takes than usual, in thousandths; 1000 is usual.
    pub pace_permille: u32,
}

/// A place in a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    /// The group.
    pub group: String,
    /// Its place.
    pub rank: u16,
    /// Ranks of the group.
    pub ranks: u16,
    /// Grows each time the group is formed.
    pub epoch: u64,
    /// Whether the group makes passes.
    pub is_open: bool,
}

/// How often experts were chosen since the rank started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpertCounts {
    /// The group's epoch.
    pub epoch: u64,
    /// When the rank started, in Unix milliseconds; 0 when it does not say. It counts anew from then.
    pub born_ms: u64,
    /// Choices, layer after layer, expert after expert.
    pub choices: Vec<u64>,
}

/// Experts that a rank holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldExperts {
    /// The map in use.
    pub map: u64,
    /// Experts by layer.
    pub experts: Vec<Vec<u16>>,
}

/// A rank's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// It has begun, or holds already.
    Accepted,
    /// It does not fit the rank's state.
    Conflict,
    /// The rank has seen a higher fence.
    Fenced,
    /// The rank does not know such an order, or is another incarnation.
    Rejected(u16),
}

/// Why a call gave nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RankError {
    /// No answer came. An order may have been accepted, or may be carried out later.
    #[error("no answer: {0}")]
    Unanswered(String),
    /// The answer could not be understood.
    #[error("unreadable answer: {0}")]
    Unreadable(String),
}

/// Talks to one rank.
pub trait RankClient {
    /// Reads the rank's report.
    fn report(&self) -> RankFuture<'_, RankReport>;

    /// Reads how often experts were chosen.
    fn counts(&self) -> RankFuture<'_, ExpertCounts>;

    /// Reads which experts the rank holds.
    fn held_experts(&self) -> RankFuture<'_, HeldExperts>;

    /// Gives an order.
    fn order<'a>(&'a self, order: &'a EngineOrder) -> RankFuture<'a, OrderReply>;
}

/// Gives clients of ranks by their address, also of those on other machines.
pub trait RankClients {
    /// The client of the rank at `address` on the own machine, which answers within milliseconds.
    fn local(&self, address: SocketAddr) -> Rc<dyn RankClient>;

    /// The client of the rank at `address` on another machine.
    fn remote(&self, address: SocketAddr) -> Rc<dyn RankClient>;
}
