//! The production policy: a few random candidates, compared by projected latency.

use super::policy::{Candidate, RoutingDecision, RoutingPolicy, RoutingRequest};
use super::projection::{ReportDecay, TierStarts, report_age, requests_ahead, slots, wait_ms};
use super::sample::{eligible, sample, sample_by_share};
use super::server_estimates::ServerEstimates;
use super::tier_mix::TierMix;
use super::wait_margin::WaitMargins;
use crate::rendezvous;
use crate::time::Now;
use hickorycross_config::{BackendServerId, Document};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Utilisation up to which a candidate counts as having room.
const MAX_UTILISATION_WITH_ROOM: f64 = 0.8;

/// A candidate is preferred for its failure domain or its prefix cache only while its first chunks
/// take no longer than this multiple of the typical time.
const MAX_PREFERRED_SLOWNESS: f64 = 2.0;

/// Additional weight of this entry's own open attempts when candidates are compared.
///
/// Load reports are the same for all entries and lead all of them to the same candidates; open
/// attempts differ between entries. When each entry spreads its own requests evenly, the sum is
/// even too, however old the reports are.
const OUTSTANDING_WEIGHT: f64 = 3.0;

/// Age of the oldest report, as a multiple of the time that a request occupies a slot, up to which
/// [`FRESH_SAMPLE_SIZE`] candidates are compared instead of [`STALE_SAMPLE_SIZE`].
const FRESH_REPORT_AGE: f64 = 1.75;

/// Most candidates that are compared while reports are old.
const STALE_SAMPLE_SIZE: usize = 2;

/// Most candidates that are compared while reports are fresh. The bound keeps the cost of a
/// decision constant in a large fleet.
const FRESH_SAMPLE_SIZE: usize = 16;

/// A candidate is preferred for its failure domain or its prefix cache only while no larger share
/// of its attempts failed.
const MAX_PREFERRED_FAILED_SHARE: f64 = 0.1;

/// Longest projected wait that is accepted, whatever the deadline.
///
/// An expired request raises the wait margin only after its deadline. With deadlines of ten seconds
/// this feedback comes so late that far too many requests are accepted meanwhile, and far too few
/// afterwards.
const MAX_ACCEPTED_WAIT_MS: f64 = 5000.0;

/// Shortest retry delay named in a refusal.
const MIN_RETRY_DELAY_MS: f64 = 100.0;

/// Chooses the best of a few random candidates by this entry's open attempts and the latest load
/// reports, and refuses a request that no candidate can begin in time.
///
/// A candidate that is likely to have the prompt's prefix cached comes first, then those in the
/// entry's failure domain, each only while it has room.
#[derive(Clone, Debug)]
pub struct TwoChoices {
    rng: ChaCha8Rng,
    estimates: ServerEstimates,
    mix: TierMix,
    margins: WaitMargins,
    floors_permille: IndexMap<u8, u16>,
}

/// One request with the values that apply to all of its candidates.
#[derive(Clone, Copy)]
struct Evaluation<'a> {
    now: Now,
    request: &'a RoutingRequest<'a>,
    estimates: &'a ServerEstimates,
    starts: TierStarts,
    margin: f64,
}

