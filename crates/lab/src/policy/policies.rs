//! The sets of policies that are compared.

use super::queue::Order;
use hickorycross_core::health::{AlwaysUp, CircuitBreaker, HealthPolicy};
use hickorycross_core::limits::{SharedLimits, TeamLimiter, Unlimited};
use hickorycross_core::retry::{FixedBudget, RetryBudget, TokenBudget};
use hickorycross_core::routing::{
    LeastOutstanding, RawTwoChoices, RoundRobin, RoutingPolicy, TwoChoices,
};

/// One set of policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicySet {
    /// Everything in use.
    Ours,
    /// Ours with round robin as routing.
    RoundRobin,
    /// Ours with fewest own open attempts as routing.
    LeastOutstanding,
    /// Ours with two choices by the raw lagging report as routing.
    RawTwoChoices,
    /// Ours without suspicion.
    AlwaysUp,
    /// Ours with a fixed number of tries for each request.
    FixedTries,
    /// Ours with a first-come queue without tiers.
    Fcfs,
    /// Round robin, no limits, no suspicion, a fixed number of tries, a first-come queue.
    Plain,
}

impl PolicySet {
    /// All sets, ours first.
    pub(crate) const ALL: [Self; 8] = [
        Self::Ours,
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::RawTwoChoices,
        Self::AlwaysUp,
        Self::FixedTries,
        Self::Fcfs,
        Self::Plain,
    ];

    /// Its name in the results.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::RoundRobin => "round-robin",
            Self::LeastOutstanding => "least-outstanding",
            Self::RawTwoChoices => "raw-two-choices",
            Self::AlwaysUp => "always-up",
            Self::FixedTries => "fixed-tries",
            Self::Fcfs => "fcfs",
            Self::Plain => "plain",
        }
    }

    /// Order of the queues beside backend servers.
    pub(crate) const fn order(self) -> Order {
        match self {
            Self::Fcfs | Self::Plain => Order::Fcfs,
            _ => Order::Tiered,
        }
    }

    /// Routing of one entry.
    pub(crate) fn routing(self, seed: u64) -> Box<dyn RoutingPolicy> {
        match self {
            Self::RoundRobin | Self::Plain => Box::new(RoundRobin::default()),
            Self::LeastOutstanding => Box::new(LeastOutstanding::default()),
            Self::RawTwoChoices => Box::new(RawTwoChoices::new(seed)),
            Self::Ours | Self::AlwaysUp | Self::FixedTries | Self::Fcfs => {
                Box::new(TwoChoices::new(seed))
            }
        }
    }

    /// Limits of one entry.
    pub(crate) fn limits(self) -> Box<dyn TeamLimiter> {
        match self {
            Self::Plain => Box::new(Unlimited),
            _ => Box::new(SharedLimits::new()),
        }
    }

    /// Health of one backend server as one entry sees it.
    pub(crate) fn health(self, seed: u64) -> Box<dyn HealthPolicy> {
        match self {
            Self::Plain | Self::AlwaysUp => Box::new(AlwaysUp),
            _ => Box::new(CircuitBreaker::new(seed)),
        }
    }

    /// Retries of one entry.
    pub(crate) fn retry(self, seed: u64) -> Box<dyn RetryBudget> {
        match self {
            Self::Plain | Self::FixedTries => Box::new(FixedBudget::default()),
            _ => Box::new(TokenBudget::new(seed)),
        }
    }
}
