//! The last changes of the list of backend servers, so that entries can tell each other what has
//! changed instead of the whole list.

use super::{BackendServer, BootMs};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of kept changes: those of a fleet of a thousand backend servers that are all
/// replaced. Whoever lacks more gets the whole list.
const MAX_CHANGES: usize = 2_048;

/// A change of the list of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListingChange {
    /// A backend server was registered, or its registration changed.
    Listed(BackendServer),
    /// The registration with this name was removed.
    Gone(String),
    /// The registration with this name was overwritten by something that cannot be decoded.
    Unreadable {
        /// Name of the registration.
        id: String,
        /// Description of the fault.
        fault: String,
    },
}

/// Changes of the list of backend servers after a revision of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListingUpdate {
    /// The changes in the order in which they were made.
    pub changes: Vec<ListingChange>,
    /// Revision of the store up to which they are complete.
    pub as_of: u64,
}

impl ListingUpdate {
    /// Returns whether nothing has changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

/// The changes of the list that this process has applied, with the revision of the store up to which
/// the list is complete.
#[derive(Clone, Debug, Default)]
pub struct ListingHistory {
    /// Each change with the revision up to which the update that brought it was complete.
    changes: VecDeque<(u64, ListingChange)>,
    /// Revision after which all changes are kept.
    kept_after: u64,
    as_of: u64,
    /// When the store was last asked with the result that there was nothing later than `as_of`.
    confirmed_at: Option<BootMs>,
}

impl ListingHistory {
    /// Returns the revision of the store up to which the list is complete, 0 before it is known.
    #[must_use]
    pub const fn as_of(&self) -> u64 {
        self.as_of
    }

    /// Returns the milliseconds since the list was last known to be that of the store, or `None` if
    /// it never was.
    #[must_use]
    pub fn age_ms(&self, now: BootMs) -> Option<u64> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Records that the store had no change later than `as_of` at `at`.
    pub fn confirm(&mut self, as_of: u64, at: BootMs) {
        if as_of >= self.as_of {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Records that the whole list was replaced by that of a revision.
    pub fn restart(&mut self, as_of: u64) {
        *self =
            Self { kept_after: as_of, as_of, confirmed_at: self.confirmed_at, ..Self::default() };
    }

    /// Records an update that begins at the present revision or before. One that ends there or
    /// before changes nothing.
    pub fn extend(&mut self, update: ListingUpdate) {
        if update.as_of <= self.as_of {
            return;
        }
        self.as_of = update.as_of;
        self.changes.extend(update.changes.into_iter().map(|change| (update.as_of, change)));
        while self.changes.len() > MAX_CHANGES {
            self.drop_oldest();
        }
    }

    /// Drops the oldest change, and with it those of the same update: a part of an update would leave
    /// the list of whoever gets it incomplete.
    fn drop_oldest(&mut self) {
        let Some((oldest, _)) = self.changes.pop_front() else { return };
        self.kept_after = oldest;
        while self.changes.front().is_some_and(|(as_of, _)| *as_of == oldest) {
            self.changes.pop_front();
        }
    }

    /// Returns the changes after a revision, or `None` if not all of them are kept.
    #[must_use]
    pub fn since(&self, after: u64) -> Option<ListingUpdate> {
        if after < self.kept_after || after == 0 {
            return None;
        }
        let later = self.changes.iter().filter(|(as_of, _)| *as_of > after);
        let changes = later.map(|(_, change)| change.clone()).collect();
        Some(ListingUpdate { changes, as_of: self.as_of })
    }

    /// Returns whether there are changes after a revision.
    #[must_use]
    pub fn has_changed_since(&self, after: u64) -> bool {
        after < self.kept_after || self.changes.back().is_some_and(|(as_of, _)| *as_of > after)
    }
}
