//! What a new coordinator continues, out of what all members' engines hold.

use super::audit::Violation;
use super::grant::{StepGrant, find_conflict};
use super::map::{ExpertMap, MapRef};
use super::mechanisms::Mechanisms;
use super::membership::{Epoch, Membership};
use super::message::MemberState;
use std::sync::Arc;

/// Where a term starts.
#[derive(Debug, Default)]
pub(crate) struct Inheritance {
    /// Grants to continue: one or two, lowest step first.
    pub(crate) grants: Vec<StepGrant>,
    /// The content of the map, if it was made here.
    pub(crate) fresh_map: Option<Arc<ExpertMap>>,
    /// Highest version that any member knows.
    pub(crate) highest_version: u64,
    /// Last step that any rank is known to have completed.
    pub(crate) highest_step: u64,
}

/// Works out the grants to continue from the states that all members promised with.
///
/// `own` is the candidate's own state; it matters only when a guard is off.
pub(crate) fn inherit(
    membership: &Membership,
    states: &[&MemberState],
    own: &MemberState,
    mechanisms: Mechanisms,
) -> Result<Inheritance, Violation> {
    let held = match mechanisms.continues_highest_grant {
        true => states.iter().flat_map(|state| &state.engine.grants).copied().collect(),
        false => own.engine.grants.clone(),
    };
    let highest_version = states.iter().flat_map(|state| versions(state)).max().unwrap_or(0);
    let highest_step = states.iter().map(|state| known_step(state)).max().unwrap_or(0);
    let newest = held.iter().copied().max_by_key(|grant| (grant.epoch.revision, grant.from_step));
    let mut inheritance =
        Inheritance { grants: Vec::new(), fresh_map: None, highest_version, highest_step };
    match newest {
        Some(newest) if newest.epoch.is_same_content(membership.epoch) => {
            inheritance.grants = continue_grants(&held, newest, states)?;
        }
        _ => start_anew(&mut inheritance, membership, &held, newest, mechanisms),
    }
    Ok(inheritance)
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
/// Only grants of the very same epoch belong to it, the document's revision included. A member
/// list may return to what it was two documents ago: a rank that was left out in between still
/// holds a grant of then, and taken for the one before the newest, that grant would be stretched
/// over steps that the list in between has made on other maps.
///
/// While some rank has still to reach it, the map before it stays
/// granted up to the step before, where the coordinator that granted the newest one stopped.
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

/// Starts a membership's first grant after every step that any engine may still make under an
/// earlier one, on the newest map if it fits, else on a uniform one.
fn start_anew(
    inheritance: &mut Inheritance,
    membership: &Membership,
    held: &[StepGrant],
    newest: Option<StepGrant>,
    mechanisms: Mechanisms,
) {
    let last_granted = held.iter().map(|grant| grant.through_step).max().unwrap_or(0);
    let last_step = match mechanisms.skips_old_grants {
        true => last_granted.max(inheritance.highest_step),
        false => inheritance.highest_step,
    };
    let fitting = newest.map(|grant| grant.map).filter(|map| map.shape == membership.shape);
    let map = fitting.unwrap_or_else(|| make_uniform(inheritance, membership));
    inheritance.grants.push(first_grant(membership.epoch, map, last_step));
}

fn make_uniform(inheritance: &mut Inheritance, membership: &Membership) -> MapRef {
    inheritance.highest_version += 1;
    let map = ExpertMap::uniform(inheritance.highest_version, membership.shape);
    let reference = map.reference();
    inheritance.fresh_map = Some(Arc::new(map));
    reference
}

const fn first_grant(epoch: Epoch, map: MapRef, last_step: u64) -> StepGrant {
    StepGrant { epoch, map, from_step: last_step + 1, through_step: last_step + 1 }
}
