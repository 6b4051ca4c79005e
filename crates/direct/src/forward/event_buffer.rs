//! A bounded buffer between a backend server that sends a stream and the caller that reads it.
//!
//! The entry reads events as they arrive, so that a short pause of the caller does not stall the
//! backend server. When the buffer is full, it stops reading, and the backend server sees back
//! pressure.

use super::stream::{End, StreamRelay};
use crate::callers::{AnswerBody, BodyAborted};
use crate::clock::boot_now;
use bytes::{Bytes, BytesMut};
use futures_util::stream::unfold;
use hickorycross_core::direct::BufferLease;
use http_body_util::StreamBody;
use hyper::body::Frame;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// Most bytes of a stream that wait for its caller: half a minute of a stream at 2 KB/s, and 19 MB
/// for 300 callers that read nothing.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Size of the blocks in which events are held and handed to the HTTP library. One large block would
/// stay allocated as a whole until its last byte is written.
const BLOCK_BYTES: usize = 16 * 1024;

/// Events that were received and not yet handed to the caller's connection.
#[derive(Debug)]
struct EventBuffer {
    blocks: RefCell<VecDeque<BytesMut>>,
    lease: RefCell<BufferLease>,
    end: Cell<Option<End>>,
    /// Notified when bytes or the end were added.
    added: Notify,
    /// Notified when bytes or the end were taken.
    taken: Notify,
}

impl EventBuffer {
    /// Adds an event once there is room for it. Returns whether it had to wait.
    ///
    /// An empty buffer takes any event, so a stream goes on for a caller that reads, whatever the
    /// others have buffered.
    async fn push(&self, event: &[u8]) -> bool {
        let mut has_waited = false;
        while !self.try_push(event) {
            has_waited = true;
            self.taken.notified().await;
        }
        self.added.notify_one();
        has_waited
    }

    fn try_push(&self, event: &[u8]) -> bool {
        let mut blocks = self.blocks.borrow_mut();
        let mut lease = self.lease.borrow_mut();
        if blocks.is_empty() {
            lease.grow(event.len());
        } else if lease.bytes() + event.len() > MAX_BUFFERED_BYTES || !lease.try_grow(event.len()) {
            return false;
        }
        let mut rest = event;
        while !rest.is_empty() {
            if blocks.back().is_none_or(|block| block.len() >= BLOCK_BYTES) {
                blocks.push_back(BytesMut::new());
            }
            let Some(block) = blocks.back_mut() else { break };
            let (fitting, remaining) = rest.split_at(rest.len().min(BLOCK_BYTES - block.len()));
            block.extend_from_slice(fitting);
            rest = remaining;
        }
        true
    }

    /// Records the end of the stream, and returns once the caller's connection has taken all of it.
    async fn finish(&self, end: End) {
        self.end.set(Some(end));
        self.added.notify_one();
        while self.end.get().is_some() {
            self.taken.notified().await;
        }
    }

    /// Returns the next bytes, or the end of the stream once all bytes are taken.
    async fn take(&self) -> Result<Bytes, End> {
        loop {
            if let Some(taken) = self.try_take() {
                self.taken.notify_one();
                return taken;
            }
            self.added.notified().await;
        }
    }

    fn try_take(&self) -> Option<Result<Bytes, End>> {
        let Some(block) = self.blocks.borrow_mut().pop_front() else {
            return self.end.take().map(Err);
        };
        self.lease.borrow_mut().shrink(block.len());
        Some(Ok(block.freeze()))
    }
}

/// Stops reading from the backend server when the caller's connection drops the answer.
struct PumpGuard(Option<AbortHandle>);

impl Drop for PumpGuard {
    fn drop(&mut self) {
        if let Some(pump) = &self.0 {
            pump.abort();
        }
    }
}

/// Returns a response body that hands out the events of `relay`, which is read in a task of its own.
pub(super) fn buffered_body(relay: StreamRelay, lease: BufferLease) -> AnswerBody {
    let buffer = Rc::new(EventBuffer {
        blocks: RefCell::default(),
        lease: RefCell::new(lease),
        end: Cell::new(None),
        added: Notify::new(),
        taken: Notify::new(),
    });
    let pump = tokio::task::spawn_local(pump(relay, Rc::clone(&buffer)));
    let guard = PumpGuard(Some(pump.abort_handle()));
    let frames =
        unfold(Some((buffer, guard)), |open: Option<(Rc<EventBuffer>, PumpGuard)>| async move {
            let (buffer, mut guard) = open?;
            match buffer.take().await {
                Ok(bytes) => Some((Ok(Frame::data(bytes)), Some((buffer, guard)))),
                Err(end) => {
                    // The task ends by itself once it has logged the end.
                    guard.0 = None;
                    (end == End::Aborted).then_some((Err(BodyAborted), None))
                }
            }
        });
    Box::pin(StreamBody::new(frames))
}

/// Reads the stream to its end.
async fn pump(mut relay: StreamRelay, buffer: Rc<EventBuffer>) {
    loop {
        match relay.step().await {
            Ok(event) => {
                let pushed_at = boot_now();
                if buffer.push(&event).await {
                    relay.note_caller_pause(pushed_at);
                }
            }
            Err(end) => {
                buffer.finish(end).await;
                relay.log_end(end);
                return;
            }
        }
    }
}
