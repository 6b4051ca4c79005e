//! Tells a silent connection from a group that stalls as a whole.

use crate::clock::boot_now;
use crate::state::EntryState;
use hickorycross_core::direct::{BootMs, RequestKind, Route};
use std::future::Future;
use std::time::Duration;

/// Silence of one stream, while others of the same service go on, that counts as a lost connection.
///
/// Several passes of a busy group (80 ms each), well under the 2 s after which callers leave.
const SILENT_ALONE_MS: u64 = 800;

/// Age of the newest event of a service up to which its groups count as going on.
const GOING_ON_MS: u64 = 250;

/// Silence added to the stall of a group before its streams count as lost.
const AFTER_STALL_MS: u64 = 300;

/// Silence of a plain idempotent request that counts as a lost connection, as a multiple of the
/// time within which its answer is on time.
const SILENT_TARGETS: u64 = 2;

/// Pause between looks at whether others go on.
const LOOK_MS: u64 = 100;

/// Why a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Impatience {
    /// The connection seems lost while others go on.
    Silent,
    /// The caller's or the route's time is over.
    Limit,
}

/// Waits for `work`, but not past the request's limit nor for a connection that seems lost.
pub(crate) async fn wait<T>(
    state: &EntryState,
    route: &Route,
    service: &str,
    limit_at: BootMs,
    work: impl Future<Output = T>,
) -> Result<T, Impatience> {
    let started_at = boot_now();
    let mut work = std::pin::pin!(work);
    loop {
        let left_ms = limit_at.since(boot_now());
        if left_ms == 0 {
            return Err(Impatience::Limit);
        }
        let pause = Duration::from_millis(left_ms.min(LOOK_MS));
        if let Ok(done) = tokio::time::timeout(pause, work.as_mut()).await {
            return Ok(done);
        }
        if is_silent(state, route, service, started_at) {
            return Err(Impatience::Silent);
        }
    }
}

fn is_silent(state: &EntryState, route: &Route, service: &str, started_at: BootMs) -> bool {
    let now = boot_now();
    let silent_ms = now.since(started_at);
    match route.kind {
        RequestKind::Idempotent => silent_ms > route.target_latency_ms * SILENT_TARGETS,
        RequestKind::NonIdempotent | RequestKind::Stream => false,
        RequestKind::ResumableStream => {
            let newest = state.progress.borrow().get(service).copied();
            let goes_on = newest.is_some_and(|at| now.since(at) < GOING_ON_MS);
            let stall_ms = state.settings.borrow().bounds.stall_ms;
            let bound_ms = if goes_on { SILENT_ALONE_MS } else { stall_ms + AFTER_STALL_MS };
            silent_ms > bound_ms
        }
    }
}
