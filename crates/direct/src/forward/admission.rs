//! Decides when a request to a group may be sent: whether the group is available, has capacity, and
//! can take the request in its next pass.
//!
//! Until then the request waits at this entry, or is refused with a time after which to retry.

use super::active_request::ActiveRequest;
use super::room::{HoldGuard, Room};
use crate::callers::Refusal;
use crate::clock::boot_now;
use hickorycross_core::Verdict;
use hickorycross_core::direct::{
    BootMs, GroupAvailability, OutageDurations, SendPermission, Standing, escalated_urgency,
    event_wait_deadline, moved_urgency, pass_wait_deadline, patience_used, retry_after_ms, urgency,
};
use rand::RngExt;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which a request that waits for room checks again.
const QUEUE_CHECK_MS: u64 = 20;

/// Time within which an unavailable group rejects a request: several network round trips.
const REJECTION_LATENCY_MS: u64 = 25;

impl ActiveRequest {
    /// Waits until the request may be sent. Returns whether it is sent as a probe, to find out
    /// whether its group is available again.
    ///
    /// While the group is unavailable, the request waits if the group is expected back before the
    /// caller gives up. Otherwise the refusal tells the caller when to retry.
    pub(super) async fn wait_for_admission(&mut self) -> Result<bool, Refusal> {
        if !self.is_for_group() {
            self.wait_for_backoff().await?;
            return Ok(false);
        }
        let entered_at = boot_now();
        let _count_guard = self.state.unsent.count(self.sends == 0);
        let mut urgency = self.urgency(false);
        let mut hold_guard = None;
        loop {
            self.wait_for_backoff().await?;
            let now = boot_now();
            let current = self.urgency(false);
            if current != urgency {
                // A request that is late by now gives precedence to those that can be on time. It
                // must not wait for itself, as it would if it were still held at its old urgency.
                urgency = current;
                hold_guard = None;
            }
            let permission = self.choose_pool(urgency, entered_at, now);
            if hold_guard.as_ref().is_some_and(|guard: &HoldGuard| *guard.pool != *self.pool) {
                hold_guard = None;
            }
            let wait_until = match permission {
                SendPermission::Allowed => match self.room(urgency, entered_at) {
                    Room::Now => return Ok(false),
                    Room::InLaterPass => {
                        hold_guard = None;
                        self.wait_for_pass(entered_at).await?;
                        continue;
                    }
                    Room::AfterOthers => {
                        let until = self.check_capacity_wait(entered_at, now)?;
                        if hold_guard.is_none() {
                            hold_guard = Some(self.hold(urgency, until, now)?);
                        }
                        until.min(now.after(QUEUE_CHECK_MS))
                    }
                    Room::Full => {
                        hold_guard = None;
                        self.check_capacity_wait(entered_at, now)?
                    }
                },
                SendPermission::Probe if self.may_probe() => return Ok(true),
                SendPermission::Probe => now.after(REJECTION_LATENCY_MS),
                SendPermission::Unavailable { expected_back_at, retry_at } => {
                    self.check_outage_wait(expected_back_at, now)?;
                    retry_at
                }
            };
            let left_ms = wait_until.min(self.deadline_at()).since(now).max(1);
            let freed = self.state.capacity_changed.notified();
            // Whether notified or timed out, the loop evaluates all conditions again.
            let _ = tokio::time::timeout(Duration::from_millis(left_ms), freed).await;
            self.check_before_send()?;
        }
    }

    /// Returns whether the request may be sent without making a pass too long, or has waited for
    /// that as long as it can.
    pub(super) fn may_send_in_pass(&self, entered_at: BootMs) -> bool {
        let now = boot_now();
        let passes = self.state.passes.borrow();
        now >= self.pass_wait_until(entered_at)
            || passes.get(&*self.pool).is_none_or(|passes| passes.may_send(now))
    }

