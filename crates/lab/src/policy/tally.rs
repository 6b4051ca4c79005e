//! Sums over the requests of one scenario under one set of policies.

use super::arrivals::Request;
use super::fleet::{SERVICE_MS, TEAMS, TIERS, capacity_per_s};
use super::ledger::{Ledger, Outcome, Row};
use super::scenario::Scenario;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

/// Longest time to a first chunk that a histogram holds.
const LONGEST_MS: u64 = 60_000;

/// Significant digits of histograms.
const DIGITS: u8 = 3;

/// Requests by outcome.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Counts {
    pub(crate) offered: u64,
    pub(crate) in_time: u64,
    pub(crate) late: u64,
    pub(crate) limited: u64,
    pub(crate) refused_at_once: u64,
    pub(crate) refused_later: u64,
    pub(crate) expired: u64,
    pub(crate) failed: u64,
    pub(crate) open: u64,
    pub(crate) accepted: u64,
    pub(crate) tries: u64,
}

impl Counts {
    fn add(&mut self, row: &Row) {
        self.offered += 1;
        self.accepted += u64::from(row.accepted);
        self.tries += u64::from(row.tries);
        *self.of(row.outcome) += 1;
    }

    const fn of(&mut self, outcome: Outcome) -> &mut u64 {
        match outcome {
            Outcome::InTime => &mut self.in_time,
            Outcome::Late => &mut self.late,
            Outcome::Limited => &mut self.limited,
            Outcome::RefusedAtOnce => &mut self.refused_at_once,
            Outcome::RefusedLater => &mut self.refused_later,
            Outcome::Expired => &mut self.expired,
            Outcome::Failed => &mut self.failed,
            Outcome::Open => &mut self.open,
        }
    }

    /// Answers in time, in thousandths of requests within their limit.
    pub(crate) fn in_time_permille(&self) -> f64 {
        permille(self.in_time, self.offered - self.limited)
    }

    /// Expired work, in thousandths of accepted work.
    pub(crate) fn expired_permille(&self) -> f64 {
        permille(self.expired, self.accepted)
    }

    /// Further tries, in thousandths of first tries.
    pub(crate) fn extra_permille(&self) -> f64 {
        let sent = self.offered - self.limited - self.refused_at_once;
        permille(self.tries.saturating_sub(sent), sent)
    }
}

/// Sums of one tier.
#[derive(Clone, Debug)]
pub(crate) struct TierTally {
    pub(crate) counts: Counts,
    pub(crate) first_chunk_ms: Histogram<u64>,
}

/// Sums of one scenario under one set of policies, over all seeds.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    pub(crate) all: Counts,
    pub(crate) tiers: Vec<TierTally>,
    pub(crate) teams: Vec<Counts>,
    /// Requests that each team's limit entitles it to: of each second those that it sent, up to
    /// the limit.
    pub(crate) entitled: Vec<f64>,
    /// Answers in time a second over what capacity allows, by seed, in thousandths.
    pub(crate) goodput_permille: Vec<f64>,
    /// First tier's answers in time, by seed, in thousandths.
    pub(crate) first_tier_permille: Vec<f64>,
    /// Time from the repair until the share of answers in time is back, by seed; none when it did
    /// not come back within the run.
    pub(crate) recovery_ms: Vec<Option<u64>>,
}

