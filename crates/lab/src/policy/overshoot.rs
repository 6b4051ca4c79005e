//! Team limits over many entries: what gets through in sum, also while entries are cut off.

use super::demand::DemandTable;
use super::fleet::{BACKENDS, START_MS, backend_id, document, team_id};
use hickorycross_config::{BackendServerId, Document, TeamId};
use hickorycross_core::Now;
use hickorycross_core::limits::{Admission, SharedLimits, TeamLimiter, report_bytes};
use hickorycross_core::message::TeamTotal;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Poisson};
use serde::Serialize;

/// Step of virtual time.
const STEP_MS: u64 = 20;

/// One way between an entry and a home agent.
const ONE_WAY_MS: u64 = 2;

/// Length of a run.
const RUN_MS: u64 = 90_000;

/// Time before the steady part: bursts are used up and shares have settled.
const SETTLED_MS: u64 = 20_000;

/// When the cut begins and ends.
const CUT_MS: (u64, u64) = (40_000, 70_000);

/// Time after the beginning of a cut in which shares still change.
const CUT_SETTLED_MS: u64 = 10_000;

/// Length of the sliding window over which overshoot is judged.
const WINDOW_MS: u64 = 5_000;

/// The team whose limit is tried.
const TEAM: usize = 0;

/// Its limit as a multiple of its rate at full load.
const LIMIT_FACTOR: f64 = 10.0;

/// How demand is spread over entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Spread {
    /// Every entry sees the same.
    Even,
    /// Entry `i` sees a part in proportion to 1/(i+1).
    Skewed,
    /// Skewed, and turned round every 15 s: the busiest entry becomes the quietest.
    Turning,
}

/// Who is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Cut {
    /// Nobody.
    None,
    /// One entry from all home agents.
    OneEntry,
    /// Half of the entries from all home agents.
    HalfOfEntries,
    /// Entries and home agents fall into two halves that cannot reach each other.
    Halves,
}

/// One case.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Case {
    /// Entries.
    pub(crate) entries: usize,
    /// Offered load as a multiple of the limit.
    pub(crate) offered_factor: f64,
    /// Spread of demand.
    pub(crate) spread: Spread,
    /// Who is cut off.
    pub(crate) cut: Cut,
}

/// What got through. In thousandths of the limit unless the name says otherwise.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Through {
    /// Mean of the steady part.
    pub(crate) steady_mean_permille: f64,
    /// Highest window of the steady part.
    pub(crate) steady_peak_permille: f64,
    /// Highest window from the beginning of the cut to its end.
    pub(crate) cut_peak_permille: f64,
    /// Mean of the settled part of the cut.
    pub(crate) cut_mean_permille: f64,
    /// Mean overshoot of the settled part of the cut in fair shares of one entry.
    pub(crate) cut_overshoot_fair_shares: f64,
    /// Highest overshoot of a window from the beginning of the cut to its end, in fair shares.
    pub(crate) cut_peak_overshoot_fair_shares: f64,
    /// Estimated bytes a second of reports and answers at the busiest entry.
    pub(crate) report_bytes_per_s: f64,
}

/// Runs one case.
pub(crate) fn run(case: Case, seed: u64) -> Through {
    let mut run = Run::new(case, seed);
    let mut moment_ms = 0;
    while moment_ms < RUN_MS {
        run.step(moment_ms);
        moment_ms += STEP_MS;
    }
    run.through()
}

struct Run {
    case: Case,
    rng: ChaCha8Rng,
    team: TeamId,
    document: Document,
    limits: Vec<SharedLimits>,
    homes: Vec<DemandTable>,
    answers: Vec<(u64, usize, BackendServerId, Vec<TeamTotal>)>,
    admitted: Vec<u32>,
    bytes: Vec<u64>,
}

impl Run {
    fn new(case: Case, seed: u64) -> Self {
        let document = document(&[LIMIT_FACTOR; super::fleet::TEAMS.len()]);
        let limits = (0..case.entries)
            .map(|_| {
                let now = Now::at(START_MS);
                let mut limits = SharedLimits::new();
                limits.set_entry_count(now, case.entries as u32);
                limits.adopt(now, &document);
                limits
            })
            .collect();
        Self {
            case,
            rng: ChaCha8Rng::seed_from_u64(seed),
            team: team_id(TEAM),
            document,
            limits,
            homes: vec![DemandTable::default(); BACKENDS],
            answers: Vec::new(),
            admitted: Vec::new(),
            bytes: vec![0; case.entries],
        }
    }

    fn limit_per_s(&self) -> f64 {
        f64::from(self.document.teams[TEAM].limit.requests_per_s)
    }

    fn step(&mut self, moment_ms: u64) {
        let now = Now::at(START_MS + moment_ms);
        self.deliver_answers(now, moment_ms);
        let mut admitted = 0;
        for entry in 0..self.case.entries {
            admitted += self.arrivals(now, moment_ms, entry);
            self.report(now, moment_ms, entry);
        }
        self.admitted.push(admitted);
    }

