//! How far projected waits are trusted, learnt from work that expired.

use indexmap::IndexMap;

/// Factor on projected waits before anything is learnt.
const FIRST: f64 = 1.75;

/// Highest factor.
const HIGHEST: f64 = 8.0;

/// What one expired request adds to the factor.
const RAISE: f64 = 0.25;

/// Expired requests in thousandths of begun ones at which the factor keeps still.
const TARGET_PERMILLE: f64 = 3.0;

/// Factors on projected waits, by rank.
///
/// A projection cannot know how a queue orders the teams of a tier, what higher tiers will send
/// next, or how stale the reports are. Work accepted on a projection that is too low expires in a
/// queue, after its caller has waited for the whole deadline. Each such request raises the factor
/// and each begun one lowers it a little, so that it settles where few expire.
#[derive(Clone, Debug, Default)]
pub(super) struct Margins {
    factors: IndexMap<u8, f64>,
}

impl Margins {
    /// The factor for a rank.
    pub(super) fn factor(&self, rank: u8) -> f64 {
        self.factors.get(&rank).copied().unwrap_or(FIRST)
    }

    /// A request began.
    pub(super) fn began(&mut self, rank: u8) {
        self.add(rank, -RAISE * TARGET_PERMILLE / 1000.0);
    }

    /// A request expired in a queue.
    pub(super) fn expired(&mut self, rank: u8) {
        self.add(rank, RAISE);
    }

    fn add(&mut self, rank: u8, change: f64) {
        let factor = self.factors.entry(rank).or_insert(FIRST);
        *factor = (*factor + change).clamp(FIRST, HIGHEST);
    }
}
