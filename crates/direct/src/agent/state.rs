//! What an agent remembers between messages, apart from what it does with it.

use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::StatusCollection;
use indexmap::IndexSet;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};

/// Orders on their way, by rank and number. The leader sends again sooner than an answer from afar
/// can come.
#[derive(Default)]
pub(super) struct UnderWay(pub(super) RefCell<IndexSet<(u16, u64)>>);

/// The leader in whose place this agent is to lead when it goes silent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Watched {
    pub(super) machine: IpAddr,
    pub(super) fence: u64,
    /// How many other agents take over sooner.
    pub(super) place: u8,
    pub(super) heard_at: BootMs,
}

/// The collection under way.
#[derive(Default)]
pub(super) struct Collecting {
    pub(super) open: RefCell<Option<StatusCollection>>,
    /// Tells collections apart, so that one is not closed by the wait for another.
    pub(super) number: Cell<u64>,
    /// Who asked last.
    pub(super) leader: Cell<Option<SocketAddr>>,
}
