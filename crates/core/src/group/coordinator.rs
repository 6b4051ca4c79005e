//! The coordinator: extends grants, hands out maps, changes the map.

use super::audit::{AbandonReason, GroupRecord, ProposalFault};
use super::engine_view::{check_step, remember};
use super::grant::StepGrant;
use super::map::{ExpertMap, MapRef};
use super::member::GroupMember;
use super::membership::MemberIndex;
use super::merge::{Inheritance, inherit};
use super::message::{GroupBody, Heartbeat, MemberState};
use super::pace::StepPace;
use super::role::{Candidate, Change, Coordinator, MemberRow, Promise, Role};
use super::term::Term;
use super::timing::{HEARTBEAT_MS, STAGE_DEADLINE_MS, STAGE_RETRY_MS};
use crate::{Incarnation, Now};
use std::sync::Arc;

impl Coordinator {
    /// The map in use and the next one are both granted.
    fn is_cutting_over(&self) -> bool {
        self.grants.len() > 1
    }

    /// Maps that every member has to hold, the one needed first in front.
    fn needed_maps(&self) -> impl Iterator<Item = MapRef> {
        let granted = self.grants.iter().map(|grant| grant.map);
        granted.chain(self.change.iter().map(|change| change.reference))
    }

    /// Extends the last grant only: once the next map is granted from some step, a grant of the
    /// map before it past that step would let two ranks make one step on two maps.
    fn extend(&mut self, now: Now, freezes_old_map: bool) {
        let window_steps = self.pace.window_steps(now, self.highest_step);
        let through_step = self.highest_step + window_steps;
        let kept = if freezes_old_map { self.grants.len().saturating_sub(1) } else { 0 };
        for grant in &mut self.grants[kept..] {
            grant.through_step = grant.through_step.max(through_step);
        }
        remember(&mut self.granted, &self.grants);
    }

    fn is_staged_by_all(&self, map: MapRef) -> bool {
        self.rows.values().all(|row| row.state.engine.resident.contains(&map))
    }

    fn has_failed(&self, map: MapRef) -> bool {
        self.rows.values().any(|row| row.state.stage_failed == Some(map))
    }

    fn is_reached_by_all(&self, step: u64) -> bool {
        self.rows.values().all(|row| row.state.engine.completed_step >= step)
    }
}

impl MemberRow {
    fn of(promise: Promise, now: Now) -> Self {
        Self {
            incarnation: promise.incarnation,
            state: promise.state,
            sequence: 0,
            handed_out: None,
            stage_again_at: now.unix_ms,
        }
    }
}

impl GroupMember {
    /// Starts the term that every member has promised to follow.
    pub(crate) fn lead(&mut self, now: Now) {
        let Role::Candidate(Candidate { term, mut promises, .. }) = std::mem::take(&mut self.role)
        else {
            return;
        };
        promises.sort_unstable_keys();
        let states: Vec<&MemberState> = promises.values().map(|promise| &promise.state).collect();
        let own = self.engine.member_state(self.is_halted);
        let inherited = inherit(&self.membership, &states, &own, self.mechanisms);
        if states.iter().any(|state| state.is_halted) && !self.is_halted {
            self.halt(None);
        }
        let inheritance = inherited.unwrap_or_else(|violation| {
            // The term is kept, without a grant, so that its heartbeats stop the other members.
            self.halt(Some(violation));
            Inheritance::default()
        });
        if let Some(map) = inheritance.fresh_map {
            self.shelf.put(map);
        }
        let first_step = inheritance.grants.first().map_or(0, |grant| grant.from_step);
        let highest_step = inheritance.highest_step;
        self.role = Role::Coordinator(Coordinator {
            term,
            sequence: 0,
            heartbeat_at: now.unix_ms,
            rows: promises
                .into_iter()
                .map(|(place, promise)| (place, MemberRow::of(promise, now)))
                .collect(),
            grants: inheritance.grants,
            granted: Vec::new(),
            change: None,
            highest_version: inheritance.highest_version,
            highest_step,
            pace: StepPace::new(now, highest_step.max(first_step.saturating_sub(1))),
        });
        self.audit(GroupRecord::Leads { fencing: term.fencing });
        self.tick_coordinator(now);
    }

    pub(crate) fn tick_coordinator(&mut self, now: Now) {
        let Role::Coordinator(coordinator) = &self.role else {
            return;
        };
        if coordinator.change.as_ref().is_some_and(|change| change.abandon_at.is_past(now)) {
            self.abandon(AbandonReason::StageDeadline);
        }
        if let Role::Coordinator(coordinator) = &self.role
            && coordinator.heartbeat_at.is_past(now)
        {
            self.send_heartbeat(now);
            self.hand_out_maps(now);
            self.fetch_unknown_map(now);
        }
    }

