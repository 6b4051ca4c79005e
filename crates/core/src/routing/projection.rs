//! What a lagging report still says about the wait at a candidate.

use super::border::Candidate;
use crate::message::Load;
use crate::time::Now;

/// After this time a report counts for half.
const REPORT_HALF_LIFE_MS: f64 = 1000.0;

/// Largest difference between two processes' clocks that is taken for normal.
const CLOCK_SKEW_MS: u64 = 500;

/// Requests that begin before a new one of `rank` at the candidate, running ones included.
///
/// As a report ages, what it counted has been served; what this entry itself has open there takes
/// its place. While the report is fresh the latter must not count: it includes lower tiers, which
/// do not begin before the new request.
pub(super) fn requests_ahead(now: Now, candidate: &Candidate<'_>, rank: u8) -> f64 {
    let own = f64::from(candidate.outstanding);
    let Some(load) = candidate.load else {
        return own;
    };
    let counted = f64::from(load.running + waiting_ahead(load, rank));
    let weight = report_weight(now, candidate, load);
    let reported = counted * weight + own * (1.0 - weight);
    reported + f64::from(candidate.sent_since_report)
}

/// Time until a new request of `rank` begins, when `free_permille` of the starts are left to its
/// rank by higher ones that are yet to come.
pub(super) fn wait_ms(now: Now, candidate: &Candidate<'_>, rank: u8, free_permille: f64) -> f64 {
    let Some(load) = candidate.load else {
        return 0.0;
    };
    let slots = slots(candidate);
    let queued = requests_ahead(now, candidate, rank) + 1.0 - slots;
    if queued <= 0.0 {
        return 0.0;
    }
    let start_every_ms = f64::from(load.service_ms) / slots;
    queued * start_every_ms * 1000.0 / free_permille.max(1.0)
}

/// Requests that the candidate runs at once, at least one.
pub(super) fn slots(candidate: &Candidate<'_>) -> f64 {
    let slots = candidate.load.map_or(candidate.slots, |load| load.slots);
    f64::from(slots.max(1))
}

fn waiting_ahead(load: &Load, rank: u8) -> u32 {
    load.waiting.iter().filter(|tier| tier.rank <= rank).map(|tier| tier.requests).sum()
}

/// A report that sat in the network for long looks fresh by the time of its arrival, and one from
/// a clock that runs ahead looks fresh by the time of its sampling: the older of both counts.
fn report_weight(now: Now, candidate: &Candidate<'_>, load: &Load) -> f64 {
    let since_received = now.unix_ms.since(candidate.load_received);
    let since_sampled = now.unix_ms.since(load.sampled).saturating_sub(CLOCK_SKEW_MS);
    let age_ms = since_received.max(since_sampled) as f64;
    (-age_ms / REPORT_HALF_LIFE_MS).exp2()
}
