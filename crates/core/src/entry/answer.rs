//! One attempt's answer, put together from numbered pieces.

use crate::entry::constants::{EARLY_BYTES_MAX, EARLY_CHUNKS_MAX, RECEIVED_EVERY_CHUNKS};
use crate::message::ResponseHead;
use bytes::Bytes;
use indexmap::IndexMap;

/// The counts that an end marker carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndMarker {
    pub(super) chunk_count: u32,
    pub(super) byte_count: u64,
}

/// What became of a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkTaken {
    /// It is held.
    Held,
    /// It was there already.
    Doubled,
    /// Too much is held already; an attachment brings it again.
    TooEarly,
}

/// How the pieces compare with the end marker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Completeness {
    /// More may follow.
    Open,
    /// Pieces before others, or before the end marker, are missing.
    Gap,
    /// Exactly what the end marker says.
    Whole,
    /// The end marker cannot be right.
    Contradiction,
}

/// The answer so far.
#[derive(Debug, Default)]
pub(super) struct Answer {
    /// The head, until it is given to the caller.
    head: Option<ResponseHead>,
    /// Whether the head came; pieces are delivered only after it.
    pub(super) headed: bool,
    /// Whether the caller has been given the head, so that no other attempt can answer it.
    pub(super) begun: bool,
    next_chunk: u32,
    byte_count: u64,
    early: IndexMap<u32, Bytes>,
    early_bytes: usize,
    end: Option<EndMarker>,
    contradicted: bool,
    acknowledged_chunk: u32,
}

impl Answer {
    /// Whether anything came that only a started execution can have sent.
    pub(super) fn has_started(&self) -> bool {
        self.headed || !self.early.is_empty() || self.end.is_some()
    }

    /// Index of the first piece not delivered.
    pub(super) fn next_chunk(&self) -> u32 {
        self.next_chunk
    }

    /// Takes the head and holds it; false when it came before.
    pub(super) fn take_head(&mut self, head: ResponseHead) -> bool {
        let is_first = !self.headed;
        if is_first {
            self.headed = true;
            self.head = Some(head);
        }
        is_first
    }

    /// Gives the head out, once.
    pub(super) fn begin(&mut self) -> Option<ResponseHead> {
        let head = self.head.take()?;
        self.begun = true;
        Some(head)
    }

    /// Takes a piece; [`Answer::next_ready`] gives out what can be delivered.
    pub(super) fn take_chunk(&mut self, index: u32, bytes: Bytes) -> ChunkTaken {
        if index < self.next_chunk || self.early.contains_key(&index) {
            return ChunkTaken::Doubled;
        }
        let is_next = index == self.next_chunk;
        let full = self.early.len() >= EARLY_CHUNKS_MAX
            || self.early_bytes + bytes.len() > EARLY_BYTES_MAX;
        if full && !is_next {
            return ChunkTaken::TooEarly;
        }
        self.early_bytes += bytes.len();
        self.early.insert(index, bytes);
        ChunkTaken::Held
    }

    /// The next piece in order, once the head has come.
    pub(super) fn next_ready(&mut self) -> Option<(u32, Bytes)> {
        if !self.headed {
            return None;
        }
        let index = self.next_chunk;
        let bytes = self.early.swap_remove(&index)?;
        self.early_bytes -= bytes.len();
        self.byte_count += bytes.len() as u64;
        self.next_chunk += 1;
        Some((index, bytes))
    }

    /// Takes an end marker. Two that differ are a contradiction.
    pub(super) fn take_end(&mut self, end: EndMarker) {
        let before = *self.end.get_or_insert(end);
        self.contradicted |= before != end;
    }

    /// Compares the pieces with the end marker.
    pub(super) fn completeness(&self) -> Completeness {
        let Some(end) = self.end else {
            let gap = !self.early.is_empty();
            return if gap { Completeness::Gap } else { Completeness::Open };
        };
        let beyond = self.next_chunk > end.chunk_count
            || self.early.keys().any(|index| *index >= end.chunk_count);
        let all = self.next_chunk == end.chunk_count;
        if self.contradicted || beyond || (all && self.byte_count != end.byte_count) {
            return Completeness::Contradiction;
        }
        if all && self.headed { Completeness::Whole } else { Completeness::Gap }
    }

    /// The acknowledgement that is due, if any.
    ///
    /// It stays one piece behind: an agent takes an acknowledgement past the last piece as the end
    /// of its duty, and would drop an answer whose end marker is still on its way.
    pub(super) fn due_acknowledgement(&mut self) -> Option<u32> {
        let behind = self.next_chunk.saturating_sub(1);
        if behind < self.acknowledged_chunk + RECEIVED_EVERY_CHUNKS {
            return None;
        }
        self.acknowledged_chunk = behind;
        Some(behind)
    }
}
