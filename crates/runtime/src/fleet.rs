//! A table of the other processes of the fleet, with the time of the last report from each.
//!
//! The table sends no requests of its own: it is filled from the platform's instance list and from
//! the stamps that hellos, announcements and heartbeats contain anyway. A process that has stopped
//! sends no notice, so whatever displays an entry has to display its age as well.

use hickorycross_config::{FailureDomainId, ModelGroupId, Stamp};
use hickorycross_core::{Incarnation, Instance, InstanceId, InstanceState, LinkId, Role, UnixMs};
use hickorycross_protocol::Hello;
use indexmap::IndexMap;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// Maximum number of step-time skew samples that are kept for a group.
pub const MAX_SKEW_SAMPLES: usize = 120;

/// A process that the platform lists or that has sent a report on a link.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Process {
    /// Its row in the platform's instance list; none if the latest list does not contain it.
    pub listed: Option<InstanceListing>,
    /// Its latest report; none before the first.
    #[serde(rename = "heard")]
    pub last_report: Option<LastReport>,
}

/// A row of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct InstanceListing {
    /// The role of the instance.
    pub role: Role,
    /// The failure domain of the instance.
    pub failure_domain: FailureDomainId,
    /// Whether the instance is live or leaving.
    pub state: InstanceState,
    /// Time at which the list was received.
    pub at: UnixMs,
}

/// The latest report that a process sent on a link.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LastReport {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The stamp of the document in force there.
    pub stamp: Stamp,
    /// Time at which the report was received.
    pub at: UnixMs,
}

/// The step-time skew of one group over a window of steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct SkewSample {
    /// Time at which the measurement was reported.
    pub at: UnixMs,
    /// Mean spread between the slowest and the fastest rank, in microseconds.
    pub skew_us: u64,
}

/// A copy of the table at one moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetSnapshot {
    /// Every process that is listed or has sent a report.
    pub processes: IndexMap<InstanceId, Process>,
    /// Samples of skew by group, oldest first.
    pub skew: IndexMap<ModelGroupId, VecDeque<SkewSample>>,
}

/// The table of processes, shared between the driver, which updates it, and the console's pages,
/// which display it.
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
    /// Takes the platform's instance list and removes processes that are neither listed nor
    /// connected by a link.
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

    /// Records the process at the other end of a new link, and the stamp in its hello.
    pub fn link_opened(&self, at: UnixMs, link: LinkId, hello: &Hello) {
        let peer = Peer { instance: hello.instance.clone(), incarnation: hello.incarnation };
        let mut table = self.lock();
        table.links.insert(link, peer);
        table.record_stamp(at, link, hello.stamp);
    }

    /// Records the stamp of the document in force at the other end of a link; does nothing for an
    /// unknown link.
    pub fn record_stamp(&self, at: UnixMs, link: LinkId, stamp: Stamp) {
        self.lock().record_stamp(at, link, stamp);
    }

    /// Removes a link that has ended. The last report of its process stays while the process is
    /// listed.
    pub fn link_closed(&self, link: LinkId) {
        let mut table = self.lock();
        table.links.swap_remove(&link);
        table.remove_departed();
    }

    /// Records a sample of a group's skew; the oldest one is dropped at [`MAX_SKEW_SAMPLES`].
    pub fn record_skew(&self, group: &ModelGroupId, sample: SkewSample) {
        let mut table = self.lock();
        let samples = table.snapshot.skew.entry(group.clone()).or_default();
        if samples.len() == MAX_SKEW_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(sample);
    }

    /// Returns a copy of the table.
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

    /// Removes processes that are neither listed nor connected by a link.
    ///
    /// Instances are continually replaced by ones with new names. If none were removed, the table
    /// and the memory of the process would grow without bound.
    fn remove_departed(&mut self) {
        let Self { snapshot, links } = self;
        snapshot.processes.retain(|instance, process| {
            process.listed.is_some() || links.values().any(|peer| peer.instance == *instance)
        });
    }
}
