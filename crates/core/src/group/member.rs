//! One member of a group: the agent that gates its local ranks.

use super::audit::{AbandonReason, GroupRecord, Violation};
use super::engine::{EngineOrder, OrderId};
use super::engine_view::EngineView;
use super::interface::{GroupAction, GroupEvent};
use super::map::{ExpertMap, MapRef};
use super::mechanisms::Mechanisms;
use super::membership::{MemberIndex, Membership};
use super::message::{GroupBody, GroupMessage};
use super::role::{PromisedTerm, Role};
use super::shelf::MapShelf;
use super::term::Term;
use super::timing::{CAMPAIGN_STAGGER_MS, CAMPAIGN_TIMEOUT_MS, LEASE_MS, PROMISE_DELAY_MS};
use crate::{Fencing, Incarnation, Now, UnixMs};
use hickorycross_config::BackendServerId;
use std::collections::VecDeque;
use std::sync::Arc;

/// What a member knows of itself when it starts.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The backend server beside the agent.
    pub server: BackendServerId,
    /// This life of the agent.
    pub incarnation: Incarnation,
    /// Whether the engine refuses orders with old fencing tokens.
    pub checks_fencing: bool,
    /// The group's members.
    pub membership: Membership,
    /// Guards, for tests.
    #[doc(hidden)]
    pub mechanisms: Mechanisms,
}

/// One agent's part in the agreement of one group.
#[derive(Debug)]
pub struct GroupMember {
    pub(crate) server: BackendServerId,
    pub(crate) incarnation: Incarnation,
    pub(crate) mechanisms: Mechanisms,
    pub(crate) membership: Membership,
    /// None while the membership does not name the backend server.
    pub(crate) place: Option<MemberIndex>,
    /// No promise is given before this moment.
    pub(crate) promises_at: UnixMs,
    /// Highest token promised in this life, whatever the membership.
    pub(crate) floor: Fencing,
    /// Highest token heard of.
    pub(crate) seen: Fencing,
    pub(crate) promised: Option<PromisedTerm>,
    pub(crate) role: Role,
    /// When to campaign, unless a heartbeat comes first.
    pub(crate) campaign_at: UnixMs,
    pub(crate) failed_campaigns: u32,
    pub(crate) engine: EngineView,
    pub(crate) shelf: MapShelf,
    pub(crate) is_halted: bool,
    /// Messages to itself; a coordinator follows itself as it is followed by others.
    local: VecDeque<GroupMessage>,
    actions: Vec<GroupAction>,
}

impl GroupMember {
    /// Starts a member that has promised nothing and knows nothing of its engine.
    #[must_use]
    pub fn new(now: Now, settings: MemberSettings) -> Self {
        let waits = !settings.checks_fencing && settings.mechanisms.delays_first_promise;
        let settle_ms = if waits { PROMISE_DELAY_MS } else { 0 };
        let mut member = Self {
            place: settings.membership.index_of(&settings.server),
            server: settings.server,
            incarnation: settings.incarnation,
            mechanisms: settings.mechanisms,
            membership: settings.membership,
            promises_at: now.after(settle_ms),
            floor: Fencing(0),
            seen: Fencing(0),
            promised: None,
            role: Role::Follower,
            campaign_at: UnixMs::NEVER,
            failed_campaigns: 0,
            engine: EngineView::default(),
            shelf: MapShelf::default(),
            is_halted: false,
            local: VecDeque::new(),
            actions: Vec::new(),
        };
        member.campaign_after(now, LEASE_MS);
        member
    }

    /// Handles one event; the actions are added to `actions` in the order to carry them out.
    pub fn handle(&mut self, now: Now, event: GroupEvent, actions: &mut Vec<GroupAction>) {
        self.dispatch(now, event);
        while let Some(message) = self.local.pop_front() {
            self.receive(now, message);
        }
        actions.append(&mut self.actions);
    }

    /// Whether this member coordinates the group, as far as it knows.
    #[must_use]
    pub fn is_coordinator(&self) -> bool {
        matches!(self.role, Role::Coordinator(_))
    }

    /// The backend server whose agent this member has promised to follow.
    #[must_use]
    pub fn coordinator(&self) -> Option<&BackendServerId> {
        let promised = self.promised.as_ref()?;
        self.membership.server_at(promised.term.candidate)
    }

    /// Whether this member has stopped after a violation.
    #[must_use]
    pub fn is_halted(&self) -> bool {
        self.is_halted
    }

    /// Whether a map's load must not be kept back: the engine holds none, or a grant names it.
    #[must_use]
    pub fn is_needed_now(&self, map: MapRef) -> bool {
        let heartbeat = self.promised.as_ref().and_then(|promised| promised.heartbeat.as_ref());
        let granted = heartbeat.into_iter().flat_map(|heartbeat| &heartbeat.grants);
        self.engine.state.resident.is_empty() || granted.into_iter().any(|one| one.map == map)
    }

    /// Contents, as far as known, of the maps that the engine holds.
    pub fn loaded_maps(&self) -> impl Iterator<Item = &ExpertMap> + Clone {
        let resident = self.engine.state.resident.iter();
        resident.filter_map(|&map| self.shelf.get(map)).map(Arc::as_ref)
    }

