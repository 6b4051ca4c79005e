//! Waits for responses, and tells a lost connection from a group that stalls as a whole.
//!
//! A stream is retried elsewhere only when its own connection is silent while others make progress.
//! When the whole group is slow, another of its ranks would not answer sooner.

use crate::clock::boot_now;
use crate::state::EntryState;
use hickorycross_core::direct::{BackendServer, BootMs, PassTracker, RequestKind, Route};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

/// Time without an event after which a stream counts as broken while others of the same service
/// make progress.
///
/// Several passes of a busy group (80 ms each), well under the 2 s after which callers give up.
const EVENT_TIMEOUT_MS: u64 = 800;

/// The same for the response head, which comes with the first event.
///
/// A request may be queued at its backend server while others are served, after an outage for more
/// than a second. If it is sent again, its prompt is processed twice, which delays all others. The
/// rest of the 2 s is enough for another attempt.
const HEAD_TIMEOUT_MS: u64 = 1_500;

/// Time after which a request that has not begun counts as lost if its backend server has sent no
/// event of any stream lately.
///
/// About twice the time for which requests should wait there, and less than half of the 2 s after
/// which callers give up.
const UNBEGUN_TIMEOUT_MS: u64 = 700;

/// Passes that other streams must have made during that time. When the whole group is slow or
/// stalls, another of its ranks would not answer sooner, and the prompt would be processed twice.
const MISSED_PASSES: u64 = 4;

/// Time without an answer after which an idempotent request counts as lost, as a multiple of the
/// target latency of its route.
const IDEMPOTENT_TIMEOUT_TARGETS: u64 = 2;

/// Time without data after which a stream counts as broken while the agent of its backend server is
/// unreachable too: a few passes. The longer timeouts detect a frozen instance too late for its
/// callers, who give up after 2 s.
const EARLY_TIMEOUT_MS: u64 = 250;

/// Passes that other streams must have made during that time. Without any, the whole group is
/// stalled and another rank would not answer sooner.
const EARLY_MISSED_PASSES: u64 = 1;

/// Interval between checks whether the wait must end.
const POLL_INTERVAL_MS: u64 = 100;

/// The part of an answer that is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Awaited {
    /// The response head.
    Head,
    /// More of the body.
    Body,
}

/// Why a wait ended without the awaited data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitError {
    /// The connection seems lost while others make progress.
    TimedOut,
    /// The deadline of the request passed.
    DeadlinePassed,
    /// The backend server has restarted, so the request is lost.
    Superseded,
}

/// How to wait for a part of an answer.
pub(crate) struct ResponseWait<'a> {
    pub(crate) state: &'a EntryState,
    pub(crate) route: &'a Route,
    pub(crate) server: &'a BackendServer,
    /// Name of the pool of the backend server when the wait began.
    pub(crate) pool: Arc<str>,
    pub(crate) awaited: Awaited,
    /// When the caller's or the route's timeout ends.
    pub(crate) deadline_at: BootMs,
    /// Whether the request may be retried or resumed elsewhere.
    pub(crate) can_retry: bool,
}

