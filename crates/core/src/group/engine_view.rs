//! A member's view of its engine and of the orders that it has given.

use super::audit::Violation;
use super::engine::{EngineOrder, EngineState, FencedOrder, OrderId, StepReport};
use super::grant::{StepGrant, find_conflict};
use super::map::MapRef;
use super::message::MemberState;
use crate::Fencing;

/// Number of past grants kept to check late step reports.
const GRANT_HISTORY_LEN: usize = 8;

/// Last reported state of the engine, with the orders since then applied.
#[derive(Debug, Default)]
pub(crate) struct EngineView {
    pub(crate) state: EngineState,
    pub(crate) stage_failed: Option<MapRef>,
    /// Map whose load is deferred until the weight store's rate allows it.
    pub(crate) deferred_load: Option<MapRef>,
    last_step: Option<StepReport>,
    last_order: OrderId,
    /// Latest order that was answered.
    last_answer: OrderId,
    /// Latest order that was answered, refused or failed.
    last_completed: OrderId,
    /// Grants that the engine has confirmed, including exhausted ones.
    confirmed: Vec<StepGrant>,
    /// Grants that have been ordered but not confirmed.
    in_flight: Vec<OrderedGrant>,
}

/// A grant that was sent to the engine with the order `id`.
#[derive(Clone, Copy, Debug)]
struct OrderedGrant {
    id: OrderId,
    grant: StepGrant,
}

impl EngineView {
    /// Assigns an identifier to an order and applies the order to the view.
    pub(crate) fn order(&mut self, fencing: Fencing, order: EngineOrder) -> FencedOrder {
        self.last_order = OrderId(self.last_order.0 + 1);
        match &order {
            EngineOrder::Grant { grants } => {
                self.state.grants.clone_from(grants);
                self.track_grants(grants);
            }
            EngineOrder::Stage { map } => {
                self.state.staging = Some(map.reference());
                self.stage_failed = None;
                self.deferred_load = None;
            }
            EngineOrder::Discard { map } => self.state.resident.retain(|loaded| loaded != map),
            EngineOrder::Inspect | EngineOrder::ReadMap { .. } => {}
        }
        FencedOrder { id: self.last_order, fencing, order }
    }

    fn track_grants(&mut self, grants: &[StepGrant]) {
        let id = self.last_order;
        for &grant in grants {
            self.in_flight.retain(|older| !is_same_grant(&older.grant, &grant));
            self.in_flight.push(OrderedGrant { id, grant });
        }
        let excess = self.in_flight.len().saturating_sub(GRANT_HISTORY_LEN);
        self.in_flight.drain(..excess);
    }

    /// Returns whether an order is pending.
    pub(crate) fn is_busy(&self) -> bool {
        self.last_completed < self.last_order
    }

    /// Records that an order is no longer pending.
    pub(crate) fn complete_order(&mut self, id: OrderId) {
        self.last_completed = self.last_completed.max(id);
    }

    /// Applies the engine's answer to an order, unless a later one has been answered already.
    pub(crate) fn apply_answer(&mut self, id: OrderId, state: EngineState) {
        self.complete_order(id);
        if id <= self.last_answer {
            return;
        }
        self.last_answer = id;
        self.in_flight.retain(|ordered| ordered.id > id);
        self.confirm(&state);
        self.state = state;
    }

    /// Adds the grants that the engine holds and truncates the others to the completed steps.
    ///
    /// When an engine is replaced, its grant is lost and a different map may be granted for the
    /// same steps. A step on the map of the lost grant must then count as a violation.
    fn confirm(&mut self, state: &EngineState) {
        for grant in &mut self.confirmed {
            if !state.grants.iter().any(|held| is_same_grant(held, grant)) {
                grant.through_step = grant.through_step.min(state.completed_step);
            }
        }
        self.confirmed.retain(|grant| grant.from_step <= grant.through_step);
        record_grants(&mut self.confirmed, &state.grants);
    }

