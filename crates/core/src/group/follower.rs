//! Promises and grants: the part that every member plays.

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
        if self.campaign_at.is_past(now) && self.promises_at.is_past(now) {
            self.campaign(now);
        }
    }

    /// Judges a candidate's request for a promise.
    pub(crate) fn prepare(&mut self, now: Now, term: Term) {
        self.seen = self.seen.max(term.fencing);
        if !self.promises_at.is_past(now) {
            // An order of this agent's predecessor may still reach an engine that ignores fencing
            // tokens. A promise given now would not tell of that grant, and the group could be
            // led on another map. The candidate asks again.
            return;
        }
        if self.has_promised(&term) {
            self.repeat_promise();
        } else if term.fencing > self.floor {
            self.accept_term(now, term);
        } else {
            self.refuse(&term);
        }
    }

    fn accept_term(&mut self, now: Now, term: Term) {
        if self.role.term().is_none_or(|own| !own.is_same(&term)) {
            self.depose();
        }
        self.floor = term.fencing;
        let inspection = Inspection::Done;
        self.promised =
            Some(PromisedTerm { term, inspection, heartbeat: None, is_grant_due: false });
        self.campaign_after(now, CAMPAIGN_TIMEOUT_MS);
        self.audit(GroupRecord::Promised { fencing: term.fencing, candidate: term.candidate });
        if self.mechanisms.inspects_engine {
            self.inspect(now);
        } else {
            self.give_promise();
        }
    }

    /// Asks the engine what it holds, under the promised token.
    ///
    /// The agent's memory would not do: a restarted agent has none, a replaced engine has lost
    /// what it was granted, and an engine that checks fencing refuses late orders of an earlier
    /// term only after it has seen the new token.
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

    fn repeat_promise(&mut self) {
        let is_done = |promised: &PromisedTerm| promised.inspection == Inspection::Done;
        if self.promised.as_ref().is_some_and(is_done) {
            self.give_promise();
        }
    }

    fn give_promise(&mut self) {
        let Some(term) = self.promised.as_ref().map(|promised| promised.term) else {
            return;
        };
        let state = self.engine.member_state(self.is_halted);
        let target = Some(term.incarnation);
        self.send(term.candidate, target, term.fencing, GroupBody::Promise(state));
        self.read_unknown_maps();
    }

    /// A restarted agent knows its engine's maps by name only; somebody may need their content.
    fn read_unknown_maps(&mut self) {
        if self.engine.is_busy() {
            return;
        }
        let resident = self.engine.state.resident.iter().copied();
        let unknown: Vec<MapRef> = resident.filter(|&map| self.shelf.get(map).is_none()).collect();
        for map in unknown {
            self.order(EngineOrder::ReadMap { map });
        }
    }

    pub(crate) fn engine_answered(&mut self, id: OrderId, state: EngineState) {
        self.engine.answered(id, state);
        let Some(promised) = &mut self.promised else {
            return;
        };
        if matches!(promised.inspection, Inspection::Pending { id: first, .. } if first <= id) {
            promised.inspection = Inspection::Done;
            self.give_promise();
        }
        self.give_due_grant();
    }

    pub(crate) fn engine_failed(&mut self, id: OrderId) {
        self.engine.settled(id);
        self.give_due_grant();
    }

    pub(crate) fn engine_refused(&mut self, id: OrderId, seen: Fencing) {
        self.engine.settled(id);
        self.seen = self.seen.max(seen);
        if let Some(term) = self.promised.as_ref().map(|promised| promised.term)
            && seen > term.fencing
        {
            self.refuse(&term);
        }
    }

    pub(crate) fn engine_reported(&mut self, report: StepReport) {
        let checked = self.engine.stepped(report);
        if let Err(violation) = checked
            && self.mechanisms.checks_invariants
            && !self.is_halted
        {
            self.halt(Some(violation));
        }
    }

    pub(crate) fn engine_staged(&mut self, map: MapRef) {
        self.engine.staged(map);
        self.use_heartbeat();
    }

    pub(crate) fn engine_stage_held(&mut self, map: MapRef) {
        self.engine.held = Some(map);
    }

    /// Orders a load that was kept back, unless the coordinator has given it up meanwhile.
    pub(crate) fn engine_stage_due(&mut self, map: MapRef) {
        if self.engine.held.take_if(|held| *held == map).is_none() {
            return;
        }
        if let Some(map) = self.shelf.get(map).cloned() {
            self.order(EngineOrder::Stage { map });
        }
    }

    pub(crate) fn engine_stage_failed(&mut self, map: MapRef) {
        self.engine.stage_failed(map);
        self.report();
    }

    /// Takes a heartbeat of the promised term.
    pub(crate) fn follow(&mut self, now: Now, term: &Term, heartbeat: Heartbeat) {
        if self.mechanisms.refuses_old_terms && !self.is_following(term) {
            self.refuse(term);
            return;
        }
        let Some(promised) = &mut self.promised else {
            return;
        };
        let last = promised.heartbeat.as_ref().map_or(0, |last| last.sequence);
        if self.mechanisms.drops_late_heartbeats && heartbeat.sequence <= last {
            // A heartbeat from before a commit would take the grant of the new map back from the
            // engine. The next coordinator would not hear of it and extend the old map instead.
            return;
        }
        promised.heartbeat = Some(heartbeat);
        self.failed_campaigns = 0;
        self.campaign_after(now, LEASE_MS);
        self.hasten_held();
        self.use_heartbeat();
    }

    /// Ends the wait of a load that a grant has come to need.
    ///
    /// A map may arrive before the heartbeat that grants it. Kept back until its turn, it would
    /// stop the group for so long.
    fn hasten_held(&mut self) {
        if let Some(map) = self.engine.held
            && self.is_needed_now(map)
        {
            self.engine_stage_due(map);
        }
    }

    /// Gives the engine what the latest heartbeat grants and reports back.
    fn use_heartbeat(&mut self) {
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
            self.grant_unless_busy(&heartbeat);
        }
        self.report();
    }

    /// Passes on a heartbeat's grants, or notes that they are due.
    ///
    /// Orders go to the engine one at a time. Beside an engine that answers more slowly than
    /// heartbeats come, each heartbeat's orders would wait behind all earlier ones: the queue
    /// would grow without end, and the inspection that a new term waits for would stand at its
    /// end. So a heartbeat gives orders only when none is on its way; the latest one counts.
    fn grant_unless_busy(&mut self, heartbeat: &Heartbeat) {
        let is_busy = self.engine.is_busy();
        if let Some(promised) = &mut self.promised {
            promised.is_grant_due = is_busy;
        }
        if !is_busy {
            self.grant(&heartbeat.grants);
            self.discard_unused(heartbeat);
        }
    }

    fn give_due_grant(&mut self) {
        let is_due = self.promised.as_ref().is_some_and(|promised| promised.is_grant_due);
        if is_due && !self.engine.is_busy() {
            self.use_heartbeat();
        }
    }

    /// Passes on the grants whose maps are loaded; a rank without its map waits.
    fn grant(&mut self, granted: &[StepGrant]) {
        let loaded = |grant: &&StepGrant| self.engine.is_resident(grant.map);
        let grants: Vec<StepGrant> = granted.iter().filter(loaded).copied().collect();
        let checked = self.engine.check_grants(&grants);
        if let Err(violation) = checked
            && self.mechanisms.checks_invariants
        {
            self.halt(Some(violation));
        } else if grants.is_empty() {
            // Nothing to give. The answer still tells whether the engine has been replaced.
            self.order(EngineOrder::Inspect);
        } else {
            self.order(EngineOrder::Grant { grants });
        }
    }

    /// Frees the memory of maps that no grant and no change names.
    ///
    /// Grants that the engine still holds count, also where the coordinator names them no more:
    /// the next coordinator may have to continue them, and would find nobody who knows the map.
    fn discard_unused(&mut self, heartbeat: &Heartbeat) {
        let held = self.engine.state.grants.clone();
        let named = |map: MapRef| {
            let mut grants = heartbeat.grants.iter().chain(&held);
            heartbeat.staging == Some(map) || grants.any(|grant| grant.map == map)
        };
        let resident = self.engine.state.resident.iter().copied();
        let unused: Vec<MapRef> = resident.filter(|&map| !named(map)).collect();
        for map in unused {
            self.order(EngineOrder::Discard { map });
        }
        self.shelf.retain(named);
        self.engine.held = self.engine.held.filter(|&map| named(map));
    }

    fn report(&mut self) {
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

    /// Has the engine load a map that the coordinator hands out.
    pub(crate) fn stage(&mut self, term: &Term, map: Arc<ExpertMap>) {
        if !self.is_following(term) {
            self.refuse(term);
            return;
        }
        let reference = self.shelf.put(map.clone());
        if !self.engine.is_staging(reference) && !self.engine.is_resident(reference) {
            self.order(EngineOrder::Stage { map });
        }
    }

    /// Sends a map's content to a coordinator that lacks it.
    pub(crate) fn hand_back(&mut self, term: &Term, map: MapRef) {
        if let Some(content) = self.shelf.get(map).cloned() {
            let body = GroupBody::MapContent(content);
            self.send(term.candidate, Some(term.incarnation), term.fencing, body);
        } else {
            self.read_unknown_maps();
        }
    }

    /// Tells the sender that this life of the member does not follow it.
    pub(crate) fn refuse_late(&mut self, message: &GroupMessage) {
        if let GroupBody::Lead(_) | GroupBody::Stage(_) = message.body {
            let GroupMessage { epoch, from, sender, fencing, .. } = *message;
            self.refuse(&Term { fencing, epoch, candidate: from, incarnation: sender });
        }
    }

    fn refuse(&mut self, term: &Term) {
        let body = GroupBody::Refuse { seen: self.seen.max(self.floor) };
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
