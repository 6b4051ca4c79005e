//! Answers on their way to callers.

use crate::entry::answer::{ChunkTaken, Completeness, EndMarker};
use crate::entry::border::{EntryAction, RefusalCode};
use crate::entry::constants::RECEIVED_EVERY_CHUNKS;
use crate::entry::core::EntryCore;
use crate::entry::request::Progress;
use crate::entry::settle::Ending;
use crate::entry::turn::Turn;
use crate::health::Signal;
use crate::ids::{AttemptId, LinkId, RequestId};
use crate::message::{ResponseHead, ToAgent};
use crate::verdict::Verdict;
use bytes::Bytes;

/// Lowest HTTP status that counts as a failure of the backend server.
const SERVER_ERROR: u16 = 500;

impl EntryCore {
    pub(super) fn head(
        &mut self,
        turn: &mut Turn<'_>,
        link: LinkId,
        attempt: AttemptId,
        head: ResponseHead,
    ) {
        let Some(request) = self.live_request(turn, link, attempt) else {
            return turn.send(link, ToAgent::Cancel { attempt });
        };
        let server_error = head.status >= SERVER_ERROR;
        let Some(live) = self.attempt_mut(request) else { return };
        if !live.answer.take_head(head) {
            self.counters.dropped_doubled += 1;
            return;
        }
        live.server_error = server_error;
        self.progressed(turn, link, request);
        if server_error {
            self.signal_of_attempt(turn, request, Signal::Failed);
        }
        self.deliver(turn, link, request);
    }

    /// Gives the head to the caller, right before the first piece or the end.
    ///
    /// Backend servers send their head at once and work afterwards. Were it passed on at once, the
    /// request would be bound to this attempt while nothing of the answer exists: one would see
    /// answers cut off after their head when an agent dies, although another backend server could
    /// give the whole of them.
    fn begin(&mut self, turn: &mut Turn<'_>, request: RequestId) -> bool {
        let Some(live) = self.attempt_mut(request) else { return false };
        let id = live.id;
        let Some(head) = live.answer.begin() else { return true };
        if let Err(violation) = self.ledger.begin(id) {
            self.violated(turn, &violation);
            self.interrupt(turn, request, "another answer had begun");
            return false;
        }
        turn.push(EntryAction::Head { request, head });
        true
    }

    pub(super) fn chunk(
        &mut self,
        turn: &mut Turn<'_>,
        link: LinkId,
        attempt: AttemptId,
        index: u32,
        bytes: Bytes,
    ) {
        let Some(request) = self.live_request(turn, link, attempt) else {
            // The cancellation of an abandoned attempt may have been lost; not at every piece.
            if index.is_multiple_of(RECEIVED_EVERY_CHUNKS) {
                turn.send(link, ToAgent::Cancel { attempt });
            }
            return;
        };
        let numbered = self.mechanisms.chunk_order;
        let Some(live) = self.attempt_mut(request) else { return };
        let index = if numbered { index } else { live.answer.next_chunk() };
        match live.answer.take_chunk(index, bytes) {
            ChunkTaken::Held => {}
            ChunkTaken::Doubled => self.counters.dropped_doubled += 1,
            ChunkTaken::TooEarly => self.counters.dropped_early += 1,
        }
        self.touch_progress(link, request);
        self.deliver(turn, link, request);
    }

    pub(super) fn end_marker(
        &mut self,
        turn: &mut Turn<'_>,
        link: LinkId,
        attempt: AttemptId,
        chunk_count: u32,
        byte_count: u64,
    ) {
        let Some(request) = self.live_request(turn, link, attempt) else { return };
        let checked = self.mechanisms.end_marker_check;
        let Some(live) = self.attempt_mut(request) else { return };
        if !checked && live.answer.headed {
            let held = live.answer.next_chunk();
            if !self.begin(turn, request) {
                return;
            }
            return self.finish(turn, request, held);
        }
        live.answer.take_end(EndMarker { chunk_count, byte_count });
        self.touch_progress(link, request);
        self.deliver(turn, link, request);
    }

