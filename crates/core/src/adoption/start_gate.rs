//! The gate that keeps a new process from serving before it has compared documents with peers.
//!
//! A new process has no stored state. If it served with the first document that it reads, a
//! platform service that is stale or was restored from a backup would put an old document in force
//! on new processes while the fleet holds a newer one, and two revisions would serve at once. The
//! process therefore first asks peers in different failure domains and adopts the highest revision.

use crate::ids::{InstanceId, LinkId};
use crate::instance::{Instance, InstanceState, Role};
use crate::rendezvous;
use crate::time::{Now, UnixMs};
use hickorycross_config::FailureDomainId;
use indexmap::{IndexMap, IndexSet};
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Number of peers to ask before serving.
const MAX_PROBES: usize = 3;
/// Time after which the gate opens although peers have not answered.
const PROBE_TIMEOUT_MS: u64 = 3_000;

/// A link to open to a peer, to learn which document is in force there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Number of the link to open.
    pub link: LinkId,
    /// The peer.
    pub instance: InstanceId,
    /// The address on which the peer listens.
    pub address: SocketAddr,
}

/// Keeps a new process from serving until a few peers have told it which document they hold.
#[derive(Debug)]
pub struct StartGate {
    own: InstanceId,
    first_link: LinkId,
    pending: IndexMap<LinkId, InstanceId>,
    /// Links whose peer has sent its stamp.
    answered: IndexSet<LinkId>,
    has_instance_list: bool,
    deadline: UnixMs,
}

impl StartGate {
    /// Creates a closed gate. `first_link` is the first of [`StartGate::link_count`] link numbers
    /// that are reserved for the gate.
    #[must_use]
    pub fn new(own: InstanceId, first_link: LinkId) -> Self {
        let deadline = UnixMs::NEVER;
        Self {
            own,
            first_link,
            pending: IndexMap::new(),
            answered: IndexSet::new(),
            has_instance_list: false,
            deadline,
        }
    }

    /// Returns the number of link numbers that a gate uses at most.
    #[must_use]
    pub const fn link_count() -> u64 {
        MAX_PROBES as u64
    }

    /// Takes the instance list; returns the links to open for the first list, and none later.
    pub fn update_instances(&mut self, now: Now, instances: &[Instance]) -> Vec<Probe> {
        if self.has_instance_list {
            return Vec::new();
        }
        self.has_instance_list = true;
        self.deadline = now.after(PROBE_TIMEOUT_MS);
        let probes = self.probes(instances);
        self.pending = probes.iter().map(|probe| (probe.link, probe.instance.clone())).collect();
        probes
    }

    /// Records that the peer of a link has sent its stamp.
    pub fn peer_answered(&mut self, link: LinkId) {
        self.answered.insert(link);
    }

    /// Records that a link was closed; its peer is no longer waited for.
    pub fn link_closed(&mut self, link: LinkId) {
        self.pending.swap_remove(&link);
        self.answered.swap_remove(&link);
    }

    /// Removes the peers that have answered and from which no newer document is awaited, and
    /// returns their links, which can be closed.
    ///
    /// All links on which a newer document is awaited stay open, not just the one on which it was
    /// requested, because that peer may fail before it answers. Without the others, the process
    /// would serve with a document of a stale platform although it knows of a newer one, and a
    /// revision that the fleet left long ago would come into force again.
    pub fn finish_peers(&mut self, is_document_awaited: impl Fn(LinkId) -> bool) -> Vec<LinkId> {
        let done: Vec<LinkId> =
            self.answered.iter().copied().filter(|link| !is_document_awaited(*link)).collect();
        done.iter().for_each(|link| self.link_closed(*link));
        done
    }

    /// Whether a link belongs to the gate.
    #[must_use]
    pub fn owns(&self, link: LinkId) -> bool {
        (self.first_link.0..self.first_link.0 + Self::link_count()).contains(&link.0)
    }

    /// Whether the process may serve.
    #[must_use]
    pub fn is_open(&self, now: Now) -> bool {
        self.has_instance_list && (self.pending.is_empty() || self.deadline.is_past(now))
    }

    /// Chooses the agents to ask, from as many failure domains as possible, in an order that
    /// differs between processes.
    ///
    /// In the order of the list, a fleet that starts all at once would open its links to the same
    /// three agents, and their memory use would grow with the fleet.
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
        let interleaved =
            (0..depth).flat_map(|row| by_domain.values().filter_map(move |column| column.get(row)));
        interleaved
            .take(MAX_PROBES)
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
