//! Exports the core's counters and state as metrics, which docs/METRICS.md lists.

use hickorycross_config::Document;
use hickorycross_core::agent::{AgentCounters, AgentSnapshot};
use hickorycross_core::{InstanceId, Now, UnixMs};
use hickorycross_runtime::exposition::{MetricKind, MetricName};
use hickorycross_runtime::operators::Status;

/// Prefix of the names of all metrics of an agent.
const PREFIX: &str = "hickorycross_agent_";
/// Interval between two exports.
const EXPORT_INTERVAL_MS: u64 = 1_000;
const LINKS: &str = "hickorycross_agent_links";
const RUNNING: &str = "hickorycross_agent_running_requests";
const SLOTS: &str = "hickorycross_agent_slots";
const QUEUED: &str = "hickorycross_agent_queued_requests";
const RETAINED: &str = "hickorycross_agent_retained_bytes";
const KEYS: &str = "hickorycross_agent_idempotency_keys";
const REVISION: &str = "hickorycross_agent_document_revision";
const REFUSED_REVISION: &str = "hickorycross_agent_refused_document_revision";
const WALL_OFFSET: &str = "hickorycross_agent_wall_clock_offset_milliseconds";
const READY: &str = "hickorycross_agent_ready";
const GAUGES: [&str; 10] =
    [LINKS, RUNNING, SLOTS, QUEUED, RETAINED, KEYS, REVISION, REFUSED_REVISION, WALL_OFFSET, READY];

/// Returns the name and kind of every metric that an agent exports.
#[must_use]
pub fn metric_names() -> Vec<MetricName> {
    let counters = AgentCounters::default().rows();
    let counters =
        counters.iter().map(|row| MetricName::new(&counter_name(row.name), MetricKind::Counter));
    let gauges = GAUGES.iter().map(|name| MetricName::new(name, MetricKind::Gauge));
    counters.chain(gauges).collect()
}

/// Exports the metrics of an agent once a second.
#[derive(Debug)]
pub(crate) struct MetricsExporter {
    process: String,
    next_export_at: UnixMs,
    /// Ranks of the tiers of all documents so far. The queue gauge of each is exported even when it
    /// is zero.
    tier_ranks: Vec<u8>,
}

impl MetricsExporter {
    /// Creates an exporter that labels its metrics with `instance`.
    ///
    /// The label distinguishes several agents that share one recorder in the same process.
    pub(crate) fn new(instance: &InstanceId) -> Self {
        Self { process: instance.to_string(), next_export_at: UnixMs(0), tier_ranks: Vec::new() }
    }

    /// Adds the tiers of a document to those whose queues are exported.
    pub(crate) fn add_tiers(&mut self, document: &Document) {
        for tier in &document.tiers {
            if !self.tier_ranks.contains(&tier.rank) {
                self.tier_ranks.push(tier.rank);
            }
        }
    }

    /// Returns whether an export is due and, if so, schedules the next one.
    pub(crate) fn is_due(&mut self, now: Now) -> bool {
        let is_due = self.next_export_at.is_past(now);
        if is_due {
            self.next_export_at = now.after(EXPORT_INTERVAL_MS);
        }
        is_due
    }

    /// Exports all counters and gauges.
    pub(crate) fn export(
        &self,
        counters: &AgentCounters,
        snapshot: &AgentSnapshot,
        status: &Status,
    ) {
        for row in counters.rows() {
            metrics::counter!(counter_name(row.name), "process" => self.process.clone())
                .absolute(row.value);
        }
        self.set_queue_gauges(snapshot);
        self.set_gauge(LINKS, f64::from(snapshot.links));
        self.set_gauge(RUNNING, f64::from(snapshot.load.running));
        self.set_gauge(SLOTS, f64::from(snapshot.load.slots));
        self.set_gauge(RETAINED, snapshot.retained_bytes as f64);
        self.set_gauge(KEYS, snapshot.keys as f64);
        self.set_gauge(REVISION, status.stamp.revision as f64);
        let refused = status.refused.map_or(0, |stamp| stamp.revision);
        self.set_gauge(REFUSED_REVISION, refused as f64);
        self.set_gauge(WALL_OFFSET, status.wall_offset_ms as f64);
        self.set_gauge(READY, if status.ready && !status.draining { 1.0 } else { 0.0 });
    }

    fn set_gauge(&self, name: &'static str, value: f64) {
        metrics::gauge!(name, "process" => self.process.clone()).set(value);
    }

    fn set_queue_gauges(&self, snapshot: &AgentSnapshot) {
        let waiting = &snapshot.load.waiting;
        for rank in &self.tier_ranks {
            let found = waiting.iter().find(|row| row.rank == *rank);
            let count = found.map_or(0, |row| row.requests);
            let process = self.process.clone();
            metrics::gauge!(QUEUED, "process" => process, "tier_rank" => rank.to_string())
                .set(f64::from(count));
        }
    }
}

fn counter_name(field: &str) -> String {
    format!("{PREFIX}{field}_total")
}
