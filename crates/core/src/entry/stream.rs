//! Forwarding of responses to callers.

use crate::entry::constants::ACK_EVERY_CHUNKS;
use crate::entry::core::EntryCore;
use crate::entry::event_context::EventContext;
use crate::entry::interface::{EntryAction, RefusalCode};
use crate::entry::request::Progress;
use crate::entry::response::{ChunkOutcome, Completeness, EndMarker};
use crate::entry::settle::AttemptFailure;
use crate::health::Signal;
use crate::ids::{AttemptId, LinkId, RequestId};
use crate::message::{ResponseHead, ToAgent};
use crate::verdict::Verdict;
use bytes::Bytes;

/// Lowest HTTP status that counts as a failure of the backend server.
const SERVER_ERROR: u16 = 500;

impl EntryCore {
    pub(super) fn handle_head(
        &mut self,
        ctx: &mut EventContext<'_>,
        link: LinkId,
        attempt: AttemptId,
        head: ResponseHead,
    ) {
        let Some(request) = self.live_request(ctx, link, attempt) else {
            return ctx.send(link, ToAgent::Cancel { attempt });
        };
        let server_error = head.status >= SERVER_ERROR;
        let Some(live) = self.attempt_mut(request) else { return };
        if !live.response.store_head(head) {
            self.counters.dropped_doubled += 1;
            return;
        }
        live.server_error = server_error;
        self.record_progress(ctx, link, request);
        if server_error {
            self.signal_for_attempt(ctx, request, Signal::Failed);
        }
        self.deliver(ctx, link, request);
    }

    /// Sends the head to the caller, right before the first chunk or the end of the response.
    /// Returns whether the response can continue.
    ///
    /// Backend servers send the head immediately and work afterwards, and a head that was sent to
    /// the caller rules out a retry. Forwarded at once, the head would turn every failure of an
    /// agent during that work into a truncated response, although another backend server could
    /// still give the whole of it.
    fn deliver_head(&mut self, ctx: &mut EventContext<'_>, request: RequestId) -> bool {
        let Some(live) = self.attempt_mut(request) else { return false };
        let id = live.id;
        let Some(head) = live.response.take_head() else { return true };
        if let Err(violation) = self.guard.record_head(id) {
            self.report_violation(ctx, &violation);
            self.interrupt(ctx, request, "another answer had begun");
            return false;
        }
        ctx.push(EntryAction::Head { request, head });
        true
    }

    pub(super) fn handle_chunk(
        &mut self,
        ctx: &mut EventContext<'_>,
        link: LinkId,
        attempt: AttemptId,
        index: u32,
        bytes: Bytes,
    ) {
        let Some(request) = self.live_request(ctx, link, attempt) else {
            // The cancellation of an abandoned attempt may have been lost. It is repeated, but not
            // for every chunk.
            if index.is_multiple_of(ACK_EVERY_CHUNKS) {
                ctx.send(link, ToAgent::Cancel { attempt });
            }
            return;
        };
        let numbered = self.mechanisms.chunk_order;
        let Some(live) = self.attempt_mut(request) else { return };
        let index = if numbered { index } else { live.response.next_chunk() };
        match live.response.store_chunk(index, bytes) {
            ChunkOutcome::Buffered => {}
            ChunkOutcome::Duplicate => self.counters.dropped_doubled += 1,
            ChunkOutcome::BufferFull => self.counters.dropped_early += 1,
        }
        self.confirm_started(link, request);
        self.deliver(ctx, link, request);
    }

    pub(super) fn handle_end(
        &mut self,
        ctx: &mut EventContext<'_>,
        link: LinkId,
        attempt: AttemptId,
        chunk_count: u32,
        byte_count: u64,
    ) {
        let Some(request) = self.live_request(ctx, link, attempt) else { return };
        let checked = self.mechanisms.end_marker_check;
        let Some(live) = self.attempt_mut(request) else { return };
        if !checked && live.response.has_head {
            let held = live.response.next_chunk();
            if !self.deliver_head(ctx, request) {
                return;
            }
            return self.finish(ctx, request, held);
        }
        live.response.store_end(EndMarker { chunk_count, byte_count });
        self.confirm_started(link, request);
        self.deliver(ctx, link, request);
    }

