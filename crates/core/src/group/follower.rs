//! Promises and grants, which every member handles whatever its role.

use super::audit::GroupRecord;
use super::engine::{EngineOrder, EngineState, OrderId, StepReport};
use super::grant::StepGrant;
use super::map::{ExpertMap, MapRef};
use super::member::GroupMember;
use super::message::{GroupBody, GroupMessage, Heartbeat};
use super::role::{Inspection, PromisedTerm};
use super::term::Term;
use super::timing::{CAMPAIGN_TIMEOUT_MS, INSPECT_RETRY_MS, LEASE_MS};
use crate::{Fencing, Now};
use std::sync::Arc;

impl GroupMember {
    pub(crate) fn tick_follower(&mut self, now: Now) {
        if self.campaign_at.is_past(now) && self.first_promise_at.is_past(now) {
            self.campaign(now);
        }
    }

    /// Handles a candidate's request for a promise.
    pub(crate) fn on_prepare(&mut self, now: Now, term: Term) {
        self.highest_fencing = self.highest_fencing.max(term.fencing);
        if !self.first_promise_at.is_past(now) {
            // An order of this agent's predecessor may still reach an engine that ignores fencing
            // tokens. A promise given now would not include that grant, and the coordinator might
            // grant a different map for its steps. The candidate asks again.
            return;
        }
        if self.has_promised(&term) {
            self.resend_promise();
        } else if term.fencing > self.promised_fencing {
            self.accept_term(now, term);
        } else {
            self.refuse(&term);
        }
    }

    fn accept_term(&mut self, now: Now, term: Term) {
        if self.role.term().is_none_or(|own| !own.is_same(&term)) {
            self.step_down();
        }
        self.promised_fencing = term.fencing;
        let inspection = Inspection::Done;
        self.promised =
            Some(PromisedTerm { term, inspection, heartbeat: None, is_heartbeat_due: false });
        self.schedule_campaign(now, CAMPAIGN_TIMEOUT_MS);
        self.audit(GroupRecord::Promised { fencing: term.fencing, candidate: term.candidate });
        if self.mechanisms.inspects_engine {
            self.inspect(now);
        } else {
            self.send_promise();
        }
    }

    /// Asks the engine for its state, under the promised fencing token.
    ///
    /// The agent's own view is not enough: a restarted agent has none, a replaced engine has lost
    /// its grants, and an engine that checks fencing refuses late orders of an earlier term only
    /// after it has seen the new token.
    fn inspect(&mut self, now: Now) {
        let id = self.order(EngineOrder::Inspect);
        let again_at = now.after(INSPECT_RETRY_MS);
        if let Some(promised) = &mut self.promised {
            promised.inspection = Inspection::Pending { id, again_at };
        }
    }

    pub(crate) fn repeat_inspection(&mut self, now: Now) {
        let inspection = self.promised.as_ref().map(|promised| promised.inspection);
        if let Some(Inspection::Pending { again_at, .. }) = inspection
            && again_at.is_past(now)
            && !self.engine.is_busy()
        {
            self.inspect(now);
        }
    }

    fn resend_promise(&mut self) {
        let is_done = |promised: &PromisedTerm| promised.inspection == Inspection::Done;
        if self.promised.as_ref().is_some_and(is_done) {
            self.send_promise();
        }
    }

    fn send_promise(&mut self) {
        let Some(term) = self.promised.as_ref().map(|promised| promised.term) else {
            return;
        };
        let state = self.engine.member_state(self.is_halted);
        let target = Some(term.incarnation);
        self.send(term.candidate, target, term.fencing, GroupBody::Promise(state));
        self.read_unknown_maps();
    }

    /// Reads the content of loaded maps that is unknown to a restarted agent.
    ///
    /// The coordinator may need it for another member.
    fn read_unknown_maps(&mut self) {
        if self.engine.is_busy() {
            return;
        }
        let resident = self.engine.state.resident.iter().copied();
        let unknown: Vec<MapRef> =
            resident.filter(|&map| self.map_cache.get(map).is_none()).collect();
        for map in unknown {
            self.order(EngineOrder::ReadMap { map });
        }
    }

