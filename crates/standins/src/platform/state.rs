//! What the platform knows, and what its readers see of it.

use super::MAX_DOCUMENT_BYTES;
use super::counts::{Meter, Read, ReadCounts};
use hickorycross_core::Instance;
use serde::Serialize;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Reads that the platform answers each second, unless set otherwise.
pub const READS_PER_S: u32 = 2_000;

/// A published document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Publication {
    pub(super) revision: u64,
    pub(super) document: String,
}

/// A state of the instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct InstanceList {
    pub(super) revision: u64,
    pub(super) instances: Vec<Instance>,
}

/// Both values, as known or as seen.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    pub(super) config: Option<Arc<Publication>>,
    pub(super) instances: Arc<InstanceList>,
}

/// Why a document was not published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishError {
    /// It exceeds [`MAX_DOCUMENT_BYTES`].
    TooLarge,
    /// Another revision than the one it was based on is current.
    NotCurrent {
        /// The current one; zero when nothing is published.
        current: u64,
    },
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(f, "the document exceeds {MAX_DOCUMENT_BYTES} bytes"),
            Self::NotCurrent { current } => write!(f, "the current revision is {current}"),
        }
    }
}

impl std::error::Error for PublishError {}

/// State shared by the handle and the routes.
#[derive(Debug)]
pub(super) struct State {
    inner: Mutex<Inner>,
    seen: watch::Sender<View>,
}

#[derive(Debug)]
struct Inner {
    known: View,
    history: Vec<Arc<Publication>>,
    frozen: bool,
    list_revision: u64,
    list_lag_ms: u64,
    unavailable: bool,
    slow_ms: u64,
    meter: Meter,
}

impl State {
    pub(super) fn new() -> Self {
        let inner = Inner {
            known: View::default(),
            history: Vec::new(),
            frozen: false,
            list_revision: 0,
            list_lag_ms: 0,
            unavailable: false,
            slow_ms: 0,
            meter: Meter::new(READS_PER_S),
        };
        Self { inner: Mutex::new(inner), seen: watch::Sender::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes under the next revision, if `base` is the current one or absent.
    pub(super) fn publish(&self, base: Option<u64>, document: &str) -> Result<u64, PublishError> {
        if document.len() > MAX_DOCUMENT_BYTES {
            return Err(PublishError::TooLarge);
        }
        let mut inner = self.lock();
        let current = inner.known.config.as_ref().map_or(0, |config| config.revision);
        if base.is_some_and(|base| base != current) {
            return Err(PublishError::NotCurrent { current });
        }
        let revision = current + 1;
        self.put(&mut inner, revision, document);
        Ok(revision)
    }

    pub(super) fn publish_at(&self, revision: u64, document: &str) {
        self.put(&mut self.lock(), revision, document);
    }

    fn put(&self, inner: &mut Inner, revision: u64, document: &str) {
        let publication = Arc::new(Publication { revision, document: document.to_owned() });
        inner.history.push(publication.clone());
        inner.known.config = Some(publication);
        self.show(inner);
    }

    /// Lets readers see what is known, unless the answers are frozen.
    fn show(&self, inner: &Inner) {
        if !inner.frozen {
            self.seen.send_replace(inner.known.clone());
        }
    }

    pub(super) fn set_instances(state: &Arc<Self>, instances: Vec<Instance>) -> u64 {
        let mut inner = state.lock();
        inner.list_revision += 1;
        let revision = inner.list_revision;
        let list = Arc::new(InstanceList { revision, instances });
        let lag_ms = inner.list_lag_ms;
        if lag_ms == 0 {
            state.learn_instances(&mut inner, list);
            return revision;
        }
        let later = state.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(lag_ms)).await;
            later.learn_instances(&mut later.lock(), list);
        });
        revision
    }

    fn learn_instances(&self, inner: &mut Inner, list: Arc<InstanceList>) {
        if list.revision > inner.known.instances.revision {
            inner.known.instances = list;
            self.show(inner);
        }
    }

    pub(super) fn freeze(&self) {
        self.lock().frozen = true;
    }

    pub(super) fn freeze_at(&self, revision: u64) -> bool {
        let mut inner = self.lock();
        let older = inner.history.iter().rev().find(|held| held.revision == revision).cloned();
        if older.is_none() {
            return false;
        }
        inner.frozen = true;
        self.seen.send_modify(|view| view.config = older);
        true
    }

    pub(super) fn thaw(&self) {
        let mut inner = self.lock();
        inner.frozen = false;
        self.show(&inner);
    }

    pub(super) fn set_list_lag_ms(&self, lag_ms: u64) {
        self.lock().list_lag_ms = lag_ms;
    }

    pub(super) fn set_reads_per_s(&self, reads_per_s: u32) {
        self.lock().meter.reads_per_s = reads_per_s;
    }

    pub(super) fn set_unavailable(&self, unavailable: bool) {
        self.lock().unavailable = unavailable;
    }

    pub(super) fn unavailable(&self) -> bool {
        self.lock().unavailable
    }

    pub(super) fn set_slow_ms(&self, slow_ms: u64) {
        self.lock().slow_ms = slow_ms;
    }

    pub(super) fn slow_ms(&self) -> u64 {
        self.lock().slow_ms
    }

    pub(super) fn read_counts(&self) -> ReadCounts {
        self.lock().meter.counts
    }

    /// Counts a call; false when it is over the rate.
    pub(super) fn count(&self, read: Read) -> bool {
        self.lock().meter.count(read)
    }

    /// What readers see now and later.
    pub(super) fn subscribe(&self) -> watch::Receiver<View> {
        self.seen.subscribe()
    }
}
