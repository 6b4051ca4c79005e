//! Cold servers: a request is sent to one only within this entry's own share of the server's limit,
//! or where that is less than one request, with a permit that [`warm_up_share`] gets from the entry
//! that grants them.
//!
//! Requests go to warm servers while there are any. Where only cold ones are left, a stream waits as
//! long as its caller does and any other request as long as its target allows; it is refused at once
//! if it could not be sent by then.

use super::active_request::ActiveRequest;
use crate::callers::Refusal;
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::state::EntryState;
use crate::warm_up_share;
use hickorycross_core::direct::{
    BackendServer, BootMs, ColdAccess, ColdServer, IncarnationDigest, Selection,
    backoff_retry_after_ms, parse_cold_ms,
};
use http::HeaderMap;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which a request that waits for a permit checks again.
const CHECK_INTERVAL_MS: u64 = 50;

/// Part of the target latency that is reserved for the run after a wait for a permit, as a divisor.
const RUN_DIVISOR: u64 = 4;

/// Longest time for which a refused caller is told to wait for a permit.
const MAX_PERMIT_WAIT_MS: u64 = 10_000;

/// Most characters of an unreadable value that are logged.
const MAX_LOGGED_CHARS: usize = 32;

/// Records how long a server stays cold by the head of its answer to a request sent at `sent_at`.
pub(super) fn note_cold(
    state: &EntryState,
    server: &BackendServer,
    headers: &HeaderMap,
    sent_at: BootMs,
) {
    let mut remaining_ms = None;
    for value in headers.get_all(&state.names.server_cold_ms) {
        let text = value.to_str().unwrap_or_default();
        let parsed = parse_cold_ms(text);
        if parsed.is_none() {
            let logged: String = text.chars().take(MAX_LOGGED_CHARS).collect();
            let line = DecisionLog::fields("backend-server").with("incarnation", &server.id);
            state.log.note(line.with("value", logged).with("outcome", "cold-not-readable"));
        }
        remaining_ms = remaining_ms.max(parsed);
    }
    if let Some(remaining_ms) = remaining_ms {
        let mut backends = state.backends.borrow_mut();
        backends.note_announced_cold(server, remaining_ms, sent_at, boot_now());
    }
}

/// Returns whether a server is cold and the time is over until which the request may be sent to it.
pub(super) fn lacks_permit(
    state: &EntryState,
    server: &BackendServer,
    permit_until: Option<BootMs>,
) -> bool {
    let now = boot_now();
    state.backends.borrow().is_cold(server, now) && permit_until.is_none_or(|until| until <= now)
}

/// Counts a request as waiting for a permit until dropped.
struct ColdWait {
    state: Rc<EntryState>,
    service: String,
}

impl ColdWait {
    fn new(state: &Rc<EntryState>, service: &str) -> Self {
        *state.cold_waiters.borrow_mut().entry(service.to_owned()).or_default() += 1;
        Self { state: Rc::clone(state), service: service.to_owned() }
    }
}

impl Drop for ColdWait {
    fn drop(&mut self) {
        let mut waiters = self.state.cold_waiters.borrow_mut();
        if let Some(count) = waiters.get_mut(&self.service) {
            *count = count.saturating_sub(1);
        }
    }
}

impl ActiveRequest {
    /// Returns the ids of the cold servers of the service to which this entry may send neither within
    /// its share nor with a permit.
    pub(super) fn cold_without_permit(&self) -> Vec<String> {
        let now = boot_now();
        let cold = self.state.backends.borrow().cold_servers(&self.service, now);
        let without = cold.into_iter().filter(|server| !self.may_send_cold(server, now));
        without.map(|server| server.id).collect()
    }

    /// Returns whether a request may be sent to a cold server, within the share or with a permit.
    fn may_send_cold(&self, server: &ColdServer, now: BootMs) -> bool {
        self.is_in_cold_share(server, now)
            || self.state.cold_permits.borrow().has_permit(server.incarnation, now)
    }

