//! Bounds on sign-in attempts.
//!
//! Without them a program could try passwords as fast as the process hashes them; one would see
//! rejected sign-ins by the thousand in the trail, and a core kept busy.

use hickorycross_core::{Now, UnixMs};
use indexmap::IndexMap;
use std::net::IpAddr;
use std::sync::{Mutex, PoisonError};

/// Attempts from one address before pauses begin.
const FREE_ATTEMPTS: u32 = 5;
/// First pause; it doubles with every further attempt.
const FIRST_PAUSE_MS: u64 = 10_000;
/// Longest pause.
const LONGEST_PAUSE_MS: u64 = 300_000;
/// An address without attempts for so long starts anew.
const MEMORY_MS: u64 = 900_000;
/// Addresses that are remembered; the oldest gives way.
const MAX_ADDRESSES: usize = 1024;

#[derive(Clone, Copy, Debug)]
struct Row {
    attempts: u32,
    not_before: UnixMs,
    forget: UnixMs,
}

/// Attempts by address.
#[derive(Debug, Default)]
pub(super) struct Throttle(Mutex<IndexMap<IpAddr, Row>>);

impl Throttle {
    /// Counts an attempt before it is judged, so that attempts side by side are counted too.
    ///
    /// # Errors
    ///
    /// The moment before which no attempt of the address is taken.
    pub(super) fn admit(&self, now: Now, address: IpAddr) -> Result<(), UnixMs> {
        let mut rows = self.lock();
        rows.retain(|_, row| !row.forget.is_past(now));
        if rows.len() >= MAX_ADDRESSES && !rows.contains_key(&address) {
            rows.shift_remove_index(0);
        }
        let row = rows.entry(address).or_insert(Row {
            attempts: 0,
            not_before: now.unix_ms,
            forget: now.after(MEMORY_MS),
        });
        if !row.not_before.is_past(now) {
            return Err(row.not_before);
        }
        row.attempts = row.attempts.saturating_add(1);
        row.forget = now.after(MEMORY_MS);
        if row.attempts >= FREE_ATTEMPTS {
            let doublings = (row.attempts - FREE_ATTEMPTS).min(16);
            row.not_before = now.after((FIRST_PAUSE_MS << doublings).min(LONGEST_PAUSE_MS));
        }
        Ok(())
    }

    /// Forgets an address that has signed in.
    pub(super) fn clear(&self, address: IpAddr) {
        self.lock().shift_remove(&address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<IpAddr, Row>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
