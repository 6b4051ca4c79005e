//! The coordinator's decision when to move experts.

use hickorycross_config::{Balance, ModelGroup};
use hickorycross_core::group::{self, GroupMember};
use hickorycross_core::placement::{
    Change, ChangeOutcome, ExpertMap, GroupShape, LoadCollector, RankLoad, RebalancePolicy,
    Weighted, WeightedSettings,
};
use hickorycross_core::{Now, UnixMs};

/// Pause between two decisions.
const DECISION_PAUSE_MS: u64 = 1_000;
/// Experts loaded in one change at most, on average for each layer.
const MAX_LOADS_PER_LAYER: u32 = 4;

/// Decides for one group.
pub(crate) struct Balancer {
    policy: Box<dyn RebalancePolicy>,
    collector: LoadCollector,
    decide_at: UnixMs,
    proposed: Option<Change>,
}

impl Balancer {
    /// Begins for a group; none when its dimensions admit no map.
    pub(crate) fn new(group: &ModelGroup, balance: Balance) -> Option<Self> {
        let shape = GroupShape::of(group).ok()?;
        let settings = WeightedSettings { balance, max_loads_per_layer: MAX_LOADS_PER_LAYER };
        Some(Self {
            policy: Box::new(Weighted::new(shape, &settings)),
            collector: LoadCollector::new(shape.ranks),
            decide_at: UnixMs::default(),
            proposed: None,
        })
    }

    /// Takes the load of one member's ranks.
    pub(crate) fn take(&mut self, now: Now, load: RankLoad) {
        let Some(report) = self.collector.take(now, load) else { return };
        if let Err(fault) = self.policy.observe(&report) {
            log::debug!(target: "group", fault = fault.to_string().as_str(); "load not used");
        }
    }

    /// Decides, if it is time and this member coordinates.
    pub(crate) fn propose(&mut self, now: Now, member: &GroupMember) -> Option<group::ExpertMap> {
        if !self.decide_at.is_past(now) || self.proposed.is_some() {
            return None;
        }
        self.decide_at = now.after(DECISION_PAUSE_MS);
        let present = member.map_in_use()?;
        let change = self.policy.decide(now, &ExpertMap { layers: present.layers.clone() })?;
        let map = group::ExpertMap { layers: change.target.layers.clone(), ..present.clone() };
        self.proposed = Some(change);
        Some(map)
    }

    /// Learns how the proposal ended; gives it back for the record.
    pub(crate) fn settle(&mut self, now: Now, outcome: ChangeOutcome) -> Option<Change> {
        let change = self.proposed.take()?;
        self.policy.settle(now, outcome);
        Some(change)
    }
}
