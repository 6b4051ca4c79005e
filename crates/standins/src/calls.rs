//! Record of the calls that a backend stand-in got.

use hickorycross_config::Digest;
use indexmap::IndexMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallState {
    /// It waits for a slot.
    Waiting,
    /// It has a slot.
    Running,
    /// Its answer has been given in full.
    Whole,
    /// It was answered with an error without being run.
    Failed,
    /// Its connection was broken by the stand-in.
    Broken,
    /// The caller went away before the answer was whole.
    CallerGone,
}

/// One call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The attempt that it names.
    pub attempt: Option<String>,
    /// The idempotency key that it names.
    pub idempotency_key: Option<String>,
    /// HTTP method, in upper case.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Digest of the body.
    pub body_digest: Digest,
    /// Priority that it names, 0 first.
    pub priority: u8,
    /// Whether it ever got a slot: from then on it counts as run.
    pub ran: bool,
    /// How far it has come.
    pub state: CallState,
}

/// All calls of one stand-in in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallLog(Arc<Mutex<Table>>);

#[derive(Debug, Default)]
struct Table {
    calls: Vec<Call>,
    /// Indices of calls in the order in which they got their slots.
    started: Vec<usize>,
}

/// One call that is open. Dropped without an outcome, it counts as left by its caller.
#[derive(Debug)]
pub(crate) struct OpenCall {
    log: CallLog,
    index: usize,
}

impl CallLog {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn open(&self, call: Call) -> OpenCall {
        let mut table = self.lock();
        table.calls.push(call);
        OpenCall { log: self.clone(), index: table.calls.len() - 1 }
    }

    pub(crate) fn all(&self) -> Vec<Call> {
        self.lock().calls.clone()
    }

    /// Attempts in the order in which they got their slots.
    pub(crate) fn start_order(&self) -> Vec<String> {
        let table = self.lock();
        table.started.iter().filter_map(|index| table.calls[*index].attempt.clone()).collect()
    }

    /// How often each attempt was run.
    pub(crate) fn runs_by_attempt(&self) -> IndexMap<String, u32> {
        self.runs_by(|call| call.attempt.as_deref())
    }

    /// How often requests with each idempotency key were run.
    pub(crate) fn runs_by_key(&self) -> IndexMap<String, u32> {
        self.runs_by(|call| call.idempotency_key.as_deref())
    }

    fn runs_by(&self, name: impl Fn(&Call) -> Option<&str>) -> IndexMap<String, u32> {
        let mut runs = IndexMap::new();
        let table = self.lock();
        for name in table.calls.iter().filter(|call| call.ran).filter_map(name) {
            *runs.entry(name.to_owned()).or_default() += 1;
        }
        runs
    }
}

impl OpenCall {
    /// Notes that the call has a slot.
    pub(crate) fn start(&self) {
        let mut table = self.log.lock();
        table.started.push(self.index);
        table.calls[self.index].ran = true;
        table.calls[self.index].state = CallState::Running;
    }

    /// Notes how the call ended.
    pub(crate) fn end(self, state: CallState) {
        self.log.lock().calls[self.index].state = state;
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let call = &mut self.log.lock().calls[self.index];
        if matches!(call.state, CallState::Waiting | CallState::Running) {
            call.state = CallState::CallerGone;
        }
    }
}
