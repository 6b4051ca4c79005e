//! Ranks whose agents are silent.
//!
//! When a leader fails between two orders, its group may be stalled until another leader releases
//! the held pass. The failed leader's instance may be frozen for seconds while its rank continues
//! to run; the new leader then reads and orders that rank over the network. This costs more than
//! through the agent on the same instance, so it is done only while that agent is silent.

use super::rank::RankClient;
use crate::clock::boot_now;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::LastContact;
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;

/// Silence of an agent after which its rank is read over the network: several polls, two in a large
/// group.
pub(super) const MAX_SILENCE_MS: u64 = 800;

/// Clients of ranks that are read and ordered over the network, and the last contact with each
/// agent.
#[derive(Default)]
pub(crate) struct SilentRanks {
    pub(super) clients: RefCell<IndexMap<u16, Rc<dyn RankClient>>>,
    heard_at: RefCell<IndexMap<IpAddr, BootMs>>,
    /// Instance of the leader that this agent replaced last, and when.
    replaced: Cell<Option<(IpAddr, BootMs)>>,
}

impl SilentRanks {
    /// Records that a message from the agent on an instance has arrived.
    pub(crate) fn note_heard(&self, machine: IpAddr) {
        self.heard_at.borrow_mut().insert(machine, boot_now());
    }

    /// Records that this agent replaces the leader on an instance.
    pub(super) fn note_replaced(&self, machine: IpAddr) {
        self.replaced.set(Some((machine, boot_now())));
    }

    /// Returns the instance of the leader that this agent replaced last.
    pub(super) fn replaced_machine(&self) -> Option<IpAddr> {
        self.replaced.get().map(|(machine, _)| machine)
    }

    /// Returns the last contact with the agent on an instance.
    pub(super) fn last_contact(&self, machine: IpAddr) -> LastContact {
        let heard_at = self.heard_at.borrow().get(&machine).copied();
        let replaced = self.replaced.get().filter(|(replaced, _)| *replaced == machine);
        LastContact { machine, heard_at, replaced_at: replaced.map(|(_, at)| at) }
    }

    /// Returns the client of a rank whose agent is silent, or `None` if its agent is not.
    pub(crate) fn client(&self, rank: u16) -> Option<Rc<dyn RankClient>> {
        self.clients.borrow().get(&rank).cloned()
    }

    /// Returns whether the agent of a rank is silent.
    pub(crate) fn contains(&self, rank: u16) -> bool {
        self.clients.borrow().contains_key(&rank)
    }

    /// Returns whether no message from the agent on an instance has arrived for `silent_ms`.
    pub(super) fn is_silent(&self, machine: IpAddr, silent_ms: u64) -> bool {
        self.last_contact(machine).heard_at.is_none_or(|at| boot_now().since(at) > silent_ms)
    }
}