    /// Records that a map has been loaded.
    pub(crate) fn record_loaded(&mut self, map: MapRef) {
        if !self.state.resident.contains(&map) {
            self.state.resident.push(map);
        }
        self.state.staging = self.state.staging.filter(|&staging| staging != map);
        self.deferred_load = self.deferred_load.filter(|&deferred| deferred != map);
    }

    /// Records that a map could not be loaded.
    pub(crate) fn record_load_failure(&mut self, map: MapRef) {
        self.state.staging = self.state.staging.filter(|&staging| staging != map);
        self.deferred_load = self.deferred_load.filter(|&deferred| deferred != map);
        self.stage_failed = Some(map);
    }

    /// Records a step. Fails if the step was not granted or was made on a map other than the
    /// granted one.
    pub(crate) fn record_step(&mut self, report: StepReport) -> Result<(), Violation> {
        self.state.completed_step = self.state.completed_step.max(report.step);
        if self.last_step.is_none_or(|last| last.step < report.step) {
            self.last_step = Some(report);
        }
        let mut granted = self.confirmed.clone();
        granted.extend(self.in_flight.iter().map(|ordered| ordered.grant));
        check_step(&granted, report)
    }

    /// Fails if a new grant conflicts with one that the engine holds.
    pub(crate) fn check_grants(&self, offered: &[StepGrant]) -> Result<(), Violation> {
        match find_conflict(&self.state.grants, offered) {
            Some((&held, &offered)) => Err(Violation::ConflictingGrants { held, offered }),
            None => Ok(()),
        }
    }

    pub(crate) fn is_resident(&self, map: MapRef) -> bool {
        self.state.resident.contains(&map)
    }

    /// Returns whether a map is being loaded or its load is deferred.
    pub(crate) fn is_staging(&self, map: MapRef) -> bool {
        self.state.staging == Some(map) || self.deferred_load == Some(map)
    }

    /// Returns the state to report to the coordinator.
    ///
    /// A map whose load is deferred is reported as being loaded. Otherwise the coordinator would
    /// send its content again every second.
    pub(crate) fn member_state(&self, is_halted: bool) -> MemberState {
        let staging = self.deferred_load.or(self.state.staging);
        MemberState {
            engine: EngineState { staging, ..self.state.clone() },
            stage_failed: self.stage_failed,
            last_step: self.last_step,
            is_halted,
        }
    }
}

/// Returns whether one is the other grant, possibly extended.
fn is_same_grant(a: &StepGrant, b: &StepGrant) -> bool {
    a.map == b.map && a.from_step == b.from_step
}

/// Adds grants to a bounded history, merging extensions into the grants that they extend.
pub(crate) fn record_grants(history: &mut Vec<StepGrant>, grants: &[StepGrant]) {
    for grant in grants {
        match history.iter_mut().find(|old| is_same_grant(old, grant)) {
            Some(old) => old.through_step = old.through_step.max(grant.through_step),
            None => history.push(*grant),
        }
    }
    let excess = history.len().saturating_sub(GRANT_HISTORY_LEN);
    history.drain(..excess);
}

/// Checks a step report against the granted steps.
///
/// Steps before the oldest grant in `granted` are accepted, since nothing is known about them.
pub(crate) fn check_step(granted: &[StepGrant], report: StepReport) -> Result<(), Violation> {
    let StepReport { rank, step, map } = report;
    let covering = || granted.iter().filter(|grant| grant.covers(step));
    if covering().any(|grant| grant.map == map) {
        return Ok(());
    }
    if let Some(grant) = covering().next_back() {
        return Err(Violation::WrongMap { rank, step, used: map, granted: grant.map });
    }
    match granted.iter().map(|grant| grant.through_step).max() {
        Some(through_step) if through_step < step => {
            Err(Violation::StepWithoutGrant { rank, step, through_step })
        }
        _ => Ok(()),
    }
}
