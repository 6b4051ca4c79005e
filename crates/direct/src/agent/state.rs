//! Parts of the state that an agent keeps between messages.

use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::StatusCollection;
use indexmap::IndexSet;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};

/// Orders to ranks on other instances that are being executed, by rank and order number.
///
/// The leader repeats an order sooner than a remote rank can answer; repetitions are dropped while
/// the order is in flight.
#[derive(Default)]
pub(super) struct OrdersInFlight(pub(super) RefCell<IndexSet<(u16, u64)>>);

/// The leader that this agent watches, to take over when it goes silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchedLeader {
    pub(super) machine: IpAddr,
    pub(super) fence: u64,
    /// Number of agents that take over before this one.
    pub(super) predecessors: u8,
    pub(super) heard_at: BootMs,
}

/// The collection of statuses that this agent makes for a leader.
#[derive(Default)]
pub(super) struct CollectionState {
    /// The collection in progress, if any.
    pub(super) open: RefCell<Option<StatusCollection>>,
    /// Number of the current collection, so that the timeout of an earlier one does not close it.
    pub(super) number: Cell<u64>,
    /// Address of the leader that requested a collection last.
    pub(super) leader: Cell<Option<SocketAddr>>,
}
