//! Identity and policies with which an entry is created.

use crate::health::{CircuitBreaker, HealthPolicy, ReportedHealth};
use crate::ids::Incarnation;
use crate::limits::{SharedLimits, TeamLimiter, Unlimited};
use crate::retry::{FixedBudget, RetryBudget, TokenBudget};
use crate::routing::{LeastOutstanding, RoutingPolicy, TwoChoices};
use hickorycross_config::FailureDomainId;
use std::sync::atomic::{AtomicU64, Ordering};

/// Maximum attempts of a request under the baseline policies.
const BASELINE_ATTEMPTS: u16 = 3;

/// Identity of one process of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryIdentity {
    /// Chosen at random when the process starts.
    pub incarnation: Incarnation,
    /// The failure domain that the entry runs in.
    pub failure_domain: FailureDomainId,
}

/// Creates the health policy of one backend server.
pub type HealthPolicyFactory = Box<dyn Fn() -> Box<dyn HealthPolicy> + Send>;

/// Exchangeable policies of an entry.
pub struct EntryPolicies {
    /// Chooses a backend server for each attempt.
    pub routing: Box<dyn RoutingPolicy>,
    /// Enforces team limits.
    pub limits: Box<dyn TeamLimiter>,
    /// Decides whether and when a request is retried.
    pub retries: Box<dyn RetryBudget>,
    /// Creates the health policy of each backend server.
    pub health: HealthPolicyFactory,
}

impl EntryPolicies {
    /// Returns simple baseline policies: least outstanding requests, no team limits, a fixed number
    /// of attempts, and health as reported by agents.
    #[must_use]
    pub fn baseline() -> Self {
        Self {
            routing: Box::new(LeastOutstanding::default()),
            limits: Box::new(Unlimited),
            retries: Box::new(FixedBudget::without_pause(BASELINE_ATTEMPTS)),
            health: Box::new(|| Box::<ReportedHealth>::default()),
        }
    }

    /// Returns the policies used in production.
    ///
    /// Each entry needs its own seed, so that entries do not all choose the same backend server, or
    /// probe and retry at the same time.
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
