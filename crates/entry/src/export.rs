//! Exports the core's counters and state as metrics of the process. docs/METRICS.md lists them.

use hickorycross_config::{Document, TierId};
use hickorycross_core::entry::{EntryCounters, EntrySnapshot, LinkUsage};
use hickorycross_core::{InstanceId, Now, UnixMs};
use hickorycross_runtime::exposition::{MetricKind, MetricName};
use hickorycross_runtime::operators::Status;

/// Prefix of the names of all metrics of an entry.
const PREFIX: &str = "hickorycross_entry_";
/// Interval between two exports.
const EXPORT_INTERVAL_MS: u64 = 1_000;
/// Time from arrival to the first chunk, by tier.
pub(crate) const FIRST_CHUNK_SECONDS: &str = "hickorycross_entry_first_chunk_seconds";
/// Time from arrival to the end of the answer, by tier and outcome.
pub(crate) const ANSWER_SECONDS: &str = "hickorycross_entry_answer_seconds";
const LINKS: &str = "hickorycross_entry_links";
const IN_FLIGHT: &str = "hickorycross_entry_in_flight_requests";
const WAITING: &str = "hickorycross_entry_waiting_requests";
const REVISION: &str = "hickorycross_entry_document_revision";
const REFUSED_REVISION: &str = "hickorycross_entry_refused_document_revision";
const WALL_CLOCK_OFFSET: &str = "hickorycross_entry_wall_clock_offset_milliseconds";
const READY: &str = "hickorycross_entry_ready";
const GAUGES: [&str; 7] =
    [LINKS, IN_FLIGHT, WAITING, REVISION, REFUSED_REVISION, WALL_CLOCK_OFFSET, READY];
const HISTOGRAMS: [&str; 2] = [FIRST_CHUNK_SECONDS, ANSWER_SECONDS];
/// All states of a link. Each has a gauge, which shows zero while no link is in that state.
const USAGES: [LinkUsage; 3] = [LinkUsage::Opening, LinkUsage::Active, LinkUsage::Suspect];

/// Returns the name and kind of every metric that an entry registers.
#[must_use]
pub fn metric_names() -> Vec<MetricName> {
    let counters = counter_values(&EntryCounters::default());
    let counters =
        counters.iter().map(|(name, _)| MetricName::new(&counter_name(name), MetricKind::Counter));
    let gauges = GAUGES.iter().map(|name| MetricName::new(name, MetricKind::Gauge));
    let histograms = HISTOGRAMS.iter().map(|name| MetricName::new(name, MetricKind::Histogram));
    counters.chain(gauges).chain(histograms).collect()
}

/// Exports the metrics of an entry at a fixed interval.
#[derive(Debug)]
pub(crate) struct MetricsExporter {
    process: String,
    next_export_at: UnixMs,
    /// Tiers of all documents so far. Those without requests in flight are exported as zero.
    tiers: Vec<TierId>,
}

impl MetricsExporter {
    /// Creates an exporter. The instance id becomes the label `process`, which distinguishes the
    /// processes that share one metrics recorder.
    pub(crate) fn new(instance: &InstanceId) -> Self {
        Self { process: instance.to_string(), next_export_at: UnixMs(0), tiers: Vec::new() }
    }

    /// Adds the tiers of a document to those that are exported.
    pub(crate) fn add_tiers(&mut self, document: &Document) {
        for tier in &document.tiers {
            if !self.tiers.contains(&tier.id) {
                self.tiers.push(tier.id.clone());
            }
        }
    }

    /// Returns whether an export is due and, if so, schedules the next one.
    pub(crate) fn start_if_due(&mut self, now: Now) -> bool {
        let is_due = self.next_export_at.is_past(now);
        if is_due {
            self.next_export_at = now.after(EXPORT_INTERVAL_MS);
        }
        is_due
    }

    /// Sets all counters and gauges to the given state.
    pub(crate) fn export(
        &self,
        counters: &EntryCounters,
        snapshot: &EntrySnapshot,
        status: &Status,
    ) {
        for (name, value) in counter_values(counters) {
            metrics::counter!(counter_name(&name), "process" => self.process.clone())
                .absolute(value);
        }
        self.export_links(snapshot);
        self.export_in_flight(snapshot);
        self.set_gauge(WAITING, f64::from(snapshot.waiting));
        self.set_gauge(REVISION, status.stamp.revision as f64);
        let refused = status.refused.map_or(0, |stamp| stamp.revision);
        self.set_gauge(REFUSED_REVISION, refused as f64);
        self.set_gauge(WALL_CLOCK_OFFSET, status.wall_offset_ms as f64);
        self.set_gauge(READY, if status.ready && !status.draining { 1.0 } else { 0.0 });
    }

    fn set_gauge(&self, name: &'static str, value: f64) {
        metrics::gauge!(name, "process" => self.process.clone()).set(value);
    }

    fn export_links(&self, snapshot: &EntrySnapshot) {
        for usage in USAGES {
            let count = snapshot.links.iter().filter(|link| link.usage == usage).count();
            let process = self.process.clone();
            metrics::gauge!(LINKS, "process" => process, "usage" => usage_name(usage))
                .set(count as f64);
        }
    }

    fn export_in_flight(&self, snapshot: &EntrySnapshot) {
        for tier in &self.tiers {
            let count = snapshot.in_flight.get(tier).copied().unwrap_or_default();
            let process = self.process.clone();
            metrics::gauge!(IN_FLIGHT, "process" => process, "tier" => tier.to_string())
                .set(f64::from(count));
        }
    }
}

const fn usage_name(usage: LinkUsage) -> &'static str {
    match usage {
        LinkUsage::Opening => "opening",
        LinkUsage::Active => "active",
        LinkUsage::Suspect => "suspect",
    }
}

fn counter_name(field: &str) -> String {
    format!("{PREFIX}{field}_total")
}

/// Returns the counters with the names of their fields.
fn counter_values(counters: &EntryCounters) -> Vec<(String, u64)> {
    let value = serde_json::to_value(counters).unwrap_or_default();
    let fields = value.as_object().into_iter().flatten();
    fields.filter_map(|(name, value)| Some((name.clone(), value.as_u64()?))).collect()
}
