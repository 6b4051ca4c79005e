//! One team at one entry.

use super::bucket::{Bucket, Flow};
use super::homes::homes_of;
use super::rate::ArrivalRate;
use super::share::{HomeTotal, Share};
use crate::message::TeamTotal;
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, Document, Team, TeamLimit};

/// Time between reports of a team that is close to its limit.
const TIGHT_PERIOD_MS: u64 = 1000;

/// Time between reports of any other team.
const CALM_PERIOD_MS: u64 = 2000;

/// Below this demand a team counts as gone from this entry.
const LEAST_DEMAND_PER_S: f64 = 0.02;

/// Standard deviations of its part of a burst that an entry lets through besides.
const BURST_DEVIATIONS: f64 = 2.0;

/// Least requests that an entry lets through at once, if the limit has as large a burst.
const LEAST_CAPACITY: f64 = 3.0;

/// Row of one team.
#[derive(Clone, Debug)]
pub(super) struct TeamRow {
    pub(super) homes: Vec<HomeRow>,
    limit: TeamLimit,
    demand: ArrivalRate,
    share: Share,
    bucket: Bucket,
    flow: Flow,
}

/// One home agent of a team.
#[derive(Clone, Debug)]
pub(super) struct HomeRow {
    /// Its backend server.
    pub(super) id: BackendServerId,
    /// When the next report is due.
    pub(super) report_due: UnixMs,
    /// Demand of the latest report.
    pub(super) told_per_s: f64,
}

impl TeamRow {
    /// Begins with the fair share and a full bucket.
    pub(super) fn new(now: Now, entries: u32, team: &Team, document: &Document) -> Self {
        let mut share = Share::fair(entries);
        let flow = flow(team.limit, share.fraction(now, entries));
        Self {
            homes: home_rows(now, team, document),
            limit: team.limit,
            demand: ArrivalRate::default(),
            share,
            bucket: Bucket::full(now, flow),
            flow,
        }
    }

    /// Follows another document.
    pub(super) fn adopt(&mut self, now: Now, entries: u32, team: &Team, document: &Document) {
        let homes = home_rows(now, team, document);
        if !homes.iter().map(|home| &home.id).eq(self.homes.iter().map(|home| &home.id)) {
            self.homes = homes;
            self.share.forget_homes();
        }
        self.limit = team.limit;
        self.refresh(now, entries);
    }

    /// Counts one request and judges it.
    pub(super) fn admit(&mut self, now: Now, entries: u32) -> Result<(), UnixMs> {
        self.demand.arrived(now);
        self.refresh(now, entries);
        self.bucket.take(now, self.flow)
    }

    /// Learns a total from a home agent.
    pub(super) fn learn(
        &mut self,
        now: Now,
        entries: u32,
        from: &BackendServerId,
        total: &TeamTotal,
    ) {
        let Some(index) = self.homes.iter().position(|home| home.id == *from) else {
            return;
        };
        let total = HomeTotal::new(now, self.homes[index].told_per_s, total);
        self.share.learn(now, entries, index, total);
        self.refresh(now, entries);
    }

    /// Demand to report: none once the team is gone and its homes have been told so.
    pub(super) fn demand_per_s(&self, now: Now) -> f64 {
        if self.demand.per_s(now) < LEAST_DEMAND_PER_S {
            return 0.0;
        }
        self.demand.steadied_per_s(now, self.share.mean_per_s(now))
    }

    /// Time from one report to the next.
    pub(super) fn period_ms(&self, now: Now) -> u64 {
        let limit_per_s = f64::from(self.limit.requests_per_s);
        if self.share.is_tight(now, limit_per_s) { TIGHT_PERIOD_MS } else { CALM_PERIOD_MS }
    }

    /// Fills the bucket at the old flow, then takes the flow that holds now.
    fn refresh(&mut self, now: Now, entries: u32) {
        self.bucket.fill(now, self.flow);
        self.flow = flow(self.limit, self.share.fraction(now, entries));
    }
}

fn flow(limit: TeamLimit, fraction: f64) -> Flow {
    Flow {
        per_s: f64::from(limit.requests_per_s) * fraction,
        capacity: capacity(f64::from(limit.burst_requests), fraction),
    }
}

/// Requests that this entry lets through at once.
///
/// More than its plain share of the burst: of few requests that are spread over entries at random,
/// some entry sees twice its part. With the plain share, a team far below its limit would be
/// refused whenever two of its requests meet at one of many entries.
fn capacity(burst: f64, fraction: f64) -> f64 {
    let part = burst * fraction;
    let spread = BURST_DEVIATIONS * part.sqrt();
    (part + spread).max(LEAST_CAPACITY).min(burst.max(1.0))
}

fn home_rows(now: Now, team: &Team, document: &Document) -> Vec<HomeRow> {
    homes_of(document, &team.id)
        .into_iter()
        .map(|id| HomeRow { id, report_due: now.unix_ms, told_per_s: 0.0 })
        .collect()
}
