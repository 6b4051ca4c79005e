//! Rebalancing decisions of the group's coordinator: when to move experts, and to which map.

use super::engine::EngineEvent;
use super::loading::StoreShare;
use hickorycross_config::{Balance, ModelGroup};
use hickorycross_core::group::{self, GroupMember};
use hickorycross_core::placement::{
    ChangeOutcome, ExpertMap, GroupShape, LoadCollector, ProposedChange, RankLoad, RebalancePolicy,
    WeightedPolicy, WeightedPolicySettings,
};
use hickorycross_core::{Now, UnixMs};
use tokio::sync::mpsc::UnboundedSender;

/// Minimum interval between the starts of two decisions.
const DECISION_INTERVAL_MS: u64 = 1_000;
/// Maximum number of experts that one change loads, on average per layer.
const MAX_LOADS_PER_LAYER: u32 = 4;

/// The result of a decision, together with the policy that made it.
pub(crate) struct Decision {
    policy: Box<dyn RebalancePolicy>,
    /// The change to propose, if there is one.
    change: Option<ProposedChange>,
    /// The map in use when the decision started.
    current_map: group::ExpertMap,
}

/// Makes the rebalancing decisions for one group.
///
/// A decision over 60 layers takes tens of milliseconds. On the driver's task it would delay every
/// link of the agent, and heartbeats would be answered late whenever a group is rebalanced. It
/// therefore runs on a thread for blocking work, which owns the policy in the meantime.
pub(crate) struct Balancer {
    /// `None` while a decision is being made.
    policy: Option<Box<dyn RebalancePolicy>>,
    collector: LoadCollector,
    next_decision_at: UnixMs,
    /// The change that was proposed and whose outcome is not known yet.
    proposed: Option<ProposedChange>,
    events: UnboundedSender<EngineEvent>,
}

impl Balancer {
    /// Creates a balancer for a group. Returns `None` if no map fits the group's dimensions.
    pub(crate) fn new(
        group: &ModelGroup,
        balance: Balance,
        store_share: StoreShare,
        events: UnboundedSender<EngineEvent>,
    ) -> Option<Self> {
        let shape = GroupShape::from_model_group(group).ok()?;
        // The policy computes the cost of a change from one agent's share of the bandwidth, since
        // loads are limited to that rate.
        let weight_store_bytes_per_s = store_share.share_bytes_per_s();
        let settings = WeightedPolicySettings {
            balance: Balance { weight_store_bytes_per_s, ..balance },
            max_loads_per_layer: MAX_LOADS_PER_LAYER,
            server_cap: Some(store_share.server_load_cap()),
        };
        Some(Self {
            policy: Some(Box::new(WeightedPolicy::new(shape, &settings))),
            collector: LoadCollector::new(shape.ranks),
            next_decision_at: UnixMs::default(),
            proposed: None,
            events,
        })
    }

    /// Adds the load of one member's ranks. A report that is complete goes to the policy, unless a
    /// decision is being made.
    pub(crate) fn add_load(&mut self, now: Now, load: RankLoad) {
        let Some(report) = self.collector.add(now, load) else { return };
        let Some(policy) = &mut self.policy else { return };
        if let Err(fault) = policy.observe(&report) {
            log::debug!(
                target: "group", fault = fault.to_string().as_str();
                "load report rejected by the policy"
            );
        }
    }

    /// Starts a decision if one is due, no proposal is pending, and the member is a coordinator
    /// that can accept a proposal now.
    ///
    /// The result is sent as [`EngineEvent::Decided`].
    pub(crate) fn start_decision(&mut self, now: Now, member: &GroupMember) {
        if !self.next_decision_at.is_past(now) || self.proposed.is_some() {
            return;
        }
        self.next_decision_at = now.after(DECISION_INTERVAL_MS);
        let Some(current_map) = member.map_in_use().cloned() else { return };
        let Some(mut policy) = self.policy.take() else { return };
        let events = self.events.clone();
        tokio::task::spawn_blocking(move || {
            let change = policy.propose(now, &ExpertMap { layers: current_map.layers.clone() });
            let decision = Decision { policy, change, current_map };
            let _ = events.send(EngineEvent::Decided(Box::new(decision)));
        });
    }

    /// Takes the policy back after a decision and returns the map to propose, if there is one.
    pub(crate) fn finish_decision(&mut self, decision: Decision) -> Option<group::ExpertMap> {
        let Decision { policy, change, current_map } = decision;
        if self.policy.is_some() {
            // The group changed in the meantime, and the decision was made by the previous policy.
            return None;
        }
        self.policy = Some(policy);
        let change = change?;
        let map = group::ExpertMap { layers: change.target.layers.clone(), ..current_map };
        self.proposed = Some(change);
        Some(map)
    }

    /// Reports the outcome of the pending proposal to the policy. Returns the proposal for the
    /// audit trail.
    pub(crate) fn record_outcome(
        &mut self,
        now: Now,
        outcome: ChangeOutcome,
    ) -> Option<ProposedChange> {
        let change = self.proposed.take()?;
        if let Some(policy) = &mut self.policy {
            policy.record_outcome(now, outcome);
        }
        Some(change)
    }
}