    fn is_in_cold_share(&self, server: &ColdServer, now: BootMs) -> bool {
        let share_requests = self.state.cold_access(&self.service).share_requests();
        let shares = self.state.cold_shares.borrow();
        shares.admits_at(server.incarnation, share_requests, now) == Some(now)
    }

    /// Uses up a permit if the chosen server is cold, and requests permits for the cold ones that
    /// could not be chosen for lack of one.
    pub(super) fn update_cold_permits(&self, chosen: Option<&BackendServer>) {
        let now = boot_now();
        self.permit_until.set(None);
        let mut is_diverted = false;
        for server in self.cold_servers_in_turn(now) {
            let incarnation = server.incarnation;
            if chosen.is_some_and(|chosen| IncarnationDigest::of(chosen) == incarnation) {
                self.permit_until.set(Some(self.use_cold_permit(&server, now)));
            } else if !self.may_send_cold(&server, now) {
                is_diverted |= chosen.is_some();
                if self.state.cold_access(&self.service) != ColdAccess::Permits {
                    continue;
                }
                let wanted = self.state.cold_permits.borrow_mut().note_denied(incarnation, now);
                self.request_permits(server, wanted);
            }
        }
        if is_diverted {
            metrics::counter!("hickorycross_warm_up_diverted_total").increment(1);
        }
    }

    /// Counts a request to a cold server in this entry's share, or else uses up a permit. Returns
    /// until when it may be sent.
    fn use_cold_permit(&self, server: &ColdServer, now: BootMs) -> BootMs {
        if self.is_in_cold_share(server, now) {
            return self.state.cold_shares.borrow_mut().note_sent(server.incarnation, now);
        }
        let mut permits = self.state.cold_permits.borrow_mut();
        permits.use_permit(server.incarnation);
        permits.valid_until(server.incarnation)
    }

    /// Returns the cold servers of the service, from a random one on.
    ///
    /// The questions of an entry are bounded over all servers. In the same order each time, the
    /// first servers would get all of them and the last ones no requests.
    fn cold_servers_in_turn(&self, now: BootMs) -> Vec<ColdServer> {
        let mut cold = self.state.backends.borrow().cold_servers(&self.service, now);
        if !cold.is_empty() {
            let first = self.state.random.borrow_mut().random_range(0..cold.len());
            cold.rotate_left(first);
        }
        cold
    }

    /// Requests permits for the requests that wait for one, where a question is due.
    fn request_waiting_permits(&self, now: BootMs) {
        if self.state.cold_access(&self.service) != ColdAccess::Permits {
            return;
        }
        let excluded = self.excluded_but_cold();
        let waiting = self.cold_waiter_count();
        let cold = self.cold_servers_in_turn(now).into_iter();
        for server in cold.filter(|server| !excluded.contains(&server.id)) {
            let mut permits = self.state.cold_permits.borrow_mut();
            let wanted = permits.note_waiting(server.incarnation, waiting, now);
            drop(permits);
            self.request_permits(server, wanted);
        }
    }

    /// Requests `wanted` permits for a cold server, if any.
    fn request_permits(&self, server: ColdServer, wanted: Option<u32>) {
        if let Some(wanted) = wanted {
            let asking = warm_up_share::request_permits(Rc::clone(&self.state), server, wanted);
            tokio::task::spawn_local(asking);
        }
    }

    /// Returns the number of requests that wait for a permit for a cold server of the service.
    fn cold_waiter_count(&self) -> u32 {
        let waiters = self.state.cold_waiters.borrow();
        waiters.get(&self.service).map_or(0, |count| u32::try_from(*count).unwrap_or(u32::MAX))
    }

    /// Lets a cold server to which the request was not sent for lack of a permit be chosen again.
    pub(super) fn untry_cold(&mut self, server: &BackendServer) {
        if self.state.backends.borrow().is_cold(server, boot_now()) {
            self.tried.retain(|id| *id != server.id);
        }
    }

