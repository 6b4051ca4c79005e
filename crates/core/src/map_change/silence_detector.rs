//! Detects agents that have gone silent, so that the leader can report them to the entries.
//!
//! When an instance freezes for seconds, its rank keeps running passes with the others, but its
//! answers and all requests queued there stay on the instance. A caller leaves after 2 s without an
//! event. An entry that relies on its own observation needs most of that time to tell a frozen
//! instance from a slow group.

use crate::direct::{BootMs, max_avoided_ranks};
use indexmap::{IndexMap, IndexSet};
use std::net::{IpAddr, SocketAddr};

/// Shortest silence after which an agent is reported, which covers several rounds of polls in a group of
/// usual size.
const MIN_SILENCE_MS: u64 = 350;

/// Rounds of polls after which an agent is reported, in tenths. Some polls may be lost.
const SILENT_ROUND_TENTHS: u64 = 35;

/// Interval after which a report is repeated. Entries discard it after 3 s.
const REPEAT_MS: u64 = 2_000;

/// Gap between two updates above which the leader itself counts as having been suspended.
const MAX_UPDATE_GAP_MS: u64 = 200;

/// Time of the last message from an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastContact {
    /// Instance of the agent.
    pub machine: IpAddr,
    /// When the last message arrived, if any has.
    pub heard_at: Option<BootMs>,
    /// When the local agent took over from it as leader, if it did.
    pub replaced_at: Option<BootMs>,
}

/// Reachability of an instance, as reported to the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reachability {
    /// The instance.
    pub machine: IpAddr,
    /// Whether messages from its agent arrive.
    pub is_heard: bool,
}

/// Returns the instances to monitor: those of the other ranks of the group, by the addresses of
/// their agents as far as the leader on `own` knows them, and that of the leader that it replaced.
///
/// A service may have many groups, and a leader occasionally receives messages from agents of other
/// groups. Monitoring those too would make them appear silent, and every leader would keep
/// reporting healthy instances.
#[must_use]
pub fn machines_to_monitor(
    ranks: &IndexMap<u16, SocketAddr>,
    replaced: Option<IpAddr>,
    own: IpAddr,
) -> IndexSet<IpAddr> {
    let ranks = ranks.values().map(SocketAddr::ip);
    ranks.chain(replaced).filter(|machine| *machine != own).collect()
}

/// Tracks which instances of a group were reported to the entries as silent.
#[derive(Clone, Debug, Default)]
pub struct SilenceDetector {
    updated_at: BootMs,
    /// Since when updates have followed each other without a long gap.
    running_since: BootMs,
    /// Instances reported as silent, with the time of the last report.
    reported: IndexMap<IpAddr, BootMs>,
}

impl SilenceDetector {
    /// Resets the state while the agent is not the leader.
    pub fn clear(&mut self) {
        self.reported.clear();
        self.updated_at = BootMs(0);
    }

    /// Evaluates when other agents last sent a message, each of which is polled once in `round_ms`.
    /// Returns the reports for the entries.
    pub fn update(
        &mut self,
        now: BootMs,
        others: &[LastContact],
        round_ms: u64,
    ) -> Vec<Reachability> {
        if now.since(self.updated_at) > MAX_UPDATE_GAP_MS {
            self.running_since = now;
        }
        self.updated_at = now;
        let max_silence_ms = MIN_SILENCE_MS.max(round_ms * SILENT_ROUND_TENTHS / 10);
        let silent = others.iter().filter(|other| self.is_silent(now, other, max_silence_ms));
        let silent: Vec<IpAddr> = silent.map(|other| other.machine).collect();
        let heard: Vec<IpAddr> =
            self.reported.keys().filter(|machine| !silent.contains(machine)).copied().collect();
        self.reported.retain(|machine, _| silent.contains(machine));
        let mut changes: Vec<Reachability> =
            heard.into_iter().map(|machine| Reachability { machine, is_heard: true }).collect();
        // Entries avoid at most this many backend servers, and if more are silent, the local link
        // is the likelier cause.
        if silent.len() <= max_avoided_ranks(others.len()) {
            let is_due = |machine: &IpAddr| {
                self.reported.get(machine).is_none_or(|at| now.since(*at) >= REPEAT_MS)
            };
            let due: Vec<IpAddr> = silent.into_iter().filter(is_due).collect();
            self.reported.extend(due.iter().map(|machine| (*machine, now)));
            changes
                .extend(due.into_iter().map(|machine| Reachability { machine, is_heard: false }));
        }
        changes
    }

    /// Returns whether an agent has gone silent.
    ///
    /// An agent that was never heard may not have started yet while its rank is healthy. After a
    /// suspension of its own instance, the leader would take all other agents for silent, so
    /// silence counts from the time it resumed.
    fn is_silent(&self, now: BootMs, other: &LastContact, max_silence_ms: u64) -> bool {
        let Some(heard_at) = other.heard_at else { return false };
        let is_replaced = other.replaced_at.is_some_and(|at| at >= heard_at);
        is_replaced || now.since(heard_at.max(self.running_since)) > max_silence_ms
    }
}
