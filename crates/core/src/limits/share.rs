//! The fraction of a team's limit that this entry may use.
//!
//! The limit is split in proportion to demand. Two rules keep the sum of all shares within the
//! limit. First, a smaller share applies at once, while a larger one waits until the entries whose
//! shares shrink have received the new totals. Second, the fraction that an entry may still use
//! after it stopped reporting is reserved for it.

use super::home_agents::HOME_AGENTS_PER_TEAM;
use crate::message::TeamTotal;
use crate::time::{Now, UnixMs};

/// Fraction of each limit that is split evenly whatever the demand, so that an entry can serve a
/// team that is new to it before it receives a total.
const EVEN_FRACTION: f64 = 0.05;

/// How long a larger share waits before it applies; the other entries have fetched new totals by
/// then.
///
/// Without the wait, an entry whose demand jumps uses its larger share while the others still use
/// their old ones, and the team exceeds its limit until they fetch new totals.
pub(super) const INCREASE_WAIT_MS: u64 = 2500;

/// A share that grows by no more than this fraction applies at once. Otherwise noise in the
/// measured demand would keep every entry waiting for a slightly larger share all the time.
const SMALL_INCREASE: f64 = 0.02;

/// How long a total stays valid. An entry that receives none for this long is partitioned from its
/// home agents, or they are down.
pub(super) const TOTALS_TTL_MS: u64 = 5000;

/// How long a share below the fair one waits before it rises to it, once no total is valid. Home
/// agents forget an entry ten seconds after its last report, and the other entries fetch totals
/// once a second.
const FALLBACK_WAIT_MS: u64 = 7000;

/// How long the largest number of entries in a total is remembered.
///
/// Entries that disappear from the total together are most likely on the other side of a network
/// partition and still serving; the platform's instance list still names them. Their fair shares
/// stay reserved until the list drops them or this time has passed.
const PEAK_TTL_MS: u64 = 300_000;

/// Fraction of its limit above which a team's total demand counts as close to the limit.
const NEAR_LIMIT_FRACTION: f64 = 0.6;

/// The latest total from one home agent.
#[derive(Clone, Copy, Debug)]
pub(super) struct HomeAgentTotal {
    /// Demand that this entry had reported to the agent before the total arrived.
    pub(super) reported_per_s: f64,
    /// Demand over all entries, in requests per second.
    pub(super) total_per_s: f64,
    /// Number of entries in the total.
    pub(super) entries: u32,
    /// When the total expires.
    pub(super) valid_until: UnixMs,
}

impl HomeAgentTotal {
    /// Combines a received total with the demand that this entry had reported before it.
    pub(super) fn new(now: Now, reported_per_s: f64, total: &TeamTotal) -> Self {
        Self {
            reported_per_s,
            total_per_s: f64::from(total.requests_per_s),
            entries: total.entries,
            valid_until: now.after(TOTALS_TTL_MS),
        }
    }
}

/// A larger share that does not apply yet.
#[derive(Clone, Copy, Debug)]
struct Increase {
    fraction: f64,
    applies_at: UnixMs,
}

/// The share of one team's limit at this entry.
#[derive(Clone, Debug)]
pub(super) struct Share {
    fraction: f64,
    increase: Option<Increase>,
    /// Whether the share was set without a valid total.
    fallen_back: bool,
    totals: [Option<HomeAgentTotal>; HOME_AGENTS_PER_TEAM],
    peak_entries: u32,
    peak_valid_until: UnixMs,
}

impl Share {
    /// Creates a share that starts at the fair one, as the demand at other entries is unknown.
    pub(super) fn fair(entries: u32) -> Self {
        Self {
            fraction: fair_fraction(entries),
            increase: None,
            fallen_back: true,
            totals: [None; HOME_AGENTS_PER_TEAM],
            peak_entries: 0,
            peak_valid_until: UnixMs::default(),
        }
    }

    /// Returns the fraction of the limit that this entry may use now, from 0 to 1.
    pub(super) fn fraction(&mut self, now: Now, entries: u32) -> f64 {
        let entries = self.entries_or_peak(entries);
        if self.is_stale(now) {
            self.fall_back(now, entries);
        } else {
            self.apply_increase(now);
        }
        self.fraction
    }

    /// Takes a total from the home agent at index `home` and updates the share.
    pub(super) fn receive_total(
        &mut self,
        now: Now,
        entries: u32,
        home: usize,
        total: HomeAgentTotal,
    ) {
        self.fraction(now, entries);
        if std::mem::take(&mut self.fallen_back) {
            self.increase = None;
        }
        self.totals[home] = Some(total);
        self.remember_peak(now, total.entries);
        let entries = self.entries_or_peak(entries);
        let target = self.target(now, entries);
        self.move_towards(now, target);
    }