    /// The map that proposals start from: the one in use, at a coordinator that would take up a
    /// proposal now and knows the map's content.
    #[must_use]
    pub fn map_in_use(&self) -> Option<&ExpertMap> {
        let Role::Coordinator(coordinator) = &self.role else {
            return None;
        };
        if self.is_halted || coordinator.change.is_some() || coordinator.is_cutting_over() {
            return None;
        }
        let map = coordinator.grants.last()?.map;
        self.shelf.get(map).map(Arc::as_ref)
    }

    /// A coordinator whose agent has restarted may know the granted map by name only; it can
    /// propose no other one then, nor hand it to a replaced rank.
    fn fetch_unknown_map(&mut self, now: Now) {
        let Role::Coordinator(coordinator) = &self.role else {
            return;
        };
        let granted = coordinator.grants.last().map(|grant| grant.map);
        if let Some(map) = granted.filter(|&map| self.shelf.get(map).is_none()) {
            self.fetch(now, map);
        }
    }

    /// Repeats the whole state of the term to every member.
    fn send_heartbeat(&mut self, now: Now) {
        let Role::Coordinator(coordinator) = &mut self.role else {
            return;
        };
        if !self.is_halted {
            coordinator.extend(now, self.mechanisms.freezes_old_map);
        }
        coordinator.sequence += 1;
        coordinator.heartbeat_at = now.after(HEARTBEAT_MS);
        let heartbeat = Heartbeat {
            sequence: coordinator.sequence,
            grants: coordinator.grants.clone(),
            staging: coordinator.change.as_ref().map(|change| change.reference),
            is_halted: self.is_halted,
        };
        for (place, incarnation) in self.targets() {
            self.send_in_term(place, incarnation, GroupBody::Lead(heartbeat.clone()));
        }
    }

    fn targets(&self) -> Vec<(MemberIndex, Incarnation)> {
        let Role::Coordinator(coordinator) = &self.role else {
            return Vec::new();
        };
        coordinator.rows.iter().map(|(&place, row)| (place, row.incarnation)).collect()
    }

    fn send_in_term(&mut self, to: MemberIndex, target: Incarnation, body: GroupBody) {
        if let Some(fencing) = self.role.term().map(|term| term.fencing) {
            self.send(to, Some(target), fencing, body);
        }
    }

    /// Hands each member the first map that it lacks.
    fn hand_out_maps(&mut self, now: Now) {
        for (place, incarnation) in self.targets() {
            if let Some(map) = self.next_map_for(now, place) {
                self.hand_out(now, place, incarnation, map);
            }
        }
    }

    fn next_map_for(&mut self, now: Now, place: MemberIndex) -> Option<MapRef> {
        let Role::Coordinator(coordinator) = &mut self.role else {
            return None;
        };
        let engine = &coordinator.rows.get(&place)?.state.engine;
        let missing = coordinator.needed_maps().find(|map| !engine.resident.contains(map))?;
        let is_loading = engine.staging == Some(missing);
        let row = coordinator.rows.get_mut(&place)?;
        let is_on_its_way = row.handed_out == Some(missing) && !row.stage_again_at.is_past(now);
        if is_loading || is_on_its_way {
            return None;
        }
        row.handed_out = Some(missing);
        row.stage_again_at = now.after(STAGE_RETRY_MS);
        Some(missing)
    }

    fn hand_out(&mut self, now: Now, place: MemberIndex, incarnation: Incarnation, map: MapRef) {
        match self.content_of(map) {
            Some(content) => {
                self.send_in_term(place, incarnation, GroupBody::Stage(content));
            }
            None => self.fetch(now, map),
        }
    }

    fn content_of(&self, map: MapRef) -> Option<Arc<ExpertMap>> {
        let Role::Coordinator(coordinator) = &self.role else {
            return None;
        };
        let change = coordinator.change.as_ref().filter(|change| change.reference == map);
        change.map(|change| &change.map).or_else(|| self.shelf.get(map)).cloned()
    }

    /// Asks a member that holds a map for its content, another one each time.
    ///
    /// If the only engine that held the map has been replaced since its promise, its grant is gone
    /// with it, and nobody can load the map. Only a new round tells what to continue instead.
    fn fetch(&mut self, now: Now, map: MapRef) {
        let Role::Coordinator(coordinator) = &self.role else {
            return;
        };
        let holds = |row: &MemberRow| row.state.engine.resident.contains(&map);
        let holders: Vec<(MemberIndex, Incarnation)> = coordinator
            .rows
            .iter()
            .filter(|(_, row)| holds(row))
            .map(|(&place, row)| (place, row.incarnation))
            .collect();
        let turn = usize::try_from(coordinator.sequence).unwrap_or(0);
        if let Some(&(place, incarnation)) = holders.get(turn % holders.len().max(1)) {
            self.send_in_term(place, incarnation, GroupBody::FetchMap(map));
        } else {
            self.campaign(now);
        }
    }

