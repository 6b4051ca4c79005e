//! What a process has heard of the other processes of its fleet, with the moment of hearing.
//!
//! Nothing is asked for on purpose: greetings, announcements and heartbeats carry a stamp anyway.
//! Whoever shows this must show its age, because a process that has gone says nothing of it.

use hickorycross_config::{FailureDomainId, ModelGroupId, Stamp};
use hickorycross_core::{Incarnation, Instance, InstanceId, InstanceState, LinkId, Role, UnixMs};
use hickorycross_protocol::Hello;
use indexmap::IndexMap;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// Samples of step-time skew that are kept for a group.
pub const MAX_SKEW_SAMPLES: usize = 120;

/// A process that the platform lists or that was heard of.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Process {
    /// What the platform's list says; none once it no longer names the instance.
    pub listed: Option<InstanceListing>,
    /// What the process said of itself; none before its first word.
    #[serde(rename = "heard")]
    pub last_report: Option<LastReport>,
}

/// A row of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct InstanceListing {
    /// What the instance is for.
    pub role: Role,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
    /// Whether it is leaving.
    pub state: InstanceState,
    /// When the list came.
    pub at: UnixMs,
}

/// The latest word of a process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LastReport {
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The document that it held.
    pub stamp: Stamp,
    /// When it was heard.
    pub at: UnixMs,
}

/// Step-time skew of one group over a window of steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct SkewSample {
    /// When the report came.
    pub at: UnixMs,
    /// Mean spread between the slowest and the fastest rank, in microseconds.
    pub skew_us: u64,
}

/// A copy of what is known, for one page.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetSnapshot {
    /// Every listed or heard process.
    pub processes: IndexMap<InstanceId, Process>,
    /// Skew by group, oldest first.
    pub skew: IndexMap<ModelGroupId, VecDeque<SkewSample>>,
}

/// What was heard, shared between the driver and the pages.
#[derive(Debug, Default)]
pub struct Fleet(Mutex<Table>);

#[derive(Debug, Default)]
struct Table {
    snapshot: FleetSnapshot,
    links: IndexMap<LinkId, Peer>,
}

#[derive(Clone, Debug)]
struct Peer {
    instance: InstanceId,
    incarnation: Incarnation,
}

impl Fleet {
    /// Takes the platform's list in; forgets who is neither listed nor linked.
    pub fn update_instances(&self, at: UnixMs, instances: &[Instance]) {
        let mut table = self.lock();
        for process in table.snapshot.processes.values_mut() {
            process.listed = None;
        }
        for instance in instances {
            let process = table.snapshot.processes.entry(instance.id.clone()).or_default();
            process.listed = Some(InstanceListing {
                role: instance.role.clone(),
                failure_domain: instance.failure_domain.clone(),
                state: instance.state,
                at,
            });
        }
        table.remove_departed();
    }

    /// Learns who is at the other end of a link.
    pub fn link_opened(&self, at: UnixMs, link: LinkId, hello: &Hello) {
        let peer = Peer { instance: hello.instance.clone(), incarnation: hello.incarnation };
        let mut table = self.lock();
        table.links.insert(link, peer);
        table.record_stamp(at, link, hello.stamp);
    }

    /// Learns what the other end of a link holds.
    pub fn record_stamp(&self, at: UnixMs, link: LinkId, stamp: Stamp) {
        self.lock().record_stamp(at, link, stamp);
    }

    /// Learns that a link has ended; what was heard on it stays, and ages.
    pub fn link_closed(&self, link: LinkId) {
        let mut table = self.lock();
        table.links.swap_remove(&link);
        table.remove_departed();
    }

    /// Takes a group's skew in.
    pub fn record_skew(&self, group: &ModelGroupId, sample: SkewSample) {
        let mut table = self.lock();
        let samples = table.snapshot.skew.entry(group.clone()).or_default();
        if samples.len() == MAX_SKEW_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(sample);
    }

    /// Copies what is known.
    #[must_use]
    pub fn snapshot(&self) -> FleetSnapshot {
        self.lock().snapshot.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Table> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    fn record_stamp(&mut self, at: UnixMs, link: LinkId, stamp: Stamp) {
        let Some(peer) = self.links.get(&link) else { return };
        let process = self.snapshot.processes.entry(peer.instance.clone()).or_default();
        process.last_report = Some(LastReport { incarnation: peer.incarnation, stamp, at });
    }

    /// Drops who is neither listed nor at the end of a link.
    ///
    /// Instances are replaced all day under new names: kept for good, the table would grow without
    /// bound; one would see memory rise with the age of the process.
    fn remove_departed(&mut self) {
        let Self { snapshot, links } = self;
        snapshot.processes.retain(|instance, process| {
            process.listed.is_some() || links.values().any(|peer| peer.instance == *instance)
        });
    }
}
