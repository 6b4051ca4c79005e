//! Ranks whose agents are not heard.
//!
//! A leader that dies between two orders leaves its group standing until somebody lets it go. The
//! machine may be frozen for seconds while its rank works on; the new leader then reads the rank and
//! gives it orders over the network. That costs more than on the own machine, so it is done only
//! while an agent is silent.

use super::rank::RankClient;
use crate::clock::boot_now;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::LastContact;
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;

/// Silence of an agent from which its rank is read from afar: several polls, two in a large group.
pub(super) const SILENT_MS: u64 = 800;

/// Ranks that are read and ordered from afar, and when agents of machines were heard.
#[derive(Default)]
pub(crate) struct SilentRanks {
    pub(super) engines: RefCell<IndexMap<u16, Rc<dyn RankClient>>>,
    heard_at: RefCell<IndexMap<IpAddr, BootMs>>,
    /// The machine of the leader whose place this agent took last, and when.
    given_up: Cell<Option<(IpAddr, BootMs)>>,
}

impl SilentRanks {
    /// Notes that the agent of a machine is heard.
    pub(crate) fn heard(&self, machine: IpAddr) {
        self.heard_at.borrow_mut().insert(machine, boot_now());
    }

    /// Notes that this agent takes the place of the leader on a machine.
    pub(super) fn give_up(&self, machine: IpAddr) {
        self.given_up.set(Some((machine, boot_now())));
    }

    /// The machine of the leader whose place this agent took last.
    pub(super) fn given_up_machine(&self) -> Option<IpAddr> {
        self.given_up.get().map(|(machine, _)| machine)
    }

    /// When the agent of a machine was heard.
    pub(super) fn of(&self, machine: IpAddr) -> LastContact {
        let heard_at = self.heard_at.borrow().get(&machine).copied();
        let given_up = self.given_up.get().filter(|(given_up, _)| *given_up == machine);
        LastContact { machine, heard_at, replaced_at: given_up.map(|(_, at)| at) }
    }

    /// The client of a rank whose agent is silent.
    pub(crate) fn engine(&self, rank: u16) -> Option<Rc<dyn RankClient>> {
        self.engines.borrow().get(&rank).cloned()
    }

    /// Whether a rank's agent is not heard.
    pub(crate) fn has(&self, rank: u16) -> bool {
        self.engines.borrow().contains_key(&rank)
    }

    /// Whether the agent of a machine has not been heard for `silent_ms`.
    pub(super) fn is_silent(&self, machine: IpAddr, silent_ms: u64) -> bool {
        self.of(machine).heard_at.is_none_or(|at| boot_now().since(at) > silent_ms)
    }
}
