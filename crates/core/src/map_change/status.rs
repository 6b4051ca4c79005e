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
    /// What the agent knows of the rank beside the leader for which its own rank holds.
    pub witness: Option<Witness>,
    /// How much longer the rank's own work takes than usual, in thousandths.
    pub pace_permille: u32,
    /// Whether the leader read this by itself, because the rank's agent is not heard. Such a word
    /// is some hundred milliseconds old.
    #[serde(rename = "is_from_afar")]
    pub is_read_remotely: bool,
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

/// What the agent of a rank that holds a pass knows of the leader that it holds for.
///
/// Nobody else orders the rank beside that leader to switch, so this tells whether it is armed also while
/// its machine answers nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// The leader's fence.
    pub fence: u64,
    /// The rank beside it.
    pub rank: u16,
    /// The order to switch that the agent gave to that rank.
    pub ordered: Option<ArmAttempt>,
}

/// An order to switch, given to the rank beside a leader by another rank's agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArmAttempt {
    /// As this pass begins.
    pub step: u64,
    /// Whether the rank is armed; it may or may not be otherwise.
    pub is_armed: bool,
}

impl Witness {
    /// What is known of the leader's rank before the held pass `step`.
    pub(super) fn knows(&self, step: u64) -> Knowledge {
        match self.ordered.filter(|ordered| ordered.step == step) {
            None => Knowledge::NotArmed,
            Some(ArmAttempt { is_armed: true, .. }) => Knowledge::Armed,
            Some(ArmAttempt { is_armed: false, .. }) => Knowledge::InDoubt,
        }
    }
}

/// What is known of a rank without asking it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Knowledge {
    /// It is not armed for the held pass, and nobody will arm it.
    NotArmed,
    /// It is armed for the held pass, and so are all others.
    Armed,
    /// An order to arm was given and not answered.
    InDoubt,
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
