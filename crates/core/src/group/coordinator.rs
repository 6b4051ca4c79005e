//! The coordinator, which extends grants, sends maps to members and changes the map.

use super::audit::{AbandonReason, GroupRecord, ProposalFault};
use super::engine_view::{check_step, record_grants};
use super::grant::StepGrant;
use super::map::{ExpertMap, MapRef};
use super::member::GroupMember;
use super::membership::MemberIndex;
use super::message::{GroupBody, Heartbeat, MemberState};
use super::pace::StepPace;
use super::recovery::{RecoveredState, recover_state};
use super::role::{Candidate, Coordinator, MemberStatus, PendingChange, Promise, Role};
use super::term::Term;
use super::timing::{HEARTBEAT_MS, STAGE_DEADLINE_MS, STAGE_RETRY_MS};
use crate::{Incarnation, Now};
use std::sync::Arc;

impl Coordinator {
    /// Returns whether both the map in use and the next one are granted.
    fn is_switching_maps(&self) -> bool {
        self.grants.len() > 1
    }

    /// Returns the maps that every member has to hold, in the order in which they are needed.
    fn required_maps(&self) -> impl Iterator<Item = MapRef> {
        let granted = self.grants.iter().map(|grant| grant.map);
        granted.chain(self.change.iter().map(|change| change.reference))
    }

    /// Extends the last grant by the current window.
    ///
    /// Earlier grants are not extended: once the next map is granted from some step, extending the
    /// grant of the old map past it would let two ranks make the same step on different maps.
    fn extend(&mut self, now: Now, freezes_old_map: bool) {
        let window_steps = self.pace.window_steps(now, self.highest_step);
        let through_step = self.highest_step + window_steps;
        let kept = if freezes_old_map { self.grants.len().saturating_sub(1) } else { 0 };
        for grant in &mut self.grants[kept..] {
            grant.through_step = grant.through_step.max(through_step);
        }
        record_grants(&mut self.grant_history, &self.grants);
    }

    fn is_staged_by_all(&self, map: MapRef) -> bool {
        self.members.values().all(|member| member.state.engine.resident.contains(&map))
    }

    fn has_failed(&self, map: MapRef) -> bool {
        self.members.values().any(|member| member.state.stage_failed == Some(map))
    }

    fn is_reached_by_all(&self, step: u64) -> bool {
        self.members.values().all(|member| member.state.engine.completed_step >= step)
    }
}

impl MemberStatus {
    fn from_promise(promise: Promise, now: Now) -> Self {
        Self {
            incarnation: promise.incarnation,
            state: promise.state,
            sequence: 0,
            last_sent_map: None,
            resend_map_at: now.unix_ms,
        }
    }
}

