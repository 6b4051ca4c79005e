//! The state of one team's limit at one entry.

use super::bucket::{Bucket, BucketParams};
use super::home_agents::home_agents_of;
use super::rate::ArrivalRate;
use super::share::{HomeAgentTotal, Share};
use crate::message::TeamTotal;
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, Document, Team, TeamLimit};

/// Time between demand reports of a team that is close to its limit.
const NEAR_LIMIT_REPORT_PERIOD_MS: u64 = 1000;

/// Time between demand reports of any other team.
const REPORT_PERIOD_MS: u64 = 2000;

/// A team with less demand counts as inactive at this entry.
const MIN_DEMAND_PER_S: f64 = 0.02;

/// Standard deviations by which an entry's bucket exceeds its plain share of the burst.
const BURST_DEVIATIONS: f64 = 2.0;

/// Smallest bucket capacity, unless the limit's whole burst is smaller.
const MIN_CAPACITY: f64 = 3.0;

/// The limit, measured demand, share and bucket of one team.
#[derive(Clone, Debug)]
pub(super) struct TeamRow {
    pub(super) home_agents: Vec<HomeAgentRow>,
    limit: TeamLimit,
    demand: ArrivalRate,
    share: Share,
    bucket: Bucket,
    params: BucketParams,
}

/// One home agent of a team.
#[derive(Clone, Debug)]
pub(super) struct HomeAgentRow {
    /// The backend server beside which the agent runs.
    pub(super) id: BackendServerId,
    /// When the next demand report is due.
    pub(super) report_due: UnixMs,
    /// Demand in the latest report.
    pub(super) reported_per_s: f64,
}

impl TeamRow {
    /// Creates a row with the fair share and a full bucket.
    pub(super) fn new(now: Now, entries: u32, team: &Team, document: &Document) -> Self {
        let mut share = Share::fair(entries);
        let params = bucket_params(team.limit, share.fraction(now, entries));
        Self {
            home_agents: home_agent_rows(now, team, document),
            limit: team.limit,
            demand: ArrivalRate::default(),
            share,
            bucket: Bucket::full(now, params),
            params,
        }
    }

    /// Applies a newly adopted document.
    pub(super) fn adopt(&mut self, now: Now, entries: u32, team: &Team, document: &Document) {
        let home_agents = home_agent_rows(now, team, document);
        if !home_agents.iter().map(|home| &home.id).eq(self.home_agents.iter().map(|home| &home.id))
        {
            self.home_agents = home_agents;
            self.share.forget_totals();
        }
        self.limit = team.limit;
        self.refresh(now, entries);
    }

    /// Counts one request and admits it, or returns the time at which to retry.
    pub(super) fn admit(&mut self, now: Now, entries: u32) -> Result<(), UnixMs> {
        self.demand.record_arrival(now);
        self.refresh(now, entries);
        self.bucket.take(now, self.params)
    }

    /// Takes a total from a home agent; ignores agents that are not home agents of the team.
    pub(super) fn receive_total(
        &mut self,
        now: Now,
        entries: u32,
        from: &BackendServerId,
        total: &TeamTotal,
    ) {
        let Some(index) = self.home_agents.iter().position(|home| home.id == *from) else {
            return;
        };
        let total = HomeAgentTotal::new(now, self.home_agents[index].reported_per_s, total);
        self.share.receive_total(now, entries, index, total);
        self.refresh(now, entries);
    }

    /// Returns the demand to report, in requests per second; zero for an inactive team.
    pub(super) fn demand_per_s(&self, now: Now) -> f64 {
        if self.demand.per_s(now) < MIN_DEMAND_PER_S {
            return 0.0;
        }
        self.demand.shrunk_per_s(now, self.share.mean_per_s(now))
    }

    /// Returns the time between two demand reports of the team.
    pub(super) fn report_period_ms(&self, now: Now) -> u64 {
        let limit_per_s = f64::from(self.limit.requests_per_s);
        if self.share.is_near_limit(now, limit_per_s) {
            NEAR_LIMIT_REPORT_PERIOD_MS
        } else {
            REPORT_PERIOD_MS
        }
    }

    /// Refills the bucket with the old parameters, then replaces them by the current ones.
    fn refresh(&mut self, now: Now, entries: u32) {
        self.bucket.fill(now, self.params);
        self.params = bucket_params(self.limit, self.share.fraction(now, entries));
    }
}

fn bucket_params(limit: TeamLimit, fraction: f64) -> BucketParams {
    BucketParams {
        per_s: f64::from(limit.requests_per_s) * fraction,
        capacity: capacity(f64::from(limit.burst_requests), fraction),
    }
}

/// Returns the bucket capacity, the requests that this entry admits at once.
///
/// It is more than the plain share of the burst: when few requests are spread over entries at
/// random, some entry receives twice its part. With the plain share, a team far below its limit
/// would be refused whenever two of its requests reach the same one of many entries.
fn capacity(burst: f64, fraction: f64) -> f64 {
    let part = burst * fraction;
    let spread = BURST_DEVIATIONS * part.sqrt();
    (part + spread).max(MIN_CAPACITY).min(burst.max(1.0))
}

fn home_agent_rows(now: Now, team: &Team, document: &Document) -> Vec<HomeAgentRow> {
    home_agents_of(document, &team.id)
        .into_iter()
        .map(|id| HomeAgentRow { id, report_due: now.unix_ms, reported_per_s: 0.0 })
        .collect()
}
