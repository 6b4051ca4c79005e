//! Lets an entry use more than its even share of a group's slots while other entries leave theirs
//! unused.
//!
//! Callers may suddenly send most of their requests to one entry. It cannot see how many slots the
//! others use, but it sees how soon its own requests begin. While requests are held back only by
//! the entry's share, and others that were sent begin soon, the share grows; once they begin late,
//! it shrinks again.

use super::BootMs;
use super::admission::SLOW_FIRST_EVENT_MS;
use indexmap::IndexMap;

/// Factor by which the share grows in one step.
const GROWTH: f64 = 1.5;

/// Shortest time between two steps: enough for some of the requests that the last one let through to
/// begin.
const GROWTH_INTERVAL_MS: u64 = 200;

/// Factor by which what exceeds the even share shrinks when a first event came late.
const SHRINKAGE: f64 = 0.5;

/// Shortest time between two such reductions, so that one slow pass counts once.
const SHRINK_INTERVAL_MS: u64 = 250;

/// Time for which the share is kept after it was last needed.
const KEPT_MS: u64 = 5_000;

/// By how much an entry exceeds its even share of the slots of each pool.
#[derive(Clone, Debug, Default)]
pub struct UnusedShares {
    services: IndexMap<String, Usage>,
}

#[derive(Clone, Copy, Debug)]
struct Usage {
    /// Multiple of the even share, at least 1.
    factor: f64,
    /// Until when the factor is kept.
    kept_until: BootMs,
    /// Whether a request was held back by the share since the last step.
    is_limiting: bool,
    next_growth_at: BootMs,
    next_shrinkage_at: BootMs,
}

impl UnusedShares {
    /// Returns the multiple of its even share that an entry may use, at most `max_factor`.
    #[must_use]
    pub fn factor(&self, service: &str, max_factor: f64, now: BootMs) -> f64 {
        let usage = self.services.get(service).filter(|usage| now < usage.kept_until);
        usage.map_or(1.0, |usage| usage.factor).min(max_factor.max(1.0))
    }

    /// Records that more than the even share is in use.
    pub fn note_exceeded(&mut self, service: &str, now: BootMs) {
        if let Some(usage) = self.services.get_mut(service)
            && now < usage.kept_until
        {
            usage.kept_until = now.after(KEPT_MS);
        }
    }

    /// Records that a request was held back by the share.
    pub fn note_limited(&mut self, service: &str, now: BootMs) {
        let kept_until = now.after(KEPT_MS);
        match self.services.get_mut(service) {
            Some(usage) => {
                usage.factor = if now < usage.kept_until { usage.factor } else { 1.0 };
                usage.kept_until = kept_until;
                usage.is_limiting = true;
            }
            None => {
                let usage = Usage {
                    factor: 1.0,
                    kept_until,
                    is_limiting: true,
                    next_growth_at: now.after(GROWTH_INTERVAL_MS),
                    next_shrinkage_at: now,
                };
                self.services.insert(service.to_owned(), usage);
            }
        }
    }

    /// Records that a request got its first event `took_ms` after it was sent. `max_factor` is the
    /// multiple of the even share that makes up all slots. Returns the factor by which the share
    /// has grown, at least 1.
    #[must_use]
    pub fn note_first_event(
        &mut self,
        service: &str,
        took_ms: u64,
        max_factor: f64,
        now: BootMs,
    ) -> f64 {
        let Some(usage) = self.services.get_mut(service) else { return 1.0 };
        if took_ms > SLOW_FIRST_EVENT_MS {
            usage.shrink(now);
        } else if usage.is_limiting && usage.next_growth_at <= now {
            return usage.grow(max_factor, now);
        }
        1.0
    }

    /// Forgets the pools for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.services.retain(|pool, _| is_kept(pool));
    }

    /// Records that a request that was sent `waited_ms` ago ended without an event.
    pub fn note_not_begun(&mut self, service: &str, waited_ms: u64, now: BootMs) {
        if waited_ms > SLOW_FIRST_EVENT_MS
            && let Some(usage) = self.services.get_mut(service)
        {
            usage.shrink(now);
        }
    }
}

impl Usage {
    /// Returns the factor by which the share has grown.
    fn grow(&mut self, max_factor: f64, now: BootMs) -> f64 {
        let before = self.factor;
        self.factor = (before * GROWTH).min(max_factor.max(before));
        self.is_limiting = false;
        self.next_growth_at = now.after(GROWTH_INTERVAL_MS);
        self.factor / before
    }

    fn shrink(&mut self, now: BootMs) {
        self.next_growth_at = now.after(GROWTH_INTERVAL_MS);
        if self.next_shrinkage_at <= now {
            self.factor = 1.0 + (self.factor - 1.0) * SHRINKAGE;
            self.next_shrinkage_at = now.after(SHRINK_INTERVAL_MS);
        }
    }
}
