//! Buffer of the response chunks that can still be resent.

use crate::message::ResponseHead;
use bytes::Bytes;
use std::collections::VecDeque;

/// The part of a backend server's response that has arrived so far.
///
/// Counts cover the whole response; chunks before the first retained index have been dropped.
#[derive(Debug, Default)]
pub(crate) struct ResponseBuffer {
    /// Status and headers; none until they arrive.
    pub(crate) head: Option<ResponseHead>,
    chunks: VecDeque<Bytes>,
    first_index: u32,
    byte_count: u64,
    retained_bytes: u64,
}

/// A chunk and its index within the response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IndexedChunk<'a> {
    pub(crate) index: u32,
    pub(crate) bytes: &'a Bytes,
}

impl ResponseBuffer {
    /// Appends a chunk and returns its index.
    pub(crate) fn push(&mut self, bytes: Bytes) -> u32 {
        let index = self.chunk_count();
        self.byte_count += bytes.len() as u64;
        self.retained_bytes += bytes.len() as u64;
        self.chunks.push_back(bytes);
        index
    }

    /// Returns the number of chunks received so far, dropped ones included.
    pub(crate) fn chunk_count(&self) -> u32 {
        self.first_index + self.chunks.len() as u32
    }

    /// Returns the size of all chunks received so far, dropped ones included.
    pub(crate) fn byte_count(&self) -> u64 {
        self.byte_count
    }

    /// Returns the size of the chunks that are still buffered.
    pub(crate) fn retained_bytes(&self) -> u64 {
        self.retained_bytes
    }

    /// Returns whether the chunk at `index` and all later ones are still buffered.
    pub(crate) fn retains_from(&self, index: u32) -> bool {
        index >= self.first_index
    }

    /// Returns the buffered chunks from `index` on.
    pub(crate) fn chunks_from(&self, index: u32) -> impl Iterator<Item = IndexedChunk<'_>> {
        let skipped = index.saturating_sub(self.first_index);
        let indexed = (self.first_index..).zip(&self.chunks);
        indexed.skip(skipped as usize).map(|(index, bytes)| IndexedChunk { index, bytes })
    }

    /// Drops the buffered chunks before `index`.
    pub(crate) fn drop_before(&mut self, index: u32) {
        while self.first_index < index {
            let Some(bytes) = self.chunks.pop_front() else { return };
            self.retained_bytes -= bytes.len() as u64;
            self.first_index += 1;
        }
    }
}
