//! One member of a group: the agent that controls which steps its local ranks may make.

use super::audit::{AbandonReason, GroupRecord, Violation};
use super::engine::{EngineOrder, OrderId};
use super::engine_view::EngineView;
use super::interface::{GroupAction, GroupEvent};
use super::map::{ExpertMap, MapRef};
use super::map_cache::MapCache;
use super::mechanisms::Mechanisms;
use super::membership::{MemberIndex, Membership};
use super::message::{GroupBody, GroupMessage};
use super::role::{PromisedTerm, Role};
use super::term::Term;
use super::timing::{CAMPAIGN_STAGGER_MS, CAMPAIGN_TIMEOUT_MS, LEASE_MS, PROMISE_DELAY_MS};
use crate::{Fencing, Incarnation, Now, UnixMs};
use hickorycross_config::BackendServerId;
use std::collections::VecDeque;
use std::sync::Arc;

/// Settings of a member at its start.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Backend server that the agent belongs to.
    pub server: BackendServerId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Whether the engine refuses orders with old fencing tokens.
    pub checks_fencing: bool,
    /// Members of the group.
    pub membership: Membership,
    /// Mechanisms to enable; tests disable single ones.
    #[doc(hidden)]
    pub mechanisms: Mechanisms,
}

/// State machine of one agent in the agreement of one group.
///
/// It does no I/O; the driver passes events to [`Self::handle`] and carries out the actions.
#[derive(Debug)]
pub struct GroupMember {
    pub(crate) server: BackendServerId,
    pub(crate) incarnation: Incarnation,
    pub(crate) mechanisms: Mechanisms,
    pub(crate) membership: Membership,
    /// `None` while the membership does not include the backend server.
    pub(crate) index: Option<MemberIndex>,
    /// No promise is given before this time.
    pub(crate) first_promise_at: UnixMs,
    /// Highest fencing token promised by this incarnation, under any membership.
    pub(crate) promised_fencing: Fencing,
    /// Highest fencing token seen in any message or answer.
    pub(crate) highest_fencing: Fencing,
    pub(crate) promised: Option<PromisedTerm>,
    pub(crate) role: Role,
    /// When to start a campaign unless a heartbeat arrives first.
    pub(crate) campaign_at: UnixMs,
    pub(crate) failed_campaigns: u32,
    pub(crate) engine: EngineView,
    pub(crate) map_cache: MapCache,
    pub(crate) is_halted: bool,
    /// Messages to itself, since a coordinator handles its own messages like any other member.
    loopback: VecDeque<GroupMessage>,
    actions: Vec<GroupAction>,
}

impl GroupMember {
    /// Creates a member that has promised nothing and does not know the state of its engine.
    #[must_use]
    pub fn new(now: Now, settings: MemberSettings) -> Self {
        let waits = !settings.checks_fencing && settings.mechanisms.delays_first_promise;
        let settle_ms = if waits { PROMISE_DELAY_MS } else { 0 };
        let mut member = Self {
            index: settings.membership.index_of(&settings.server),
            server: settings.server,
            incarnation: settings.incarnation,
            mechanisms: settings.mechanisms,
            membership: settings.membership,
            first_promise_at: now.after(settle_ms),
            promised_fencing: Fencing(0),
            highest_fencing: Fencing(0),
            promised: None,
            role: Role::Follower,
            campaign_at: UnixMs::NEVER,
            failed_campaigns: 0,
            engine: EngineView::default(),
            map_cache: MapCache::default(),
            is_halted: false,
            loopback: VecDeque::new(),
            actions: Vec::new(),
        };
        member.schedule_campaign(now, LEASE_MS);
        member
    }

    /// Handles one event and appends the resulting actions to `actions`, in execution order.
    pub fn handle(&mut self, now: Now, event: GroupEvent, actions: &mut Vec<GroupAction>) {
        self.dispatch(now, event);
        while let Some(message) = self.loopback.pop_front() {
            self.receive(now, message);
        }
        actions.append(&mut self.actions);
    }

    /// Returns whether this member is coordinator, as far as it knows.
    #[must_use]
    pub fn is_coordinator(&self) -> bool {
        matches!(self.role, Role::Coordinator(_))
    }

    /// Returns the backend server whose agent this member has promised to follow, if any.
    #[must_use]
    pub fn coordinator(&self) -> Option<&BackendServerId> {
        let promised = self.promised.as_ref()?;
        self.membership.server_at(promised.term.candidate)
    }

    /// Returns whether this member is halted because an invariant was violated.
    #[must_use]
    pub fn is_halted(&self) -> bool {
        self.is_halted
    }

    /// Returns whether the load of a map must not be deferred.
    ///
    /// This is the case if the engine has no map loaded or a grant refers to this one.
    #[must_use]
    pub fn is_needed_now(&self, map: MapRef) -> bool {
        let heartbeat = self.promised.as_ref().and_then(|promised| promised.heartbeat.as_ref());
        let granted = heartbeat.into_iter().flat_map(|heartbeat| &heartbeat.grants);
        self.engine.state.resident.is_empty() || granted.into_iter().any(|one| one.map == map)
    }

    /// Returns the loaded maps of the engine, except those whose content is unknown.
    pub fn loaded_maps(&self) -> impl Iterator<Item = &ExpertMap> + Clone {
        let resident = self.engine.state.resident.iter();
        resident.filter_map(|&map| self.map_cache.get(map)).map(Arc::as_ref)
    }

