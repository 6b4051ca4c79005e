//! Metrics of a process, in the text form that Prometheus reads.

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the buckets of every histogram, in seconds: from a hop over loopback to the
/// longest deadlines in use.
const BUCKETS_S: [f64; 16] =
    [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.9, 3.0, 5.0, 10.0, 30.0, 60.0, 300.0];
/// End of the name of every histogram.
const HISTOGRAM_SUFFIX: &str = "_seconds";

/// The metrics of this process.
#[derive(Clone)]
pub struct Exposition(PrometheusHandle);

impl Exposition {
    /// Makes the process record its metrics.
    ///
    /// # Errors
    ///
    /// When a recorder has been installed before.
    pub fn install() -> Result<Self, ExpositionError> {
        builder()?.install_recorder().map(Self).map_err(|error| ExpositionError(error.to_string()))
    }

    /// Records nothing for the process; renders an empty page. For several programs in one process.
    #[must_use]
    pub fn detached() -> Self {
        Self(PrometheusBuilder::new().build_recorder().handle())
    }

    /// Writes every metric as text.
    #[must_use]
    pub fn render(&self) -> String {
        self.0.run_upkeep();
        self.0.render()
    }
}

fn builder() -> Result<PrometheusBuilder, ExpositionError> {
    let matcher = Matcher::Suffix(HISTOGRAM_SUFFIX.to_owned());
    PrometheusBuilder::new()
        .set_buckets_for_metric(matcher, &BUCKETS_S)
        .map_err(|error| ExpositionError(error.to_string()))
}

/// Kinds of metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Only grows while the process lives.
    Counter,
    /// A value at one moment.
    Gauge,
    /// Observations in buckets.
    Histogram,
}

impl MetricKind {
    /// The word that Prometheus uses.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// One metric that a program registers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricName {
    /// Its name.
    pub name: String,
    /// Its kind.
    pub kind: MetricKind,
}

impl MetricName {
    /// Names a metric.
    #[must_use]
    pub fn new(name: &str, kind: MetricKind) -> Self {
        Self { name: name.to_owned(), kind }
    }
}

/// Metrics could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("metrics cannot be set up: {0}")]
pub struct ExpositionError(String);
