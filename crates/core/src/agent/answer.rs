//! The chunks of one answer that can still be sent again.

use crate::message::ResponseHead;
use bytes::Bytes;
use std::collections::VecDeque;

/// One answer of a backend server, as far as it has come.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    /// Status and headers, once they have come.
    pub(crate) head: Option<ResponseHead>,
    chunks: VecDeque<Bytes>,
    first_index: u32,
    byte_count: u64,
    retained_bytes: u64,
}

/// A chunk with its number.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Numbered<'a> {
    pub(crate) index: u32,
    pub(crate) bytes: &'a Bytes,
}

impl Answer {
    /// Appends a chunk and returns its number.
    pub(crate) fn push(&mut self, bytes: Bytes) -> u32 {
        let index = self.chunk_count();
        self.byte_count += bytes.len() as u64;
        self.retained_bytes += bytes.len() as u64;
        self.chunks.push_back(bytes);
        index
    }

    /// Chunks so far.
    pub(crate) fn chunk_count(&self) -> u32 {
        self.first_index + self.chunks.len() as u32
    }

    /// Bytes of all chunks so far.
    pub(crate) fn byte_count(&self) -> u64 {
        self.byte_count
    }

    /// Bytes of the chunks that are still held.
    pub(crate) fn retained_bytes(&self) -> u64 {
        self.retained_bytes
    }

    /// Whether the chunk at an index and all after it are held.
    pub(crate) fn holds_from(&self, index: u32) -> bool {
        index >= self.first_index
    }

    /// The held chunks from an index on.
    pub(crate) fn from(&self, index: u32) -> impl Iterator<Item = Numbered<'_>> {
        let skipped = index.saturating_sub(self.first_index);
        let numbered = (self.first_index..).zip(&self.chunks);
        numbered.skip(skipped as usize).map(|(index, bytes)| Numbered { index, bytes })
    }

    /// Drops the chunks before an index.
    pub(crate) fn drop_before(&mut self, index: u32) {
        while self.first_index < index {
            let Some(bytes) = self.chunks.pop_front() else { return };
            self.retained_bytes -= bytes.len() as u64;
            self.first_index += 1;
        }
    }
}
