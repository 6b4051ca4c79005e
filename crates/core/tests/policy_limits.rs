//! Tests of team limits over many entries without shared state, in virtual time.
//!
//! The simulation holds the limits of several entries and a simple model of each home agent. A
//! network partition drops the messages between an entry and a home agent.

use googletest::prelude::*;
use hickorycross_config::{
    BackendKind, BackendServer, BackendServerId, Balance, Document, FailureDomainId,
    SCHEMA_VERSION, Team, TeamId, TeamLimit, TierId,
};
use hickorycross_core::Now;
use hickorycross_core::limits::{
    Admission, DemandReport, REPORT_BYTES_PER_S, SharedLimits, TeamLimiter, Unlimited, report_bytes,
};
use hickorycross_core::message::{TeamDemand, TeamTotal};
use indexmap::IndexMap;

const START_MS: u64 = 1_000_000;
const STEP_MS: u64 = 20;
const LIMIT_PER_S: u32 = 200;
/// Burst that the busiest entry receives within a few steps.
const SMALL_BURST: u32 = 20;
const REPORT_TTL_MS: u64 = 10_000;

fn document(teams: usize, servers: usize, requests_per_s: u32) -> Document {
    let team = |index| Team {
        id: team_id(index),
        tier: TierId::new("tier"),
        key_hashes: Vec::new(),
        limit: TeamLimit { requests_per_s, burst_requests: requests_per_s },
    };
    let server = |index| BackendServer {
        id: BackendServerId::new(&format!("runner-{index}")),
        failure_domain: FailureDomainId::new("domain"),
        kind: BackendKind::Service,
        slots: 8,
        queue_slots: 8,
        checks_fencing: false,
    };
    Document {
        schema_version: SCHEMA_VERSION,
        title: String::new(),
        failure_domains: Vec::new(),
        tiers: Vec::new(),
        teams: (0..teams).map(team).collect(),
        backend_servers: (0..servers).map(server).collect(),
        model_groups: Vec::new(),
        routes: Vec::new(),
        balance: Balance {
            skew_weight: 1.0,
            rebalance_cost_weight: 1.0,
            weight_store_bytes_per_s: 1,
        },
    }
}

fn team_id(index: usize) -> TeamId {
    TeamId::new(&format!("team-{index}"))
}

fn shared(entries: usize, document: &Document) -> SharedLimits {
    let now = Now::at(START_MS);
    let mut limits = SharedLimits::new();
    limits.set_entry_count(now, entries as u32);
    limits.adopt(now, document);
    limits
}

/// A home agent, which adds up the demand that entries report.
#[derive(Debug, Default)]
struct HomeAgent {
    reported: IndexMap<(TeamId, usize), (f32, u64)>,
}

impl HomeAgent {
    fn receive_report(
        &mut self,
        now_ms: u64,
        entry: usize,
        demands: &[TeamDemand],
    ) -> Vec<TeamTotal> {
        self.reported.retain(|_, reported| reported.1 > now_ms);
        for demand in demands {
            let reported = (demand.requests_per_s, now_ms + REPORT_TTL_MS);
            self.reported.insert((demand.team.clone(), entry), reported);
        }
        demands.iter().map(|demand| self.total(&demand.team)).collect()
    }

    fn total(&self, team: &TeamId) -> TeamTotal {
        let team_reports = self.reported.iter().filter(|((reported, _), _)| reported == team);
        let rates: Vec<f32> = team_reports.map(|(_, reported)| reported.0).collect();
        let entries = rates.len() as u32;
        TeamTotal { team: team.clone(), requests_per_s: rates.iter().sum(), entries }
    }
}

/// Requests per second that arrive at an entry at a given time.
type DemandAt = fn(entry: usize, entries: usize, time_ms: u64) -> f64;
/// Whether an entry can reach a home agent at a given time.
type ReachesAt = fn(entry: usize, entries: usize, home: usize, time_ms: u64) -> bool;

struct Simulation {
    entries: Vec<Box<dyn TeamLimiter>>,
    home_agents: IndexMap<BackendServerId, HomeAgent>,
    pending_requests: Vec<f64>,
    demand: DemandAt,
    reaches: ReachesAt,
}

impl Simulation {
    fn new(entries: usize, demand: DemandAt, reaches: ReachesAt) -> Self {
        let document = document(1, 6, LIMIT_PER_S);
        let limits = |_| Box::new(shared(entries, &document)) as Box<dyn TeamLimiter>;
        let home_agents =
            document.backend_servers.iter().map(|one| (one.id.clone(), HomeAgent::default()));
        Self {
            entries: (0..entries).map(limits).collect(),
            home_agents: home_agents.collect(),
            pending_requests: vec![0.0; entries],
            demand,
            reaches,
        }
    }