impl Tally {
    /// An empty tally.
    pub(crate) fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_MS, DIGITS)
            .expect("bounds of the histogram are constants that it allows");
        let tier = TierTally { counts: Counts::default(), first_chunk_ms: histogram };
        Self {
            all: Counts::default(),
            tiers: vec![tier; TIERS.len()],
            teams: vec![Counts::default(); TEAMS.len()],
            entitled: vec![0.0; TEAMS.len()],
            goodput_permille: Vec::new(),
            first_tier_permille: Vec::new(),
            recovery_ms: Vec::new(),
        }
    }

    /// Adds the run of one seed.
    pub(crate) fn add(&mut self, scenario: &Scenario, requests: &[Request], ledger: &Ledger) {
        let mut first_tier = Counts::default();
        let mut served_ms = 0.0;
        for (request, row) in requests.iter().zip(&ledger.rows) {
            if is_answered_within(scenario, request, row) {
                served_ms += request.service_ms;
            }
            if !scenario.counted.has(request.arrives_ms) {
                continue;
            }
            self.add_row(request, row);
            if request.rank == 0 {
                first_tier.add(row);
            }
        }
        for (team, entitled) in self.entitled.iter_mut().enumerate() {
            *entitled += entitled_requests(scenario, requests, team);
        }
        self.first_tier_permille.push(first_tier.in_time_permille());
        let capacity_ms = scenario.counted.seconds_long() * capacity_per_s() * SERVICE_MS;
        self.goodput_permille.push(1000.0 * served_ms / capacity_ms);
        if let Some(repaired_ms) = scenario.repaired_ms {
            self.recovery_ms.push(recovery_ms(scenario, requests, ledger, repaired_ms));
        }
    }

    fn add_row(&mut self, request: &Request, row: &Row) {
        self.all.add(row);
        self.teams[request.team].add(row);
        let tier = &mut self.tiers[request.rank as usize];
        tier.counts.add(row);
        if let Some(first_chunk_ms) = row.first_chunk_ms {
            tier.first_chunk_ms.saturating_record(first_chunk_ms);
        }
    }
}

fn entitled_requests(scenario: &Scenario, requests: &[Request], team: usize) -> f64 {
    let mut by_second: IndexMap<u64, f64> = IndexMap::new();
    for request in requests.iter().filter(|request| request.team == team) {
        if scenario.counted.has(request.arrives_ms) {
            *by_second.entry(request.arrives_ms / 1000).or_default() += 1.0;
        }
    }
    let limit_per_s = scenario.limit_per_s(team);
    by_second.values().map(|sent| sent.min(limit_per_s)).sum()
}

/// Whether an answer in time began in the counted part, whenever the request arrived: work that
/// waits when the part ends must not count for it.
fn is_answered_within(scenario: &Scenario, request: &Request, row: &Row) -> bool {
    let Some(first_chunk_ms) = row.first_chunk_ms else {
        return false;
    };
    row.outcome == Outcome::InTime && scenario.counted.has(request.arrives_ms + first_chunk_ms)
}

/// Part of the former share of answers in time that counts as recovered.
const RECOVERED: f64 = 0.95;

/// Time that must be good for a recovery to count.
const GOOD_MS: u64 = 3000;

/// Step at which a recovery is looked for.
const STEP_MS: u64 = 500;

fn recovery_ms(
    scenario: &Scenario,
    requests: &[Request],
    ledger: &Ledger,
    repaired_ms: u64,
) -> Option<u64> {
    let fault_ms = scenario.faults.iter().map(super::scenario::Fault::begins_ms).min()?;
    let before = in_time_share(requests, ledger, scenario.counted.from_ms, fault_ms);
    let last_ms = scenario.run.to_ms - GOOD_MS;
    (repaired_ms..=last_ms)
        .step_by(STEP_MS as usize)
        .find(|&from_ms| {
            (from_ms..from_ms + GOOD_MS).step_by(1000).all(|second_ms| {
                let share = in_time_share(requests, ledger, second_ms, second_ms + 1000);
                share >= RECOVERED * before
            })
        })
        .map(|from_ms| from_ms - repaired_ms)
}

/// Answers in time over requests within their limit, of those that arrived in a stretch.
fn in_time_share(requests: &[Request], ledger: &Ledger, from_ms: u64, to_ms: u64) -> f64 {
    let mut counts = Counts::default();
    for (request, row) in requests.iter().zip(&ledger.rows) {
        if from_ms <= request.arrives_ms && request.arrives_ms < to_ms {
            counts.add(row);
        }
    }
    counts.in_time_permille() / 1000.0
}

fn permille(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { 1000.0 * part as f64 / whole as f64 }
}
