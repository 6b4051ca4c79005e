//! The policies that an entry runs with.

use hickorycross_core::entry::EntryPolicies;
use hickorycross_core::health::{Graded, HealthOf};
use hickorycross_core::limits::SharedLimits;
use hickorycross_core::retry::TokenBudget;
use hickorycross_core::routing::TwoChoices;
use std::sync::atomic::{AtomicU64, Ordering};

/// The policies of a production entry. Entries differ in their seeds, so that they do not follow
/// one another to the same backend server, nor probe or retry in step.
pub(crate) fn production(seed: u64) -> EntryPolicies {
    let next_health_seed = AtomicU64::new(seed);
    EntryPolicies {
        routing: Box::new(TwoChoices::new(seed)),
        limits: Box::new(SharedLimits::new()),
        retries: Box::new(TokenBudget::new(seed)),
        health: Box::new(move || {
            let seed = next_health_seed.fetch_add(1, Ordering::Relaxed);
            Box::new(Graded::new(seed)) as Box<dyn HealthOf>
        }),
    }
}
