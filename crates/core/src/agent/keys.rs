//! Idempotency keys whose request was given to the backend server.

use crate::ids::AttemptId;
use crate::message::KeyDigest;
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One used key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KeyRow {
    /// The attempt that was given to the backend server.
    pub(crate) run: AttemptId,
    /// Digest of the request, so that the key is refused for another one.
    pub(crate) content: u64,
    /// What is known of the run without its answer.
    pub(crate) verdict: Verdict,
    /// The key's horizon; never passes while the run goes on.
    pub(crate) forget_at: UnixMs,
}

/// The used keys by digest.
///
/// There may be millions at a long horizon, so their expiry is ordered: a sweep touches only what
/// is due.
#[derive(Debug, Default)]
pub(crate) struct KeyTable {
    rows: IndexMap<KeyDigest, KeyRow>,
    due: BinaryHeap<Reverse<Due>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    forget_at: UnixMs,
    key: KeyDigest,
}

impl KeyTable {
    /// The use of a key whose horizon has not passed.
    pub(crate) fn get(&self, now: Now, key: KeyDigest) -> Option<&KeyRow> {
        self.rows.get(&key).filter(|row| !row.forget_at.is_past(now))
    }

    /// Notes that the request of a key goes to the backend server.
    pub(crate) fn start(&mut self, key: KeyDigest, run: AttemptId, content: u64) {
        let verdict = Verdict::MayHaveRun;
        self.rows.insert(key, KeyRow { run, content, verdict, forget_at: UnixMs::NEVER });
    }

    /// Notes how the run of a key ended. One that did not run leaves the key unused.
    pub(crate) fn end(
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
        self.due.push(Reverse(Due { forget_at, key }));
    }

    /// Forgets keys whose horizon has passed.
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
