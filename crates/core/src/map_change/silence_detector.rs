//! Which agents a leader no longer hears, so that entries can be told.
//!
//! The load that this answers: a machine freezes for seconds. Its rank makes passes with the others, but
//! what it answers stays on the machine, and so does every request that waits there. A caller leaves after
//! 2 s without an event; an entry that has only silence to go by needs most of that to tell a frozen machine
//! from a slow group.

use crate::direct::{BootMs, most_left};
use indexmap::{IndexMap, IndexSet};
use std::net::{IpAddr, SocketAddr};

/// Silence of an agent from which entries are told: several rounds of polls, of which some may be lost.
const UNHEARD_MS: u64 = 350;

/// Pause after which entries are told again; they believe it for 3 s.
const SAY_AGAIN_MS: u64 = 2_000;

/// Pause between two looks from which the leader itself counts as having slept.
const OWN_PAUSE_MS: u64 = 200;

/// When an agent was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastContact {
    /// Its machine.
    pub machine: IpAddr,
    /// The last time, if ever.
    pub heard_at: Option<BootMs>,
    /// When this agent took its place as leader, if it did.
    pub replaced_at: Option<BootMs>,
}

/// What entries are to be told of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reachability {
    /// The machine.
    pub machine: IpAddr,
    /// Whether its agent is heard.
    pub is_heard: bool,
}

/// Machines of the other ranks of a group, by the addresses of their agents as far as the leader on `own` knows
/// them, and that of the leader whose place it took.
///
/// A service may have many groups, whose agents a leader hears now and then. Taken for its own they would seem
/// to go silent: one would see entries told of machines that are well, by each leader again and again.
#[must_use]
pub fn machines_to_monitor(
    ranks: &IndexMap<u16, SocketAddr>,
    given_up: Option<IpAddr>,
    own: IpAddr,
) -> IndexSet<IpAddr> {
    let ranks = ranks.values().map(SocketAddr::ip);
    ranks.chain(given_up).filter(|machine| *machine != own).collect()
}

/// What entries were told of the machines of a group.
#[derive(Clone, Debug, Default)]
pub struct SilenceDetector {
    looked_at: BootMs,
    /// Since when the leader has looked without a long pause.
    awake_since: BootMs,
    /// Machines that entries were told of, and when.
    said: IndexMap<IpAddr, BootMs>,
}

impl SilenceDetector {
    /// Forgets what was told, as an agent that does not lead.
    pub fn clear(&mut self) {
        self.said.clear();
        self.looked_at = BootMs(0);
    }

    /// Looks at when other agents were last heard; gives what entries are to be told.
    pub fn update(&mut self, now: BootMs, others: &[LastContact]) -> Vec<Reachability> {
        if now.since(self.looked_at) > OWN_PAUSE_MS {
            self.awake_since = now;
        }
        self.looked_at = now;
        let silent = others.iter().filter(|other| self.is_silent(now, other));
        let silent: Vec<IpAddr> = silent.map(|other| other.machine).collect();
        let heard: Vec<IpAddr> =
            self.said.keys().filter(|machine| !silent.contains(machine)).copied().collect();
        self.said.retain(|machine, _| silent.contains(machine));
        let mut told: Vec<Reachability> =
            heard.into_iter().map(|machine| Reachability { machine, is_heard: true }).collect();
        // Entries leave no more; and where more are silent, the own link is the likelier cause.
        if silent.len() <= most_left(others.len()) {
            let is_due = |machine: &IpAddr| {
                self.said.get(machine).is_none_or(|at| now.since(*at) >= SAY_AGAIN_MS)
            };
            let due: Vec<IpAddr> = silent.into_iter().filter(is_due).collect();
            self.said.extend(due.iter().map(|machine| (*machine, now)));
            told.extend(due.into_iter().map(|machine| Reachability { machine, is_heard: false }));
        }
        told
    }

    /// Whether an agent has gone silent.
    ///
    /// One that was never heard may not have started yet, and its rank is well. After a sleep of its own
    /// the leader would take all others for silent, so silence counts from its waking.
    fn is_silent(&self, now: BootMs, other: &LastContact) -> bool {
        let Some(heard_at) = other.heard_at else { return false };
        let is_given_up = other.replaced_at.is_some_and(|at| at >= heard_at);
        is_given_up || now.since(heard_at.max(self.awake_since)) > UNHEARD_MS
    }
}
