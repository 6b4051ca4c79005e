//! What a lagging report still says about the wait at a candidate.

use super::policy::Candidate;
use crate::message::Load;
use crate::time::Now;

/// How fast a report loses weight with its age.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fading {
    /// For comparing candidates: what this entry has open itself soon tells more than an old report.
    Ranking,
    /// For admission: a queue that was long is most likely still long, and work that is accepted
    /// for want of a fresh report expires in it.
    Admission,
}

impl Fading {
    /// The age at which a report counts for half.
    const fn half_life_ms(self) -> f64 {
        match self {
            Self::Ranking => 500.0,
            Self::Admission => 8000.0,
        }
    }
}

/// Queue, as a part of the slots, from which on a backend server counts as never idle.
const SATURATED: f64 = 1.0;

/// Largest difference between two processes' clocks that is taken for normal.
const CLOCK_SKEW_MS: u64 = 500;

/// Requests that begin before a new one of `rank` at the candidate, running ones included.
///
/// As a report ages, what it counted has been served; what this entry itself has open there takes
/// its place. While the report is fresh the latter must not count: it includes lower tiers, which
/// do not begin before the new request.
pub(super) fn requests_ahead(now: Now, candidate: &Candidate<'_>, rank: u8, fading: Fading) -> f64 {
    let own = f64::from(candidate.outstanding);
    let Some(load) = candidate.load else {
        return own;
    };
    let counted = f64::from(load.running + waiting_ahead(load, rank));
    let weight = report_weight(now, candidate, fading);
    let reported = counted * weight + own * (1.0 - weight);
    reported + f64::from(open_since_report(candidate))
}

/// Attempts sent since the report that are still open.
///
/// Those that have ended since wait nowhere. Were they counted, a backend server that answers
/// everything but reports rarely would look ever fuller; one would see requests refused while it
/// is idle.
fn open_since_report(candidate: &Candidate<'_>) -> u32 {
    candidate.sent_since_report.min(candidate.outstanding)
}

/// Age of the latest report of the candidate; none without a report.
///
/// A report that sat in the network for long looks fresh by the time of its arrival, and one from
/// a clock that runs ahead looks fresh by the time of its sampling: the older of both counts.
fn report_age_ms(now: Now, candidate: &Candidate<'_>) -> Option<u64> {
    let load = candidate.load?;
    let since_received = now.unix_ms.since(candidate.load_received);
    let since_sampled = now.unix_ms.since(load.sampled).saturating_sub(CLOCK_SKEW_MS);
    Some(since_received.max(since_sampled))
}

/// Age of the latest report as a part of the time that a request occupies a slot: the part of the
/// slots that has been filled anew since. None without a report.
pub(super) fn report_age(now: Now, candidate: &Candidate<'_>) -> Option<f64> {
    let service_ms = f64::from(candidate.load?.service_ms.max(1));
    Some(report_age_ms(now, candidate)? as f64 / service_ms)
}

/// Which starts of a backend server a tier gets, in thousandths.
#[derive(Clone, Copy, Debug)]
pub(super) struct Starts {
    /// What higher tiers leave to it and to the tiers with it.
    pub(super) free_permille: f64,
    /// What the document keeps for it alone.
    pub(super) floor_permille: f64,
}

/// Time until a new request of `rank` begins: by its turn in the order of tiers, or by the floor of
/// its tier, whichever comes first.
///
/// Without the floor, entries would refuse a low tier all that its floor has room for, and the
/// starts that the document keeps for it would go to higher tiers.
pub(super) fn wait_ms(
    now: Now,
    candidate: &Candidate<'_>,
    rank: u8,
    starts: Starts,
    fading: Fading,
) -> f64 {
    let Some(load) = candidate.load else {
        return 0.0;
    };
    let slots = slots(candidate);
    let queued = requests_ahead(now, candidate, rank, fading) + 1.0 - slots;
    if queued <= 0.0 {
        return 0.0;
    }
    let start_every_ms = f64::from(load.service_ms) / slots;
    let by_order_ms = queued * start_every_ms * 1000.0 / free_permille(load, starts);
    let in_tier = f64::from(waiting_of(load, rank) + open_since_report(candidate)) + 1.0;
    let by_floor_ms = in_tier * start_every_ms * 1000.0 / starts.floor_permille;
    by_order_ms.min(by_floor_ms)
}

/// What higher tiers leave of a backend server's starts.
///
/// The mix of tiers tells what they would take of a server that is never idle. They take that much
/// only while they keep a queue full; without the correction an entry that happened to send few
/// requests, most of them of a high tier, would refuse all others beside servers without a queue.
fn free_permille(load: &Load, starts: Starts) -> f64 {
    let waiting: u32 = load.waiting.iter().map(|tier| tier.requests).sum();
    let queue_of_slots = f64::from(waiting) / f64::from(load.slots.max(1));
    let saturation = (queue_of_slots / SATURATED).min(1.0);
    let taken_permille = (1000.0 - starts.free_permille) * saturation;
    (1000.0 - taken_permille).max(1.0)
}

/// Requests that the candidate runs at once, at least one.
pub(super) fn slots(candidate: &Candidate<'_>) -> f64 {
    let slots = candidate.load.map_or(candidate.slots, |load| load.slots);
    f64::from(slots.max(1))
}

fn waiting_ahead(load: &Load, rank: u8) -> u32 {
    load.waiting.iter().filter(|tier| tier.rank <= rank).map(|tier| tier.requests).sum()
}

fn waiting_of(load: &Load, rank: u8) -> u32 {
    load.waiting.iter().filter(|tier| tier.rank == rank).map(|tier| tier.requests).sum()
}

fn report_weight(now: Now, candidate: &Candidate<'_>, fading: Fading) -> f64 {
    let Some(age_ms) = report_age_ms(now, candidate) else {
        return 0.0;
    };
    (-(age_ms as f64) / fading.half_life_ms()).exp2()
}