    fn dispatch(&mut self, now: Now, event: GroupEvent) {
        match event {
            GroupEvent::Tick => self.tick(now),
            GroupEvent::Received(message) => self.receive(now, message),
            GroupEvent::EngineAnswered { id, state } => self.on_engine_answer(id, state),
            GroupEvent::EngineFailed { id } => self.on_order_failed(id),
            GroupEvent::EngineRefused { id, seen } => self.on_order_refused(id, seen),
            GroupEvent::EngineReported(report) => self.on_step_report(report),
            GroupEvent::EngineStageDeferred(map) => self.on_load_deferred(map),
            GroupEvent::EngineStageDue(map) => self.start_deferred_load(map),
            GroupEvent::EngineStaged(map) => self.on_map_loaded(map),
            GroupEvent::EngineStageFailed(map) => self.on_load_failed(map),
            GroupEvent::EngineMapRead(map) => self.on_map_content(now, map),
            GroupEvent::Propose(map) => self.propose(now, map),
            GroupEvent::MembershipUpdated(membership) => self.on_membership(now, membership),
        }
    }

    fn tick(&mut self, now: Now) {
        if self.index.is_none() {
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
        // Member indices are valid only within one member list, and so are promises: if they
        // counted under another list, two coordinators could each hold the promise of every member.
        let is_ours = message.epoch.is_same_content(self.membership.epoch);
        if self.index.is_none() || (self.mechanisms.checks_epoch && !is_ours) {
            return;
        }
        // An agent loses its promises when it restarts. After a late copy of an old coordinator's
        // prepare message, the new incarnation may promise that term again. Without this check it
        // would then accept messages that the old coordinator sent to the earlier incarnation.
        let is_for_us = message.target.is_none_or(|target| target == self.incarnation);
        if self.mechanisms.checks_target && !is_for_us {
            self.refuse_other_incarnation(&message);
            return;
        }
        self.handle_message(now, message);
    }

    fn handle_message(&mut self, now: Now, message: GroupMessage) {
        let GroupMessage { epoch, from, sender, fencing, body, .. } = message;
        let term = Term { fencing, epoch, candidate: from, incarnation: sender };
        match body {
            GroupBody::Prepare => self.on_prepare(now, term),
            GroupBody::Promise(state) => self.on_promise(now, &term, state),
            GroupBody::Refuse { seen } => self.on_refusal(now, fencing, seen),
            GroupBody::Lead(heartbeat) => self.on_heartbeat(now, &term, heartbeat),
            GroupBody::Report { sequence, state } => {
                self.on_report(now, &term, sequence, state);
            }
            GroupBody::Stage(map) => self.on_stage(&term, map),
            GroupBody::FetchMap(map) => self.send_map_content(&term, map),
            GroupBody::MapContent(map) => self.on_map_content(now, map),
        }
    }

    /// Adopts the membership of a newer document.
    ///
    /// If the members or dimensions differ, earlier promises no longer count, a change in progress
    /// is abandoned and a new coordinator has to collect promises. The highest promised fencing
    /// token is kept, because tokens must never decrease.
    fn on_membership(&mut self, now: Now, membership: Membership) {
        if membership.epoch.revision <= self.membership.epoch.revision {
            return;
        }
        let is_same = membership.epoch.is_same_content(self.membership.epoch);
        self.membership = membership;
        if is_same {
            return;
        }
        self.step_down();
        self.promised = None;
        self.index = self.membership.index_of(&self.server);
        self.schedule_campaign(now, CAMPAIGN_TIMEOUT_MS);
        self.audit(GroupRecord::MembershipAdopted { epoch: self.membership.epoch });
        if self.index.is_none() {
            self.order(EngineOrder::Grant { grants: Vec::new() });
        }
    }

    /// Returns to the follower role, ending a campaign or term of this member.
    pub(crate) fn step_down(&mut self) {
        if let Role::Coordinator(coordinator) = std::mem::take(&mut self.role) {
            if let Some(change) = coordinator.change {
                let reason = AbandonReason::TermEnded;
                self.audit(GroupRecord::ChangeAbandoned { map: change.reference, reason });
            }
            self.audit(GroupRecord::Deposed { fencing: coordinator.term.fencing });
        }
    }

    /// Schedules a campaign `span_ms` from now, later for higher indices and after failed
    /// campaigns.
    ///
    /// Failed campaigns add to the wait so that two members that cannot reach each other give way
    /// to a member that can reach both.
    pub(crate) fn schedule_campaign(&mut self, now: Now, span_ms: u64) {
        let index = self.index.map_or(0, |index| u64::from(index.0));
        let failed_ms = u64::from(self.failed_campaigns) * LEASE_MS;
        self.campaign_at = now.after(span_ms + index * CAMPAIGN_STAGGER_MS + failed_ms);
    }

    /// Halts the member: it gives no more grants and revokes those that its engine holds.
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
        let fenced = self.engine.order(self.promised_fencing, order);
        let id = fenced.id;
        self.actions.push(GroupAction::Order(fenced));
        id
    }

    /// Sends a message under a fencing token to a member, which may be this one.
    pub(crate) fn send(
        &mut self,
        to: MemberIndex,
        target: Option<Incarnation>,
        fencing: Fencing,
        body: GroupBody,
    ) {
        let (Some(from), Some(server)) = (self.index, self.membership.server_at(to)) else {
            return;
        };
        let to_server = server.clone();
        let sender = self.incarnation;
        let epoch = self.membership.epoch;
        let message = GroupMessage { epoch, from, sender, target, fencing, body };
        if to == from {
            self.loopback.push_back(message);
        } else {
            self.actions.push(GroupAction::Send { to: to_server, message });
        }
    }
}