impl GroupMember {
    /// Starts the term that every member has promised to follow, from the recovered state.
    pub(crate) fn become_coordinator(&mut self, now: Now) {
        let Role::Candidate(Candidate { term, mut promises, .. }) = std::mem::take(&mut self.role)
        else {
            return;
        };
        promises.sort_unstable_keys();
        let states: Vec<&MemberState> = promises.values().map(|promise| &promise.state).collect();
        let own = self.engine.member_state(self.is_halted);
        let recovery = recover_state(&self.membership, &states, &own, self.mechanisms);
        if states.iter().any(|state| state.is_halted) && !self.is_halted {
            self.halt(None);
        }
        let recovered = recovery.unwrap_or_else(|violation| {
            // Keep the term without a grant, so that its heartbeats halt the other members.
            self.halt(Some(violation));
            RecoveredState::default()
        });
        if let Some(map) = recovered.created_map {
            self.map_cache.insert(map);
        }
        let first_step = recovered.grants.first().map_or(0, |grant| grant.from_step);
        let highest_step = recovered.highest_step;
        self.role = Role::Coordinator(Coordinator {
            term,
            sequence: 0,
            heartbeat_at: now.unix_ms,
            members: promises
                .into_iter()
                .map(|(index, promise)| (index, MemberStatus::from_promise(promise, now)))
                .collect(),
            grants: recovered.grants,
            grant_history: Vec::new(),
            change: None,
            highest_version: recovered.highest_version,
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
            self.send_missing_maps(now);
            self.request_unknown_map(now);
        }
    }

    /// Returns the map in use, from which proposals start.
    ///
    /// Returns `None` unless this member is a coordinator that would accept a proposal now and
    /// knows the content of the map.
    #[must_use]
    pub fn map_in_use(&self) -> Option<&ExpertMap> {
        let Role::Coordinator(coordinator) = &self.role else {
            return None;
        };
        if self.is_halted || coordinator.change.is_some() || coordinator.is_switching_maps() {
            return None;
        }
        let map = coordinator.grants.last()?.map;
        self.map_cache.get(map).map(Arc::as_ref)
    }

    /// Requests the content of the granted map if it is unknown.
    ///
    /// A coordinator whose agent has restarted may know only the reference. Without the content it
    /// can neither accept proposals nor send the map to a replaced engine.
    fn request_unknown_map(&mut self, now: Now) {
        let Role::Coordinator(coordinator) = &self.role else {
            return;
        };
        let granted = coordinator.grants.last().map(|grant| grant.map);
        if let Some(map) = granted.filter(|&map| self.map_cache.get(map).is_none()) {
            self.request_map_content(now, map);
        }
    }

    /// Sends the complete state of the term to every member.
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
        for (index, incarnation) in self.targets() {
            self.send_in_term(index, incarnation, GroupBody::Lead(heartbeat.clone()));
        }
    }

    fn targets(&self) -> Vec<(MemberIndex, Incarnation)> {
        let Role::Coordinator(coordinator) = &self.role else {
            return Vec::new();
        };
        coordinator.members.iter().map(|(&index, member)| (index, member.incarnation)).collect()
    }

    fn send_in_term(&mut self, to: MemberIndex, target: Incarnation, body: GroupBody) {
        if let Some(fencing) = self.role.term().map(|term| term.fencing) {
            self.send(to, Some(target), fencing, body);
        }
    }

    /// Sends each member the first map that it lacks.
    fn send_missing_maps(&mut self, now: Now) {
        for (index, incarnation) in self.targets() {
            if let Some(map) = self.next_map_for(now, index) {
                self.send_map(now, index, incarnation, map);
            }
        }
    }

    fn next_map_for(&mut self, now: Now, index: MemberIndex) -> Option<MapRef> {
        let Role::Coordinator(coordinator) = &mut self.role else {
            return None;
        };
        let engine = &coordinator.members.get(&index)?.state.engine;
        let missing = coordinator.required_maps().find(|map| !engine.resident.contains(map))?;
        let is_loading = engine.staging == Some(missing);
        let member = coordinator.members.get_mut(&index)?;
        let is_in_transit =
            member.last_sent_map == Some(missing) && !member.resend_map_at.is_past(now);
        if is_loading || is_in_transit {
            return None;
        }
        member.last_sent_map = Some(missing);
        member.resend_map_at = now.after(STAGE_RETRY_MS);
        Some(missing)
    }

    fn send_map(&mut self, now: Now, index: MemberIndex, incarnation: Incarnation, map: MapRef) {
        match self.content_of(map) {
            Some(content) => {
                self.send_in_term(index, incarnation, GroupBody::Stage(content));
            }
            None => self.request_map_content(now, map),
        }
    }

    fn content_of(&self, map: MapRef) -> Option<Arc<ExpertMap>> {
        let Role::Coordinator(coordinator) = &self.role else {
            return None;
        };
        let change = coordinator.change.as_ref().filter(|change| change.reference == map);
        change.map(|change| &change.map).or_else(|| self.map_cache.get(map)).cloned()
    }

