//! Tells a silent connection from a group that stalls as a whole.

use crate::clock::boot_now;
use crate::state::EntryState;
use hickorycross_core::direct::{BackendServer, BootMs, PassTracker, RequestKind, Route};
use std::future::Future;
use std::time::Duration;

/// Silence of one stream, while others of the same service go on, that counts as a lost connection.
///
/// Several passes of a busy group (80 ms each), well under the 2 s after which callers leave.
const SILENT_ALONE_MS: u64 = 800;

/// The same for the head of an answer, which comes with the first event. A request may wait at its
/// backend server while others are served; after an outage for a second and more. Sent once more it is
/// read twice, which makes all others wait longer. What is left of the 2 s is enough for another try.
const SILENT_HEAD_MS: u64 = 1_500;

/// Passes that others made meanwhile. When a group is slow or stalls as a whole, another of its ranks
/// brings nothing sooner, and the second send reads the prompt once more.
const PASSES_MISSED: u64 = 4;

/// Silence of a plain idempotent request that counts as a lost connection, as a multiple of the
/// time within which its answer is on time.
const SILENT_TARGETS: u64 = 2;

/// Silence of a backend server that counts as a lost connection while the agent beside it is not heard
/// either: a few passes. By silence alone a frozen machine is found too late for its callers, who leave after
/// 2 s.
const SILENT_UNHEARD_MS: u64 = 250;

/// Passes that others made meanwhile: without any, the group stands and another rank brings nothing sooner.
const PASSES_MISSED_UNHEARD: u64 = 1;

/// Pause between looks at whether others go on.
const LOOK_MS: u64 = 100;

/// What is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Awaited {
    /// The head of an answer.
    Head,
    /// More of its body.
    Body,
}

/// Why a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Impatience {
    /// The connection seems lost while others go on.
    Silent,
    /// The caller's or the route's time is over.
    Limit,
    /// The backend server has started again and holds nothing of before.
    Superseded,
}

/// Who is waited for, and for how long.
pub(crate) struct Patience<'a> {
    pub(crate) state: &'a EntryState,
    pub(crate) route: &'a Route,
    pub(crate) server: &'a BackendServer,
    pub(crate) awaited: Awaited,
    /// When the request's time is over.
    pub(crate) limit_at: BootMs,
    /// Whether the request can go on elsewhere.
    pub(crate) can_move: bool,
}

impl Patience<'_> {
    /// Waits for `work`, but not past the request's limit nor for a connection that seems lost.
    pub(crate) async fn wait<T>(&self, work: impl Future<Output = T>) -> Result<T, Impatience> {
        let started = Started { at: boot_now(), passes: self.passes() };
        let mut work = std::pin::pin!(work);
        loop {
            let left_ms = self.limit_at.since(boot_now());
            if left_ms == 0 {
                return Err(Impatience::Limit);
            }
            let pause = Duration::from_millis(left_ms.min(LOOK_MS));
            if let Ok(done) = tokio::time::timeout(pause, work.as_mut()).await {
                return Ok(done);
            }
            if self.is_silent(started) {
                return Err(Impatience::Silent);
            }
            // Behind a cut its connection neither answers nor breaks.
            if self.state.backends.borrow().is_superseded(self.server) {
                return Err(Impatience::Superseded);
            }
        }
    }

    fn passes(&self) -> u64 {
        self.state.passes.borrow().get(&self.server.service).map_or(0, PassTracker::ended)
    }

    fn is_silent(&self, started: Started) -> bool {
        let silent_ms = boot_now().since(started.at);
        match self.route.kind {
            RequestKind::Idempotent => silent_ms > self.route.target_latency_ms * SILENT_TARGETS,
            RequestKind::NonIdempotent | RequestKind::Stream => false,
            RequestKind::ResumableStream => {
                let missed = self.passes() - started.passes;
                let most_ms = match self.awaited {
                    Awaited::Head => SILENT_HEAD_MS,
                    Awaited::Body => SILENT_ALONE_MS,
                };
                (silent_ms > most_ms && missed >= PASSES_MISSED)
                    || self.is_frozen(silent_ms, missed)
            }
        }
    }

    /// Whether the backend server's machine seems frozen: neither it nor the agent beside it is heard.
    ///
    /// A frozen rank makes passes with the others, but what waits there neither answers nor breaks. One
    /// would see its callers leave, and work begun for them when the machine wakes.
    fn is_frozen(&self, silent_ms: u64, missed: u64) -> bool {
        self.can_move
            && silent_ms > SILENT_UNHEARD_MS
            && missed >= PASSES_MISSED_UNHEARD
            && self.state.backends.borrow().should_time_out_early(self.server, boot_now())
    }
}

/// When a wait began, and how far its service had come by then.
#[derive(Clone, Copy)]
struct Started {
    at: BootMs,
    passes: u64,
}