impl TwoChoices {
    /// Creates the policy. Entries must use different seeds, or all of them choose the same
    /// candidates.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            estimates: ServerEstimates::default(),
            mix: TierMix::default(),
            margins: WaitMargins::default(),
            floors_permille: IndexMap::new(),
        }
    }

    fn starts(&self, rank: u8) -> TierStarts {
        let floor = self.floors_permille.get(&rank).copied().unwrap_or(0);
        TierStarts { free_permille: self.mix.free_permille(rank), floor_permille: f64::from(floor) }
    }

    fn decide(&mut self, now: Now, request: &RoutingRequest<'_>) -> RoutingDecision {
        let evaluation = Evaluation {
            now,
            request,
            estimates: &self.estimates,
            starts: self.starts(request.rank),
            margin: self.margins.factor(request.rank),
        };
        let eligible = eligible(&mut self.rng, request.candidates);
        if eligible.is_empty() {
            let index = sample_by_share(&mut self.rng, request.candidates);
            return evaluation.accept_or_refuse(index, &[]);
        }
        if let Some(index) = evaluation.with_cached_prefix(&eligible) {
            return RoutingDecision::Candidate(index);
        }
        let sample_size = evaluation.sample_size(&eligible);
        let in_entry_domain = evaluation.in_entry_domain(&eligible);
        let best_in_domain =
            evaluation.cheapest(&sample(&mut self.rng, &in_entry_domain, sample_size));
        if let Some(index) = best_in_domain.filter(|&index| evaluation.has_room(index)) {
            return RoutingDecision::Candidate(index);
        }
        let best = evaluation.cheapest(&sample(&mut self.rng, &eligible, sample_size));
        evaluation.accept_or_refuse(best.unwrap_or(eligible[0]), &eligible)
    }
}

impl Evaluation<'_> {
    fn candidate(&self, index: usize) -> &Candidate<'_> {
        &self.request.candidates[index]
    }

    fn wait_ms(&self, index: usize, decay: ReportDecay) -> f64 {
        wait_ms(self.now, self.candidate(index), self.request.rank, self.starts, decay)
    }

    /// Returns the expected time to the first chunk, raised by utilisation and by failures.
    ///
    /// A candidate that fails fast is always idle. Without the penalty for failures it would seem
    /// best and attract all requests, which would then fail.
    fn cost_ms(&self, index: usize) -> f64 {
        let candidate = self.candidate(index);
        let id = candidate.backend_server;
        let ahead = requests_ahead(self.now, candidate, self.request.rank, ReportDecay::Ranking);
        let own = OUTSTANDING_WEIGHT * f64::from(candidate.outstanding);
        let utilisation = (ahead + own + 1.0) / slots(candidate);
        let first_chunk_ms = self.estimates.first_chunk_ms(self.now, id);
        let answered_share = 1.0 - self.estimates.failed_share(self.now, id);
        let served_ms =
            first_chunk_ms * (1.0 + utilisation) + self.wait_ms(index, ReportDecay::Ranking);
        served_ms / answered_share.powi(4).max(0.001)
    }

    /// Returns how many candidates to compare.
    ///
    /// While reports are fresh, comparing more candidates finds a better one. When they are old,
    /// every entry would find the same best candidate and send its requests there, so that queues
    /// oscillate between empty and full. Two random candidates avoid this herding.
    fn sample_size(&self, eligible: &[usize]) -> usize {
        let age = |index: &usize| report_age(self.now, self.candidate(*index));
        let oldest = eligible.iter().map(age).fold(Some(0.0), later);
        let fresh = oldest.is_some_and(|oldest| oldest <= FRESH_REPORT_AGE);
        if fresh { FRESH_SAMPLE_SIZE } else { STALE_SAMPLE_SIZE }
    }

    fn cheapest(&self, sampled: &[usize]) -> Option<usize> {
        let cost_ms = |index: &usize| self.cost_ms(*index);
        sampled.iter().copied().min_by(|one, other| cost_ms(one).total_cmp(&cost_ms(other)))
    }

    fn has_room(&self, index: usize) -> bool {
        let candidate = self.candidate(index);
        let id = candidate.backend_server;
        let ahead = requests_ahead(self.now, candidate, self.request.rank, ReportDecay::Ranking);
        let slowness = self.estimates.slowness(self.now, id);
        ahead + 1.0 <= slots(candidate) * MAX_UTILISATION_WITH_ROOM
            && slowness <= MAX_PREFERRED_SLOWNESS
            && self.estimates.failed_share(self.now, id) <= MAX_PREFERRED_FAILED_SHARE
    }

    /// Returns the candidate that all entries choose for this prefix, while it has room.
    ///
    /// This only improves cache affinity; nothing depends on the cache holding the prefix.
    fn with_cached_prefix(&self, eligible: &[usize]) -> Option<usize> {
        let prefix = self.request.prefix_digest?;
        let weight = |index: usize| {
            rendezvous::weight(prefix, self.candidate(index).backend_server.as_str())
        };
        let preferred = eligible.iter().copied().max_by_key(|&index| weight(index))?;
        self.has_room(preferred).then_some(preferred)
    }

    fn in_entry_domain(&self, eligible: &[usize]) -> Vec<usize> {
        let is_in_domain = |index: &usize| {
            self.candidate(*index).failure_domain == self.request.entry_failure_domain
        };
        eligible.iter().copied().filter(is_in_domain).collect()
    }

    /// Returns the time left until the deadline, at most [`MAX_ACCEPTED_WAIT_MS`].
    fn slack_ms(&self) -> f64 {
        let slack_ms = self.request.deadline.since(self.now.unix_ms) as f64;
        slack_ms.min(MAX_ACCEPTED_WAIT_MS)
    }

    /// Returns the projected time until the first chunk, which is compared with the deadline.
    fn projected_first_chunk_ms(&self, index: usize) -> f64 {
        let id = self.candidate(index).backend_server;
        self.wait_ms(index, ReportDecay::Admission) * self.margin
            + self.estimates.first_chunk_ms(self.now, id)
    }

    fn is_in_time(&self, index: usize) -> bool {
        self.wait_ms(index, ReportDecay::Admission) <= 0.0
            || self.projected_first_chunk_ms(index) < self.slack_ms()
    }

    /// Returns the picked candidate if it can begin in time, else the eligible one with the
    /// shortest projection if that one can, else a refusal.
    fn accept_or_refuse(&self, picked: usize, eligible: &[usize]) -> RoutingDecision {
        if self.is_in_time(picked) {
            return RoutingDecision::Candidate(picked);
        }
        let shortest = eligible
            .iter()
            .copied()
            .min_by(|&one, &other| {
                self.projected_first_chunk_ms(one).total_cmp(&self.projected_first_chunk_ms(other))
            })
            .unwrap_or(picked);
        if self.is_in_time(shortest) {
            return RoutingDecision::Candidate(shortest);
        }
        self.refusal(shortest)
    }

    /// Returns a refusal whose retry time leaves the queue enough time to drain, so that a retry
    /// with the same time to its deadline is accepted.
    fn refusal(&self, shortest: usize) -> RoutingDecision {
        let excess_ms = self.projected_first_chunk_ms(shortest) - self.slack_ms();
        let delay_ms = excess_ms.max(MIN_RETRY_DELAY_MS).ceil();
        RoutingDecision::Refuse { retry_at: self.now.after(delay_ms as u64) }
    }
}

