//! What the driver shows to the console's pages.

use hickorycross_config::{Document, Stamp};
use hickorycross_core::UnixMs;
use hickorycross_core::entry::EntrySnapshot;
use hickorycross_runtime::fleet::Fleet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The document in force with its stamp.
#[derive(Clone, Debug)]
pub(crate) struct InForce {
    pub(crate) stamp: Stamp,
    pub(crate) document: Arc<Document>,
}

/// The core's state at one moment.
#[derive(Clone, Debug)]
pub(crate) struct Shown {
    pub(crate) at: UnixMs,
    pub(crate) snapshot: Arc<EntrySnapshot>,
}

/// Written by the driver, read by pages.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    fleet: Fleet,
    in_force: Mutex<Option<InForce>>,
    shown: Mutex<Option<Shown>>,
}

impl Observed {
    /// What was heard of other processes.
    pub(crate) fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    pub(crate) fn adopt(&self, stamp: Stamp, document: Arc<Document>) {
        *lock(&self.in_force) = Some(InForce { stamp, document });
    }

    /// The document in force, if there is one.
    pub(crate) fn in_force(&self) -> Option<InForce> {
        lock(&self.in_force).clone()
    }

    pub(crate) fn show(&self, at: UnixMs, snapshot: EntrySnapshot) {
        *lock(&self.shown) = Some(Shown { at, snapshot: Arc::new(snapshot) });
    }

    /// The latest snapshot of the core.
    pub(crate) fn shown(&self) -> Option<Shown> {
        lock(&self.shown).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