    /// Returns until when the request waits for a pass that can take it.
    fn pass_wait_until(&self, entered_at: BootMs) -> BootMs {
        pass_wait_deadline(&self.request.route, entered_at, self.is_late(), self.sends > 0)
    }

    /// Records the end of an attempt, if it is that of a stream that has no event yet.
    pub(super) fn note_not_begun_stream(&self) {
        if self.request.route.kind.is_stream() && self.sends > 0 && !self.has_event {
            let now = boot_now();
            let waited_ms = now.since(self.sent_at);
            self.state.note_not_begun(&self.pool, waited_ms, now);
        }
    }

    /// Returns the urgency of the request at a backend server for its next send; 0 is the most
    /// urgent. `is_resumed` tells whether it continues a stream.
    pub(super) fn urgency(&self, is_resumed: bool) -> u8 {
        let ActiveRequest { request, .. } = self;
        let now = boot_now();
        let was_sent = self.sends > 0;
        let was_rejected = self.verdict == Verdict::NotRun;
        let is_moved = request.route.kind.is_stream() && was_sent && !was_rejected && !is_resumed;
        let patience_used = patience_used(&request.route, self.waiting_since, now);
        let standing = Standing {
            priority: request.priority,
            route_priority: request.route.priority,
            is_late: is_resumed || self.is_late(),
            patience_used,
            was_sent,
            is_moved,
        };
        if let Some(urgency) = self.urgency_scale.urgency(&standing) {
            return urgency;
        }
        let used_ms = request.used_ms + now.since(request.arrived_at);
        let lowest = request.catalog.lowest_priority();
        let urgency = urgency(request.priority, lowest, used_ms, &request.route, is_resumed);
        if !request.route.kind.is_stream() {
            return urgency;
        }
        if is_moved {
            return moved_urgency(request.priority, lowest);
        }
        escalated_urgency(urgency, lowest, patience_used, was_sent)
    }

    /// Waits until a pass of the group ends, or the request has waited for passes long enough.
    async fn wait_for_pass(&self, entered_at: BootMs) -> Result<(), Refusal> {
        let until = self.pass_wait_until(entered_at).min(self.deadline_at());
        let left_ms = until.since(boot_now()).max(1);
        let ended = self.state.pass_ended.notified();
        // Whether notified or timed out, the caller evaluates all conditions again.
        let _ = tokio::time::timeout(Duration::from_millis(left_ms), ended).await;
        self.check_before_send()
    }

