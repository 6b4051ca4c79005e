//! Reassembly of an attempt's response from numbered chunks.

use crate::entry::constants::{ACK_EVERY_CHUNKS, BUFFERED_BYTES_MAX, BUFFERED_CHUNKS_MAX};
use crate::message::ResponseHead;
use bytes::Bytes;
use indexmap::IndexMap;

/// The totals that the end marker of a response carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndMarker {
    pub(super) chunk_count: u32,
    pub(super) byte_count: u64,
}

/// What happened to a received chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkOutcome {
    /// It was buffered.
    Buffered,
    /// It had been received before.
    Duplicate,
    /// It was dropped because the buffer is full. The agent sends it again after an `Attach`.
    BufferFull,
}

/// How the received chunks compare with the end marker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Completeness {
    /// No chunk is missing, and the end marker has not been received.
    Open,
    /// The head or chunks are missing before a buffered chunk or before the end marker.
    Gap,
    /// All chunks that the end marker announces have been delivered.
    Whole,
    /// The chunks or another end marker contradict the end marker.
    Contradiction,
}

/// The part of a response that has been received, with chunks that wait for earlier ones.
#[derive(Debug, Default)]
pub(super) struct ResponseAssembly {
    /// The head, until it is sent to the caller.
    head: Option<ResponseHead>,
    /// Whether the head was received; chunks are delivered only after it.
    pub(super) has_head: bool,
    /// Whether the head was sent to the caller, after which no other attempt can respond to it.
    pub(super) head_delivered: bool,
    next_chunk: u32,
    byte_count: u64,
    buffered: IndexMap<u32, Bytes>,
    buffered_bytes: usize,
    end: Option<EndMarker>,
    contradicted: bool,
    acknowledged_chunk: u32,
}

impl ResponseAssembly {
    /// Returns whether anything was received that only a started execution can have sent.
    pub(super) fn has_started(&self) -> bool {
        self.has_head || !self.buffered.is_empty() || self.end.is_some()
    }

    /// Returns the index of the first chunk that has not been delivered.
    pub(super) fn next_chunk(&self) -> u32 {
        self.next_chunk
    }

    /// Stores the head. Returns `false` if it had been received before.
    pub(super) fn store_head(&mut self, head: ResponseHead) -> bool {
        let is_first = !self.has_head;
        if is_first {
            self.has_head = true;
            self.head = Some(head);
        }
        is_first
    }

    /// Returns the head to be sent to the caller, the first time only.
    pub(super) fn take_head(&mut self) -> Option<ResponseHead> {
        let head = self.head.take()?;
        self.head_delivered = true;
        Some(head)
    }

    /// Buffers a chunk, to be delivered by [`ResponseAssembly::next_ready`].
    pub(super) fn store_chunk(&mut self, index: u32, bytes: Bytes) -> ChunkOutcome {
        if index < self.next_chunk || self.buffered.contains_key(&index) {
            return ChunkOutcome::Duplicate;
        }
        let is_next = index == self.next_chunk;
        let full = self.buffered.len() >= BUFFERED_CHUNKS_MAX
            || self.buffered_bytes + bytes.len() > BUFFERED_BYTES_MAX;
        if full && !is_next {
            return ChunkOutcome::BufferFull;
        }
        self.buffered_bytes += bytes.len();
        self.buffered.insert(index, bytes);
        ChunkOutcome::Buffered
    }

    /// Returns the next chunk in order with its index, if the head and that chunk were received.
    pub(super) fn next_ready(&mut self) -> Option<(u32, Bytes)> {
        if !self.has_head {
            return None;
        }
        let index = self.next_chunk;
        let bytes = self.buffered.swap_remove(&index)?;
        self.buffered_bytes -= bytes.len();
        self.byte_count += bytes.len() as u64;
        self.next_chunk += 1;
        Some((index, bytes))
    }

    /// Stores the end marker. Two end markers that differ are a contradiction.
    pub(super) fn store_end(&mut self, end: EndMarker) {
        let before = *self.end.get_or_insert(end);
        self.contradicted |= before != end;
    }

    /// Compares the received chunks with the end marker.
    pub(super) fn completeness(&self) -> Completeness {
        let Some(end) = self.end else {
            let gap = !self.buffered.is_empty();
            return if gap { Completeness::Gap } else { Completeness::Open };
        };
        let beyond = self.next_chunk > end.chunk_count
            || self.buffered.keys().any(|index| *index >= end.chunk_count);
        let all = self.next_chunk == end.chunk_count;
        if self.contradicted || beyond || (all && self.byte_count != end.byte_count) {
            return Completeness::Contradiction;
        }
        if all && self.has_head { Completeness::Whole } else { Completeness::Gap }
    }

    /// Returns the `next_chunk` of the acknowledgement that is due, if any.
    ///
    /// The acknowledgement stays one chunk behind: once the last chunk is acknowledged, the agent
    /// drops the response, although the end marker may still be lost on the way.
    pub(super) fn due_acknowledgement(&mut self) -> Option<u32> {
        let behind = self.next_chunk.saturating_sub(1);
        if behind < self.acknowledged_chunk + ACK_EVERY_CHUNKS {
            return None;
        }
        self.acknowledged_chunk = behind;
        Some(behind)
    }
}
