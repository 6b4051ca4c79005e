//! Decides whether there is room for a request at the backend servers of its pool.

use super::active_request::ActiveRequest;
use crate::callers::Refusal;
use crate::clock::boot_now;
use crate::state::{EntryState, MAX_ENTRY_SHARE};
use hickorycross_core::direct::{BootMs, QueueTarget, patience_used};
use std::rc::Rc;
use std::sync::Arc;

/// Share of its caller's patience for which a new request waits for capacity. The rest is enough for
/// the wait at a backend server.
const CAPACITY_WAIT_SHARE: f64 = 0.5;

/// Whether there is room for a request at the backend servers of its pool.
pub(super) enum Room {
    /// It may be sent.
    Now,
    /// The next pass is full.
    InLaterPass,
    /// The queues of the backend servers are as long as they may be, or a more urgent request waits
    /// for them at this entry.
    AfterOthers,
    /// The bound on open requests is reached.
    Full,
}

/// Counts a request as held back until dropped.
pub(super) struct HoldGuard {
    state: Rc<EntryState>,
    pub(super) pool: Arc<str>,
    urgency: u8,
}

impl Drop for HoldGuard {
    fn drop(&mut self) {
        self.state.queue_limit.borrow_mut().release(&self.pool, self.urgency);
    }
}

impl ActiveRequest {
    /// Returns whether there is room for a request of this urgency now, and if not, what it has to
    /// wait for.
    pub(super) fn room(&self, urgency: u8, entered_at: BootMs) -> Room {
        if !self.has_capacity() {
            self.note_limited_by_share();
            return Room::Full;
        }
        if !self.has_memory() {
            return Room::Full;
        }
        if !self.would_begin_soon(urgency) {
            return Room::AfterOthers;
        }
        if self.may_send_in_pass(entered_at) { Room::Now } else { Room::InLaterPass }
    }

    /// Returns until when the request waits for capacity, or the refusal if that time is over.
    pub(super) fn check_capacity_wait(
        &self,
        entered_at: BootMs,
        now: BootMs,
    ) -> Result<BootMs, Refusal> {
        let until = self.capacity_wait_until(entered_at);
        if now < until { Ok(until) } else { Err(self.final_refusal()) }
    }

    /// Records that the request is held back until there is room for it, at most until `until`.
    ///
    /// Fails with the refusal if too many others go before it.
    pub(super) fn hold(
        &self,
        urgency: u8,
        until: BootMs,
        now: BootMs,
    ) -> Result<HoldGuard, Refusal> {
        let mut queue_limit = self.state.queue_limit.borrow_mut();
        let refuses = queue_limit.is_out_of_reach(&self.pool, urgency, until, now);
        if !refuses {
            queue_limit.hold(&self.pool, urgency);
        }
        drop(queue_limit);
        self.log_hold(urgency, until.since(now), refuses);
        if refuses {
            return Err(self.final_refusal());
        }
        let (state, pool) = (Rc::clone(&self.state), Arc::clone(&self.pool));
        Ok(HoldGuard { state, pool, urgency })
    }

    /// Returns until when the request waits for capacity.
    ///
    /// Right after an outage capacity becomes free soon, so the request waits as long as its
    /// caller. At other times a group without capacity stays slow: a request that is sent when its
    /// caller is about to give up only takes capacity from others. A request whose caller has
    /// retried before, and cannot do so again, waits for its target latency.
    fn capacity_wait_until(&self, entered_at: BootMs) -> BootMs {
        let target_ms = self.request.route.target_latency_ms;
        if self.request.route.kind.is_stream()
            && (self.has_waited_for_group || self.is_group_recovering())
        {
            return self.caller_patience_until();
        }
        let patience_ms = self.caller_patience_until().since(self.waiting_since) as f64;
        let wait_ms = (patience_ms * CAPACITY_WAIT_SHARE) as u64;
        entered_at.after(wait_ms.max(target_ms))
    }

    /// Records that the request is held back by this entry's share of the slots.
    ///
    /// Right after an outage all entries have more requests than their share, and none leaves slots
    /// unused for long.
    fn note_limited_by_share(&self) {
        if !self.is_group_recovering() {
            let mut unused_shares = self.state.unused_shares.borrow_mut();
            unused_shares.note_limited(&self.pool, boot_now());
        }
    }

    fn is_group_recovering(&self) -> bool {
        self.availability(|availability| availability.is_recovering(boot_now()))
    }

    /// Returns whether the queues of the backend servers are short enough for the request, and no
    /// more urgent one is held back.
    ///
    /// A request that was sent before does not wait at the entry again.
    fn would_begin_soon(&self, urgency: u8) -> bool {
        if self.sends > 0 || !self.request.route.kind.is_stream() {
            return true;
        }
        let mut queue_limit = self.state.queue_limit.borrow_mut();
        if !queue_limit.is_most_urgent(&self.pool, urgency) {
            return false;
        }
        let (backends, now) = (self.state.backends.borrow(), boot_now());
        let not_begun = backends.not_begun_outside_drains(&self.pool);
        let begun = backends.outstanding_outside_drains(&self.pool).saturating_sub(not_begun);
        let target = QueueTarget::new(
            self.request.route.target_latency_ms,
            backends.ready_count(&self.pool, now),
            backends.usable_slots(&self.pool, now),
            self.state.live_entry_count(),
            begun,
        );
        queue_limit.admits(&self.pool, target, now)
    }

    /// Returns whether the bound on open requests to the pool allows one more.
    ///
    /// After an outage, requests that are late already may take only a part of the capacity.
    pub(super) fn has_capacity(&self) -> bool {
        let backends = self.state.backends.borrow();
        let now = boot_now();
        let slots = f64::from(backends.slots(&self.pool, now));
        let entries = self.state.live_entry_count() as f64;
        let even_share = slots / entries;
        let open = backends.outstanding_outside_drains(&self.pool);
        let used = patience_used(&self.request.route, self.waiting_since, now);
        let late_share = self.availability(|availability| availability.late_share(now, used));
        let mut admission = self.state.admission.borrow_mut();
        if self.is_late() && late_share < 1.0 {
            return admission.admits(&self.pool, open, even_share, late_share);
        }
        let mut unused_shares = self.state.unused_shares.borrow_mut();
        if f64::from(open) >= even_share * MAX_ENTRY_SHARE {
            unused_shares.note_exceeded(&self.pool, now);
        }
        let factor = unused_shares.factor(&self.pool, entries, now);
        admission.admits(&self.pool, open, even_share * factor, MAX_ENTRY_SHARE)
    }
}
