//! Status reports of ranks.

use serde::{Deserialize, Serialize};

/// Status of a rank, as an agent read it from the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankStatus {
    /// Name of the group.
    pub group: String,
    /// Number of the rank within the group.
    pub rank: u16,
    /// Number of ranks in the group.
    pub ranks: u16,
    /// Epoch of the group, which increases each time the group is formed.
    pub epoch: u64,
    /// Whether the group runs passes.
    pub is_open: bool,
    /// Number of the last pass that has begun.
    pub step: u64,
    /// Version of the map in use.
    pub map: u64,
    /// Version of the newest map that is copied completely.
    pub prepared: Option<u64>,
    /// The pending switch to another map, if any.
    pub armed: Option<Armed>,
    /// Number of the pass that the rank holds, if any.
    pub held_step: Option<u64>,
    /// The highest fencing number that the agent has sent to the rank.
    pub highest_fence: u64,
    /// What the agent of the rank that holds a pass recorded about the leader's rank.
    pub witness: Option<Witness>,
    /// Duration of the rank's own work relative to its usual duration, in thousandths.
    pub pace_permille: u32,
    /// Whether the leader read this status over the network because the rank's agent is silent.
    /// Such a status is some hundred milliseconds old.
    #[serde(rename = "is_from_afar")]
    pub is_read_remotely: bool,
    /// How often each expert was chosen since the previous status of the agent.
    pub counts: CountsSample,
    /// Experts that the rank holds, by layer; none if the leader knows them.
    pub experts: Option<Vec<Vec<u16>>>,
}

/// A pending switch of a rank to a prepared map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Armed {
    /// Version of the map.
    pub version: u64,
    /// Number of the pass at whose beginning the rank switches.
    pub step: u64,
}

/// Record of whether the leader's own rank is armed, kept by the agent of the rank that holds a
/// pass.
///
/// No other agent arms that rank, so the record is reliable even while the instance of the leader
/// does not answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Witness {
    /// Fencing number of the leader.
    pub fence: u64,
    /// The leader's own rank.
    pub rank: u16,
    /// The last order to arm that the agent delivered to that rank.
    pub ordered: Option<ArmAttempt>,
}

/// An attempt of a witness to arm the leader's own rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArmAttempt {
    /// Number of the pass at whose beginning the rank is to switch.
    pub step: u64,
    /// Whether the rank has confirmed that it is armed. If not, it may or may not be.
    pub is_armed: bool,
}

impl Witness {
    /// Returns what the record implies for the leader's rank, `newest_step` being the last pass that
    /// has begun.
    ///
    /// The attempt counts whichever pass is held: an earlier order to hold may be carried out late and
    /// name another pass than the one that ranks are armed for.
    pub(super) fn arm_knowledge(&self, newest_step: u64) -> ArmKnowledge {
        match self.ordered.filter(|ordered| ordered.step > newest_step) {
            None => ArmKnowledge::NotArmed,
            Some(ArmAttempt { is_armed: true, step }) => ArmKnowledge::Armed { step },
            Some(ArmAttempt { is_armed: false, .. }) => ArmKnowledge::Unknown,
        }
    }
}

/// What is known about a rank without polling it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ArmKnowledge {
    /// The rank is not armed for a pass to come, and nobody will arm it.
    NotArmed,
    /// The rank is armed for the pass `step`, and so are all others.
    Armed { step: u64 },
    /// An order to arm was sent and not answered.
    Unknown,
}

/// Mean of the rounded counts in a sample. The rounding error of a single rank is then about a
/// tenth of a typical count, less than the random variation of its requests, and averages out over
/// all ranks.
const MEAN_COUNT: u64 = 4;

/// How often each expert was chosen between two statuses, in a compact form. A leader receives the
/// counts of every rank several times per second over the link of a small instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsSample {
    /// Number of choices that one count represents.
    pub unit: u32,
    /// Counts by layer, then by expert; empty if there is no earlier status to compare with.
    pub counts: Vec<u32>,
}

impl CountsSample {
    /// Scales choices down to counts whose mean is small.
    #[must_use]
    pub fn of(choices: &[u32]) -> Self {
        let sum: u64 = choices.iter().copied().map(u64::from).sum();
        let unit = (sum / (MEAN_COUNT * choices.len().max(1) as u64)).max(1);
        let unit = u32::try_from(unit).unwrap_or(u32::MAX);
        let rounded = |choices: &u32| choices.saturating_add(unit / 2) / unit;
        Self { unit, counts: choices.iter().map(rounded).collect() }
    }
}