    /// Returns whether a server could take the request, but only cold ones without a permit.
    pub(super) fn lacks_only_cold_permits(&self) -> bool {
        let now = boot_now();
        if !self.state.backends.borrow().has_cold(now) {
            return false;
        }
        let but_cold = self.excluded_but_cold();
        let excluded = self.excluded_servers();
        let backends = self.state.backends.borrow();
        let can_choose = |excluded: &[String]| {
            backends.choose(&Selection::new(&self.service, excluded), now, 0.0).is_some()
        };
        !can_choose(&excluded) && can_choose(&but_cold)
    }

    /// Returns once a server can be chosen, or none could be even with a permit. Fails with the
    /// refusal if the request must not wait for a permit.
    pub(super) async fn wait_for_cold_servers(&self) -> Result<(), Refusal> {
        let mut waiting = None;
        while self.lacks_only_cold_permits() {
            let permit_at = self.cold_permit_at();
            let (now, until) = (boot_now(), self.cold_wait_until());
            if now >= until || (waiting.is_none() && permit_at > until) {
                return Err(self.final_refusal());
            }
            if waiting.is_none() {
                waiting = Some(ColdWait::new(&self.state, &self.service));
                self.log_wait(permit_at.since(now), "warm-up");
            }
            self.request_waiting_permits(now);
            let left_ms = until.since(now).clamp(1, CHECK_INTERVAL_MS);
            let changed = self.state.capacity_changed.notified();
            // Whether notified or timed out, the loop evaluates all conditions again.
            let _ = tokio::time::timeout(Duration::from_millis(left_ms), changed).await;
            self.check_before_send()?;
        }
        Ok(())
    }

    /// Returns the refusal of a request for which only cold servers without a permit are left.
    pub(super) fn warm_up_refusal(&self) -> Refusal {
        let over_in_ms = self.cold_permit_at().since(boot_now());
        let draw = self.state.random.borrow_mut().random();
        Refusal::WarmUp { retry_after_ms: backoff_retry_after_ms(over_in_ms, draw) }
    }

    /// Returns until when the request waits for a cold server: a stream as long as its caller does,
    /// since all servers are warm within seconds, any other so long that it can still be on time.
    fn cold_wait_until(&self) -> BootMs {
        let until = if self.request.route.kind.is_stream() {
            self.caller_patience_until()
        } else {
            let target_ms = self.request.route.target_latency_ms;
            let wait_ms =
                (target_ms - target_ms / RUN_DIVISOR).saturating_sub(self.request.used_ms);
            self.request.arrived_at.after(wait_ms)
        };
        until.min(self.deadline_at())
    }

    /// Returns when the next permit for a cold server can arrive, behind the requests that wait
    /// already, or when the first of these servers is warm.
    fn cold_permit_at(&self) -> BootMs {
        let now = boot_now();
        let excluded = self.excluded_but_cold();
        let cold = self.state.backends.borrow().cold_servers(&self.service, now);
        let cold: Vec<ColdServer> =
            cold.into_iter().filter(|server| !excluded.contains(&server.id)).collect();
        let share_requests = self.state.cold_access(&self.service).share_requests();
        let shares = self.state.cold_shares.borrow();
        let in_share =
            cold.iter().filter_map(|it| shares.admits_at(it.incarnation, share_requests, now));
        if let Some(share_at) = in_share.min() {
            return share_at;
        }
        let permits = self.state.cold_permits.borrow();
        let question_at = cold.iter().map(|it| permits.next_question_at(it.incarnation)).min();
        let waiters = u64::from(self.cold_waiter_count());
        let rate: u64 = cold.iter().map(|it| it.rate.millirequests_per_s).sum();
        let queue_ms = (waiters * 1_000_000).checked_div(rate);
        let queue_ms = queue_ms.unwrap_or(MAX_PERMIT_WAIT_MS).min(MAX_PERMIT_WAIT_MS);
        let permit_at = question_at.unwrap_or_default().max(now).after(queue_ms);
        let warm_at = cold.iter().map(|it| it.until).min();
        warm_at.map_or(permit_at, |warm_at| warm_at.min(permit_at))
    }
}
