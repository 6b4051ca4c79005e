//! Projection of the wait at a candidate from its latest load report, which lags.

use super::policy::Candidate;
use crate::message::Load;
use crate::time::Now;

/// How fast a load report loses weight with its age.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReportDecay {
    /// Fast decay for comparing candidates: this entry's own open attempts are soon a better
    /// indicator than an old report.
    Ranking,
    /// Slow decay for admission: a long queue is most likely still long, and a request that is
    /// accepted because the report has aged expires in it.
    Admission,
}

impl ReportDecay {
    /// Returns the age at which a report has half its weight.
    const fn half_life_ms(self) -> f64 {
        match self {
            Self::Ranking => 500.0,
            Self::Admission => 8000.0,
        }
    }
}

/// Queued requests per slot from which on a backend server counts as saturated.
const SATURATED_QUEUE: f64 = 1.0;

/// Largest clock difference between two processes that is tolerated.
const CLOCK_SKEW_MS: u64 = 500;

/// Returns the number of requests that start before a new one of `rank` at the candidate, running
/// ones included.
///
/// As a report ages, the requests that it counted are served, so this entry's own open attempts
/// gradually replace them. While the report is fresh these must not count, because they include
/// lower tiers, which do not start before the new request.
pub(super) fn requests_ahead(
    now: Now,
    candidate: &Candidate<'_>,
    rank: u8,
    decay: ReportDecay,
) -> f64 {
    let own = f64::from(candidate.outstanding);
    let Some(load) = candidate.load else {
        return own;
    };
    let counted = f64::from(load.running + waiting_ahead(load, rank));
    let weight = report_weight(now, candidate, decay);
    let reported = counted * weight + own * (1.0 - weight);
    reported + f64::from(open_since_report(candidate))
}

/// Returns the attempts sent since the report that are still open.
///
/// Attempts that have ended since must not count. Otherwise a backend server that responds to
/// everything but reports rarely would seem ever fuller, and requests would be refused while it is
/// idle.
fn open_since_report(candidate: &Candidate<'_>) -> u32 {
    candidate.sent_since_report.min(candidate.outstanding)
}

/// Returns the age of the candidate's latest report in milliseconds; none without a report.
///
/// A report that was delayed in the network seems fresh by its arrival time, and one from a clock
/// that runs ahead seems fresh by its sampling time, so the greater of both ages is used.
fn report_age_ms(now: Now, candidate: &Candidate<'_>) -> Option<u64> {
    let load = candidate.load?;
    let since_received = now.unix_ms.since(candidate.load_received);
    let since_sampled = now.unix_ms.since(load.sampled).saturating_sub(CLOCK_SKEW_MS);
    Some(since_received.max(since_sampled))
}

/// Returns the age of the latest report as a multiple of the time that a request occupies a slot;
/// none without a report.
///
/// This approximates the fraction of the slots that have been given to new requests since.
pub(super) fn report_age(now: Now, candidate: &Candidate<'_>) -> Option<f64> {
    let service_ms = f64::from(candidate.load?.service_ms.max(1));
    Some(report_age_ms(now, candidate)? as f64 / service_ms)
}

/// The shares of a backend server's starts that a tier gets, in thousandths. A start is a request
/// that the backend server begins to execute.
#[derive(Clone, Copy, Debug)]
pub(super) struct TierStarts {
    /// The share that higher tiers leave to this tier and the ones below it.
    pub(super) free_permille: f64,
    /// The share that the document reserves for this tier alone.
    pub(super) floor_permille: f64,
}

/// Returns the projected time in milliseconds until a new request of `rank` starts: by priority
/// order or by the floor of its tier, whichever comes first.
///
/// Without the floor, entries would refuse requests of a low tier that its floor has room for, and
/// the starts that the document reserves for it would go to higher tiers.
pub(super) fn wait_ms(
    now: Now,
    candidate: &Candidate<'_>,
    rank: u8,
    starts: TierStarts,
    decay: ReportDecay,
) -> f64 {
    let Some(load) = candidate.load else {
        return 0.0;
    };
    let slots = slots(candidate);
    let queued = requests_ahead(now, candidate, rank, decay) + 1.0 - slots;
    if queued <= 0.0 {
        return 0.0;
    }
    let start_interval_ms = f64::from(load.service_ms) / slots;
    let wait_by_rank_ms = queued * start_interval_ms * 1000.0 / free_permille(load, starts);
    let queued_in_tier =
        f64::from(waiting_in_tier(load, rank) + open_since_report(candidate)) + 1.0;
    let wait_by_floor_ms = queued_in_tier * start_interval_ms * 1000.0 / starts.floor_permille;
    wait_by_rank_ms.min(wait_by_floor_ms)
}

/// Returns the share of a backend server's starts that higher tiers leave, in thousandths.
///
/// The tier mix states the share that they take of a saturated server. They take that much only
/// while the queue is full. Without this correction, an entry that sent few requests, most of them
/// of a high tier, would refuse all other tiers although the servers have no queue.
fn free_permille(load: &Load, starts: TierStarts) -> f64 {
    let waiting: u32 = load.waiting.iter().map(|tier| tier.requests).sum();
    let queue_per_slot = f64::from(waiting) / f64::from(load.slots.max(1));
    let saturation = (queue_per_slot / SATURATED_QUEUE).min(1.0);
    let taken_permille = (1000.0 - starts.free_permille) * saturation;
    (1000.0 - taken_permille).max(1.0)
}

/// Returns the number of requests that the candidate runs at once, at least one.
pub(super) fn slots(candidate: &Candidate<'_>) -> f64 {
    let slots = candidate.load.map_or(candidate.slots, |load| load.slots);
    f64::from(slots.max(1))
}

fn waiting_ahead(load: &Load, rank: u8) -> u32 {
    load.waiting.iter().filter(|tier| tier.rank <= rank).map(|tier| tier.requests).sum()
}

fn waiting_in_tier(load: &Load, rank: u8) -> u32 {
    load.waiting.iter().filter(|tier| tier.rank == rank).map(|tier| tier.requests).sum()
}

fn report_weight(now: Now, candidate: &Candidate<'_>, decay: ReportDecay) -> f64 {
    let Some(age_ms) = report_age_ms(now, candidate) else {
        return 0.0;
    };
    (-(age_ms as f64) / decay.half_life_ms()).exp2()
}