    pub(crate) fn on_engine_answer(&mut self, id: OrderId, state: EngineState) {
        self.engine.apply_answer(id, state);
        let Some(promised) = &mut self.promised else {
            return;
        };
        if matches!(promised.inspection, Inspection::Pending { id: first, .. } if first <= id) {
            promised.inspection = Inspection::Done;
            self.send_promise();
        }
        self.apply_due_heartbeat();
    }

    pub(crate) fn on_order_failed(&mut self, id: OrderId) {
        self.engine.complete_order(id);
        self.apply_due_heartbeat();
    }

    pub(crate) fn on_order_refused(&mut self, id: OrderId, seen: Fencing) {
        self.engine.complete_order(id);
        self.highest_fencing = self.highest_fencing.max(seen);
        if let Some(term) = self.promised.as_ref().map(|promised| promised.term)
            && seen > term.fencing
        {
            self.refuse(&term);
        }
    }

    pub(crate) fn on_step_report(&mut self, report: StepReport) {
        let checked = self.engine.record_step(report);
        if let Err(violation) = checked
            && self.mechanisms.checks_invariants
            && !self.is_halted
        {
            self.halt(Some(violation));
        }
    }

    pub(crate) fn on_map_loaded(&mut self, map: MapRef) {
        self.engine.record_loaded(map);
        self.apply_heartbeat();
    }

    pub(crate) fn on_load_deferred(&mut self, map: MapRef) {
        self.engine.deferred_load = Some(map);
    }

    /// Orders a deferred load, unless the coordinator has abandoned the change in the meantime.
    pub(crate) fn start_deferred_load(&mut self, map: MapRef) {
        if self.engine.deferred_load.take_if(|deferred| *deferred == map).is_none() {
            return;
        }
        if let Some(map) = self.map_cache.get(map).cloned() {
            self.order(EngineOrder::Stage { map });
        }
    }

    pub(crate) fn on_load_failed(&mut self, map: MapRef) {
        self.engine.record_load_failure(map);
        self.send_report();
    }

    /// Handles a heartbeat of the promised term.
    pub(crate) fn on_heartbeat(&mut self, now: Now, term: &Term, heartbeat: Heartbeat) {
        if self.mechanisms.refuses_old_terms && !self.is_following(term) {
            self.refuse(term);
            return;
        }
        let Some(promised) = &mut self.promised else {
            return;
        };
        let last = promised.heartbeat.as_ref().map_or(0, |last| last.sequence);
        if self.mechanisms.drops_late_heartbeats && heartbeat.sequence <= last {
            // A heartbeat from before a commit would revoke the engine's grant of the new map. The
            // next coordinator would not learn of that grant and would extend the old map instead.
            return;
        }
        promised.heartbeat = Some(heartbeat);
        self.failed_campaigns = 0;
        self.schedule_campaign(now, LEASE_MS);
        self.start_needed_load();
        self.apply_heartbeat();
    }

    /// Starts a deferred load whose map has been granted in the meantime.
    ///
    /// A map may arrive before the heartbeat that grants it. If its load stayed deferred, the group
    /// would stop until then.
    fn start_needed_load(&mut self) {
        if let Some(map) = self.engine.deferred_load
            && self.is_needed_now(map)
        {
            self.start_deferred_load(map);
        }
    }

    /// Passes the grants of the latest heartbeat on to the engine and reports to the coordinator.
    fn apply_heartbeat(&mut self) {
        let Some(promised) = &self.promised else {
            return;
        };
        let Some(heartbeat) = promised.heartbeat.clone() else {
            return;
        };
        if heartbeat.is_halted && !self.is_halted {
            self.halt(None);
        }
        if !self.is_halted {
            self.forward_grants_when_idle(&heartbeat);
        }
        self.send_report();
    }

    /// Passes on the grants of a heartbeat if no order is pending; otherwise marks it as due.
    ///
    /// The engine takes one order at a time. If it answers more slowly than heartbeats arrive, a
    /// queue of their orders would grow without bound, and the inspection that a new term needs
    /// would wait at its end. Only the latest heartbeat is applied once the engine is idle.
    fn forward_grants_when_idle(&mut self, heartbeat: &Heartbeat) {
        let is_busy = self.engine.is_busy();
        if let Some(promised) = &mut self.promised {
            promised.is_heartbeat_due = is_busy;
        }
        if !is_busy {
            self.forward_grants(&heartbeat.grants);
            self.discard_unused(heartbeat);
        }
    }

