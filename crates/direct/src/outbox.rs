//! Queues of reports that wait to be pushed to peers.

use crate::exchange_messages::AgedBackendReport;
use crate::gossip::GossipReport;
use hickorycross_core::direct::{BootMs, PartReport};
use std::cell::RefCell;
use std::collections::VecDeque;
use tokio::sync::Notify;

/// Number of rounds in which one entry pushes a report.
const ROUNDS_PER_REPORT: u32 = 2;

/// Maximum number of reports of one kind in one message. Together with the interval, this bounds
/// the network load when many backend servers end at once.
const MAX_REPORTS_PER_MESSAGE: usize = 24;

/// The same for reports of agents about backend servers, about 14 bytes each. An agent that leads a
/// large group may report a tenth of its ranks at once.
const MAX_BACKEND_REPORTS_PER_MESSAGE: usize = 80;

/// Maximum number of queued reports of one kind. Entries that miss the others fetch them with their
/// next request to a peer.
const MAX_QUEUED: usize = 256;

/// A report with an age, which increases while it is queued.
pub(crate) trait Aged: Clone {
    /// Returns the report with its age increased by `span_ms`.
    fn aged(self, span_ms: u64) -> Self;
}

impl Aged for PartReport {
    fn aged(self, span_ms: u64) -> Self {
        Self { age_ms: self.age_ms.saturating_add(span_ms), ..self }
    }
}

impl Aged for AgedBackendReport {
    fn aged(self, span_ms: u64) -> Self {
        Self { age_ms: self.age_ms.saturating_add(span_ms), ..self }
    }
}

/// The reports of one round.
#[derive(Clone, Debug, Default)]
pub(crate) struct Round {
    pub(crate) reports: Vec<GossipReport>,
    pub(crate) part_reports: Vec<PartReport>,
    pub(crate) backend_reports: Vec<AgedBackendReport>,
}

impl Round {
    /// Returns whether there is nothing to push.
    pub(crate) fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.part_reports.is_empty() && self.backend_reports.is_empty()
    }
}

/// Reports to push to peers.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    reports: RefCell<Queue<GossipReport>>,
    part_reports: RefCell<Queue<PartReport>>,
    backend_reports: RefCell<Queue<AgedBackendReport>>,
    filled: Notify,
}

impl Outbox {
    /// Appends a report. If the queue is full, the oldest one is dropped.
    pub(crate) fn add(&self, report: GossipReport, now: BootMs) {
        self.reports.borrow_mut().add(report, now);
        self.filled.notify_one();
    }

    /// Appends a report about a part of prompts. If the queue is full, the oldest one is dropped.
    pub(crate) fn add_part(&self, report: PartReport, now: BootMs) {
        self.part_reports.borrow_mut().add(report, now);
        self.filled.notify_one();
    }

    /// Appends a report about a backend server. If the queue is full, the oldest one is dropped.
    pub(crate) fn add_backend(&self, report: AgedBackendReport, now: BootMs) {
        self.backend_reports.borrow_mut().add(report, now);
        self.filled.notify_one();
    }

    /// Returns the reports of the next round with their present age.
    pub(crate) fn next_round(&self, now: BootMs) -> Round {
        Round {
            reports: self.reports.borrow_mut().next_round(MAX_REPORTS_PER_MESSAGE, now),
            part_reports: self.part_reports.borrow_mut().next_round(MAX_REPORTS_PER_MESSAGE, now),
            backend_reports: self
                .backend_reports
                .borrow_mut()
                .next_round(MAX_BACKEND_REPORTS_PER_MESSAGE, now),
        }
    }

    /// Waits until a report is added.
    pub(crate) async fn filled(&self) {
        self.filled.notified().await;
    }
}

/// A queue of reports of one kind.
#[derive(Debug)]
struct Queue<R>(VecDeque<Outgoing<R>>);

/// A queued report.
#[derive(Debug)]
struct Outgoing<R> {
    report: R,
    noted_at: BootMs,
    rounds_left: u32,
}

impl<R> Default for Queue<R> {
    fn default() -> Self {
        Self(VecDeque::new())
    }
}

impl<R: Aged> Queue<R> {
    fn add(&mut self, report: R, now: BootMs) {
        if self.0.len() >= MAX_QUEUED {
            self.0.pop_front();
        }
        self.0.push_back(Outgoing { report, noted_at: now, rounds_left: ROUNDS_PER_REPORT });
    }

    fn next_round(&mut self, max: usize, now: BootMs) -> Vec<R> {
        let count = self.0.len().min(max);
        let mut reports = Vec::with_capacity(count);
        for mut outgoing in self.0.drain(..count).collect::<Vec<_>>() {
            reports.push(outgoing.report.clone().aged(now.since(outgoing.noted_at)));
            outgoing.rounds_left -= 1;
            if outgoing.rounds_left > 0 {
                self.0.push_back(outgoing);
            }
        }
        reports
    }
}
