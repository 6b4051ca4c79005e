//! The planned stop of an entry: which requests it still takes, and until when it answers them.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::state::EntryState;
use hickorycross_core::direct::BootMs;
use std::cell::Cell;
use std::time::Duration;

/// Time after the stop signal in which callers' connections are still accepted.
///
/// The external load balancer checks readiness once a second and stops sending connections after
/// two failed checks. Connections that it opens until then must not be refused.
const ACCEPT_AFTER_STOP_MS: u64 = 2_600;

/// Part of the grace period that is left unused, so that the process ends before it is killed.
const GRACE_MARGIN_MS: u64 = 400;

/// Time before the end of the process in which callers get the answers to requests that it ends.
const LAST_ANSWERS_MS: u64 = 200;

/// Interval between checks of a condition that is waited for.
const POLL_INTERVAL_MS: u64 = 20;

/// The deadlines of a planned stop.
#[derive(Clone, Copy, Debug)]
struct Deadlines {
    /// Until when callers' connections are accepted.
    accept_until: BootMs,
    /// Until when requests are answered.
    answer_until: BootMs,
    /// When the process ends at the latest.
    end_at: BootMs,
}

/// Whether the entry drains, and by when.
#[derive(Debug, Default)]
pub(crate) struct Drain(Cell<Option<Deadlines>>);

impl Drain {
    /// Returns whether the entry has got the stop signal.
    pub(crate) fn is_active(&self) -> bool {
        self.0.get().is_some()
    }

    /// Returns until when a request with this deadline can be answered.
    pub(crate) fn limit(&self, deadline_at: BootMs) -> BootMs {
        self.0.get().map_or(deadline_at, |it| it.answer_until.min(deadline_at))
    }

    /// Returns whether a request that has just been read is refused, because it may outlast this
    /// process and the load balancer sends others elsewhere by now.
    pub(crate) fn refuses(&self, deadline_at: BootMs, now: BootMs) -> bool {
        let is_late = |it: Deadlines| now >= it.accept_until && deadline_at > it.answer_until;
        self.0.get().is_some_and(is_late)
    }

    /// Starts the planned stop, which may take `grace_ms`.
    fn start(&self, grace_ms: u64) -> Deadlines {
        let now = boot_now();
        let end_ms = grace_ms.saturating_sub(GRACE_MARGIN_MS);
        let deadlines = Deadlines {
            accept_until: now.after(ACCEPT_AFTER_STOP_MS.min(end_ms)),
            answer_until: now.after(end_ms.saturating_sub(LAST_ANSWERS_MS)),
            end_at: now.after(end_ms),
        };
        self.0.set(Some(deadlines));
        deadlines
    }
}

/// Waits until open requests are done or the grace period ends. First goes on accepting connections
/// until the external load balancer has noticed that the entry is not ready.
pub(crate) async fn run(state: &EntryState, accepting: &tokio::task::JoinHandle<()>) {
    let grace_ms = state.settings.borrow().bounds.grace_ms;
    let Deadlines { accept_until, end_at, .. } = state.drain.start(grace_ms);
    wake_waiting_requests(state);
    let open = state.open_requests.get();
    let line = DecisionLog::fields("drain").with("open_requests", open);
    state.log.note(line.with("grace_ms", grace_ms));
    while boot_now() < accept_until {
        pause().await;
    }
    accepting.abort();
    state.closing.send_replace(true);
    while state.open_connections.get() > 0 && boot_now() < end_at {
        pause().await;
    }
}

/// Lets everything that waits take the end of the process into account.
fn wake_waiting_requests(state: &EntryState) {
    state.store_news.notify_waiters();
    state.capacity_changed.notify_waiters();
    state.pass_ended.notify_waiters();
    state.parts_changed.notify_waiters();
}

async fn pause() {
    tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
}
