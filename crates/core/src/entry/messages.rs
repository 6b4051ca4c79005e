//! Handling of messages from agents.
//!
//! A message is accepted only for the live attempt of its request, and only from the agent
//! incarnation that has the attempt. A late message of an abandoned attempt would mix two
//! responses, and another incarnation cannot know whether the attempt ran.

use crate::entry::constants::STALL_MS;
use crate::entry::core::EntryCore;
use crate::entry::event_context::EventContext;
use crate::entry::interface::RefusalCode;
use crate::entry::request::{Attempt, Progress};
use crate::entry::settle::AttemptFailure;
use crate::health::Signal;
use crate::ids::{AttemptId, LinkId, RequestId};
use crate::message::{RefusalReason, RevokeOutcome, ToAgent, ToEntry};
use crate::time::UnixMs;
use crate::verdict::Verdict;

impl EntryCore {
    pub(super) fn handle_message(
        &mut self,
        ctx: &mut EventContext<'_>,
        link: LinkId,
        message: ToEntry,
    ) {
        let Some(row) = self.links.get_mut(&link) else {
            self.counters.dropped_unknown_link += 1;
            return;
        };
        let Some(connected) = row.connected_mut() else {
            self.counters.dropped_unknown_link += 1;
            return;
        };
        connected.last_received = ctx.now.unix_ms;
        let instance = row.instance.clone();
        match message {
            ToEntry::Accepted { attempt, load } => {
                self.record_load(ctx, &instance, load);
                self.handle_accepted(ctx, link, attempt);
            }
            ToEntry::Refused { attempt, reason, retry_at, load } => {
                self.record_load(ctx, &instance, load);
                self.handle_refused(ctx, link, attempt, reason, retry_at);
            }
            ToEntry::End { attempt, chunk_count, byte_count, load } => {
                self.record_load(ctx, &instance, load);
                self.handle_end(ctx, link, attempt, chunk_count, byte_count);
            }
            ToEntry::HeartbeatAck { nonce, stamp, load } => {
                self.record_load(ctx, &instance, load);
                self.handle_heartbeat_ack(ctx, link, nonce, stamp);
            }
            ToEntry::Head { attempt, head } => self.handle_head(ctx, link, attempt, head),
            ToEntry::Chunk { attempt, index, bytes } => {
                self.handle_chunk(ctx, link, attempt, index, bytes);
            }
            ToEntry::Failed { attempt, verdict, detail } => {
                self.handle_failed(ctx, link, attempt, verdict, detail);
            }
            ToEntry::KeyUsed { attempt, earlier, verdict } => {
                self.handle_key_used(ctx, link, attempt, earlier, verdict);
            }
            ToEntry::Revoked { attempt, outcome } => {
                self.handle_revoked(ctx, link, attempt, outcome);
            }
            ToEntry::Totals(totals) => self.record_team_totals(ctx, &instance, &totals),
            ToEntry::Leaving => self.mark_agent_leaving(&instance),
            ToEntry::Adopted(held) => self.holders.record_adoption(&instance, held),
            ToEntry::HolderQuery(query) => self.handle_holder_query(ctx, link, &query),
        }
    }

    /// Returns the request of a message about a live attempt. Counts and drops any other message.
    ///
    /// A request whose deadline has passed is refused here, because a process that was paused must
    /// not act on messages that arrived meanwhile.
    pub(super) fn live_request(
        &mut self,
        ctx: &mut EventContext<'_>,
        link: LinkId,
        attempt: AttemptId,
    ) -> Option<RequestId> {
        let request = attempt.request;
        if !self.is_from_live_attempt(link, attempt) {
            self.counters.dropped_foreign += 1;
            return None;
        }
        if self.is_expired(ctx, request) {
            self.refuse_expired(ctx, request);
            return None;
        }
        Some(request)
    }

    fn is_from_live_attempt(&self, link: LinkId, attempt: AttemptId) -> bool {
        let live = self.requests.get(&attempt.request).and_then(|row| row.attempt.as_ref());
        let (Some(live), Some(row)) = (live, self.links.get(&link)) else { return false };
        let same_attempt = live.id == attempt || !self.mechanisms.attempt_id_check;
        let incarnation = row.connected().map(|connected| connected.incarnation);
        let same_agent = live.instance == row.instance && Some(live.incarnation) == incarnation;
        same_attempt && (same_agent || !self.mechanisms.incarnation_binding)
    }

    pub(super) fn attempt_mut(&mut self, request: RequestId) -> Option<&mut Attempt> {
        self.requests.get_mut(&request)?.attempt.as_mut()
    }

    /// Returns whether a link is the active one of its peer, and not a silent one.
    pub(super) fn is_active(&self, link: LinkId) -> bool {
        let peer = self.links.get(&link).and_then(|row| self.peers.get(&row.instance));
        peer.is_some_and(|peer| peer.active == Some(link))
    }

    fn handle_accepted(&mut self, ctx: &mut EventContext<'_>, link: LinkId, attempt: AttemptId) {
        let Some(request) = self.live_request(ctx, link, attempt) else {
            return ctx.send(link, ToAgent::Cancel { attempt });
        };
        let Some(live) = self.attempt_mut(request) else { return };
        let (instance, sent) = (live.instance.clone(), live.sent);
        let in_time = matches!(live.progress, Progress::Submitted { .. });
        if in_time || live.progress == Progress::Disconnected {
            live.progress = Progress::Accepted;
            let reattach_due = live.reattach_due;
            self.schedule_wake(reattach_due);
        }
        if in_time && let Some(peer) = self.peers.get_mut(&instance) {
            peer.round_trip.observe(ctx.now, sent);
        }
        self.signal(ctx, &instance, Signal::Acknowledged);
    }

