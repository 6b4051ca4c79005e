//! Tells requests that their callers retry from new ones, by the time that the callers have left.

use super::Route;

/// Requests of a route after which its initial timeouts are known.
const MIN_SAMPLES: usize = 20;

/// Share of initial timeouts that are shorter than the estimate of the shortest.
const SHORT_SHARE: f64 = 0.05;

/// Change of the estimate for one request, in milliseconds. It is slow, so that the many retries of
/// an overload of some seconds hardly lower the estimate.
const STEP_MS: f64 = 2.0;

/// Largest share of the longest timeout by which those of other callers are believed to be shorter.
/// Right after an outage most requests are retries, whose time must not be taken for initial
/// timeouts.
const MAX_SPREAD: f64 = 0.2;

/// Time that a new request may take to reach an entry.
const TRANSIT_MS: u64 = 50;

/// Estimates the timeouts with which callers of one route first send their requests.
///
/// A request that is retried after a refusal has less time left than that. This distinguishes it
/// from a new request, which can still be answered on time and can be retried once more. Callers
/// have different timeouts, so what is left shows a retry only if nearly all of them begin with more.
#[derive(Clone, Debug, Default)]
pub struct InitialTimeouts {
    /// The first timeouts, until there are enough of them.
    first_ms: Vec<u64>,
    longest_ms: u64,
    shortest_ms: f64,
}

impl InitialTimeouts {
    /// Records a request with `left_ms` left, and returns how many milliseconds it used up before.
    pub fn note(&mut self, left_ms: u64, route: &Route) -> u64 {
        self.longest_ms = self.longest_ms.max(left_ms);
        if self.first_ms.len() < MIN_SAMPLES {
            self.note_first(left_ms);
            let longest_ms = self.longest_ms.max(route.timeout_ms);
            return if left_ms + TRANSIT_MS >= longest_ms { 0 } else { longest_ms - left_ms };
        }
        let is_shorter = (left_ms as f64) < self.shortest_ms;
        self.shortest_ms += STEP_MS * (SHORT_SHARE - f64::from(u8::from(is_shorter)));
        let least_ms = self.longest_ms as f64 * (1.0 - MAX_SPREAD);
        self.shortest_ms = self.shortest_ms.clamp(least_ms, self.longest_ms as f64);
        let is_new = left_ms + TRANSIT_MS >= self.shortest_ms as u64;
        if is_new { 0 } else { self.longest_ms - left_ms }
    }

    /// Records one of the first requests. Little is known then, so the longest timeout counts as that
    /// of all callers.
    fn note_first(&mut self, left_ms: u64) {
        self.first_ms.push(left_ms);
        if self.first_ms.len() == MIN_SAMPLES {
            self.first_ms.sort_unstable();
            let index = (MIN_SAMPLES as f64 * SHORT_SHARE) as usize;
            self.shortest_ms = self.first_ms[index] as f64;
        }
    }
}