    /// Asks a member that holds a map for its content, a different one at each heartbeat.
    ///
    /// If no member holds the map, because the only engine that had it was replaced after its
    /// promise, the grant is lost as well. A new campaign then determines what to continue.
    fn request_map_content(&mut self, now: Now, map: MapRef) {
        let Role::Coordinator(coordinator) = &self.role else {
            return;
        };
        let holds = |member: &MemberStatus| member.state.engine.resident.contains(&map);
        let holders: Vec<(MemberIndex, Incarnation)> = coordinator
            .members
            .iter()
            .filter(|(_, member)| holds(member))
            .map(|(&index, member)| (index, member.incarnation))
            .collect();
        let turn = usize::try_from(coordinator.sequence).unwrap_or(0);
        if let Some(&(index, incarnation)) = holders.get(turn % holders.len().max(1)) {
            self.send_in_term(index, incarnation, GroupBody::FetchMap(map));
        } else {
            self.campaign(now);
        }
    }

    /// Stores the content of a map; a coordinator then sends it to the members that lack it.
    pub(crate) fn on_map_content(&mut self, now: Now, map: Arc<ExpertMap>) {
        self.map_cache.insert(map);
        if let Role::Coordinator(coordinator) = &mut self.role {
            coordinator.members.values_mut().for_each(|member| member.last_sent_map = None);
            self.send_missing_maps(now);
        }
    }

    /// Handles a member's answer to a heartbeat.
    pub(crate) fn on_report(&mut self, now: Now, sent: &Term, sequence: u64, state: MemberState) {
        let Role::Coordinator(coordinator) = &mut self.role else {
            return;
        };
        let Some(member) = coordinator.members.get_mut(&sent.candidate) else {
            return;
        };
        let is_current = sent.fencing == coordinator.term.fencing
            && sent.incarnation == member.incarnation
            && sequence >= member.sequence;
        if !is_current {
            return;
        }
        let completed_step = state.engine.completed_step;
        coordinator.highest_step = coordinator.highest_step.max(completed_step);
        let last_step = state.last_step;
        let is_halted = state.is_halted;
        member.sequence = sequence;
        member.state = state;
        let checked = last_step.map_or(Ok(()), |step| check_step(&coordinator.grant_history, step));
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
        self.send_missing_maps(now);
    }

    fn advance_change(&mut self, now: Now) {
        let Role::Coordinator(coordinator) = &self.role else {
            return;
        };
        if self.is_halted {
            return;
        }
        if coordinator.is_switching_maps() {
            self.finish_change();
        } else if let Some(map) = coordinator.change.as_ref().map(|change| change.reference) {
            if coordinator.has_failed(map) {
                self.abandon(AbandonReason::StageFailed);
            } else if coordinator.is_staged_by_all(map) {
                self.commit(now);
            }
        }
    }

    /// Commits the change: grants the new map from the step after the last one granted on the old
    /// map.
    ///
    /// The change cannot be abandoned from here on. As soon as a heartbeat has been sent, some
    /// engine may hold the new grant, and every later term has to continue it.
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
        self.map_cache.insert(change.map);
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

    /// Starts a change to the proposed map, with a version above all that any member knows.
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
        if coordinator.change.is_some() || coordinator.is_switching_maps() {
            return Err(ProposalFault::ChangeInFlight);
        }
        if !map.fits(self.membership.shape) {
            return Err(ProposalFault::Misfit);
        }
        coordinator.highest_version += 1;
        map.version = coordinator.highest_version;
        let reference = map.reference();
        let abandon_at = now.after(STAGE_DEADLINE_MS);
        coordinator.change = Some(PendingChange { map: Arc::new(map), reference, abandon_at });
        self.audit(GroupRecord::ChangeStarted { map: reference });
        // Members unload maps that the heartbeat does not name, so send the heartbeat first.
        self.send_heartbeat(now);
        self.send_missing_maps(now);
        Ok(())
    }
}
