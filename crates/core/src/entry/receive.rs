//! Messages from agents.
//!
//! A message counts only for the live attempt of its request, and only from the agent incarnation
//! that has it: a late copy from an abandoned attempt would mix two answers, and the word of
//! another incarnation proves nothing about this one.

use crate::entry::border::RefusalCode;
use crate::entry::constants::QUIET_MS;
use crate::entry::core::EntryCore;
use crate::entry::request::{Attempt, Progress};
use crate::entry::settle::Ending;
use crate::entry::turn::Turn;
use crate::health::Signal;
use crate::ids::{AttemptId, LinkId, RequestId};
use crate::message::{RefusalReason, RevokeOutcome, ToAgent, ToEntry};
use crate::time::UnixMs;
use crate::verdict::Verdict;

impl EntryCore {
    pub(super) fn receive(&mut self, turn: &mut Turn<'_>, link: LinkId, message: ToEntry) {
        let Some(row) = self.links.get_mut(&link) else {
            self.counters.dropped_unknown_link += 1;
            return;
        };
        let Some(up) = row.up_mut() else {
            self.counters.dropped_unknown_link += 1;
            return;
        };
        up.last_heard = turn.now.unix_ms;
        let instance = row.instance.clone();
        match message {
            ToEntry::Accepted { attempt, load } => {
                self.learn_load(turn, &instance, load);
                self.accepted(turn, link, attempt);
            }
            ToEntry::Refused { attempt, reason, retry_at, load } => {
                self.learn_load(turn, &instance, load);
                self.refused(turn, link, attempt, reason, retry_at);
            }
            ToEntry::End { attempt, chunk_count, byte_count, load } => {
                self.learn_load(turn, &instance, load);
                self.end_marker(turn, link, attempt, chunk_count, byte_count);
            }
            ToEntry::HeartbeatAck { nonce, load, .. } => {
                self.learn_load(turn, &instance, load);
                self.heartbeat_acknowledged(turn, link, nonce);
            }
            ToEntry::Head { attempt, head } => self.head(turn, link, attempt, head),
            ToEntry::Chunk { attempt, index, bytes } => {
                self.chunk(turn, link, attempt, index, bytes);
            }
            ToEntry::Failed { attempt, verdict, detail } => {
                self.failed(turn, link, attempt, verdict, detail);
            }
            ToEntry::KeyUsed { attempt, verdict, .. } => {
                self.key_used(turn, link, attempt, verdict);
            }
            ToEntry::Revoked { attempt, outcome } => self.revoked(turn, link, attempt, outcome),
            ToEntry::Totals(totals) => self.learn_totals(turn, &instance, &totals),
            ToEntry::Leaving => self.learn_leaving(&instance),
        }
    }

    /// The request whose live attempt a message is about, unless it is about another one.
    ///
    /// An expired request gets its final answer here: a process that was paused must not act on
    /// messages that waited for it.
    pub(super) fn live_request(
        &mut self,
        turn: &mut Turn<'_>,
        link: LinkId,
        attempt: AttemptId,
    ) -> Option<RequestId> {
        let request = attempt.request;
        if !self.is_about_live(link, attempt) {
            self.counters.dropped_foreign += 1;
            return None;
        }
        if self.is_expired(turn, request) {
            self.expire(turn, request);
            return None;
        }
        Some(request)
    }

    fn is_about_live(&self, link: LinkId, attempt: AttemptId) -> bool {
        let live = self.requests.get(&attempt.request).and_then(|row| row.attempt.as_ref());
        let (Some(live), Some(row)) = (live, self.links.get(&link)) else { return false };
        let same_attempt = live.id == attempt || !self.mechanisms.attempt_id_check;
        let incarnation = row.up().map(|up| up.incarnation);
        let same_agent = live.instance == row.instance && Some(live.incarnation) == incarnation;
        same_attempt && (same_agent || !self.mechanisms.incarnation_binding)
    }

    pub(super) fn attempt_mut(&mut self, request: RequestId) -> Option<&mut Attempt> {
        self.requests.get_mut(&request)?.attempt.as_mut()
    }

    /// Whether a link is the one in use, not a silent one.
    pub(super) fn is_active(&self, link: LinkId) -> bool {
        let peer = self.links.get(&link).and_then(|row| self.peers.get(&row.instance));
        peer.is_some_and(|peer| peer.active == Some(link))
    }

