//! Hands the core's counts and state to the metrics of the process. docs/METRICS.md lists them.

use hickorycross_config::Document;
use hickorycross_core::agent::{AgentCounters, AgentSnapshot};
use hickorycross_core::{InstanceId, Now, UnixMs};
use hickorycross_runtime::exposition::{MetricKind, MetricName};
use hickorycross_runtime::operators::Status;

/// Begins the name of every metric of an agent.
const PREFIX: &str = "hickorycross_agent_";
/// Time between two exports.
const PAUSE_MS: u64 = 1_000;
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

/// Every metric that an agent registers.
#[must_use]
pub fn metric_names() -> Vec<MetricName> {
    let counters = AgentCounters::default().rows();
    let counters =
        counters.iter().map(|row| MetricName::new(&counter_name(row.name), MetricKind::Counter));
    let gauges = GAUGES.iter().map(|name| MetricName::new(name, MetricKind::Gauge));
    counters.chain(gauges).collect()
}

/// Exports once a second.
#[derive(Debug)]
pub(crate) struct Export {
    process: String,
    due: UnixMs,
    /// Ranks of the tiers of every document so far: a gauge shows zero where nothing waits.
    ranks: Vec<u8>,
}

impl Export {
    /// `instance` tells the processes of one recorder apart.
    pub(crate) fn new(instance: &InstanceId) -> Self {
        Self { process: instance.to_string(), due: UnixMs(0), ranks: Vec::new() }
    }

    /// Learns the tiers of a document.
    pub(crate) fn adopt(&mut self, document: &Document) {
        for tier in &document.tiers {
            if !self.ranks.contains(&tier.rank) {
                self.ranks.push(tier.rank);
            }
        }
    }

    /// Whether an export is due; it is then due again later.
    pub(crate) fn is_due(&mut self, now: Now) -> bool {
        let is_due = self.due.is_past(now);
        if is_due {
            self.due = now.after(PAUSE_MS);
        }
        is_due
    }

    /// Hands everything on.
    pub(crate) fn run(&self, counters: &AgentCounters, snapshot: &AgentSnapshot, status: &Status) {
        for row in counters.rows() {
            metrics::counter!(counter_name(row.name), "process" => self.process.clone())
                .absolute(row.value);
        }
        self.queued(snapshot);
        self.gauge(LINKS, f64::from(snapshot.links));
        self.gauge(RUNNING, f64::from(snapshot.load.running));
        self.gauge(SLOTS, f64::from(snapshot.load.slots));
        self.gauge(RETAINED, snapshot.retained_bytes as f64);
        self.gauge(KEYS, snapshot.keys as f64);
        self.gauge(REVISION, status.stamp.revision as f64);
        let refused = status.refused.map_or(0, |stamp| stamp.revision);
        self.gauge(REFUSED_REVISION, refused as f64);
        self.gauge(WALL_OFFSET, status.wall_offset_ms as f64);
        self.gauge(READY, if status.ready && !status.draining { 1.0 } else { 0.0 });
    }

    fn gauge(&self, name: &'static str, value: f64) {
        metrics::gauge!(name, "process" => self.process.clone()).set(value);
    }

    fn queued(&self, snapshot: &AgentSnapshot) {
        let waiting = &snapshot.load.waiting;
        for rank in &self.ranks {
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
