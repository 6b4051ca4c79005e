//! The entry's state of one backend server.

use crate::health::{HealthPolicy, Signal, Standing};
use crate::ids::InstanceId;
use crate::time::Now;
use hickorycross_config::{BackendServer, FailureDomainId, RegionId};

/// A backend server of the document in force.
pub(super) struct Backend {
    pub(super) failure_domain: FailureDomainId,
    pub(super) region: Option<RegionId>,
    pub(super) slots: u32,
    pub(super) health: Box<dyn HealthPolicy>,
    /// Whether its circuit was open when last checked.
    pub(super) circuit_open: bool,
    /// Whether its agent last reported that the backend server does not respond.
    pub(super) reported_down: bool,
    /// The instance to which new attempts are sent, if any accepts them.
    pub(super) instance: Option<InstanceId>,
    /// The latest signal of a failure, recorded as the reason when the circuit opens.
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

    /// Takes over the settings of another document.
    pub(super) fn update(&mut self, server: &BackendServer, region: Option<RegionId>) {
        self.failure_domain = server.failure_domain.clone();
        self.region = region;
        self.slots = server.slots;
    }

    /// Passes a signal to the health policy.
    pub(super) fn signal(&mut self, now: Now, signal: Signal) {
        if !matches!(signal, Signal::Answered | Signal::Acknowledged | Signal::BackendUp) {
            self.last_fault = Some(signal);
        }
        self.health.signal(now, signal);
    }

    /// Returns whether the circuit is open.
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
