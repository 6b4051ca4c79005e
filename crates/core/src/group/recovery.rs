//! Recovery of the group's state by a new coordinator, from the states reported with the promises.

use super::audit::Violation;
use super::grant::{StepGrant, find_conflict};
use super::map::{ExpertMap, MapRef};
use super::mechanisms::Mechanisms;
use super::membership::{Epoch, Membership};
use super::message::MemberState;
use std::sync::Arc;

/// State from which a new term starts.
#[derive(Debug, Default)]
pub(crate) struct RecoveredState {
    /// Grants to continue: one or two, lowest step first.
    pub(crate) grants: Vec<StepGrant>,
    /// Content of the granted map, if it was created during the recovery.
    pub(crate) created_map: Option<Arc<ExpertMap>>,
    /// Highest map version that any member knows.
    pub(crate) highest_version: u64,
    /// Last step that any rank is known to have completed.
    pub(crate) highest_step: u64,
}

/// Determines the grants to continue from the states that the members reported with their promises.
///
/// `own` is the candidate's own state, used only when [`Mechanisms::continues_highest_grant`] is
/// disabled. Fails if two grants of the newest epoch conflict.
pub(crate) fn recover_state(
    membership: &Membership,
    states: &[&MemberState],
    own: &MemberState,
    mechanisms: Mechanisms,
) -> Result<RecoveredState, Violation> {
    let held = match mechanisms.continues_highest_grant {
        true => states.iter().flat_map(|state| &state.engine.grants).copied().collect(),
        false => own.engine.grants.clone(),
    };
    let highest_version = states.iter().flat_map(|state| versions(state)).max().unwrap_or(0);
    let highest_step = states.iter().map(|state| known_step(state)).max().unwrap_or(0);
    let newest = held.iter().copied().max_by_key(|grant| (grant.epoch.revision, grant.from_step));
    let mut recovered =
        RecoveredState { grants: Vec::new(), created_map: None, highest_version, highest_step };
    match newest {
        Some(newest) if newest.epoch.is_same_content(membership.epoch) => {
            recovered.grants = continue_grants(&held, newest, states)?;
        }
        _ => start_first_grant(&mut recovered, membership, &held, newest, mechanisms),
    }
    Ok(recovered)
}

fn versions(state: &MemberState) -> impl Iterator<Item = u64> {
    let granted = state.engine.grants.iter().map(|grant| grant.map);
    let loaded = state.engine.resident.iter().copied().chain(state.engine.staging);
    granted.chain(loaded).chain(state.stage_failed).map(|map| map.version)
}

fn known_step(state: &MemberState) -> u64 {
    let reported = state.last_step.map_or(0, |report| report.step);
    state.engine.completed_step.max(reported)
}

/// Continues the newest grant.
///
/// Only grants of the same epoch, including the document's revision, are considered. A member list
/// may return to an earlier one: a rank that was not a member in between still holds a grant from
/// that time. If it were taken for the predecessor of the newest grant, it would be extended over
/// steps that the intermediate members made on other maps.
///
/// Until all ranks have reached the newest grant, its predecessor stays granted up to the step
/// before it, which is where the previous coordinator stopped extending it.
fn continue_grants(
    held: &[StepGrant],
    newest: StepGrant,
    states: &[&MemberState],
) -> Result<Vec<StepGrant>, Violation> {
    let ours: Vec<StepGrant> =
        held.iter().filter(|grant| grant.epoch == newest.epoch).copied().collect();
    if let Some((&held, &offered)) = find_conflict(&ours, &ours) {
        return Err(Violation::ConflictingGrants { held, offered });
    }
    let mut grants = Vec::new();
    let is_reached = states.iter().all(|state| state.engine.completed_step >= newest.from_step);
    let earlier = ours.iter().filter(|grant| grant.from_step < newest.from_step);
    let before = earlier.max_by_key(|grant| grant.from_step).copied();
    if let Some(before) = before.filter(|_| !is_reached) {
        grants.push(StepGrant { through_step: newest.from_step - 1, ..before });
    }
    let same = ours.iter().filter(|grant| grant.from_step == newest.from_step);
    let through_step = same.map(|grant| grant.through_step).max().unwrap_or(newest.through_step);
    grants.push(StepGrant { through_step, ..newest });
    Ok(grants)
}

/// Creates the first grant of a membership.
///
/// It starts after every step that an engine may still make under an earlier membership, on the
/// newest granted map if that fits the group, else on a new uniform map.
fn start_first_grant(
    recovered: &mut RecoveredState,
    membership: &Membership,
    held: &[StepGrant],
    newest: Option<StepGrant>,
    mechanisms: Mechanisms,
) {
    let last_granted = held.iter().map(|grant| grant.through_step).max().unwrap_or(0);
    let last_step = match mechanisms.skips_old_grants {
        true => last_granted.max(recovered.highest_step),
        false => recovered.highest_step,
    };
    let fitting = newest.map(|grant| grant.map).filter(|map| map.shape == membership.shape);
    let map = fitting.unwrap_or_else(|| create_uniform_map(recovered, membership));
    recovered.grants.push(first_grant(membership.epoch, map, last_step));
}

fn create_uniform_map(recovered: &mut RecoveredState, membership: &Membership) -> MapRef {
    recovered.highest_version += 1;
    let map = ExpertMap::uniform(recovered.highest_version, membership.shape);
    let reference = map.reference();
    recovered.created_map = Some(Arc::new(map));
    reference
}

const fn first_grant(epoch: Epoch, map: MapRef, last_step: u64) -> StepGrant {
    StepGrant { epoch, map, from_step: last_step + 1, through_step: last_step + 1 }
}