/// Returns the greater of two ages; none if one of them is unknown.
fn later(one: Option<f64>, other: Option<f64>) -> Option<f64> {
    Some(one?.max(other?))
}

impl RoutingPolicy for TwoChoices {
    fn adopt(&mut self, document: &Document) {
        let tiers = document.tiers.iter();
        self.floors_permille = tiers.map(|tier| (tier.rank, tier.floor_permille)).collect();
    }

    fn choose(&mut self, now: Now, request: &RoutingRequest<'_>) -> RoutingDecision {
        let decision = self.decide(now, request);
        if let RoutingDecision::Candidate(_) = decision {
            self.mix.record_sent(now, request.rank);
        }
        decision
    }

    fn record_first_chunk(
        &mut self,
        now: Now,
        backend_server: &BackendServerId,
        first_chunk_ms: u64,
    ) {
        self.estimates.record_first_chunk(now, backend_server, first_chunk_ms);
    }

    fn record_start(&mut self, now: Now, rank: u8) {
        self.mix.record_start(now, rank);
        self.margins.record_start(rank);
    }

    fn record_expiry(&mut self, _now: Now, rank: u8) {
        self.margins.record_expiry(rank);
    }

    fn record_failure(&mut self, now: Now, backend_server: &BackendServerId) {
        self.estimates.record_failure(now, backend_server);
    }
}
