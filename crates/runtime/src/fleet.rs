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
pub const KEPT_SKEW_SAMPLES: usize = 120;

/// A process that the platform lists or that was heard of.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Process {
    /// What the platform's list says; none once it no longer names the instance.
    pub listed: Option<Listed>,
    /// What the process said of itself; none before its first word.
    pub heard: Option<Heard>,
}

/// A row of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Listed {
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
pub struct Heard {
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
    known: FleetSnapshot,
    links: IndexMap<LinkId, Speaker>,
}

#[derive(Clone, Debug)]
struct Speaker {
    instance: InstanceId,
    incarnation: Incarnation,
}

impl Fleet {
    /// Takes the platform's list in; forgets who is neither listed nor linked.
    pub fn listed(&self, at: UnixMs, instances: &[Instance]) {
        let mut table = self.lock();
        for process in table.known.processes.values_mut() {
            process.listed = None;
        }
        for instance in instances {
            let process = table.known.processes.entry(instance.id.clone()).or_default();
            process.listed = Some(Listed {
                role: instance.role.clone(),
                failure_domain: instance.failure_domain.clone(),
                state: instance.state,
                at,
            });
        }
        table.forget();
    }

    /// Learns who is at the other end of a link.
    pub fn greeted(&self, at: UnixMs, link: LinkId, hello: &Hello) {
        let speaker = Speaker { instance: hello.instance.clone(), incarnation: hello.incarnation };
        let mut table = self.lock();
        table.links.insert(link, speaker);
        table.hear(at, link, hello.stamp);
    }

    /// Learns what the other end of a link holds.
    pub fn heard(&self, at: UnixMs, link: LinkId, stamp: Stamp) {
        self.lock().hear(at, link, stamp);
    }

    /// Learns that a link has ended; what was heard on it stays, and ages.
    pub fn closed(&self, link: LinkId) {
        let mut table = self.lock();
        table.links.swap_remove(&link);
        table.forget();
    }

    /// Takes a group's skew in.
    pub fn skew(&self, group: &ModelGroupId, sample: SkewSample) {
        let mut table = self.lock();
        let samples = table.known.skew.entry(group.clone()).or_default();
        if samples.len() == KEPT_SKEW_SAMPLES {
            samples.pop_front();
        }
        samples.push_back(sample);
    }

    /// Copies what is known.
    #[must_use]
    pub fn snapshot(&self) -> FleetSnapshot {
        self.lock().known.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Table> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    fn hear(&mut self, at: UnixMs, link: LinkId, stamp: Stamp) {
        let Some(speaker) = self.links.get(&link) else { return };
        let process = self.known.processes.entry(speaker.instance.clone()).or_default();
        process.heard = Some(Heard { incarnation: speaker.incarnation, stamp, at });
    }

    /// Drops who is neither listed nor at the end of a link.
    ///
    /// Instances are replaced all day under new names: kept for good, the table would grow without
    /// bound; one would see memory rise with the age of the process.
    fn forget(&mut self) {
        let Self { known, links } = self;
        known.processes.retain(|instance, process| {
            process.listed.is_some() || links.values().any(|speaker| speaker.instance == *instance)
        });
    }
}
