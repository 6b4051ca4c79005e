//! What a rank says of itself.

use serde::{Deserialize, Serialize};

/// A rank's word about its part in the group, as its agent read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankStatus {
    /// Its group.
    pub group: String,
    /// Its place in the group.
    pub rank: u16,
    /// Ranks of the group.
    pub ranks: u16,
    /// Grows each time the group is formed.
    pub epoch: u64,
    /// Whether the group makes passes.
    pub is_open: bool,
    /// The last pass that was begun.
    pub step: u64,
    /// The map in use.
    pub map: u64,
    /// The newest map whose copies are complete.
    pub prepared: Option<u64>,
    /// The map to which the rank will switch.
    pub armed: Option<Armed>,
    /// The pass that does not begin before it is let go.
    pub held_step: Option<u64>,
    /// The highest fence that the agent has sent to the rank.
    pub highest_fence: u64,
    /// How much longer the rank's own work takes than usual, in thousandths.
    pub pace_permille: u32,
    /// Whether the leader read this by itself, because the rank's agent is not heard. Such a word
    /// is some hundred milliseconds old.
    pub is_from_afar: bool,
    /// How often experts were chosen since the agent's last status.
    pub counts: CountsSample,
    /// Experts that the rank holds, by layer, when the leader does not know them.
    pub experts: Option<Vec<Vec<u16>>>,
}

/// A rank that will switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Armed {
    /// To this map.
    pub version: u64,
    /// As this pass begins.
    pub step: u64,
}

/// Mean of the numbers that tell of the choices of experts. A rank's own rounding is then a tenth of a
/// typical number, and less than the chance in its requests; over all ranks it averages out.
const MEAN_COUNT: u64 = 4;

/// Choices of experts between two statuses, told in few bits: a leader hears them of every rank
/// several times a second, over the link of a small machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsSample {
    /// Choices that one count stands for.
    pub unit: u32,
    /// Counts, layer after layer, expert after expert; empty when there is nothing to compare.
    pub counts: Vec<u32>,
}

impl CountsSample {
    /// Rounds choices to counts that are small on average.
    #[must_use]
    pub fn of(choices: &[u32]) -> Self {
        let sum: u64 = choices.iter().copied().map(u64::from).sum();
        let unit = (sum / (MEAN_COUNT * choices.len().max(1) as u64)).max(1);
        let unit = u32::try_from(unit).unwrap_or(u32::MAX);
        let rounded = |choices: &u32| choices.saturating_add(unit / 2) / unit;
        Self { unit, counts: choices.iter().map(rounded).collect() }
    }
}
