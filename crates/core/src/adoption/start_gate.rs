//! The start of a process without memory.
//!
//! A new process has no disk. Were it to serve on the first document that it reads, a platform
//! service that is stale, or was restored from a backup, would put an old document in force on
//! every new process beside a fleet that holds a newer one; one would see two revisions serving.
//! It therefore hears several peers in distinct failure domains first and takes the highest.

use crate::ids::{InstanceId, LinkId};
use crate::instance::{Instance, InstanceState, Role};
use crate::rendezvous;
use crate::time::{Now, UnixMs};
use hickorycross_config::FailureDomainId;
use indexmap::{IndexMap, IndexSet};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Peers that are heard before serving.
const PROBES: usize = 3;
/// Peers that do not answer are not waited for any longer.
const PATIENCE_MS: u64 = 3_000;

/// A link to open for the sake of hearing a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Number of the link.
    pub link: LinkId,
    /// The peer.
    pub instance: InstanceId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Keeps a new process from serving until its peers have been heard.
#[derive(Debug)]
pub struct StartGate {
    own: InstanceId,
    first_link: LinkId,
    waiting: IndexMap<LinkId, InstanceId>,
    /// Links whose peer has said what is in force there.
    heard: IndexSet<LinkId>,
    begun: bool,
    deadline: UnixMs,
}

impl StartGate {
    /// Closes the gate. `first_link` is the first of [`StartGate::link_count`] numbers that the gate
    /// may use.
    #[must_use]
    pub fn new(own: InstanceId, first_link: LinkId) -> Self {
        let deadline = UnixMs::NEVER;
        Self {
            own,
            first_link,
            waiting: IndexMap::new(),
            heard: IndexSet::new(),
            begun: false,
            deadline,
        }
    }

    /// How many link numbers a gate uses at most.
    #[must_use]
    pub const fn link_count() -> u64 {
        PROBES as u64
    }

    /// Learns the instance list; the first one gives the peers to hear.
    pub fn update_instances(&mut self, now: Now, instances: &[Instance]) -> Vec<Probe> {
        if self.begun {
            return Vec::new();
        }
        self.begun = true;
        self.deadline = now.after(PATIENCE_MS);
        let probes = self.probes(instances);
        self.waiting = probes.iter().map(|probe| (probe.link, probe.instance.clone())).collect();
        probes
    }

    /// Notes that a peer has said what is in force there.
    pub fn peer_answered(&mut self, link: LinkId) {
        self.heard.insert(link);
    }

    /// Notes that a link has ended.
    pub fn link_closed(&mut self, link: LinkId) {
        self.waiting.swap_remove(&link);
        self.heard.swap_remove(&link);
    }

    /// Settles the peers from which nothing newer is to come and returns their links, to be
    /// closed.
    ///
    /// The links of the others stay open, not just the one on which the document was asked for.
    /// Its peer may die before it answers; then the process would serve on what it read from a
    /// stale platform, although it knows better: one would see a revision come back that the
    /// fleet left long ago.
    pub fn finish_peers(&mut self, is_awaited: impl Fn(LinkId) -> bool) -> Vec<LinkId> {
        let done: Vec<LinkId> =
            self.heard.iter().copied().filter(|link| !is_awaited(*link)).collect();
        done.iter().for_each(|link| self.link_closed(*link));
        done
    }

    /// Whether the link was opened for the gate.
    #[must_use]
    pub fn owns(&self, link: LinkId) -> bool {
        (self.first_link.0..self.first_link.0 + Self::link_count()).contains(&link.0)
    }

    /// Whether the process may serve.
    #[must_use]
    pub fn is_open(&self, now: Now) -> bool {
        self.begun && (self.waiting.is_empty() || self.deadline.is_past(now))
    }

    /// Agents, one in each failure domain first, in an order that differs between processes.
    ///
    /// Were they taken in the order of the list, a fleet that starts all at once would open all its
    /// links to the same three agents; one would see their memory grow with the fleet.
    fn probes(&self, instances: &[Instance]) -> Vec<Probe> {
        let key = rendezvous::key_of(&self.own.0);
        let mut peers: Vec<_> =
            instances.iter().filter(|instance| self.is_peer(instance)).collect();
        peers.sort_by_cached_key(|peer| Reverse(rendezvous::weight(key, &peer.id.0)));
        let mut by_domain: IndexMap<&FailureDomainId, Vec<&Instance>> = IndexMap::new();
        for peer in peers {
            by_domain.entry(&peer.failure_domain).or_default().push(peer);
        }
        let depth = by_domain.values().map(Vec::len).max().unwrap_or(0);
        let in_turn =
            (0..depth).flat_map(|row| by_domain.values().filter_map(move |column| column.get(row)));
        in_turn
            .take(PROBES)
            .zip(self.first_link.0..)
            .map(|(instance, link)| Probe {
                link: LinkId(link),
                instance: instance.id.clone(),
                address: instance.link_address,
            })
            .collect()
    }

    fn is_peer(&self, instance: &Instance) -> bool {
        instance.id != self.own
            && instance.state == InstanceState::Live
            && matches!(instance.role, Role::Agent { .. })
    }
}