    /// Discards all totals, because the team's home agents have changed.
    pub(super) fn forget_totals(&mut self) {
        self.totals = [None; HOME_AGENTS_PER_TEAM];
        self.increase = None;
    }

    /// Whether no total is valid.
    pub(super) fn is_stale(&self, now: Now) -> bool {
        self.valid_totals(now).next().is_none()
    }

    /// Returns the mean demand per entry, or none without a valid total.
    pub(super) fn mean_per_s(&self, now: Now) -> Option<f64> {
        let means = self.valid_totals(now).filter(|total| total.entries > 0);
        means.map(|total| total.total_per_s / f64::from(total.entries)).reduce(f64::max)
    }

    /// Whether the team's demand over all entries is unknown or close to `limit_per_s`.
    pub(super) fn is_near_limit(&self, now: Now, limit_per_s: f64) -> bool {
        let largest = self.valid_totals(now).map(|total| total.total_per_s).reduce(f64::max);
        largest.is_none_or(|total_per_s| total_per_s > limit_per_s * NEAR_LIMIT_FRACTION)
    }

    /// Returns the number of entries by the instance list, or by the totals while the list is
    /// unknown.
    ///
    /// Without the totals, entries that start while the platform's list cannot be read would each
    /// assume that they are the only one.
    fn entries_or_peak(&self, entries: u32) -> u32 {
        if entries == 0 { self.peak_entries } else { entries }
    }

    fn valid_totals(&self, now: Now) -> impl Iterator<Item = &HomeAgentTotal> {
        self.totals.iter().flatten().filter(move |total| !total.valid_until.is_past(now))
    }

    /// Moves the share to the fair one, `1 / entries`, while no total is valid.
    ///
    /// Keeping the last share would let an entry with much demand use it throughout a partition,
    /// while the other side splits the same limit among the entries that still report.
    ///
    /// A smaller share rises to the fair one only when the home agents, too, have forgotten this
    /// entry, and the other entries reserve its fair share; until then they use it.
    fn fall_back(&mut self, now: Now, entries: u32) {
        let fair = fair_fraction(entries);
        if !self.fallen_back {
            self.fallen_back = true;
            self.increase =
                Some(Increase { fraction: fair, applies_at: now.after(FALLBACK_WAIT_MS) });
        }
        if self.fraction > fair {
            self.fraction = fair;
        }
        self.apply_increase(now);
    }

    fn apply_increase(&mut self, now: Now) {
        if let Some(increase) = self.increase.filter(|increase| increase.applies_at.is_past(now)) {
            self.fraction = increase.fraction;
            self.increase = None;
        }
    }

    fn remember_peak(&mut self, now: Now, entries: u32) {
        if entries >= self.peak_entries || self.peak_valid_until.is_past(now) {
            self.peak_entries = entries;
            self.peak_valid_until = now.after(PEAK_TTL_MS);
        }
    }

    /// Returns the smaller of the shares that follow from the totals of the two home agents.
    fn target(&self, now: Now, entries: u32) -> f64 {
        self.valid_totals(now)
            .map(|total| self.target_from(total, entries))
            .reduce(f64::min)
            .unwrap_or_else(|| fair_fraction(entries))
    }

    /// Returns the share in proportion to demand by one total, after the fair shares of entries
    /// that stopped reporting are subtracted.
    fn target_from(&self, total: &HomeAgentTotal, entries: u32) -> f64 {
        let fair = fair_fraction(entries);
        let not_reporting = self.peak_entries.min(entries).saturating_sub(total.entries);
        let remaining = 1.0 - f64::from(not_reporting) * fair;
        let total_per_s = total.total_per_s.max(total.reported_per_s);
        let proportion = if total_per_s > 0.0 { total.reported_per_s / total_per_s } else { fair };
        remaining * (1.0 - EVEN_FRACTION) * proportion + EVEN_FRACTION * fair
    }

    /// Applies a smaller target at once; lets a larger one wait for [`INCREASE_WAIT_MS`].
    fn move_towards(&mut self, now: Now, target: f64) {
        if target <= self.fraction * (1.0 + SMALL_INCREASE) {
            self.fraction = target;
            self.increase = None;
            return;
        }
        let waiting = self.increase.map(|increase| Increase {
            fraction: increase.fraction.min(target),
            applies_at: increase.applies_at,
        });
        let fresh = Increase { fraction: target, applies_at: now.after(INCREASE_WAIT_MS) };
        self.increase = Some(waiting.unwrap_or(fresh));
    }
}

fn fair_fraction(entries: u32) -> f64 {
    1.0 / f64::from(entries.max(1))
}
