//! Rows of the backend server table.

use crate::health::{HealthPolicy, Signal, Standing};
use crate::ids::InstanceId;
use crate::time::Now;
use hickorycross_config::{BackendServer, FailureDomainId, RegionId};

/// One backend server of the document.
pub(super) struct Backend {
    pub(super) failure_domain: FailureDomainId,
    pub(super) region: Option<RegionId>,
    pub(super) slots: u32,
    pub(super) health: Box<dyn HealthPolicy>,
    /// Whether its circuit was open when last looked at.
    pub(super) circuit_open: bool,
    /// Whether its agent last said that the backend server does not answer.
    pub(super) reported_down: bool,
    /// The instance that gets its new work.
    pub(super) instance: Option<InstanceId>,
    /// What the circuit opened for.
    pub(super) last_fault: Option<Signal>,
}

impl Backend {
    pub(super) fn new(server: &BackendServer, health: Box<dyn HealthPolicy>) -> Self {
        Self {
            failure_domain: server.failure_domain.clone(),
            region: None,
            slots: server.slots,
            health,
            circuit_open: false,
            reported_down: false,
            instance: None,
            last_fault: None,
        }
    }

    /// Follows another document.
    pub(super) fn update(&mut self, server: &BackendServer, region: Option<RegionId>) {
        self.failure_domain = server.failure_domain.clone();
        self.region = region;
        self.slots = server.slots;
    }

    /// Passes a signal to its health policy.
    pub(super) fn signal(&mut self, now: Now, signal: Signal) {
        if !matches!(signal, Signal::Answered | Signal::Acknowledged | Signal::BackendUp) {
            self.last_fault = Some(signal);
        }
        self.health.signal(now, signal);
    }

    /// Whether its circuit is open now.
    pub(super) fn is_open(&self, now: Now) -> bool {
        self.health.standing(now) == Standing::Open
    }
}

impl std::fmt::Debug for Backend {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Backend")
            .field("instance", &self.instance)
            .field("circuit_open", &self.circuit_open)
            .finish_non_exhaustive()
    }
}
