//! The rate at which all entries together may send to a cold backend server.

use serde::{Deserialize, Serialize};

/// Time for which a permit for a cold server is valid, from the question on.
///
/// A longer time lowers the rate that can be granted, since permits of all that time may be used
/// in one window. With a shorter one, an entry with few requests loses most of its permits.
pub(super) const COLD_PERMIT_KEPT_MS: u64 = 500;

/// Time from the first question to a new granting entry until it grants the first permit.
///
/// It is the window in which requests are counted, so the permits of the entry that granted before
/// are used up by then. Entries that have just started learn of each other meanwhile.
const HOLD_OFF_MS: u64 = 1_000;

/// Length of the window in which a cold server counts requests.
pub(super) const WINDOW_MS: u64 = 1_000;

/// Largest difference between the times that two requests take to reach the server.
pub(super) const TRANSIT_MS: u64 = 100;

/// Entries that may grant permits at the same time: one in each half of a partitioned network.
const GRANTING_ENTRIES: f64 = 2.0;

/// Part of the permits of a window that may be granted at once, as a divisor. At the highest rate it
/// accrues in 0.4 s, twice the shortest pause between two questions.
const BURST_DIVISOR: u64 = 5;

/// Largest rate of a cold server that is believed. Above it the server has no limit in effect.
const MAX_REQUESTS_PER_S: f64 = 1_000_000.0;

/// Longest time after its start for which a server is believed to be cold.
const MAX_COLD_START_S: f64 = 600.0;

/// Shortest bound on how long a server counts as cold because it or another entry says so.
const MIN_COLD_BOUND_MS: u64 = 60_000;

/// Millirequests per request.
const MILLIREQUESTS: u64 = 1_000;

/// The figures of the operators' configuration for the cold servers of one service. The default
/// sets no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdFigures {
    /// Time for which a server is cold after its start, in milliseconds.
    pub cold_start_ms: u64,
    /// Thousandths of a request per second that a server takes while cold; 0 for no limit.
    pub millirequests_per_s: u64,
}

impl ColdFigures {
    /// Returns the figures for `cold_start_s` seconds and `cold_per_s` requests per second, with a
    /// description of each value that is not used as it is.
    ///
    /// A value that is negative, no number or too large for a rate sets no limit; a time that is
    /// too long is cut.
    #[must_use]
    pub fn new(cold_start_s: f64, cold_per_s: f64) -> (Self, Vec<String>) {
        let mut faults = Vec::new();
        let mut check = |name: &str, value: f64, max: f64, above: f64| {
            if !value.is_finite() || value < 0.0 {
                faults.push(format!("{name} is {value}; it must be finite and not negative"));
                return 0.0;
            }
            if value > max {
                faults.push(format!("{name} is {value}; it counts as {above}"));
                return above;
            }
            value
        };
        let cold_start_s = check("cold_start_s", cold_start_s, MAX_COLD_START_S, MAX_COLD_START_S);
        let per_s = check("cold_per_s", cold_per_s, MAX_REQUESTS_PER_S, 0.0);
        let figures = Self {
            cold_start_ms: (cold_start_s * 1_000.0) as u64,
            millirequests_per_s: (per_s * 1_000.0) as u64,
        };
        (figures, faults)
    }
}

/// The rate at which one entry grants permits for a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRate {
    /// Permits that accrue, in thousandths per second.
    pub millirequests_per_s: u64,
    /// Most permits that are kept for later questions, in thousandths.
    pub burst_millirequests: u64,
    /// Time from the first question until permits begin to accrue, in milliseconds.
    pub hold_off_ms: u64,
}

impl GrantRate {
    /// Returns the rate that exceeds neither this one nor `other`.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            millirequests_per_s: self.millirequests_per_s.min(other.millirequests_per_s),
            burst_millirequests: self.burst_millirequests.min(other.burst_millirequests),
            hold_off_ms: self.hold_off_ms.max(other.hold_off_ms),
        }
    }
}

/// The limit on the cold servers of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmUp {
    cold_start_ms: u64,
    rate: GrantRate,
    /// Requests in one second that the entries of one half of a partitioned network may send.
    half_requests: u64,
}

impl WarmUp {
    /// Returns the limit that keeps all requests in one second within `cold_per_s` x `cold_over` +
    /// `cold_slack`, or nothing if the figures set none.
    ///
    /// A request is sent while its permit is valid (0.5 s), so the requests that arrive in one window
    /// were granted in a span of the window, that time and the difference in transit. One entry grants in such a span at most the whole permits in the burst plus what
    /// accrues; for two of them, each may grant half of the sum. The rate is the highest with which
    /// the burst and the accrued part stay below the next whole permit after that half.
    #[must_use]
    pub fn new(figures: ColdFigures, cold_over: f64, cold_slack: f64) -> Option<Self> {
        if figures.millirequests_per_s == 0 {
            return None;
        }
        let cold_per_s = figures.millirequests_per_s as f64 / MILLIREQUESTS as f64;
        let sum = cold_per_s * cold_over + cold_slack;
        let sum = if sum.is_finite() { sum.clamp(0.0, MAX_REQUESTS_PER_S) } else { 0.0 };
        let permits = (sum / GRANTING_ENTRIES).floor() as u64;
        let rate = if permits == 0 {
            GrantRate { hold_off_ms: HOLD_OFF_MS, ..GrantRate::default() }
        } else {
            let burst = (permits * MILLIREQUESTS / BURST_DIVISOR).max(MILLIREQUESTS);
            let accrued = (permits + 1) * MILLIREQUESTS - burst - 1;
            let span_ms = WINDOW_MS + COLD_PERMIT_KEPT_MS + TRANSIT_MS;
            let per_s = accrued * 1_000 / span_ms;
            GrantRate {
                millirequests_per_s: per_s.min(figures.millirequests_per_s),
                burst_millirequests: burst,
                hold_off_ms: HOLD_OFF_MS,
            }
        };
        Some(Self { cold_start_ms: figures.cold_start_ms, rate, half_requests: permits })
    }

    /// Returns the rate at which one entry grants permits for a cold server.
    #[must_use]
    pub const fn rate(&self) -> GrantRate {
        self.rate
    }

    /// Returns the requests in one second that each of `entries` entries may send to a cold server
    /// without a permit.
    #[must_use]
    pub fn share_requests(&self, entries: usize) -> u32 {
        let share = self.half_requests / entries.max(1) as u64;
        u32::try_from(share).unwrap_or(u32::MAX)
    }

    /// Returns the time for which a server is cold after its start, in milliseconds.
    #[must_use]
    pub const fn cold_start_ms(&self) -> u64 {
        self.cold_start_ms
    }

    /// Returns the longest time for which a server counts as cold because it says so.
    #[must_use]
    pub fn bound_ms(&self) -> u64 {
        self.cold_start_ms.max(MIN_COLD_BOUND_MS)
    }
}

/// Returns the milliseconds in a text that tells how long a server stays cold, or nothing if it is
/// not a finite number from 0 on.
#[must_use]
pub fn parse_cold_ms(text: &str) -> Option<u64> {
    let number: f64 = text.trim().parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number.ceil() as u64)
}
