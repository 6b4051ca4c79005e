//! A bound on the bytes that an entry buffers for callers and backend servers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Share of the budget that new requests may use, as a divisor pair. The rest is for requests that
/// run already: their answers must have room to end, or nothing would become free.
const NEW_REQUESTS_SHARE: (usize, usize) = (3, 4);

/// Counts the bytes that an entry buffers against a limit. Clones share the count.
#[derive(Clone, Debug)]
pub struct BufferBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
}

impl BufferBudget {
    /// Creates a budget of `limit_bytes`.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self(Arc::new(Shared { limit_bytes, used_bytes: AtomicUsize::new(0) }))
    }

    /// Returns the number of bytes that are buffered at present.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.0.used_bytes.load(Ordering::Relaxed)
    }

    /// Returns whether there is room for a new request.
    #[must_use]
    pub fn admits_new_request(&self) -> bool {
        self.used_bytes() < self.new_request_limit_bytes()
    }

    /// Returns a lease of no bytes.
    #[must_use]
    pub fn lease(&self) -> BufferLease {
        BufferLease { budget: self.clone(), bytes: 0 }
    }

    fn new_request_limit_bytes(&self) -> usize {
        let (part, whole) = NEW_REQUESTS_SHARE;
        self.0.limit_bytes / whole * part
    }

    fn try_add(&self, bytes: usize, limit_bytes: usize) -> bool {
        let add = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit_bytes);
        self.0.used_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }
}

/// Bytes of a [`BufferBudget`] that one buffer holds, until the lease is dropped.
#[derive(Debug)]
pub struct BufferLease {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferLease {
    /// Returns the number of bytes that the lease holds.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds `bytes` for a request that is new, and so may still be refused. Returns whether there
    /// was room.
    #[must_use]
    pub fn try_grow_new(&mut self, bytes: usize) -> bool {
        self.try_grow_to(bytes, self.budget.new_request_limit_bytes())
    }

    /// Adds `bytes` for a request that runs. Returns whether there was room.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        self.try_grow_to(bytes, self.budget.0.limit_bytes)
    }

    /// Adds `bytes` also if the budget is used up, for a buffer that must hold something to go on.
    pub fn grow(&mut self, bytes: usize) {
        self.budget.0.used_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
    }

    /// Gives back `bytes`, at most those that the lease holds.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.budget.0.used_bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.bytes -= bytes;
    }

    fn try_grow_to(&mut self, bytes: usize, limit_bytes: usize) -> bool {
        let has_room = self.budget.try_add(bytes, limit_bytes);
        if has_room {
            self.bytes += bytes;
        }
        has_room
    }
}

impl Drop for BufferLease {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}
