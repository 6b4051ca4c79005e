//! Which part of a team's limit belongs to this entry.
//!
//! The limit is split in proportion to demand. Safety rests on two rules. A smaller share applies
//! at once; a larger one waits until the entries that must give way have heard of it. And what an
//! entry that has fallen silent may still use is left aside for it.

use super::homes::HOMES;
use crate::message::TeamTotal;
use crate::time::{Now, UnixMs};

/// Part of each limit that is split evenly, whatever the demand, so that an entry at which a team
/// newly appears can serve it before any total is known.
const EVEN_PART: f64 = 0.05;

/// How long a larger share waits. The other entries have asked for new totals by then.
///
/// Without the wait, an entry whose demand jumps takes its larger share while the others still use
/// theirs, and the team runs over its limit by the sum of both until they ask again.
pub(super) const INCREASE_WAIT_MS: u64 = 2500;

/// A share that grows by no more than this part applies at once: noise of measured demand would
/// otherwise keep every entry waiting for a little more, below its share for good.
const SMALL_INCREASE: f64 = 0.02;

/// How long totals hold. An entry that hears nothing for so long is cut off, or its home agents
/// are gone.
pub(super) const TOTALS_HOLD_MS: u64 = 5000;

/// How long a share below the fair one waits after totals have ceased to hold. Home agents forget
/// an entry ten seconds after its last report; the others ask once a second.
const FALL_BACK_MS: u64 = 7000;

/// How long the largest number of entries in a total is remembered.
///
/// When entries drop out of the total together, they are most likely on the other side of a cut
/// and serve on; the platform's list still names them. Their even parts are left aside until the
/// list drops them or this time has passed.
const PEAK_HOLD_MS: u64 = 300_000;

/// Part of its limit from which on a team's total counts as close to it.
const TIGHT_PART: f64 = 0.6;

/// What one home agent said last.
#[derive(Clone, Copy, Debug)]
pub(super) struct HomeTotal {
    /// Demand that this entry had told it.
    pub(super) told_per_s: f64,
    /// Demand over all entries.
    pub(super) total_per_s: f64,
    /// Entries in the total.
    pub(super) entries: u32,
    /// Until when it holds.
    pub(super) holds_until: UnixMs,
}

impl HomeTotal {
    /// Joins an answer with what this entry had reported before it.
    pub(super) fn new(now: Now, told_per_s: f64, total: &TeamTotal) -> Self {
        Self {
            told_per_s,
            total_per_s: f64::from(total.requests_per_s),
            entries: total.entries,
            holds_until: now.after(TOTALS_HOLD_MS),
        }
    }
}

/// A larger share that waits.
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
    /// Whether the present share comes from hearing nothing.
    fallen_back: bool,
    homes: [Option<HomeTotal>; HOMES],
    peak_entries: u32,
    peak_until: UnixMs,
}

impl Share {
    /// Begins with the fair share: nothing is known of the others.
    pub(super) fn fair(entries: u32) -> Self {
        Self {
            fraction: fair_fraction(entries),
            increase: None,
            fallen_back: true,
            homes: [None; HOMES],
            peak_entries: 0,
            peak_until: UnixMs::default(),
        }
    }

    /// The part of the limit that may be used now, from 0 to 1.
    pub(super) fn fraction(&mut self, now: Now, entries: u32) -> f64 {
        let entries = self.entries_or_peak(entries);
        if self.is_stale(now) {
            self.fall_back(now, entries);
        } else {
            self.apply_increase(now);
        }
        self.fraction
    }

    /// Learns a total from one of the two home agents.
    pub(super) fn learn(&mut self, now: Now, entries: u32, home: usize, total: HomeTotal) {
        self.fraction(now, entries);
        if std::mem::take(&mut self.fallen_back) {
            self.increase = None;
        }
        self.homes[home] = Some(total);
        self.remember_peak(now, total.entries);
        let entries = self.entries_or_peak(entries);
        let target = self.target(now, entries);
        self.approach(now, target);
    }

    /// Forgets totals: other agents sum up the team from now on.
    pub(super) fn forget_homes(&mut self) {
        self.homes = [None; HOMES];
        self.increase = None;
    }

    /// Whether no total holds.
    pub(super) fn is_stale(&self, now: Now) -> bool {
        self.holding(now).next().is_none()
    }

    /// Demand at the average entry.
    pub(super) fn mean_per_s(&self, now: Now) -> Option<f64> {
        let means = self.holding(now).filter(|home| home.entries > 0);
        means.map(|home| home.total_per_s / f64::from(home.entries)).reduce(f64::max)
    }

    /// Whether the team's demand over all entries is close to `limit_per_s` or unknown.
    pub(super) fn is_tight(&self, now: Now, limit_per_s: f64) -> bool {
        let largest = self.holding(now).map(|home| home.total_per_s).reduce(f64::max);
        largest.is_none_or(|total_per_s| total_per_s > limit_per_s * TIGHT_PART)
    }

    /// The number of entries by the instance list, or while that is unknown by the totals.
    ///
    /// Without the latter, entries that start while the platform's list cannot be read would each
    /// take themselves for the only one.
    fn entries_or_peak(&self, entries: u32) -> u32 {
        if entries == 0 { self.peak_entries } else { entries }
    }

    fn holding(&self, now: Now) -> impl Iterator<Item = &HomeTotal> {
        self.homes.iter().flatten().filter(move |home| !home.holds_until.is_past(now))
    }

    /// An entry that hears nothing keeps to what every entry would have if demand were even.
    /// Keeping the last share would let an entry that had much demand use it for the whole cut,
    /// while the other side splits the same limit among those it still hears of.
    ///
    /// A smaller share rises to the fair one only when the home agents, too, have forgotten this
    /// entry and left its part aside; until then the others use it.
    fn fall_back(&mut self, now: Now, entries: u32) {
        let fair = fair_fraction(entries);
        if !self.fallen_back {
            self.fallen_back = true;
            self.increase = Some(Increase { fraction: fair, applies_at: now.after(FALL_BACK_MS) });
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
        if entries >= self.peak_entries || self.peak_until.is_past(now) {
            self.peak_entries = entries;
            self.peak_until = now.after(PEAK_HOLD_MS);
        }
    }

    /// The smaller of the parts that the two homes' totals give.
    fn target(&self, now: Now, entries: u32) -> f64 {
        self.holding(now)
            .map(|home| self.target_by(home, entries))
            .reduce(f64::min)
            .unwrap_or_else(|| fair_fraction(entries))
    }

    fn target_by(&self, home: &HomeTotal, entries: u32) -> f64 {
        let fair = fair_fraction(entries);
        let silent = self.peak_entries.min(entries).saturating_sub(home.entries);
        let left = 1.0 - f64::from(silent) * fair;
        let total_per_s = home.total_per_s.max(home.told_per_s);
        let proportion = if total_per_s > 0.0 { home.told_per_s / total_per_s } else { fair };
        left * (1.0 - EVEN_PART) * proportion + EVEN_PART * fair
    }

    fn approach(&mut self, now: Now, target: f64) {
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