    fn handle_refused(
        &mut self,
        ctx: &mut EventContext<'_>,
        link: LinkId,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_at: Option<UnixMs>,
    ) {
        let Some(request) = self.live_request(ctx, link, attempt) else { return };
        let Some(instance) = self.attempt_mut(request).map(|live| live.instance.clone()) else {
            return;
        };
        if reason == RefusalReason::Expired
            && let Some(row) = self.requests.get(&request)
        {
            self.policies.routing.record_expiry(ctx.now, row.rank);
        }
        match reason {
            RefusalReason::BackendDown => self.record_backend_down(ctx, &instance, true),
            RefusalReason::Leaving => self.mark_agent_leaving(&instance),
            _ => self.signal(ctx, &instance, Signal::Acknowledged),
        }
        self.fail_attempt(ctx, request, refused_by_agent(reason, retry_at));
    }

    fn handle_failed(
        &mut self,
        ctx: &mut EventContext<'_>,
        link: LinkId,
        attempt: AttemptId,
        verdict: Verdict,
        detail: String,
    ) {
        let Some(request) = self.live_request(ctx, link, attempt) else { return };
        self.signal_for_attempt(ctx, request, Signal::Failed);
        let code = RefusalCode::Interrupted;
        let failure = AttemptFailure { code, verdict, retry_at: None, detail, may_retry: true };
        self.fail_attempt(ctx, request, failure);
    }

    /// Refuses a request whose idempotency key was used by an earlier attempt, with the verdict on
    /// that attempt.
    fn handle_key_used(
        &mut self,
        ctx: &mut EventContext<'_>,
        link: LinkId,
        attempt: AttemptId,
        earlier: Option<RequestId>,
        verdict: Verdict,
    ) {
        let Some(request) = self.live_request(ctx, link, attempt) else { return };
        let detail = match earlier {
            Some(_) => "the idempotency key was used before",
            None => "the idempotency key may have been used where its home cannot know of it",
        };
        let failure = AttemptFailure {
            code: RefusalCode::KeyUsed,
            verdict,
            retry_at: None,
            detail: detail.to_owned(),
            may_retry: false,
        };
        self.fail_attempt(ctx, request, failure);
    }

    fn handle_revoked(
        &mut self,
        ctx: &mut EventContext<'_>,
        link: LinkId,
        attempt: AttemptId,
        outcome: RevokeOutcome,
    ) {
        let Some(request) = self.live_request(ctx, link, attempt) else {
            if outcome == RevokeOutcome::Attached {
                ctx.send(link, ToAgent::Cancel { attempt });
            }
            return;
        };
        self.signal_for_attempt(ctx, request, Signal::Acknowledged);
        match outcome {
            RevokeOutcome::Attached => self.confirm_accepted(ctx, link, request),
            RevokeOutcome::Tombstoned => {
                self.counters.tombstoned += 1;
                let detail = "the link to the agent went silent before it was queued";
                self.fail_attempt(ctx, request, interrupted(Verdict::NotRun, detail));
            }
            RevokeOutcome::UnknownIncarnation => {
                let detail = "the agent began another incarnation";
                self.fail_attempt(ctx, request, interrupted(Verdict::MayHaveRun, detail));
            }
        }
    }

    /// Marks an attempt as accepted after its agent sent a message about it, and restarts the stall
    /// timeout.
    pub(super) fn confirm_accepted(
        &mut self,
        ctx: &mut EventContext<'_>,
        link: LinkId,
        request: RequestId,
    ) {
        let active = self.is_active(link);
        let Some(live) = self.attempt_mut(request) else { return };
        live.progress = Progress::Accepted;
        if active {
            live.recover_until = None;
        }
        live.reattach_due = ctx.now.after(STALL_MS);
        let reattach_due = live.reattach_due;
        self.schedule_wake(reattach_due);
    }

    pub(super) fn signal_for_attempt(
        &mut self,
        ctx: &mut EventContext<'_>,
        request: RequestId,
        signal: Signal,
    ) {
        let Some(live) = self.attempt_mut(request) else { return };
        let instance = live.instance.clone();
        self.signal(ctx, &instance, signal);
    }
}

fn interrupted(verdict: Verdict, detail: &str) -> AttemptFailure {
    let code = RefusalCode::Interrupted;
    AttemptFailure { code, verdict, retry_at: None, detail: detail.to_owned(), may_retry: true }
}

fn refused_by_agent(reason: RefusalReason, retry_at: Option<UnixMs>) -> AttemptFailure {
    let (code, may_retry) = match reason {
        RefusalReason::QueueFull => (RefusalCode::Overloaded, true),
        RefusalReason::Expired => (RefusalCode::DeadlinePassed, false),
        RefusalReason::KeyConflict | RefusalReason::KeyNotYetValid => {
            (RefusalCode::KeyConflict, false)
        }
        RefusalReason::Revoked | RefusalReason::WrongIncarnation => {
            (RefusalCode::Interrupted, true)
        }
        RefusalReason::Leaving
        | RefusalReason::NotKeyHome
        | RefusalReason::BackendDown
        | RefusalReason::UnknownRoute => (RefusalCode::NoBackend, true),
    };
    // Another incarnation cannot know whether the attempt ran before the agent's restart.
    let verdict = match reason {
        RefusalReason::WrongIncarnation => Verdict::MayHaveRun,
        _ => Verdict::NotRun,
    };
    AttemptFailure {
        code,
        verdict,
        retry_at,
        detail: format!("the agent refused it: {reason:?}"),
        may_retry,
    }
}
