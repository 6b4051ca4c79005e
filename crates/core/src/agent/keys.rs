//! Idempotency keys whose request was sent to the backend server.

use crate::ids::AttemptId;
use crate::message::KeyDigest;
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Record of a used key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KeyRecord {
    /// The run, identified by the attempt that was sent to the backend server.
    pub(crate) run: AttemptId,
    /// Digest of the request, to refuse the key for a different one.
    pub(crate) content: u64,
    /// What is known of the run without its response.
    pub(crate) verdict: Verdict,
    /// End of the key's horizon; `NEVER` while the request is running.
    pub(crate) forget_at: UnixMs,
}

/// The used keys by digest.
///
/// With a long horizon there may be millions. Ordering them by expiry lets a sweep visit only those
/// that are due.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    rows: IndexMap<KeyDigest, KeyRecord>,
    due: BinaryHeap<Reverse<KeyExpiry>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct KeyExpiry {
    forget_at: UnixMs,
    key: KeyDigest,
}

impl KeyTable {
    /// Returns the record of a used key, unless its horizon has passed.
    pub(crate) fn get(&self, now: Now, key: KeyDigest) -> Option<&KeyRecord> {
        self.rows.get(&key).filter(|row| !row.forget_at.is_past(now))
    }

    /// Records that the request of a key is being sent to the backend server.
    pub(crate) fn record_start(&mut self, key: KeyDigest, run: AttemptId, content: u64) {
        let verdict = Verdict::MayHaveRun;
        self.rows.insert(key, KeyRecord { run, content, verdict, forget_at: UnixMs::NEVER });
    }

    /// Records how the run of a key ended. With `NotRun` the key becomes unused again.
    pub(crate) fn record_end(
        &mut self,
        key: KeyDigest,
        run: AttemptId,
        verdict: Verdict,
        forget_at: UnixMs,
    ) {
        let Some(row) = self.rows.get_mut(&key).filter(|row| row.run == run) else { return };
        if verdict == Verdict::NotRun {
            self.rows.swap_remove(&key);
            return;
        }
        row.verdict = verdict;
        row.forget_at = forget_at;
        self.due.push(Reverse(KeyExpiry { forget_at, key }));
    }

    /// Removes keys whose horizon has passed.
    pub(crate) fn sweep(&mut self, now: Now) {
        while let Some(Reverse(due)) = self.due.peek().copied() {
            if !due.forget_at.is_past(now) {
                return;
            }
            self.due.pop();
            if self.rows.get(&due.key).is_some_and(|row| row.forget_at.is_past(now)) {
                self.rows.swap_remove(&due.key);
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }
}