impl ResponseWait<'_> {
    /// Runs `work` until it is done, the deadline passes, the connection seems lost or the backend
    /// server has restarted.
    pub(crate) async fn run<T>(&self, work: impl Future<Output = T>) -> Result<T, WaitError> {
        let mut started = self.start(boot_now());
        let mut work = std::pin::pin!(work);
        loop {
            let left_ms = self.limit().since(boot_now());
            if left_ms == 0 {
                return Err(WaitError::DeadlinePassed);
            }
            let pause = Duration::from_millis(left_ms.min(POLL_INTERVAL_MS));
            if let Ok(done) = tokio::time::timeout(pause, work.as_mut()).await {
                return Ok(done);
            }
            if *self.state.pool_of(self.server) != *started.pool {
                // Passes of another pool are counted on their own.
                started = self.start(started.at);
            }
            if self.has_timed_out(&started) {
                return Err(WaitError::TimedOut);
            }
            // Across a network partition the old connection neither answers nor breaks.
            if self.state.backends.borrow().is_superseded(self.server) {
                return Err(WaitError::Superseded);
            }
        }
    }

    /// Returns until when the wait lasts. A stream that has begun goes on until this process ends, as
    /// its caller has the status already.
    fn limit(&self) -> BootMs {
        let has_status = self.route.kind.is_stream() && self.awaited == Awaited::Body;
        if has_status { self.deadline_at } else { self.state.drain.limit(self.deadline_at) }
    }

    fn start(&self, at: BootMs) -> Started {
        let pool = self.state.pool_of(self.server);
        Started { at, passes: self.passes(&pool), other_passes: self.other_passes(&pool), pool }
    }

    /// Returns the number of passes of a pool that were seen to end.
    fn passes(&self, pool: &str) -> u64 {
        self.state.passes.borrow().get(pool).map_or(0, PassTracker::ended)
    }

    /// Returns the number of passes of the other pools of the service that were seen to end.
    fn other_passes(&self, pool: &str) -> u64 {
        let pools = self.state.backends.borrow().pools(&self.server.service);
        pools.iter().filter(|other| ***other != *pool).map(|other| self.passes(other)).sum()
    }

    /// Returns whether the connection has been silent for so long that it counts as lost.
    fn has_timed_out(&self, started: &Started) -> bool {
        let silent_ms = boot_now().since(started.at);
        match self.route.kind {
            RequestKind::Idempotent => {
                silent_ms > self.route.target_latency_ms * IDEMPOTENT_TIMEOUT_TARGETS
            }
            RequestKind::NonIdempotent | RequestKind::Stream => false,
            RequestKind::ResumableStream => {
                let missed = self.passes(&started.pool).saturating_sub(started.passes);
                let most_ms = match self.awaited {
                    Awaited::Head => HEAD_TIMEOUT_MS,
                    Awaited::Body => EVENT_TIMEOUT_MS,
                };
                (silent_ms > most_ms && missed >= MISSED_PASSES)
                    || self.is_unbegun_without_sign(silent_ms, missed)
                    || self.is_frozen(silent_ms, missed)
                    || self.should_leave_stalled_pool(started, silent_ms)
            }
        }
    }

    /// Returns whether the request has not begun for so long, and its backend server has sent no
    /// event lately, that the server may be unreachable.
    ///
    /// An entry with few streams has none at most ranks that could show whether a rank responds.
    /// Enough of the caller's patience is left for one more backend server.
    fn is_unbegun_without_sign(&self, silent_ms: u64, missed: u64) -> bool {
        self.can_retry
            && self.awaited == Awaited::Head
            && silent_ms > UNBEGUN_TIMEOUT_MS
            && missed >= MISSED_PASSES
            && !self.state.backends.borrow().has_sent_event_lately(self.server, boot_now())
    }

    /// Returns whether the backend server's instance seems frozen, because neither the backend
    /// server nor its agent responds.
    ///
    /// The group continues its passes, but requests that wait at a frozen rank neither get an
    /// answer nor an error. Their callers would give up, and the rank would begin their work when
    /// the instance runs again.
    fn is_frozen(&self, silent_ms: u64, missed: u64) -> bool {
        self.can_retry
            && silent_ms > EARLY_TIMEOUT_MS
            && missed >= EARLY_MISSED_PASSES
            && self.state.backends.borrow().should_time_out_early(self.server, boot_now())
    }

    /// Returns whether the request or stream should go to another pool, because its own one stalls
    /// while another one runs passes.
    ///
    /// A group that stalls for long has lost a rank and is about to reject all that it holds, or is
    /// cut off and never answers. Without budget for a retry the request waits for the group.
    fn should_leave_stalled_pool(&self, started: &Started, silent_ms: u64) -> bool {
        let least_ms = match self.awaited {
            Awaited::Head => UNBEGUN_TIMEOUT_MS,
            Awaited::Body => EVENT_TIMEOUT_MS,
        };
        if silent_ms <= least_ms || !self.can_retry {
            return false;
        }
        let (now, service) = (boot_now(), &self.server.service);
        let own = &started.pool;
        let pools = self.state.backends.borrow().pools(service);
        let is_other = |pool: &Arc<str>| pool != own && self.state.is_pool_available(pool, now);
        pools.iter().any(is_other)
            && self.other_passes(own) > started.other_passes
            && !self.state.is_pool_available(own, now)
            && self.state.retry_budget.borrow_mut().allows_retry(now, service)
    }
}

/// When a wait began, and how many passes the pool had made by then.
struct Started {
    at: BootMs,
    pool: Arc<str>,
    passes: u64,
    /// The same of the other pools of the service.
    other_passes: u64,
}
