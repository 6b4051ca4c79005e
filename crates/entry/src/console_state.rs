//! State that the driver publishes for the pages of the console.

use hickorycross_config::{Document, Stamp};
use hickorycross_core::UnixMs;
use hickorycross_core::entry::EntrySnapshot;
use hickorycross_runtime::fleet::Fleet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The active document with its revision and digest.
#[derive(Clone, Debug)]
pub(crate) struct ActiveDocument {
    pub(crate) stamp: Stamp,
    pub(crate) document: Arc<Document>,
}

/// A snapshot of the core's state with the time at which it was taken.
#[derive(Clone, Debug)]
pub(crate) struct TimedSnapshot {
    pub(crate) at: UnixMs,
    pub(crate) snapshot: Arc<EntrySnapshot>,
}

/// State shared between the driver, which writes it, and the console's pages, which read it.
#[derive(Debug, Default)]
pub(crate) struct ConsoleState {
    fleet: Fleet,
    active_document: Mutex<Option<ActiveDocument>>,
    latest_snapshot: Mutex<Option<TimedSnapshot>>,
}

impl ConsoleState {
    /// Returns the record of what other processes reported about themselves.
    pub(crate) fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub(crate) fn set_active_document(&self, stamp: Stamp, document: Arc<Document>) {
        *lock(&self.active_document) = Some(ActiveDocument { stamp, document });
    }

    /// Returns the active document, or `None` if none has been adopted yet.
    pub(crate) fn active_document(&self) -> Option<ActiveDocument> {
        lock(&self.active_document).clone()
    }

    pub(crate) fn set_snapshot(&self, at: UnixMs, snapshot: EntrySnapshot) {
        *lock(&self.latest_snapshot) = Some(TimedSnapshot { at, snapshot: Arc::new(snapshot) });
    }

    /// Returns the latest snapshot of the core, or `None` before the first one.
    pub(crate) fn latest_snapshot(&self) -> Option<TimedSnapshot> {
        lock(&self.latest_snapshot).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
