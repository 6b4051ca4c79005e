//! The routing policy in use: two random candidates, weighed by what this entry knows of them.

use super::estimate::Estimates;
use super::margin::Margins;
use super::mix::Mix;
use super::policy::{Candidate, RoutingDecision, RoutingPolicy, RoutingRequest};
use super::projection::{Fading, Starts, report_age, requests_ahead, slots, wait_ms};
use super::sample::{share_weighted, some_of, usable};
use crate::rendezvous;
use crate::time::Now;
use hickorycross_config::{BackendServerId, Document};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Utilisation up to which a candidate counts as having room.
const ROOM: f64 = 0.8;

/// A candidate is preferred for its place or its cache only while its first chunks take no longer
/// than this multiple of the usual time.
const SOUND_SLOWNESS: f64 = 2.0;

/// Weight of this entry's own open attempts when candidates are compared, besides their part in
/// what is ahead.
///
/// Reports tell all entries the same, so all of them run after the same candidates; own attempts
/// differ from entry to entry. Entries that each spread their own work evenly spread the sum
/// evenly, however old the reports are.
const OWN_WEIGHT: f64 = 3.0;

/// Age of the oldest report, as a multiple of the time that a request occupies a slot, up to which
/// all candidates are compared and not only two of them.
const FRESH_PART: f64 = 1.75;

/// Candidates that are compared while reports are old.
const CHOICES: usize = 2;

/// Most candidates that are compared, so that a choice costs the same in a large fleet.
const MOST_CHOICES: usize = 16;

/// A candidate is preferred only while a smaller share of its attempts failed.
const SOUND_FAILED_SHARE: f64 = 0.1;

/// Longest projected wait that is accepted, whatever the deadline.
///
/// Expired work teaches the margin only after its whole deadline. For deadlines of ten seconds the
/// lesson comes so late that far too much has been accepted meanwhile, and then far too little.
const HORIZON_MS: f64 = 5000.0;

/// Earliest return after a refusal.
const LEAST_RETURN_MS: f64 = 100.0;

/// Two random candidates, weighed by own open work and lagging reports, with preference for the
/// entry's failure domain and for the candidate that is likely to have the prompt's prefix cached.
#[derive(Clone, Debug)]
pub struct TwoChoices {
    rng: ChaCha8Rng,
    estimates: Estimates,
    mix: Mix,
    margins: Margins,
    floors_permille: IndexMap<u8, u16>,
}

/// One choice with what holds for all of its candidates.
#[derive(Clone, Copy)]
struct Weighing<'a> {
    now: Now,
    choice: &'a RoutingRequest<'a>,
    estimates: &'a Estimates,
    starts: Starts,
    margin: f64,
}

impl TwoChoices {
    /// Makes the policy; entries must differ in their seeds, or they follow one another to the
    /// same candidates.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            estimates: Estimates::default(),
            mix: Mix::default(),
            margins: Margins::default(),
            floors_permille: IndexMap::new(),
        }
    }

    fn starts(&self, rank: u8) -> Starts {
        let floor = self.floors_permille.get(&rank).copied().unwrap_or(0);
        Starts { free_permille: self.mix.free_permille(rank), floor_permille: f64::from(floor) }
    }

    fn pick(&mut self, now: Now, choice: &RoutingRequest<'_>) -> RoutingDecision {
        let weighing = Weighing {
            now,
            choice,
            estimates: &self.estimates,
            starts: self.starts(choice.rank),
            margin: self.margins.factor(choice.rank),
        };
        let usable = usable(&mut self.rng, choice.candidates);
        if usable.is_empty() {
            let index = share_weighted(&mut self.rng, choice.candidates);
            return weighing.in_time_or_refusal(index, &[]);
        }
        if let Some(index) = weighing.with_cached_prefix(&usable) {
            return RoutingDecision::Candidate(index);
        }
        let choices = weighing.choices(&usable);
        let near = weighing.near(&usable);
        let near_best = weighing.better(&some_of(&mut self.rng, &near, choices));
        if let Some(index) = near_best.filter(|&index| weighing.has_room(index)) {
            return RoutingDecision::Candidate(index);
        }
        let best = weighing.better(&some_of(&mut self.rng, &usable, choices));
        weighing.in_time_or_refusal(best.unwrap_or(usable[0]), &usable)
    }
}

