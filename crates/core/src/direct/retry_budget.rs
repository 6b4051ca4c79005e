//! A retry budget that needs no communication between entries.

use super::BootMs;
use indexmap::IndexMap;
use std::collections::VecDeque;

/// Windows in which the rounding threshold passes through all values. If it changed much within one
/// window, an entry could use the same fraction of a retry twice.
const WINDOWS_PER_ROUND: u64 = 60;

/// One entry's share of the fleet's retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Length of the sliding window over which sends are counted.
    pub window_ms: u64,
    /// Retries allowed per first send.
    pub ratio: f64,
    /// Retries allowed at this entry in addition to the ratio.
    pub slack: f64,
}

/// Counts first sends and retries by service.
///
/// The budget holds over all entries. Every entry applies the ratio to its own first sends and has
/// a fixed share of the slack, so the total holds even while entries are partitioned from each
/// other. Without a budget, a fault that affects every request would multiply the load when
/// capacity is short.
///
/// In a large fleet an entry with few requests is allowed a fraction of a retry. Entries round it at
/// different thresholds (see [`Self::with_rounding`]): at a fraction of 0.3, three in ten entries may
/// retry once.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Rounding threshold at boot; `None` if the budget always rounds down.
    rounding_offset: Option<f64>,
    services: IndexMap<String, Sends>,
}

/// What an entry has used of its share for a service, and what the share allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetUsage {
    /// Retries in the window.
    pub retries: usize,
    /// Retries that are allowed in the window, in fractions of one.
    pub allowed: f64,
}

#[derive(Clone, Debug, Default)]
struct Sends {
    first: VecDeque<BootMs>,
    retries: VecDeque<BootMs>,
}

impl RetryBudget {
    /// Creates a budget with no sends counted, which rounds down.
    #[must_use]
    pub fn new(settings: RetryBudgetSettings) -> Self {
        Self { settings, rounding_offset: None, services: IndexMap::new() }
    }

    /// Allows one retry more where less than a threshold is missing to a whole one. The threshold is
    /// `offset` at boot and passes slowly through all values from 0 to 1.
    ///
    /// If each process draws its offset evenly from 0 to 1, then the mean over many entries, and over
    /// many starts of one, is what the budget allows in fractions.
    #[must_use]
    pub fn with_rounding(self, offset: f64) -> Self {
        Self { rounding_offset: Some(offset), ..self }
    }

    /// Changes this entry's share of the budget.
    pub fn set(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
    }

    /// Counts the first send of a request for a service.
    pub fn note_first_send(&mut self, now: BootMs, service: &str) {
        let sends = self.sends(now, service);
        sends.first.push_back(now);
    }

    /// Spends one retry if the budget allows it. Returns whether it did.
    #[must_use]
    pub fn try_spend(&mut self, now: BootMs, service: &str) -> bool {
        let allows_retry = self.allows_retry(now, service);
        if allows_retry {
            self.sends(now, service).retries.push_back(now);
        }
        allows_retry
    }

    /// Returns whether the budget allows another retry.
    #[must_use]
    pub fn allows_retry(&mut self, now: BootMs, service: &str) -> bool {
        let usage = self.usage(now, service);
        usage.retries as f64 + 1.0 <= usage.allowed + self.rounding_threshold(now)
    }

    /// Returns the rounding threshold, which may be missing to a whole retry.
    fn rounding_threshold(&self, now: BootMs) -> f64 {
        let Some(offset) = self.rounding_offset else { return 0.0 };
        let round_ms = self.settings.window_ms.saturating_mul(WINDOWS_PER_ROUND).max(1);
        (offset + now.0 as f64 / round_ms as f64).fract()
    }

    /// Returns what is used of the budget of a service.
    #[must_use]
    pub fn usage(&mut self, now: BootMs, service: &str) -> RetryBudgetUsage {
        let RetryBudgetSettings { ratio, slack, .. } = self.settings;
        let sends = self.sends(now, service);
        let allowed = ratio * sends.first.len() as f64 + slack;
        RetryBudgetUsage { retries: sends.retries.len(), allowed }
    }

    /// Returns the sends of a service that are within the window.
    fn sends(&mut self, now: BootMs, service: &str) -> &mut Sends {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Sends::default());
        }
        let begin = now.before(self.settings.window_ms);
        let sends = &mut self.services[service];
        for times in [&mut sends.first, &mut sends.retries] {
            while times.front().is_some_and(|at| *at < begin) {
                times.pop_front();
            }
        }
        sends
    }
}
