//! The coordinator's decision when to move experts.

use super::engine::EngineEvent;
use super::loading::StorePace;
use hickorycross_config::{Balance, ModelGroup};
use hickorycross_core::group::{self, GroupMember};
use hickorycross_core::placement::{
    ChangeOutcome, ExpertMap, GroupShape, LoadCollector, ProposedChange, RankLoad, RebalancePolicy,
    WeightedPolicy, WeightedPolicySettings,
};
use hickorycross_core::{Now, UnixMs};
use tokio::sync::mpsc::UnboundedSender;

/// Pause between two decisions.
const DECISION_PAUSE_MS: u64 = 1_000;
/// Experts loaded in one change at most, on average for each layer.
const MAX_LOADS_PER_LAYER: u32 = 4;

/// A decision, with the policy that made it.
pub(crate) struct Decision {
    policy: Box<dyn RebalancePolicy>,
    change: Option<ProposedChange>,
    present: group::ExpertMap,
}

/// Decides for one group.
///
/// A decision over 60 layers takes tens of milliseconds. Made on the driver's own task it would
/// hold up every link of the agent, and one would see heartbeats answered late whenever a group is
/// rebalanced; it is made on a thread for blocking work, and the policy is away meanwhile.
pub(crate) struct Balancer {
    /// None while a decision is being made.
    policy: Option<Box<dyn RebalancePolicy>>,
    collector: LoadCollector,
    decide_at: UnixMs,
    proposed: Option<ProposedChange>,
    events: UnboundedSender<EngineEvent>,
}

impl Balancer {
    /// Begins for a group; none when its dimensions admit no map.
    pub(crate) fn new(
        group: &ModelGroup,
        balance: Balance,
        pace: StorePace,
        events: UnboundedSender<EngineEvent>,
    ) -> Option<Self> {
        let shape = GroupShape::from_model_group(group).ok()?;
        // Loads go no faster than one agent's share: that is what a change costs here.
        let weight_store_bytes_per_s = pace.share_bytes_per_s();
        let settings = WeightedPolicySettings {
            balance: Balance { weight_store_bytes_per_s, ..balance },
            max_loads_per_layer: MAX_LOADS_PER_LAYER,
            server_cap: Some(pace.server_cap()),
        };
        Some(Self {
            policy: Some(Box::new(WeightedPolicy::new(shape, &settings))),
            collector: LoadCollector::new(shape.ranks),
            decide_at: UnixMs::default(),
            proposed: None,
            events,
        })
    }

    /// Takes the load of one member's ranks.
    pub(crate) fn take(&mut self, now: Now, load: RankLoad) {
        let Some(report) = self.collector.add(now, load) else { return };
        let Some(policy) = &mut self.policy else { return };
        if let Err(fault) = policy.observe(&report) {
            log::debug!(target: "group", fault = fault.to_string().as_str(); "load not used");
        }
    }

    /// Begins a decision, if it is time and this member coordinates.
    pub(crate) fn begin(&mut self, now: Now, member: &GroupMember) {
        if !self.decide_at.is_past(now) || self.proposed.is_some() {
            return;
        }
        self.decide_at = now.after(DECISION_PAUSE_MS);
        let Some(present) = member.map_in_use().cloned() else { return };
        let Some(mut policy) = self.policy.take() else { return };
        let events = self.events.clone();
        tokio::task::spawn_blocking(move || {
            let change = policy.propose(now, &ExpertMap { layers: present.layers.clone() });
            let decision = Decision { policy, change, present };
            let _ = events.send(EngineEvent::Decided(Box::new(decision)));
        });
    }

    /// Ends a decision; gives the map to propose.
    pub(crate) fn end(&mut self, decision: Decision) -> Option<group::ExpertMap> {
        let Decision { policy, change, present } = decision;
        if self.policy.is_some() {
            // The group's dimensions changed meanwhile: the decision is that of the policy before.
            return None;
        }
        self.policy = Some(policy);
        let change = change?;
        let map = group::ExpertMap { layers: change.target.layers.clone(), ..present };
        self.proposed = Some(change);
        Some(map)
    }

    /// Learns how the proposal ended; gives it back for the record.
    pub(crate) fn settle(&mut self, now: Now, outcome: ChangeOutcome) -> Option<ProposedChange> {
        let change = self.proposed.take()?;
        if let Some(policy) = &mut self.policy {
            policy.record_outcome(now, outcome);
        }
        Some(change)
    }
}