    /// Sends all chunks that are in order to the caller, then checks whether the response is
    /// complete.
    fn deliver(&mut self, ctx: &mut EventContext<'_>, link: LinkId, request: RequestId) {
        let mut moved = false;
        while let Some((id, index, bytes)) = self.next_ready_chunk(request) {
            if !self.deliver_head(ctx, request) {
                return;
            }
            if let Err(violation) = self.guard.record_chunk(id, index) {
                self.report_violation(ctx, &violation);
                return self.interrupt(ctx, request, "pieces came out of order");
            }
            ctx.push(EntryAction::Chunk { request, bytes });
            if index == 0 {
                self.observe_first_chunk(ctx, request);
            }
            moved = true;
        }
        if moved {
            self.record_progress(ctx, link, request);
        }
        self.acknowledge(ctx, link, request);
        self.check_completeness(ctx, link, request);
    }

    fn next_ready_chunk(&mut self, request: RequestId) -> Option<(AttemptId, u32, Bytes)> {
        let live = self.attempt_mut(request)?;
        let (index, bytes) = live.response.next_ready()?;
        Some((live.id, index, bytes))
    }

    fn acknowledge(&mut self, ctx: &mut EventContext<'_>, link: LinkId, request: RequestId) {
        let Some(live) = self.attempt_mut(request) else { return };
        if let Some(next_chunk) = live.response.due_acknowledgement() {
            ctx.send(link, ToAgent::Received { attempt: live.id, next_chunk });
        }
    }

    fn check_completeness(&mut self, ctx: &mut EventContext<'_>, link: LinkId, request: RequestId) {
        let Some(live) = self.attempt_mut(request) else { return };
        let (attempt, next_chunk) = (live.id, live.response.next_chunk());
        match live.response.completeness() {
            Completeness::Open => {}
            Completeness::Gap => self.schedule_reattach(ctx, request),
            Completeness::Whole => {
                if !self.deliver_head(ctx, request) {
                    return;
                }
                ctx.send(link, ToAgent::Received { attempt, next_chunk });
                self.finish(ctx, request, next_chunk);
            }
            Completeness::Contradiction => {
                let detail = "the end marker contradicts the answer".to_owned();
                let failure = AttemptFailure {
                    code: RefusalCode::BadAnswer,
                    verdict: Verdict::Ran,
                    retry_at: None,
                    detail,
                    may_retry: true,
                };
                ctx.send(link, ToAgent::Cancel { attempt });
                self.signal_for_attempt(ctx, request, Signal::Failed);
                self.fail_attempt(ctx, request, failure);
            }
        }
    }

    /// Reports the latency of the first chunk to the routing policy.
    fn observe_first_chunk(&mut self, ctx: &EventContext<'_>, request: RequestId) {
        let Some(row) = self.requests.get(&request) else { return };
        let Some(live) = row.attempt.as_ref() else { return };
        let first_chunk_ms = ctx.now.unix_ms.since(live.sent);
        self.policies.routing.record_start(ctx.now, row.rank);
        self.policies.routing.record_first_chunk(ctx.now, &live.backend_server, first_chunk_ms);
    }

    /// Brings the next attachment forward because chunks are missing. They may still arrive by
    /// themselves until then.
    fn schedule_reattach(&mut self, ctx: &mut EventContext<'_>, request: RequestId) {
        let Some(live) = self.requests.get_mut(&request).and_then(|row| row.attempt.as_mut())
        else {
            return;
        };
        let Some(peer) = self.peers.get(&live.instance) else { return };
        live.reattach_due = live.reattach_due.min(peer.round_trip.ack_due(ctx.now));
        let reattach_due = live.reattach_due;
        self.schedule_wake(reattach_due);
    }

    /// Records progress of a response: restarts the stall timeout and the count of attachments.
    fn record_progress(&mut self, ctx: &mut EventContext<'_>, link: LinkId, request: RequestId) {
        self.confirm_accepted(ctx, link, request);
        if let Some(live) = self.attempt_mut(request) {
            live.reattaches = 0;
        }
    }

    /// Marks an attempt as accepted after a chunk or end marker that may not be deliverable yet.
    /// This is no progress, so that the stall timeout keeps running.
    fn confirm_started(&mut self, link: LinkId, request: RequestId) {
        let active = self.is_active(link);
        let Some(live) = self.attempt_mut(request) else { return };
        live.progress = Progress::Accepted;
        if active {
            live.recover_until = None;
        }
        let reattach_due = live.reattach_due;
        self.schedule_wake(reattach_due);
    }

    /// Refuses a request whose response cannot be continued.
    pub(super) fn interrupt(
        &mut self,
        ctx: &mut EventContext<'_>,
        request: RequestId,
        detail: &'static str,
    ) {
        if let Some(row) = self.requests.get_mut(&request) {
            row.verdict = Verdict::Ran;
        }
        self.give_up(ctx, request, RefusalCode::Interrupted, None, detail.to_owned());
    }
}