    fn apply_due_heartbeat(&mut self) {
        let is_due = self.promised.as_ref().is_some_and(|promised| promised.is_heartbeat_due);
        if is_due && !self.engine.is_busy() {
            self.apply_heartbeat();
        }
    }

    /// Passes on the grants whose maps are loaded; ranks wait for maps that are not.
    fn forward_grants(&mut self, granted: &[StepGrant]) {
        let loaded = |grant: &&StepGrant| self.engine.is_resident(grant.map);
        let grants: Vec<StepGrant> = granted.iter().filter(loaded).copied().collect();
        let checked = self.engine.check_grants(&grants);
        if let Err(violation) = checked
            && self.mechanisms.checks_invariants
        {
            self.halt(Some(violation));
        } else if grants.is_empty() {
            // There is nothing to grant, but the answer shows whether the engine has been replaced.
            self.order(EngineOrder::Inspect);
        } else {
            self.order(EngineOrder::Grant { grants });
        }
    }

    /// Unloads maps that no grant and no change refers to.
    ///
    /// Maps of grants that the engine still holds are kept even if the coordinator no longer lists
    /// them: the next coordinator may have to continue such a grant and needs the map's content.
    fn discard_unused(&mut self, heartbeat: &Heartbeat) {
        let held_grants = self.engine.state.grants.clone();
        let named = |map: MapRef| {
            let mut grants = heartbeat.grants.iter().chain(&held_grants);
            heartbeat.staging == Some(map) || grants.any(|grant| grant.map == map)
        };
        let resident = self.engine.state.resident.iter().copied();
        let unused: Vec<MapRef> = resident.filter(|&map| !named(map)).collect();
        for map in unused {
            self.order(EngineOrder::Discard { map });
        }
        self.map_cache.retain(named);
        self.engine.deferred_load = self.engine.deferred_load.filter(|&map| named(map));
    }

    fn send_report(&mut self) {
        let Some(promised) = &self.promised else {
            return;
        };
        let Some(sequence) = promised.heartbeat.as_ref().map(|heartbeat| heartbeat.sequence) else {
            return;
        };
        let term = promised.term;
        let state = self.engine.member_state(self.is_halted);
        let body = GroupBody::Report { sequence, state };
        self.send(term.candidate, Some(term.incarnation), term.fencing, body);
    }

    /// Orders the engine to load a map that the coordinator sent.
    pub(crate) fn on_stage(&mut self, term: &Term, map: Arc<ExpertMap>) {
        if !self.is_following(term) {
            self.refuse(term);
            return;
        }
        let reference = self.map_cache.insert(map.clone());
        if !self.engine.is_staging(reference) && !self.engine.is_resident(reference) {
            self.order(EngineOrder::Stage { map });
        }
    }

    /// Sends the content of a map to a coordinator that lacks it.
    pub(crate) fn send_map_content(&mut self, term: &Term, map: MapRef) {
        if let Some(content) = self.map_cache.get(map).cloned() {
            let body = GroupBody::MapContent(content);
            self.send(term.candidate, Some(term.incarnation), term.fencing, body);
        } else {
            self.read_unknown_maps();
        }
    }

    /// Refuses a coordinator's message that is addressed to another incarnation of this member.
    pub(crate) fn refuse_other_incarnation(&mut self, message: &GroupMessage) {
        if let GroupBody::Lead(_) | GroupBody::Stage(_) = message.body {
            let GroupMessage { epoch, from, sender, fencing, .. } = *message;
            self.refuse(&Term { fencing, epoch, candidate: from, incarnation: sender });
        }
    }

    fn refuse(&mut self, term: &Term) {
        let body = GroupBody::Refuse { seen: self.highest_fencing.max(self.promised_fencing) };
        self.send(term.candidate, Some(term.incarnation), term.fencing, body);
    }

    fn has_promised(&self, term: &Term) -> bool {
        self.promised.as_ref().is_some_and(|promised| promised.term.is_same(term))
    }

    fn is_following(&self, term: &Term) -> bool {
        let is_done = |promised: &PromisedTerm| promised.inspection == Inspection::Done;
        self.has_promised(term) && self.promised.as_ref().is_some_and(is_done)
    }
}
