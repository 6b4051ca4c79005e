//! The metrics of a process, in the text format of Prometheus.

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the buckets of every histogram, in seconds. They range from a hop over loopback
/// to the longest deadlines in use.
const BUCKETS_S: [f64; 16] =
    [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.9, 3.0, 5.0, 10.0, 30.0, 60.0, 300.0];
/// Suffix of the name of every histogram.
const HISTOGRAM_SUFFIX: &str = "_seconds";

/// A handle that renders the recorded metrics.
#[derive(Clone)]
pub struct Exposition(PrometheusHandle);

impl Exposition {
    /// Installs the recorder for the metrics of the whole process.
    ///
    /// # Errors
    ///
    /// If a recorder has already been installed.
    pub fn install() -> Result<Self, ExpositionError> {
        builder()?.install_recorder().map(Self).map_err(|error| ExpositionError(error.to_string()))
    }

    /// Creates a handle that records nothing and renders an empty page, for several programs in one
    /// process.
    #[must_use]
    pub fn detached() -> Self {
        Self(PrometheusBuilder::new().build_recorder().handle())
    }

    /// Returns every metric as text.
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

/// The kind of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A value that only increases while the process runs.
    Counter,
    /// A value that may increase and decrease.
    Gauge,
    /// Observations counted in buckets.
    Histogram,
}

impl MetricKind {
    /// Returns the name of the kind in Prometheus.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// The name and kind of a metric that a program registers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricName {
    /// Name of the metric.
    pub name: String,
    /// Kind of the metric.
    pub kind: MetricKind,
}

impl MetricName {
    /// Creates the description of a metric.
    #[must_use]
    pub fn new(name: &str, kind: MetricKind) -> Self {
        Self { name: name.to_owned(), kind }
    }
}

/// The error when the recorder of metrics cannot be set up.
#[derive(Debug, thiserror::Error)]
#[error("metrics cannot be set up: {0}")]
pub struct ExpositionError(String);
