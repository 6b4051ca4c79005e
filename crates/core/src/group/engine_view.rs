//! What a member knows of its engine, and the orders that it has given.

use super::audit::Violation;
use super::engine::{EngineOrder, EngineState, FencedOrder, OrderId, StepReport};
use super::grant::{StepGrant, find_conflict};
use super::map::MapRef;
use super::message::MemberState;
use crate::Fencing;

/// Grants kept for the check of late step reports.
const REMEMBERED_GRANTS: usize = 8;

/// The engine as last reported, with the orders since then applied.
#[derive(Debug, Default)]
pub(crate) struct EngineView {
    pub(crate) state: EngineState,
    pub(crate) stage_failed: Option<MapRef>,
    /// The map whose load is kept back.
    pub(crate) held: Option<MapRef>,
    last_step: Option<StepReport>,
    last_order: OrderId,
    /// The latest order answered.
    last_answer: OrderId,
    /// The latest order answered, refused or failed.
    last_settled: OrderId,
    /// Grants that the engine has confirmed, used-up ones included.
    confirmed: Vec<StepGrant>,
    /// Grants ordered and not answered for.
    in_flight: Vec<OrderedGrant>,
}

/// A grant on its way to the engine.
#[derive(Clone, Copy, Debug)]
struct OrderedGrant {
    id: OrderId,
    grant: StepGrant,
}

impl EngineView {
    /// Numbers an order and applies it to the view.
    pub(crate) fn order(&mut self, fencing: Fencing, order: EngineOrder) -> FencedOrder {
        self.last_order = OrderId(self.last_order.0 + 1);
        match &order {
            EngineOrder::Grant { grants } => {
                self.state.grants.clone_from(grants);
                self.await_grants(grants);
            }
            EngineOrder::Stage { map } => {
                self.state.staging = Some(map.reference());
                self.stage_failed = None;
                self.held = None;
            }
            EngineOrder::Discard { map } => self.state.resident.retain(|held| held != map),
            EngineOrder::Inspect | EngineOrder::ReadMap { .. } => {}
        }
        FencedOrder { id: self.last_order, fencing, order }
    }

    fn await_grants(&mut self, grants: &[StepGrant]) {
        let id = self.last_order;
        for &grant in grants {
            self.in_flight.retain(|older| !is_extension(&older.grant, &grant));
            self.in_flight.push(OrderedGrant { id, grant });
        }
        let excess = self.in_flight.len().saturating_sub(REMEMBERED_GRANTS);
        self.in_flight.drain(..excess);
    }

    /// Whether some order is on its way.
    pub(crate) fn is_busy(&self) -> bool {
        self.last_settled < self.last_order
    }

    /// Notes that an order is no longer on its way.
    pub(crate) fn settled(&mut self, id: OrderId) {
        self.last_settled = self.last_settled.max(id);
    }

    /// Takes the engine's answer; a late one is dropped.
    pub(crate) fn answered(&mut self, id: OrderId, state: EngineState) {
        self.settled(id);
        if id <= self.last_answer {
            return;
        }
        self.last_answer = id;
        self.in_flight.retain(|ordered| ordered.id > id);
        self.confirm(&state);
        self.state = state;
    }

    /// Cuts what the engine no longer holds down to the steps that it has made.
    ///
    /// A grant may be lost with the engine that held it, and another map be granted for its steps.
    /// The lost one must not excuse a step on its map.
    fn confirm(&mut self, state: &EngineState) {
        for grant in &mut self.confirmed {
            if !state.grants.iter().any(|held| is_extension(held, grant)) {
                grant.through_step = grant.through_step.min(state.completed_step);
            }
        }
        self.confirmed.retain(|grant| grant.from_step <= grant.through_step);
        remember(&mut self.confirmed, &state.grants);
    }

    /// Notes that a map has been loaded.
    pub(crate) fn staged(&mut self, map: MapRef) {
        if !self.state.resident.contains(&map) {
            self.state.resident.push(map);
        }
        self.state.staging = self.state.staging.filter(|&staging| staging != map);
        self.held = self.held.filter(|&held| held != map);
    }

    /// Notes that a map could not be loaded.
    pub(crate) fn stage_failed(&mut self, map: MapRef) {
        self.state.staging = self.state.staging.filter(|&staging| staging != map);
        self.held = self.held.filter(|&held| held != map);
        self.stage_failed = Some(map);
    }

    /// Notes a step. One made on another map than granted, or on none, is a violation.
    pub(crate) fn stepped(&mut self, report: StepReport) -> Result<(), Violation> {
        self.state.completed_step = self.state.completed_step.max(report.step);
        if self.last_step.is_none_or(|last| last.step < report.step) {
            self.last_step = Some(report);
        }
        let mut granted = self.confirmed.clone();
        granted.extend(self.in_flight.iter().map(|ordered| ordered.grant));
        check_step(&granted, report)
    }

    /// Whether new grants agree with those that the engine holds.
    pub(crate) fn check_grants(&self, offered: &[StepGrant]) -> Result<(), Violation> {
        match find_conflict(&self.state.grants, offered) {
            Some((&held, &offered)) => Err(Violation::ConflictingGrants { held, offered }),
            None => Ok(()),
        }
    }

    pub(crate) fn is_resident(&self, map: MapRef) -> bool {
        self.state.resident.contains(&map)
    }

    /// Whether a map is being loaded, or will be when its turn comes.
    pub(crate) fn is_staging(&self, map: MapRef) -> bool {
        self.state.staging == Some(map) || self.held == Some(map)
    }

    /// A map whose load is kept back counts as being loaded: the coordinator would otherwise send
    /// its content anew every second.
    pub(crate) fn member_state(&self, is_halted: bool) -> MemberState {
        let staging = self.held.or(self.state.staging);
        MemberState {
            engine: EngineState { staging, ..self.state.clone() },
            stage_failed: self.stage_failed,
            last_step: self.last_step,
            is_halted,
        }
    }
}

/// Whether both are one grant, extended or not.
fn is_extension(a: &StepGrant, b: &StepGrant) -> bool {
    a.map == b.map && a.from_step == b.from_step
}

/// Adds grants to a bounded history; an extension widens the grant that it extends.
pub(crate) fn remember(history: &mut Vec<StepGrant>, grants: &[StepGrant]) {
    for grant in grants {
        match history.iter_mut().find(|old| is_extension(old, grant)) {
            Some(old) => old.through_step = old.through_step.max(grant.through_step),
            None => history.push(*grant),
        }
    }
    let excess = history.len().saturating_sub(REMEMBERED_GRANTS);
    history.drain(..excess);
}

/// Checks a step report against what was granted. Nothing is known of steps before the first
/// grant remembered.
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