    fn dispatch(&mut self, now: Now, event: GroupEvent) {
        match event {
            GroupEvent::Tick => self.tick(now),
            GroupEvent::Received(message) => self.receive(now, message),
            GroupEvent::EngineAnswered { id, state } => self.engine_answered(id, state),
            GroupEvent::EngineFailed { id } => self.engine_failed(id),
            GroupEvent::EngineRefused { id, seen } => self.engine_refused(id, seen),
            GroupEvent::EngineReported(report) => self.engine_reported(report),
            GroupEvent::EngineStageDeferred(map) => self.engine_stage_held(map),
            GroupEvent::EngineStageDue(map) => self.engine_stage_due(map),
            GroupEvent::EngineStaged(map) => self.engine_staged(map),
            GroupEvent::EngineStageFailed(map) => self.engine_stage_failed(map),
            GroupEvent::EngineMapRead(map) => self.take_content(now, map),
            GroupEvent::Propose(map) => self.propose(now, map),
            GroupEvent::MembershipUpdated(membership) => self.read_membership(now, membership),
        }
    }

    fn tick(&mut self, now: Now) {
        if self.place.is_none() {
            return;
        }
        self.repeat_inspection(now);
        match self.role {
            Role::Follower => self.tick_follower(now),
            Role::Candidate(_) => self.tick_candidate(now),
            Role::Coordinator(_) => self.tick_coordinator(now),
        }
    }

    fn receive(&mut self, now: Now, message: GroupMessage) {
        // A place means nothing under another member list, and a promise given under one list
        // does not count under another: two coordinators could each hold "every" promise.
        let is_ours = message.epoch.is_same_content(self.membership.epoch);
        if self.place.is_none() || (self.mechanisms.checks_epoch && !is_ours) {
            return;
        }
        // An agent forgets its promises when it restarts. Without this check a message that a
        // deposed coordinator sent to the earlier life could pass for a valid one in the new
        // life, once a late copy of that coordinator's prepare message had been promised again.
        let is_for_us = message.target.is_none_or(|target| target == self.incarnation);
        if self.mechanisms.checks_target && !is_for_us {
            self.refuse_late(&message);
            return;
        }
        self.act_on(now, message);
    }

    fn act_on(&mut self, now: Now, message: GroupMessage) {
        let GroupMessage { epoch, from, sender, fencing, body, .. } = message;
        let term = Term { fencing, epoch, candidate: from, incarnation: sender };
        match body {
            GroupBody::Prepare => self.prepare(now, term),
            GroupBody::Promise(state) => self.take_promise(now, &term, state),
            GroupBody::Refuse { seen } => self.refused(now, fencing, seen),
            GroupBody::Lead(heartbeat) => self.follow(now, &term, heartbeat),
            GroupBody::Report { sequence, state } => {
                self.take_report(now, &term, sequence, state);
            }
            GroupBody::Stage(map) => self.stage(&term, map),
            GroupBody::FetchMap(map) => self.hand_back(&term, map),
            GroupBody::MapContent(map) => self.take_content(now, map),
        }
    }

    /// Adopts the members of a newer document.
    ///
    /// What was promised under the earlier list is void, a change in flight ends here, and the
    /// new list gets its own round of promises. The floor stays: tokens never go back.
    fn read_membership(&mut self, now: Now, membership: Membership) {
        if membership.epoch.revision <= self.membership.epoch.revision {
            return;
        }
        let is_same = membership.epoch.is_same_content(self.membership.epoch);
        self.membership = membership;
        if is_same {
            return;
        }
        self.depose();
        self.promised = None;
        self.place = self.membership.index_of(&self.server);
        self.campaign_after(now, CAMPAIGN_TIMEOUT_MS);
        self.audit(GroupRecord::MembershipAdopted { epoch: self.membership.epoch });
        if self.place.is_none() {
            self.order(EngineOrder::Grant { grants: Vec::new() });
        }
    }

    /// Ends the member's own candidature or term.
    pub(crate) fn depose(&mut self) {
        if let Role::Coordinator(coordinator) = std::mem::take(&mut self.role) {
            if let Some(change) = coordinator.change {
                let reason = AbandonReason::TermEnded;
                self.audit(GroupRecord::ChangeAbandoned { map: change.reference, reason });
            }
            self.audit(GroupRecord::Deposed { fencing: coordinator.term.fencing });
        }
    }

    /// Sets the next campaign `span_ms` from now, later for higher places and after failures.
    ///
    /// Failures count so that a pair of members that cannot reach each other leaves the field to
    /// a member that reaches both.
    pub(crate) fn campaign_after(&mut self, now: Now, span_ms: u64) {
        let place = self.place.map_or(0, |place| u64::from(place.0));
        let failed_ms = u64::from(self.failed_campaigns) * LEASE_MS;
        self.campaign_at = now.after(span_ms + place * CAMPAIGN_STAGGER_MS + failed_ms);
    }

    /// Gives no more grants and takes back those held.
    pub(crate) fn halt(&mut self, violation: Option<Violation>) {
        if let Some(violation) = violation {
            self.actions.push(GroupAction::ReportViolation(violation));
        }
        self.is_halted = true;
        self.order(EngineOrder::Grant { grants: Vec::new() });
    }

    pub(crate) fn audit(&mut self, record: GroupRecord) {
        self.actions.push(GroupAction::Audit(record));
    }

    pub(crate) fn order(&mut self, order: EngineOrder) -> OrderId {
        let fenced = self.engine.order(self.floor, order);
        let id = fenced.id;
        self.actions.push(GroupAction::Order(fenced));
        id
    }

    /// Sends a body to a place under a token; the member itself is a place like others.
    pub(crate) fn send(
        &mut self,
        to: MemberIndex,
        target: Option<Incarnation>,
        fencing: Fencing,
        body: GroupBody,
    ) {
        let (Some(from), Some(server)) = (self.place, self.membership.server_at(to)) else {
            return;
        };
        let to_server = server.clone();
        let sender = self.incarnation;
        let epoch = self.membership.epoch;
        let message = GroupMessage { epoch, from, sender, target, fencing, body };
        if to == from {
            self.local.push_back(message);
        } else {
            self.actions.push(GroupAction::Send { to: to_server, message });
        }
    }
}