    fn accepted(&mut self, turn: &mut Turn<'_>, link: LinkId, attempt: AttemptId) {
        let Some(request) = self.live_request(turn, link, attempt) else {
            return turn.send(link, ToAgent::Cancel { attempt });
        };
        let Some(live) = self.attempt_mut(request) else { return };
        let (instance, sent) = (live.instance.clone(), live.sent);
        let in_time = matches!(live.progress, Progress::Submitted { .. });
        if in_time || live.progress == Progress::Lost {
            live.progress = Progress::Accepted;
            let quiet = live.quiet;
            self.wake_by(quiet);
        }
        if in_time && let Some(peer) = self.peers.get_mut(&instance) {
            peer.round_trip.observe(turn.now, sent);
        }
        self.signal(turn, &instance, Signal::Acknowledged);
    }

    fn refused(
        &mut self,
        turn: &mut Turn<'_>,
        link: LinkId,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_at: Option<UnixMs>,
    ) {
        let Some(request) = self.live_request(turn, link, attempt) else { return };
        let Some(instance) = self.attempt_mut(request).map(|live| live.instance.clone()) else {
            return;
        };
        if reason == RefusalReason::Expired
            && let Some(row) = self.requests.get(&request)
        {
            self.policies.routing.record_expiry(turn.now, row.rank);
        }
        match reason {
            RefusalReason::BackendDown => self.learn_backend_down(turn, &instance, true),
            RefusalReason::Leaving => self.learn_leaving(&instance),
            _ => self.signal(turn, &instance, Signal::Acknowledged),
        }
        self.end_attempt(turn, request, refusal_ending(reason, retry_at));
    }

    fn failed(
        &mut self,
        turn: &mut Turn<'_>,
        link: LinkId,
        attempt: AttemptId,
        verdict: Verdict,
        detail: String,
    ) {
        let Some(request) = self.live_request(turn, link, attempt) else { return };
        self.signal_of_attempt(turn, request, Signal::Failed);
        let code = RefusalCode::Interrupted;
        let ending = Ending { code, verdict, retry_at: None, detail, retry: true };
        self.end_attempt(turn, request, ending);
    }

    /// The key was used under another attempt. What is known of that one is the answer.
    fn key_used(
        &mut self,
        turn: &mut Turn<'_>,
        link: LinkId,
        attempt: AttemptId,
        verdict: Verdict,
    ) {
        let Some(request) = self.live_request(turn, link, attempt) else { return };
        let ending = Ending {
            code: RefusalCode::KeyUsed,
            verdict,
            retry_at: None,
            detail: "the idempotency key was used before".to_owned(),
            retry: false,
        };
        self.end_attempt(turn, request, ending);
    }

    fn revoked(
        &mut self,
        turn: &mut Turn<'_>,
        link: LinkId,
        attempt: AttemptId,
        outcome: RevokeOutcome,
    ) {
        let Some(request) = self.live_request(turn, link, attempt) else {
            if outcome == RevokeOutcome::Attached {
                turn.send(link, ToAgent::Cancel { attempt });
            }
            return;
        };
        self.signal_of_attempt(turn, request, Signal::Acknowledged);
        match outcome {
            RevokeOutcome::Attached => self.touched(turn, link, request),
            RevokeOutcome::Tombstoned => {
                self.counters.tombstoned += 1;
                let detail = "the link to the agent went silent before it was queued";
                self.end_attempt(turn, request, interruption(Verdict::NotRun, detail));
            }
            RevokeOutcome::UnknownIncarnation => {
                let detail = "the agent began another incarnation";
                self.end_attempt(turn, request, interruption(Verdict::MayHaveRun, detail));
            }
        }
    }

    /// The agent has the attempt and answers on this link.
    pub(super) fn touched(&mut self, turn: &mut Turn<'_>, link: LinkId, request: RequestId) {
        let active = self.is_active(link);
        let Some(live) = self.attempt_mut(request) else { return };
        live.progress = Progress::Accepted;
        if active {
            live.recover_until = None;
        }
        live.quiet = turn.now.after(QUIET_MS);
        let quiet = live.quiet;
        self.wake_by(quiet);
    }

    pub(super) fn signal_of_attempt(
        &mut self,
        turn: &mut Turn<'_>,
        request: RequestId,
        signal: Signal,
    ) {
        let Some(live) = self.attempt_mut(request) else { return };
        let instance = live.instance.clone();
        self.signal(turn, &instance, signal);
    }
}

fn interruption(verdict: Verdict, detail: &str) -> Ending {
    let code = RefusalCode::Interrupted;
    Ending { code, verdict, retry_at: None, detail: detail.to_owned(), retry: true }
}

fn refusal_ending(reason: RefusalReason, retry_at: Option<UnixMs>) -> Ending {
    let (code, retry) = match reason {
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
    // A stranger's refusal proves nothing about the incarnation that may have got the first copy.
    let verdict = match reason {
        RefusalReason::WrongIncarnation => Verdict::MayHaveRun,
        _ => Verdict::NotRun,
    };
    Ending { code, verdict, retry_at, detail: format!("the agent refused it: {reason:?}"), retry }
}