    fn arrivals(&mut self, now: Now, moment_ms: u64, entry: usize) -> u32 {
        let per_s = self.limit_per_s() * self.case.offered_factor * self.part(moment_ms, entry);
        let mean = per_s * STEP_MS as f64 / 1000.0;
        let arrivals = Poisson::new(mean).map_or(0.0, |poisson| poisson.sample(&mut self.rng));
        let limits = &mut self.limits[entry];
        let team = &self.team;
        (0..arrivals as u32).filter(|_| limits.admit(now, team) == Admission::Within).count() as u32
    }

    /// Part of the demand that this entry sees.
    fn part(&self, moment_ms: u64, entry: usize) -> f64 {
        let entries = self.case.entries;
        let turned = self.case.spread == Spread::Turning && (moment_ms / 15_000) % 2 == 1;
        let place = if turned { entries - 1 - entry } else { entry };
        match self.case.spread {
            Spread::Even => 1.0 / entries as f64,
            Spread::Skewed | Spread::Turning => {
                let all: f64 = (1..=entries).map(|place| 1.0 / place as f64).sum();
                1.0 / ((place + 1) as f64 * all)
            }
        }
    }

    fn report(&mut self, now: Now, moment_ms: u64, entry: usize) {
        for report in self.limits[entry].due_reports(now) {
            self.bytes[entry] += report_bytes(&report);
            let home = (0..BACKENDS).find(|&home| backend_id(home) == report.to);
            let Some(home) = home.filter(|&home| self.reaches(moment_ms, entry, home)) else {
                continue;
            };
            let heard_ms = now.unix_ms.0 + ONE_WAY_MS;
            let totals = self.homes[home].learn(heard_ms, entry, &report.demands);
            let jitter_ms = self.rng.random_range(0..STEP_MS);
            self.answers.push((heard_ms + ONE_WAY_MS + jitter_ms, entry, report.to, totals));
        }
    }

    fn deliver_answers(&mut self, now: Now, moment_ms: u64) {
        let due = self.answers.extract_if(.., |answer| answer.0 <= now.unix_ms.0);
        let due: Vec<_> = due.collect();
        for (_, entry, from, totals) in due {
            let home = (0..BACKENDS).find(|&home| backend_id(home) == from).unwrap_or(0);
            if self.reaches(moment_ms, entry, home) {
                self.limits[entry].receive_totals(now, &from, &totals);
            }
        }
    }

    fn reaches(&self, moment_ms: u64, entry: usize, home: usize) -> bool {
        if moment_ms < CUT_MS.0 || moment_ms >= CUT_MS.1 {
            return true;
        }
        let far = entry >= self.case.entries / 2;
        match self.case.cut {
            Cut::None => true,
            Cut::OneEntry => entry != 0,
            Cut::HalfOfEntries => !far,
            Cut::Halves => far == (home >= BACKENDS / 2),
        }
    }

    fn through(&self) -> Through {
        let steady_to_ms = if self.case.cut == Cut::None { RUN_MS } else { CUT_MS.0 };
        let cut_mean = self.mean(CUT_MS.0 + CUT_SETTLED_MS, CUT_MS.1);
        let cut_peak = self.peak(CUT_MS.0, CUT_MS.1);
        let overshoot = (cut_mean - 1.0).max(0.0);
        let bytes = self.bytes.iter().copied().max().unwrap_or(0);
        Through {
            steady_mean_permille: 1000.0 * self.mean(SETTLED_MS, steady_to_ms),
            steady_peak_permille: 1000.0 * self.peak(SETTLED_MS, steady_to_ms),
            cut_peak_permille: 1000.0 * cut_peak,
            cut_mean_permille: 1000.0 * cut_mean,
            cut_overshoot_fair_shares: overshoot * self.case.entries as f64,
            cut_peak_overshoot_fair_shares: (cut_peak - 1.0).max(0.0) * self.case.entries as f64,
            report_bytes_per_s: bytes as f64 * 1000.0 / RUN_MS as f64,
        }
    }

    /// Admitted requests over the limit, as a mean of a stretch.
    fn mean(&self, from_ms: u64, to_ms: u64) -> f64 {
        let steps = &self.admitted[(from_ms / STEP_MS) as usize..(to_ms / STEP_MS) as usize];
        let admitted: u32 = steps.iter().sum();
        f64::from(admitted) / (self.limit_per_s() * (to_ms - from_ms) as f64 / 1000.0)
    }

    /// The highest mean of a window that lies in a stretch.
    fn peak(&self, from_ms: u64, to_ms: u64) -> f64 {
        (from_ms..=to_ms - WINDOW_MS)
            .step_by(500)
            .map(|window_ms| self.mean(window_ms, window_ms + WINDOW_MS))
            .fold(0.0, f64::max)
    }
}
