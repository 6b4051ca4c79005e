//! Metrics of a process, in the text form that Prometheus reads.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

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
        PrometheusBuilder::new()
            .install_recorder()
            .map(Self)
            .map_err(|error| ExpositionError(error.to_string()))
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

/// Metrics could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("metrics cannot be set up: {0}")]
pub struct ExpositionError(String);