impl Weighing<'_> {
    fn candidate(&self, index: usize) -> &Candidate<'_> {
        &self.choice.candidates[index]
    }

    fn wait_ms(&self, index: usize, fading: Fading) -> f64 {
        wait_ms(self.now, self.candidate(index), self.choice.rank, self.starts, fading)
    }

    /// Expected time to the first chunk, raised by utilisation and by failures.
    ///
    /// A candidate that fails fast is always idle; without its failed share it would look best and
    /// draw all requests into failure.
    fn cost_ms(&self, index: usize) -> f64 {
        let candidate = self.candidate(index);
        let id = candidate.backend_server;
        let ahead = requests_ahead(self.now, candidate, self.choice.rank, Fading::Ranking);
        let own = OWN_WEIGHT * f64::from(candidate.outstanding);
        let utilisation = (ahead + own + 1.0) / slots(candidate);
        let first_chunk_ms = self.estimates.first_chunk_ms(self.now, id);
        let answered_share = 1.0 - self.estimates.failed_share(self.now, id);
        let served_ms = first_chunk_ms * (1.0 + utilisation) + self.wait_ms(index, Fading::Ranking);
        served_ms / answered_share.powi(4).max(0.001)
    }

    /// How many candidates to compare.
    ///
    /// While reports are fresh the best of all is best. When they are old, the best of all by them
    /// is the same for every entry, and all run there together; one would see queues swing from
    /// empty to full. Two random candidates break that up.
    fn choices(&self, usable: &[usize]) -> usize {
        let age = |index: &usize| report_age(self.now, self.candidate(*index));
        let oldest = usable.iter().map(age).fold(Some(0.0), later);
        let fresh = oldest.is_some_and(|oldest| oldest <= FRESH_PART);
        if fresh { MOST_CHOICES } else { CHOICES }
    }

    fn better(&self, drawn: &[usize]) -> Option<usize> {
        let cost_ms = |index: &usize| self.cost_ms(*index);
        drawn.iter().copied().min_by(|one, other| cost_ms(one).total_cmp(&cost_ms(other)))
    }

    fn has_room(&self, index: usize) -> bool {
        let candidate = self.candidate(index);
        let id = candidate.backend_server;
        let ahead = requests_ahead(self.now, candidate, self.choice.rank, Fading::Ranking);
        let slowness = self.estimates.slowness(self.now, id);
        ahead + 1.0 <= slots(candidate) * ROOM
            && slowness <= SOUND_SLOWNESS
            && self.estimates.failed_share(self.now, id) <= SOUND_FAILED_SHARE
    }

    /// The candidate on which all entries agree for this prefix, while it has room. A hint only:
    /// nothing depends on the cache really holding the prefix.
    fn with_cached_prefix(&self, usable: &[usize]) -> Option<usize> {
        let prefix = self.choice.prefix?;
        let weight = |index: usize| {
            rendezvous::weight(prefix, self.candidate(index).backend_server.as_str())
        };
        let holder = usable.iter().copied().max_by_key(|&index| weight(index))?;
        self.has_room(holder).then_some(holder)
    }

    fn near(&self, usable: &[usize]) -> Vec<usize> {
        let is_near = |index: &usize| self.candidate(*index).failure_domain == self.choice.home;
        usable.iter().copied().filter(is_near).collect()
    }

    fn slack_ms(&self) -> f64 {
        let slack_ms = self.choice.deadline.since(self.now.unix_ms) as f64;
        slack_ms.min(HORIZON_MS)
    }

    /// Time until the first chunk as it is held against the deadline.
    fn projected_ms(&self, index: usize) -> f64 {
        let id = self.candidate(index).backend_server;
        self.wait_ms(index, Fading::Admission) * self.margin
            + self.estimates.first_chunk_ms(self.now, id)
    }

    fn is_in_time(&self, index: usize) -> bool {
        self.wait_ms(index, Fading::Admission) <= 0.0 || self.projected_ms(index) < self.slack_ms()
    }

    /// The picked candidate if it begins in time, else the one with the shortest wait if that one
    /// does, else a refusal.
    fn in_time_or_refusal(&self, picked: usize, usable: &[usize]) -> RoutingDecision {
        if self.is_in_time(picked) {
            return RoutingDecision::Candidate(picked);
        }
        let shortest = usable
            .iter()
            .copied()
            .min_by(|&one, &other| self.projected_ms(one).total_cmp(&self.projected_ms(other)))
            .unwrap_or(picked);
        if self.is_in_time(shortest) {
            return RoutingDecision::Candidate(shortest);
        }
        self.refusal(shortest)
    }

    /// Coming back makes sense once enough of the queue has been served for the same slack to
    /// suffice.
    fn refusal(&self, shortest: usize) -> RoutingDecision {
        let excess_ms = self.projected_ms(shortest) - self.slack_ms();
        let return_ms = excess_ms.max(LEAST_RETURN_MS).ceil();
        RoutingDecision::Refuse { retry_at: self.now.after(return_ms as u64) }
    }
}

/// The later of two ages; none if one of them is unknown.
fn later(one: Option<f64>, other: Option<f64>) -> Option<f64> {
    Some(one?.max(other?))
}

impl RoutingPolicy for TwoChoices {
    fn adopt(&mut self, document: &Document) {
        let tiers = document.tiers.iter();
        self.floors_permille = tiers.map(|tier| (tier.rank, tier.floor_permille)).collect();
    }

    fn choose(&mut self, now: Now, choice: &RoutingRequest<'_>) -> RoutingDecision {
        let pick = self.pick(now, choice);
        if let RoutingDecision::Candidate(_) = pick {
            self.mix.sent(now, choice.rank);
        }
        pick
    }

    fn record_first_chunk(
        &mut self,
        now: Now,
        backend_server: &BackendServerId,
        first_chunk_ms: u64,
    ) {
        self.estimates.answered(now, backend_server, first_chunk_ms);
    }

    fn record_start(&mut self, now: Now, rank: u8) {
        self.mix.began(now, rank);
        self.margins.began(rank);
    }

    fn record_expiry(&mut self, _now: Now, rank: u8) {
        self.margins.expired(rank);
    }

    fn record_failure(&mut self, now: Now, backend_server: &BackendServerId) {
        self.estimates.failed(now, backend_server);
    }
}