    /// Reduces the bursts of all limits, so that the rates determine what is admitted.
    fn with_small_burst(&mut self) {
        let mut document = document(1, 6, LIMIT_PER_S);
        document.teams[0].limit.burst_requests = SMALL_BURST;
        self.entries.iter_mut().for_each(|limits| limits.adopt(Now::at(START_MS), &document));
    }

    /// Returns the requests admitted by each entry in a period, as a fraction of the whole limit.
    fn run(&mut self, from_ms: u64, to_ms: u64) -> Vec<f64> {
        let mut admitted = vec![0; self.entries.len()];
        for time_ms in (from_ms..to_ms).step_by(STEP_MS as usize) {
            for (entry, admitted) in admitted.iter_mut().enumerate() {
                *admitted += self.step(entry, time_ms);
            }
        }
        let allowed = f64::from(LIMIT_PER_S) * (to_ms - from_ms) as f64 / 1000.0;
        admitted.into_iter().map(|admitted| f64::from(admitted) / allowed).collect()
    }

    fn step(&mut self, entry: usize, time_ms: u64) -> u32 {
        let count = self.entries.len();
        let now = Now::at(START_MS + time_ms);
        self.pending_requests[entry] +=
            (self.demand)(entry, count, time_ms) * STEP_MS as f64 / 1000.0;
        let mut admitted = 0;
        while self.pending_requests[entry] >= 1.0 {
            self.pending_requests[entry] -= 1.0;
            let admission = self.entries[entry].admit(now, &team_id(0));
            admitted += u32::from(admission == Admission::Within);
        }
        for report in self.entries[entry].due_reports(now) {
            self.exchange(now, entry, time_ms, &report);
        }
        admitted
    }

    fn exchange(&mut self, now: Now, entry: usize, time_ms: u64, report: &DemandReport) {
        let Some((index, _, home)) = self.home_agents.get_full_mut(&report.to) else { return };
        if !(self.reaches)(entry, self.pending_requests.len(), index, time_ms) {
            return;
        }
        let totals = home.receive_report(now.unix_ms.0, entry, &report.demands);
        self.entries[entry].receive_totals(now, &report.to, &totals);
    }
}

fn always_reachable(_: usize, _: usize, _: usize, _: u64) -> bool {
    true
}

fn even(_: usize, entries: usize, _: u64) -> f64 {
    3.0 * f64::from(LIMIT_PER_S) / entries as f64
}

/// The first entry receives half of the demand, the others share the rest.
fn skewed(entry: usize, entries: usize, _: u64) -> f64 {
    let all = 3.0 * f64::from(LIMIT_PER_S);
    if entry == 0 { all / 2.0 } else { all / 2.0 / (entries - 1) as f64 }
}

/// From 30 s on the last entry receives as much demand as the first one. Entries start, and thus
/// report, at different times.
fn joining(entry: usize, entries: usize, time_ms: u64) -> f64 {
    if time_ms < 900 * (entries - 1 - entry) as u64 / entries as u64 {
        return 0.0;
    }
    let joins = entry == entries - 1 && time_ms >= 30_000;
    if entry == 0 || joins { 3.0 * f64::from(LIMIT_PER_S) } else { 1.0 }
}

/// Demand of 90% of the limit, on average even over entries: each entry receives eight times its
/// mean rate in a random eighth of the steps and nothing in the others.
fn noisy(entry: usize, entries: usize, time_ms: u64) -> f64 {
    let mixed = (entry as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15)
        ^ (time_ms + 1).wrapping_mul(0xD6E8_FEB8_6659_FD93);
    let drawn = (mixed ^ (mixed >> 32)).wrapping_mul(0xD6E8_FEB8_6659_FD93) >> 61;
    let mean = 0.9 * f64::from(LIMIT_PER_S) / entries as f64;
    if drawn == 0 { 8.0 * mean } else { 0.0 }
}

struct SteadyCase {
    name: &'static str,
    demand: DemandAt,
    min_admitted: f64,
}

