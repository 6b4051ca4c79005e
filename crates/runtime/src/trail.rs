//! The audit trail of a process.
//!
//! Records are numbered and chained by hashes, so that missing and altered ones can be detected.
//! Each record is written to the log; the latest [`MAX_RECORDS`] are also kept in memory.

use hickorycross_core::audit::AuditRecord;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// Maximum number of records kept in memory; older ones are in the log only.
pub const MAX_RECORDS: usize = 4096;

/// A record with its position in the trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrailEntry {
    /// Number of the record in this process, counted from 1.
    pub sequence: u64,
    /// Hash over the previous record's hash, the sequence and this record, as 16 hexadecimal
    /// digits.
    pub hash: String,
    /// The record.
    pub record: AuditRecord,
}

/// A gap or an altered record in a list of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrailFault {
    /// The sequence of an entry does not follow the one before it.
    Missing {
        /// The sequence that should follow.
        expected: u64,
        /// The sequence that does follow.
        found: u64,
    },
    /// A record does not match its hash.
    Altered {
        /// Its sequence.
        sequence: u64,
    },
}

/// The audit trail of one process.
#[derive(Debug, Default)]
pub struct Trail(Mutex<Kept>);

#[derive(Debug, Default)]
struct Kept {
    last_sequence: u64,
    last_hash: String,
    entries: VecDeque<TrailEntry>,
}

impl Trail {
    /// Appends a record with its sequence and hash, in memory and in the log.
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

    /// Returns the entries in memory from a sequence on, oldest first.
    #[must_use]
    pub fn since(&self, sequence: u64) -> Vec<TrailEntry> {
        let kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        kept.entries.iter().filter(|entry| entry.sequence >= sequence).cloned().collect()
    }
}

/// Checks a list of successive entries, and returns the first gap or altered record.
///
/// The hash of the first entry is not verified, because its predecessor may no longer be in memory.
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
