//! What an entry is made of: its identity and its policies.

use crate::entry::plain::{AsTold, FewestOutstanding, FixedTries, NoLimit};
use crate::health::HealthOf;
use crate::ids::Incarnation;
use crate::limits::LimitTeams;
use crate::retry::BudgetRetries;
use crate::routing::ChooseBackend;
use hickorycross_config::FailureDomainId;

/// Who an entry is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryIdentity {
    /// Drawn at random when the process starts.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
}

/// Makes the health policy of one backend server.
pub type MakeHealth = Box<dyn Fn() -> Box<dyn HealthOf> + Send>;

/// The policies that an entry consults.
pub struct EntryPolicies {
    /// Chooses a backend server.
    pub routing: Box<dyn ChooseBackend>,
    /// Holds team limits.
    pub limits: Box<dyn LimitTeams>,
    /// Holds the budget of further tries.
    pub retries: Box<dyn BudgetRetries>,
    /// Makes the health policy of each backend server.
    pub health: MakeHealth,
}

impl EntryPolicies {
    /// The baseline policies.
    #[must_use]
    pub fn plain() -> Self {
        Self {
            routing: Box::new(FewestOutstanding),
            limits: Box::new(NoLimit),
            retries: Box::new(FixedTries),
            health: Box::new(|| Box::<AsTold>::default()),
        }
    }
}

impl std::fmt::Debug for EntryPolicies {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryPolicies").finish_non_exhaustive()
    }
}