    /// Gives out what is in order, then judges whether the answer is whole.
    fn deliver(&mut self, turn: &mut Turn<'_>, link: LinkId, request: RequestId) {
        let mut moved = false;
        while let Some((id, index, bytes)) = self.next_piece(request) {
            if !self.begin(turn, request) {
                return;
            }
            if let Err(violation) = self.ledger.chunk(id, index) {
                self.violated(turn, &violation);
                return self.interrupt(turn, request, "pieces came out of order");
            }
            turn.push(EntryAction::Chunk { request, bytes });
            if index == 0 {
                self.observe_first_chunk(turn, request);
            }
            moved = true;
        }
        if moved {
            self.progressed(turn, link, request);
        }
        self.acknowledge(turn, link, request);
        self.judge(turn, link, request);
    }

    fn next_piece(&mut self, request: RequestId) -> Option<(AttemptId, u32, Bytes)> {
        let live = self.attempt_mut(request)?;
        let (index, bytes) = live.answer.next_ready()?;
        Some((live.id, index, bytes))
    }

    fn acknowledge(&mut self, turn: &mut Turn<'_>, link: LinkId, request: RequestId) {
        let Some(live) = self.attempt_mut(request) else { return };
        if let Some(next_chunk) = live.answer.due_acknowledgement() {
            turn.send(link, ToAgent::Received { attempt: live.id, next_chunk });
        }
    }

    fn judge(&mut self, turn: &mut Turn<'_>, link: LinkId, request: RequestId) {
        let Some(live) = self.attempt_mut(request) else { return };
        let (attempt, next_chunk) = (live.id, live.answer.next_chunk());
        match live.answer.completeness() {
            Completeness::Open => {}
            Completeness::Gap => self.hasten_reattach(turn, request),
            Completeness::Whole => {
                if !self.begin(turn, request) {
                    return;
                }
                turn.send(link, ToAgent::Received { attempt, next_chunk });
                self.finish(turn, request, next_chunk);
            }
            Completeness::Contradiction => {
                let detail = "the end marker contradicts the answer".to_owned();
                let ending = Ending {
                    code: RefusalCode::BadAnswer,
                    verdict: Verdict::Ran,
                    retry_at: None,
                    detail,
                    retry: true,
                };
                turn.send(link, ToAgent::Cancel { attempt });
                self.signal_of_attempt(turn, request, Signal::Failed);
                self.end_attempt(turn, request, ending);
            }
        }
    }

    /// Lets the routing policy learn how long the first piece took.
    fn observe_first_chunk(&mut self, turn: &Turn<'_>, request: RequestId) {
        let Some(row) = self.requests.get(&request) else { return };
        let Some(live) = row.attempt.as_ref() else { return };
        let first_chunk_ms = turn.now.unix_ms.since(live.sent);
        self.policies.routing.record_start(turn.now, row.rank);
        self.policies.routing.record_first_chunk(turn.now, &live.backend_server, first_chunk_ms);
    }

    /// Pieces are missing: attach again soon, unless they arrive by themselves.
    fn hasten_reattach(&mut self, turn: &mut Turn<'_>, request: RequestId) {
        let Some(live) = self.requests.get_mut(&request).and_then(|row| row.attempt.as_mut())
        else {
            return;
        };
        let Some(peer) = self.peers.get(&live.instance) else { return };
        live.quiet = live.quiet.min(peer.round_trip.ack_due(turn.now));
        let quiet = live.quiet;
        self.wake_by(quiet);
    }

    /// The answer moved on: it is neither quiet nor out of touch.
    fn progressed(&mut self, turn: &mut Turn<'_>, link: LinkId, request: RequestId) {
        self.touched(turn, link, request);
        if let Some(live) = self.attempt_mut(request) {
            live.reattaches = 0;
        }
    }

    /// A piece shows that the attempt has started, even when it cannot be delivered yet.
    fn touch_progress(&mut self, link: LinkId, request: RequestId) {
        let active = self.is_active(link);
        let Some(live) = self.attempt_mut(request) else { return };
        live.progress = Progress::Accepted;
        if active {
            live.recover_until = None;
        }
        let quiet = live.quiet;
        self.wake_by(quiet);
    }

    /// Ends a request whose answer cannot go on.
    pub(super) fn interrupt(
        &mut self,
        turn: &mut Turn<'_>,
        request: RequestId,
        detail: &'static str,
    ) {
        if let Some(row) = self.requests.get_mut(&request) {
            row.verdict = Verdict::Ran;
        }
        self.give_up(turn, request, RefusalCode::Interrupted, None, detail.to_owned());
    }
}