    /// Stores the content of a map and hands it out, if this member coordinates.
    pub(crate) fn take_content(&mut self, now: Now, map: Arc<ExpertMap>) {
        self.shelf.put(map);
        if let Role::Coordinator(coordinator) = &mut self.role {
            coordinator.rows.values_mut().for_each(|row| row.handed_out = None);
            self.hand_out_maps(now);
        }
    }

    /// Takes a member's answer to a heartbeat.
    pub(crate) fn take_report(&mut self, now: Now, sent: &Term, sequence: u64, state: MemberState) {
        let Role::Coordinator(coordinator) = &mut self.role else {
            return;
        };
        let Some(row) = coordinator.rows.get_mut(&sent.candidate) else {
            return;
        };
        let is_current = sent.fencing == coordinator.term.fencing
            && sent.incarnation == row.incarnation
            && sequence >= row.sequence;
        if !is_current {
            return;
        }
        let completed_step = state.engine.completed_step;
        coordinator.highest_step = coordinator.highest_step.max(completed_step);
        let last_step = state.last_step;
        let is_halted = state.is_halted;
        row.sequence = sequence;
        row.state = state;
        let checked = last_step.map_or(Ok(()), |step| check_step(&coordinator.granted, step));
        if let Err(violation) = checked
            && self.mechanisms.checks_invariants
            && !self.is_halted
        {
            self.halt(Some(violation));
        }
        if is_halted && !self.is_halted {
            self.halt(None);
        }
        self.advance_change(now);
        self.hand_out_maps(now);
    }

    fn advance_change(&mut self, now: Now) {
        let Role::Coordinator(coordinator) = &self.role else {
            return;
        };
        if self.is_halted {
            return;
        }
        if coordinator.is_cutting_over() {
            self.finish_change();
        } else if let Some(map) = coordinator.change.as_ref().map(|change| change.reference) {
            if coordinator.has_failed(map) {
                self.abandon(AbandonReason::StageFailed);
            } else if coordinator.is_staged_by_all(map) {
                self.commit(now);
            }
        }
    }

    /// Grants the new map from the step after the last one granted on the old map.
    ///
    /// This is the point of decision: from the first message on, some engine may hold the new
    /// grant, and every later term continues it.
    fn commit(&mut self, now: Now) {
        let Role::Coordinator(coordinator) = &mut self.role else {
            return;
        };
        let Some((change, last)) = coordinator.change.take().zip(coordinator.grants.last()) else {
            return;
        };
        let map = change.reference;
        let from_step = last.through_step + 1;
        let epoch = last.epoch;
        coordinator.grants.push(StepGrant { epoch, map, from_step, through_step: from_step });
        self.shelf.put(change.map);
        self.audit(GroupRecord::ChangeCommitted { map, from_step });
        self.send_heartbeat(now);
    }

    fn finish_change(&mut self) {
        let Role::Coordinator(coordinator) = &mut self.role else {
            return;
        };
        let Some(newest) = coordinator.grants.last().copied() else {
            return;
        };
        if coordinator.is_reached_by_all(newest.from_step) {
            coordinator.grants = vec![newest];
            self.audit(GroupRecord::ChangeFinished { map: newest.map });
        }
    }

    fn abandon(&mut self, reason: AbandonReason) {
        let Role::Coordinator(coordinator) = &mut self.role else {
            return;
        };
        if let Some(change) = coordinator.change.take() {
            self.audit(GroupRecord::ChangeAbandoned { map: change.reference, reason });
        }
    }

    /// Starts a change to the proposed map, numbered after every map that any member knows.
    pub(crate) fn propose(&mut self, now: Now, map: ExpertMap) {
        let version = map.version;
        if let Err(reason) = self.start_change(now, map) {
            self.audit(GroupRecord::ProposalRefused { version, reason });
        }
    }

    fn start_change(&mut self, now: Now, mut map: ExpertMap) -> Result<(), ProposalFault> {
        let Role::Coordinator(coordinator) = &mut self.role else {
            return Err(ProposalFault::NotCoordinator);
        };
        if self.is_halted {
            return Err(ProposalFault::Halted);
        }
        if coordinator.change.is_some() || coordinator.is_cutting_over() {
            return Err(ProposalFault::ChangeInFlight);
        }
        if !map.fits(self.membership.shape) {
            return Err(ProposalFault::Misfit);
        }
        coordinator.highest_version += 1;
        map.version = coordinator.highest_version;
        let reference = map.reference();
        let abandon_at = now.after(STAGE_DEADLINE_MS);
        coordinator.change = Some(Change { map: Arc::new(map), reference, abandon_at });
        self.audit(GroupRecord::ChangeStarted { map: reference });
        // Members unload what no heartbeat names, so the heartbeat goes first.
        self.send_heartbeat(now);
        self.hand_out_maps(now);
        Ok(())
    }
}
