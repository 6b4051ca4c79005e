//! How many entries a fleet has, as far as any entry has lately seen.

use super::BootMs;
use serde::{Deserialize, Serialize};

/// Time for which the largest number counts. Entries that are cut off from each other for some
/// minutes must not divide a limit of the fleet among the few that each of them still hears.
const KEPT_MS: u64 = 3_600_000;

/// Largest number that is believed.
const MAX_ENTRIES: usize = 4_096;

/// A number of entries, as one entry tells it to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryCountReport {
    /// Number of live entries that some entry knew at one time.
    pub entries: u32,
    /// How long ago that was, in milliseconds.
    pub age_ms: u64,
}

/// The largest number of entries that any entry was seen to know within the last hour.
///
/// Right after many entries have started, each of them knows few others, but all have asked the
/// seeds. The largest number reaches all entries long before each of them knows all others.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryCount {
    entries: usize,
    as_of: BootMs,
}

impl EntryCount {
    /// Records that `entries` entries were known at `as_of`.
    pub fn note(&mut self, entries: usize, as_of: BootMs, now: BootMs) {
        let entries = entries.min(MAX_ENTRIES);
        if now.since(as_of) >= KEPT_MS {
            return;
        }
        let is_expired = now.since(self.as_of) >= KEPT_MS;
        if is_expired || entries > self.entries {
            *self = Self { entries, as_of };
        } else if entries == self.entries {
            self.as_of = self.as_of.max(as_of);
        }
    }

    /// Records the number that another entry told at `told_at` or later.
    pub fn note_report(&mut self, report: EntryCountReport, told_at: BootMs, now: BootMs) {
        let entries = usize::try_from(report.entries).unwrap_or(usize::MAX);
        self.note(entries, told_at.before(report.age_ms), now);
    }

    /// Returns the largest number, 1 if none was recorded.
    #[must_use]
    pub fn entries(&self) -> usize {
        self.entries.max(1)
    }

    /// Returns what to tell other entries.
    #[must_use]
    pub fn report(&self, now: BootMs) -> EntryCountReport {
        let entries = u32::try_from(self.entries()).unwrap_or(u32::MAX);
        EntryCountReport { entries, age_ms: now.since(self.as_of) }
    }
}