// Guards against a team that gets its whole limit at every entry, which happens when each entry
// enforces the whole limit or when the shares add up to more than the limit.
#[googletest::test]
fn the_sum_over_entries_keeps_to_the_limit() {
    let cases = [
        SteadyCase { name: "even", demand: even, min_admitted: 0.95 },
        SteadyCase { name: "skewed", demand: skewed, min_admitted: 0.90 },
    ];
    for entries in [2, 8, 40] {
        for case in &cases {
            let mut simulation = Simulation::new(entries, case.demand, always_reachable);
            simulation.run(0, 20_000);
            for window in 0..8 {
                let from_ms = 20_000 + window * 5000;
                let admitted: f64 = simulation.run(from_ms, from_ms + 5000).iter().sum();
                expect_that!(admitted, le(1.05), "{} over {entries}", case.name);
                expect_that!(admitted, ge(case.min_admitted), "{} over {entries}", case.name);
            }
        }
    }
    let mut simulation = Simulation::new(8, even, always_reachable);
    simulation.entries.iter_mut().for_each(|limits| *limits = Box::new(Unlimited));
    expect_that!(
        simulation.run(0, 5000).iter().sum::<f64>(),
        ge(2.9),
        "the baseline has no limits"
    );
}

// Guards against steady refusals for a team below its limit. With even demand over 40 entries, each
// entry measures a few requests per second, some more and some fewer than their part. Shares that
// follow the measured rates directly then follow noise.
#[googletest::test]
fn noise_does_not_move_shares() {
    for entries in [8, 40] {
        let mut simulation = Simulation::new(entries, noisy, always_reachable);
        simulation.run(0, 20_000);
        let admitted: f64 = simulation.run(20_000, 60_000).iter().sum();
        let steps = (20_000..60_000).step_by(STEP_MS as usize);
        let demands =
            steps.flat_map(|at_ms| (0..entries).map(move |one| noisy(one, entries, at_ms)));
        let offered = demands.sum::<f64>() / f64::from(LIMIT_PER_S) / (40_000 / STEP_MS) as f64;
        expect_that!(admitted / offered, ge(0.98), "{entries} entries");
    }
}

// Guards against a team that exceeds its limit while its demand spreads to another entry: the entry
// with new demand applies a larger share at once, while the old one still uses its own because it
// has not fetched new totals.
#[googletest::test]
fn a_larger_share_waits_until_the_others_have_shrunk() {
    for entries in [2, 8] {
        let mut simulation = Simulation::new(entries, joining, always_reachable);
        simulation.with_small_burst();
        simulation.run(0, 20_000);
        let before: f64 = simulation.run(20_000, 30_000).iter().sum();
        expect_that!(before, ge(0.9), "the busy entry has nearly the whole limit");
        for second in 30..45 {
            let admitted: f64 = simulation.run(second * 1000, second * 1000 + 1000).iter().sum();
            expect_that!(admitted, le(1.05), "{entries} entries, second {second}");
        }
        let after: f64 = simulation.run(45_000, 50_000).iter().sum();
        expect_that!(after, ge(0.85), "the limit is used again");
        expect_that!(after, le(1.05));
    }
}

struct PartitionCase {
    name: &'static str,
    entries: usize,
    reaches: ReachesAt,
    /// Number of entries that reach no home agent during the partition.
    partitioned: usize,
}

const PARTITION_MS: u64 = 30_000;

fn one_partitioned(entry: usize, _: usize, _: usize, time_ms: u64) -> bool {
    time_ms < PARTITION_MS || entry != 0
}

fn half_partitioned(entry: usize, entries: usize, _: usize, time_ms: u64) -> bool {
    time_ms < PARTITION_MS || entry < entries / 2
}

fn all_partitioned(_: usize, _: usize, _: usize, time_ms: u64) -> bool {
    time_ms < PARTITION_MS
}

// Guards against a team that gets much more than its limit during a network partition. Entries that
// still reach a home agent receive a smaller total and split the whole limit among themselves,
// while the others keep their last share. This happens when an entry without totals has no bound,
// or when nothing is reserved for entries that stopped reporting.
#[googletest::test]
fn a_partition_costs_less_than_one_fair_share() {
    let cases = [
        PartitionCase { name: "one of 2", entries: 2, reaches: one_partitioned, partitioned: 1 },
        PartitionCase { name: "one of 8", entries: 8, reaches: one_partitioned, partitioned: 1 },
        PartitionCase { name: "half of 8", entries: 8, reaches: half_partitioned, partitioned: 4 },
        PartitionCase { name: "all of 8", entries: 8, reaches: all_partitioned, partitioned: 8 },
        PartitionCase {
            name: "half of 40",
            entries: 40,
            reaches: half_partitioned,
            partitioned: 20,
        },
    ];
    for case in cases {
        let mut simulation = Simulation::new(case.entries, skewed, case.reaches);
        simulation.run(0, PARTITION_MS);
        let fair = 1.0 / case.entries as f64;
        for window in 0..8 {
            let from_ms = PARTITION_MS + window * 5000;
            let admitted: f64 = simulation.run(from_ms, from_ms + 5000).iter().sum();
            expect_that!(admitted, lt(1.0 + fair), "{} from {from_ms}", case.name);
        }
        let settled = simulation.run(PARTITION_MS + 40_000, PARTITION_MS + 45_000);
        for entry in settled.iter().rev().take(case.partitioned.min(case.entries - 1)) {
            expect_that!(*entry, le(fair * 1.05), "{}", case.name);
            expect_that!(*entry, ge(fair * 0.4), "{}", case.name);
        }
    }
}

