//! What an entry is made of: its identity and its policies.

use crate::health::{CircuitBreaker, HealthPolicy, ReportedHealth};
use crate::ids::Incarnation;
use crate::limits::{SharedLimits, TeamLimiter, Unlimited};
use crate::retry::{FixedBudget, RetryBudget, TokenBudget};
use crate::routing::{LeastOutstanding, RoutingPolicy, TwoChoices};
use hickorycross_config::FailureDomainId;
use std::sync::atomic::{AtomicU64, Ordering};

/// Tries of a request under the baseline policies.
const BASELINE_ATTEMPTS: u16 = 3;

/// Who an entry is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryIdentity {
    /// Drawn at random when the process starts.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
}

/// Makes the health policy of one backend server.
pub type HealthPolicyFactory = Box<dyn Fn() -> Box<dyn HealthPolicy> + Send>;

/// The policies that an entry consults.
pub struct EntryPolicies {
    /// Chooses a backend server.
    pub routing: Box<dyn RoutingPolicy>,
    /// Holds team limits.
    pub limits: Box<dyn TeamLimiter>,
    /// Holds the budget of further tries.
    pub retries: Box<dyn RetryBudget>,
    /// Makes the health policy of each backend server.
    pub health: HealthPolicyFactory,
}

impl EntryPolicies {
    /// The baseline policies.
    #[must_use]
    pub fn baseline() -> Self {
        Self {
            routing: Box::new(LeastOutstanding::default()),
            limits: Box::new(Unlimited),
            retries: Box::new(FixedBudget::without_pause(BASELINE_ATTEMPTS)),
            health: Box::new(|| Box::<ReportedHealth>::default()),
        }
    }

    /// The policies of production. Entries differ in their seeds, so that they do not follow one
    /// another to the same backend server, nor probe or retry in step.
    #[must_use]
    pub fn production(seed: u64) -> Self {
        let next_health_seed = AtomicU64::new(seed);
        Self {
            routing: Box::new(TwoChoices::new(seed)),
            limits: Box::new(SharedLimits::new()),
            retries: Box::new(TokenBudget::new(seed)),
            health: Box::new(move || {
                let seed = next_health_seed.fetch_add(1, Ordering::Relaxed);
                Box::new(CircuitBreaker::new(seed))
            }),
        }
    }
}

impl std::fmt::Debug for EntryPolicies {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryPolicies").finish_non_exhaustive()
    }
}
