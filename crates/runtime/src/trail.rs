//! The audit trail of a process: numbered and chained records, kept in memory up to a bound.

use hickorycross_core::audit::AuditRecord;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// Records that a process keeps; older ones stand in the log only.
pub const MAX_RECORDS: usize = 4096;

/// A record with its place in the trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrailEntry {
    /// Counts the records of this process from 1.
    pub sequence: u64,
    /// Hash over the hash of the record before and this record, 16 hexadecimal digits.
    pub hash: String,
    /// The record.
    pub record: AuditRecord,
}

/// A gap or a changed record in a list of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrailFault {
    /// Records between two neighbours are missing.
    Missing {
        /// The sequence that was expected.
        expected: u64,
        /// The sequence that was found.
        found: u64,
    },
    /// A record does not match its hash.
    Altered {
        /// Its sequence.
        sequence: u64,
    },
}

/// The trail of one process.
#[derive(Debug, Default)]
pub struct Trail(Mutex<Kept>);

#[derive(Debug, Default)]
struct Kept {
    last_sequence: u64,
    last_hash: String,
    entries: VecDeque<TrailEntry>,
}

impl Trail {
    /// Numbers and chains a record, writes it to the log and keeps it.
    pub fn write(&self, record: AuditRecord) {
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let sequence = kept.last_sequence + 1;
        let hash = chain(&kept.last_hash, sequence, &record);
        let entry = TrailEntry { sequence, hash, record };
        log_entry(&entry);
        kept.last_sequence = sequence;
        kept.last_hash.clone_from(&entry.hash);
        if kept.entries.len() == MAX_RECORDS {
            kept.entries.pop_front();
        }
        kept.entries.push_back(entry);
    }

    /// The kept entries from a sequence on, oldest first.
    #[must_use]
    pub fn since(&self, sequence: u64) -> Vec<TrailEntry> {
        let kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        kept.entries.iter().filter(|entry| entry.sequence >= sequence).cloned().collect()
    }
}

/// Checks that entries follow one another without a gap and that none was altered. The first one's
/// own hash is taken on trust, because its predecessor may no longer be kept.
#[must_use]
pub fn check(entries: &[TrailEntry]) -> Option<TrailFault> {
    entries.windows(2).find_map(|pair| check_pair(&pair[0], &pair[1]))
}

fn check_pair(before: &TrailEntry, after: &TrailEntry) -> Option<TrailFault> {
    let expected = before.sequence + 1;
    if after.sequence != expected {
        return Some(TrailFault::Missing { expected, found: after.sequence });
    }
    let hash = chain(&before.hash, after.sequence, &after.record);
    (hash != after.hash).then_some(TrailFault::Altered { sequence: after.sequence })
}

fn chain(previous: &str, sequence: u64, record: &AuditRecord) -> String {
    let record = serde_json::to_string(record).unwrap_or_default();
    let digest =
        hickorycross_config::Digest::of(format!("{previous}/{sequence}/{record}").as_bytes());
    digest.to_string()
}

fn log_entry(entry: &TrailEntry) {
    let change = serde_json::to_string(&entry.record.change).unwrap_or_default();
    log::info!(
        target: "audit",
        sequence = entry.sequence,
        hash = entry.hash.as_str(),
        at_unix_ms = entry.record.at.0,
        actor = entry.record.actor.to_string().as_str(),
        revision = entry.record.stamp.revision,
        change = change.as_str();
        "change"
    );
}