// Guards against entries that each admit the whole limit after a common start. While the platform's
// instance list cannot be read, an unknown number of entries must not be treated as one, as the
// totals contain the number.
#[googletest::test]
fn without_an_instance_list_the_totals_count_the_other_entries() {
    for entries in [2, 8] {
        let mut simulation = Simulation::new(entries, even, always_reachable);
        simulation
            .entries
            .iter_mut()
            .for_each(|limits| limits.set_entry_count(Now::at(START_MS), 0));
        simulation.run(0, 10_000);
        expect_that!(simulation.run(10_000, 20_000).iter().sum::<f64>(), le(1.05));
    }
    let mut simulation = Simulation::new(8, even, |_, _, _, time_ms| time_ms < PARTITION_MS);
    simulation.entries.iter_mut().for_each(|limits| limits.set_entry_count(Now::at(START_MS), 0));
    simulation.run(0, PARTITION_MS + 20_000);
    let admitted: f64 = simulation.run(PARTITION_MS + 20_000, PARTITION_MS + 25_000).iter().sum();
    expect_that!(admitted, le(1.05), "also once the totals have expired");
}

// Guards against occasional refusals for a team far below its limit: its few requests are spread
// over many entries, two of them reach the same entry, and the entry's part of the burst is less
// than two requests.
#[googletest::test]
fn few_requests_over_many_entries_are_not_refused() {
    let document = document(1, 6, 20);
    let mut limits = shared(40, &document);
    for second in 0..60 {
        for _ in 0..2 {
            let now = Now::at(START_MS + second * 5000);
            expect_that!(limits.admit(now, &team_id(0)), eq(Admission::Within));
        }
    }
}

// Guards against control traffic that exceeds the network budget of an instance in a large fleet:
// with many teams and hundreds of backend servers, a report per team and home agent every second
// is too much.
#[googletest::test]
fn reports_keep_to_their_budget_and_to_active_teams() {
    let document = document(260, 900, 1000);
    let mut limits = shared(400, &document);
    let active = 200;
    let mut bytes = 0;
    let mut reported: IndexMap<TeamId, u32> = IndexMap::new();
    for step in 0..6000_u64 {
        let now = Now::at(START_MS + step * 50);
        limits.admit(now, &team_id(step as usize % active));
        for report in limits.due_reports(now) {
            bytes += report_bytes(&report);
            for demand in &report.demands {
                *reported.entry(demand.team.clone()).or_default() += 1;
            }
        }
    }
    let seconds = 6000 * 50 / 1000;
    expect_that!(bytes, le(REPORT_BYTES_PER_S * (seconds + 1)));
    expect_that!(reported.len(), eq(active), "all active teams in turn and no other");
    expect_that!(reported.values().min().copied(), some(ge(2)));
}

#[googletest::test]
fn limits_follow_the_document() {
    let now = Now::at(START_MS);
    let mut limits = shared(1, &document(1, 6, 1000));
    let unknown = TeamId::new("unknown");
    expect_that!(limits.admit(now, &unknown), matches_pattern!(Admission::Exceeded { .. }));
    expect_that!(limits.admit(now, &team_id(0)), eq(Admission::Within));
    limits.adopt(now, &document(1, 6, 2));
    let admitted = (0..100).filter(|_| limits.admit(now, &team_id(0)) == Admission::Within);
    expect_that!(admitted.count(), le(2), "a smaller limit applies at once");
    let Admission::Exceeded { retry_at } = limits.admit(now, &team_id(0)) else {
        panic!("the burst is used up");
    };
    let back = Now { unix_ms: retry_at };
    expect_that!(
        limits.admit(back, &team_id(0)),
        eq(Admission::Within),
        "the retry time is accurate"
    );
    limits.adopt(now, &document(0, 6, 2));
    expect_that!(limits.admit(back, &team_id(0)), matches_pattern!(Admission::Exceeded { .. }));
}
