//! What an entry of the fake fleet knows of one backend server.

use super::fleet::{SLOTS, backend_id, domain_id, domain_of};
use hickorycross_config::{BackendServerId, FailureDomainId};
use hickorycross_core::health::{HealthPolicy, Signal, Standing};
use hickorycross_core::message::Load;
use hickorycross_core::routing::Candidate;
use hickorycross_core::{Now, UnixMs};

/// Time from one heartbeat to the next.
const HEARTBEAT_MS: u64 = 1000;

/// Time within which a heartbeat must be answered.
pub(crate) const ACK_MS: u64 = 100;

/// Time without any message after which open attempts are taken for lost: three heartbeats.
const SILENT_MS: u64 = 3000;

/// One backend server as one entry sees it.
pub(crate) struct Link {
    id: BackendServerId,
    failure_domain: FailureDomainId,
    pub(crate) health: Box<dyn HealthPolicy>,
    /// Its agent said that it takes nothing new.
    pub(crate) leaving: bool,
    incarnation: u64,
    load: Option<Load>,
    load_received: UnixMs,
    pub(crate) outstanding: u32,
    sent: Vec<u64>,
    heartbeat_due_ms: u64,
    ack_by_ms: Option<u64>,
    silent_from_ms: u64,
}

impl Link {
    /// A link without any report yet.
    ///
    /// Heartbeats of different links begin at different moments, as they do in a real fleet.
    pub(crate) fn new(
        now: Now,
        entry: usize,
        backend: usize,
        incarnation: u64,
        health: Box<dyn HealthPolicy>,
    ) -> Self {
        Self {
            id: backend_id(backend),
            failure_domain: domain_id(domain_of(backend)),
            health,
            leaving: false,
            incarnation,
            load: None,
            load_received: UnixMs(0),
            outstanding: 0,
            sent: Vec::new(),
            heartbeat_due_ms: now.unix_ms.0 + (entry * 389 + backend * 83) as u64 % HEARTBEAT_MS,
            ack_by_ms: None,
            silent_from_ms: u64::MAX,
        }
    }

    /// Its name.
    pub(crate) const fn id(&self) -> &BackendServerId {
        &self.id
    }

    /// A message came: the link works.
    pub(crate) fn heard(&mut self, now: Now, incarnation: u64) {
        self.ack_by_ms = None;
        self.silent_from_ms = now.unix_ms.0 + SILENT_MS;
        if incarnation != self.incarnation {
            self.incarnation = incarnation;
            self.leaving = false;
            self.health.signal(now, Signal::Restarted);
        }
        self.health.signal(now, Signal::Acknowledged);
    }

    /// Takes a load report.
    pub(crate) fn report(&mut self, now: Now, load: Load) {
        self.sent.retain(|sent_ms| *sent_ms >= load.sampled.0);
        self.load_received = now.unix_ms;
        self.load = Some(load);
    }

    /// Notes a sent attempt.
    pub(crate) fn sent(&mut self, now: Now) {
        self.outstanding += 1;
        self.sent.push(now.unix_ms.0);
    }

    /// Notes that an attempt is over.
    pub(crate) fn ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Judges an overdue answer; says whether a heartbeat must be sent now.
    pub(crate) fn tick(&mut self, now: Now) -> bool {
        let now_ms = now.unix_ms.0;
        if self.ack_by_ms.is_some_and(|ack_by_ms| ack_by_ms <= now_ms) {
            self.ack_by_ms = None;
            self.health.signal(now, Signal::Missed);
            self.heartbeat_due_ms = now_ms;
        }
        if now_ms < self.heartbeat_due_ms {
            return false;
        }
        self.heartbeat_due_ms = now_ms + HEARTBEAT_MS;
        self.ack_by_ms = Some(now_ms + ACK_MS);
        true
    }

    /// The view for the routing policy, if the link may be used now.
    pub(crate) fn candidate(&self, now: Now) -> Option<Candidate<'_>> {
        let Standing::Share(share_permille) = self.health.standing(now) else {
            return None;
        };
        if self.leaving || share_permille == 0 {
            return None;
        }
        Some(Candidate {
            backend_server: &self.id,
            failure_domain: &self.failure_domain,
            load: self.load.as_ref(),
            load_received: self.load_received,
            outstanding: self.outstanding,
            sent_since_report: self.sent.len() as u32,
            slots: SLOTS,
            share_permille,
        })
    }

    /// Whether nothing has been heard for so long that open attempts are taken for lost.
    pub(crate) const fn is_silent(&self, now: Now) -> bool {
        self.silent_from_ms <= now.unix_ms.0
    }

    /// Whether a request may go there as a probe.
    pub(crate) fn wants_probe(&self, now: Now) -> bool {
        !self.leaving && self.health.standing(now) == Standing::Probe
    }
}
