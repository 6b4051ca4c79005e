//! A bound on second sends that needs no exchange between entries.

use super::BootMs;
use indexmap::IndexMap;
use std::collections::VecDeque;

/// How much of the fleet's budget one entry takes by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Span over which sends are counted.
    pub window_ms: u64,
    /// Second sends for each first send.
    pub ratio: f64,
    /// Second sends that need no first send, at this entry.
    pub slack: f64,
}

/// Counts first and second sends by service.
///
/// The budget holds over all entries. Every entry keeps the ratio against its own first sends and a
/// fixed part of the slack, so the sum holds also while entries cannot hear each other. Without it
/// a fault that hits every request would multiply the load when capacity is short.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    services: IndexMap<String, Sends>,
}

#[derive(Clone, Debug, Default)]
struct Sends {
    first: VecDeque<BootMs>,
    retries: VecDeque<BootMs>,
}

impl RetryBudget {
    /// Begins without sends.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self { settings, services: IndexMap::new() }
    }

    /// Changes the part that this entry takes.
    pub fn set(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Counts a request for a service.
    pub fn note_first_send(&mut self, now: BootMs, service: &str) {
        let sends = self.sends(now, service);
        sends.first.push_back(now);
    }

    /// Takes one second send out of the budget; says whether there was one left.
    #[must_use]
    pub fn try_spend(&mut self, now: BootMs, service: &str) -> bool {
        let allows_retry = self.allows_retry(now, service);
        if allows_retry {
            self.sends(now, service).retries.push_back(now);
        }
        allows_retry
    }

    /// Whether a second send is left in the budget.
    #[must_use]
    pub fn allows_retry(&mut self, now: BootMs, service: &str) -> bool {
        let RetryBudgetSettings { ratio, slack, .. } = self.settings;
        let sends = self.sends(now, service);
        let allowed = ratio * sends.first.len() as f64 + slack;
        sends.retries.len() as f64 + 1.0 <= allowed
    }

    /// Second sends in the present window.
    #[must_use]
    pub fn retry_count(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, |sends| sends.retries.len())
    }

    fn sends(&mut self, now: BootMs, service: &str) -> &mut Sends {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Sends::default());
        }
        let begin = now.before(self.settings.window_ms);
        let sends = &mut self.services[service];
        for moments in [&mut sends.first, &mut sends.retries] {
            while moments.front().is_some_and(|at| *at < begin) {
                moments.pop_front();
            }
        }
        sends
    }
}