    /// Starts to watch a probe. If it is neither answered nor rejected for
    /// [`REJECTION_LATENCY_MS`], the group counts as available again.
    ///
    /// Dropping the returned guard ends the watch.
    pub(super) fn watch_probe(&self) -> ProbeGuard {
        let is_pending = Rc::new(Cell::new(true));
        let guard = ProbeGuard(Rc::clone(&is_pending));
        let (state, pool) = (Rc::clone(&self.state), self.pool.to_string());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(REJECTION_LATENCY_MS)).await;
            if is_pending.get() {
                let mut group_availability = state.group_availability.borrow_mut();
                group_availability.entry(pool).or_default().note_accepted(boot_now());
                state.capacity_changed.notify_waiters();
            }
        });
        guard
    }

    /// Records a rejection by a backend server. Returns whether its whole group is unavailable.
    pub(super) fn note_rejected(&self) -> bool {
        self.is_for_group()
            && self.availability(|availability| availability.note_rejected(boot_now()))
    }

    /// Returns the refusal of a request whose group is unavailable, with a time after which to
    /// retry.
    pub(super) fn group_unavailable(&self, expected_back_at: BootMs) -> Refusal {
        let now = boot_now();
        let draw = self.state.random.borrow_mut().random::<f64>();
        let left_ms = self.deadline_at().since(now);
        Refusal::GroupUnavailable {
            retry_after_ms: retry_after_ms(expected_back_at.since(now), draw, left_ms),
        }
    }

    /// Returns when the first group of the service is expected to recover, or `None` if one is
    /// available.
    pub(super) fn expected_back_at(&self) -> Option<BootMs> {
        if !self.is_for_group() {
            return None;
        }
        let (pools, now) = (self.state.backends.borrow().pools(&self.service), boot_now());
        let mut earliest = None;
        for pool in pools {
            let back_at = self.pool_back_at(&pool, now)?;
            earliest = Some(earliest.map_or(back_at, |at: BootMs| at.min(back_at)));
        }
        earliest
    }

    /// Returns when the group of a pool is expected to recover, or `None` if it is available.
    pub(super) fn pool_back_at(&self, pool: &str, now: BootMs) -> Option<BootMs> {
        let (open, outage) = (self.open_request_count(pool), self.outage_durations());
        let mut availability = self.state.group_availability.borrow_mut();
        availability.entry(pool.to_owned()).or_default().expected_back_at(now, open, outage)
    }

    pub(super) fn send_permission(&self, now: BootMs) -> SendPermission {
        let (open, outage) = (self.open_request_count(&self.pool), self.outage_durations());
        self.availability(|availability| availability.send_permission(now, open, outage))
    }

    pub(super) fn availability<T>(&self, operation: impl FnOnce(&mut GroupAvailability) -> T) -> T {
        let mut group_availability = self.state.group_availability.borrow_mut();
        operation(group_availability.entry(self.pool.to_string()).or_default())
    }

    fn open_request_count(&self, pool: &str) -> u32 {
        self.state.backends.borrow().outstanding(pool)
    }

    fn outage_durations(&self) -> OutageDurations {
        let service = self.request.catalog.services.get(&self.service);
        let stall_ms = self.state.settings.borrow().bounds.stall_ms;
        OutageDurations { stall_ms, forming_ms: service.map_or(0, |service| service.forming_ms) }
    }

    /// Returns whether the backend servers of the request's service are ranks of a group, which run
    /// each pass together.
    pub(super) fn is_for_group(&self) -> bool {
        let services = &self.request.catalog.services;
        services.get(&self.service).is_some_and(|service| service.group.is_some())
    }

    /// Returns whether the request may be sent as a probe.
    ///
    /// A request that was sent before would spend retry budget, so it is used only if no request
    /// waits that was not sent yet.
    pub(super) fn may_probe(&self) -> bool {
        self.sends == 0 || self.state.unsent.is_zero()
    }

    /// Refuses the request unless it should wait until the group is back at `expected_back_at`.
    /// Logs the first wait.
    fn check_outage_wait(&mut self, expected_back_at: BootMs, now: BootMs) -> Result<(), Refusal> {
        let is_in_time = expected_back_at <= self.caller_patience_until();
        // A caller that has retried before cannot do so again, so waiting costs it nothing.
        let has_retried = self.request.used_ms > 0 && now < self.caller_patience_until();
        if !self.request.route.kind.is_stream() || !(is_in_time || has_retried) {
            return Err(self.group_unavailable(expected_back_at));
        }
        if !std::mem::replace(&mut self.has_waited_for_group, true) {
            self.log_wait(expected_back_at.since(now), "group-unavailable");
        }
        Ok(())
    }

    /// Returns when the caller is expected to give up waiting for its next event.
    pub(super) fn caller_patience_until(&self) -> BootMs {
        event_wait_deadline(&self.request.route, self.waiting_since)
    }

    /// Returns whether the target latency of a stream has passed, so that it can no longer be
    /// answered on time.
    pub(super) fn is_late(&self) -> bool {
        let ActiveRequest { request, .. } = self;
        let used_ms = request.used_ms + boot_now().since(request.arrived_at);
        request.route.kind.is_stream() && used_ms >= request.route.target_latency_ms
    }
}

/// Ends the watch of a probe when dropped.
pub(super) struct ProbeGuard(Rc<Cell<bool>>);

impl Drop for ProbeGuard {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
