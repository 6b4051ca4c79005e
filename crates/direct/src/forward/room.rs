//! When a request may be sent: whether its group makes passes, and whether there is room.

use super::life::Life;
use crate::callers::Refusal;
use crate::clock::boot_now;
use crate::state::UNEVEN_ENTRIES;
use hickorycross_core::direct::{
    BootMs, GroupAvailability, OutageDurations, SendPermission, escalated_urgency,
    event_wait_deadline, pass_wait_deadline, patience_used, retry_after_ms, urgency,
};
use rand::RngExt;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Part of the time for a first event that a fresh request waits for room, as a divisor.
///
/// A caller that is refused soon can come back and still be served; one that waited for long cannot.
const ROOM_WAIT_DIVISOR: u64 = 10;

/// Time in which a group that is broken turns a request away: some times the way there and back.
const TURNED_AWAY_MS: u64 = 25;

impl Life {
    /// Waits until the request may be sent.
    ///
    /// While its group stands it waits if the group is expected back before the caller leaves; else the
    /// caller is told when to come back. Returns whether it is sent to see whether the group is back.
    pub(super) async fn enter(&mut self) -> Result<bool, Refusal> {
        if !self.is_for_group() {
            return Ok(false);
        }
        let entered_at = boot_now();
        let _counted = self.state.unsent.count(self.sends == 0);
        loop {
            let now = boot_now();
            let room_until = self.room_until(entered_at);
            let wait_until = match self.passage(now) {
                SendPermission::Allowed if self.has_room() && self.may_begin(entered_at) => {
                    return Ok(false);
                }
                SendPermission::Allowed if self.has_room() => {
                    self.wait_for_pass(entered_at).await?;
                    continue;
                }
                SendPermission::Probe if self.may_probe() => return Ok(true),
                SendPermission::Allowed if now >= room_until => return Err(self.full()),
                SendPermission::Allowed => room_until,
                SendPermission::Probe => now.after(TURNED_AWAY_MS),
                SendPermission::Unavailable { expected_back_at: back_at, retry_at } => {
                    self.note_standing(back_at, now)?;
                    retry_at
                }
            };
            let left_ms = wait_until.min(self.request.limit_at).since(now).max(1);
            let freed = self.state.capacity_changed.notified();
            // Whatever ends the wait, everything is looked at anew.
            let _ = tokio::time::timeout(Duration::from_millis(left_ms), freed).await;
            self.check_before_send()?;
        }
    }

    /// Whether the request may be sent without making a pass too long, or has waited for that for as
    /// long as it can.
    fn may_begin(&self, entered_at: BootMs) -> bool {
        let now = boot_now();
        let passes = self.state.passes.borrow();
        now >= self.pass_until(entered_at)
            || passes.get(&self.service).is_none_or(|passes| passes.may_send(now))
    }

    fn pass_until(&self, entered_at: BootMs) -> BootMs {
        pass_wait_deadline(&self.request.route, entered_at, self.is_late(), self.sends > 0)
    }

    /// Notes that a stream that was sent ends before its first event.
    pub(super) fn note_unbegun(&self) {
        if self.request.route.kind.is_stream() && self.sends > 0 && !self.is_begun {
            let now = boot_now();
            let waited_ms = now.since(self.sent_at);
            self.state.admission.borrow_mut().note_not_begun(&self.service, waited_ms, now);
        }
    }

    /// Urgency of the request at a backend server, for a stream that is `is_resumed` or not.
    pub(super) fn urgency(&self, is_resumed: bool) -> u8 {
        let Life { request, .. } = self;
        let now = boot_now();
        let used_ms = request.used_ms + now.since(request.arrived_at);
        let lowest = request.catalog.lowest_priority();
        let urgency = urgency(request.priority, lowest, used_ms, &request.route, is_resumed);
        if !request.route.kind.is_stream() {
            return urgency;
        }
        let patience_used = patience_used(&request.route, self.heard_at, now);
        escalated_urgency(urgency, lowest, patience_used, self.sends > 0)
    }

    async fn wait_for_pass(&self, entered_at: BootMs) -> Result<(), Refusal> {
        let until = self.pass_until(entered_at).min(self.request.limit_at);
        let left_ms = until.since(boot_now()).max(1);
        let ended = self.state.pass_ended.notified();
        // Whatever ends the wait, everything is looked at anew.
        let _ = tokio::time::timeout(Duration::from_millis(left_ms), ended).await;
        self.check_before_send()
    }

    /// Notes a request that was neither answered nor turned away for a moment as a proof that the
    /// group takes requests again.
    pub(super) fn watch_probe(&self) -> ProbeWatch {
        let is_pending = Rc::new(Cell::new(true));
        let watch = ProbeWatch(Rc::clone(&is_pending));
        let (state, service) = (Rc::clone(&self.state), self.service.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(TURNED_AWAY_MS)).await;
            if is_pending.get() {
                let mut outlooks = state.outlooks.borrow_mut();
                outlooks.entry(service).or_default().note_accepted(boot_now());
                state.capacity_changed.notify_waiters();
            }
        });
        watch
    }

    /// Whether a rejection by a backend server means that its whole group stands.
    pub(super) fn note_rejected(&self) -> bool {
        self.is_for_group() && self.outlook(|outlook| outlook.note_rejected(boot_now()))
    }

    /// The refusal of a request whose group stands, with the time to come back.
    pub(super) fn standing(&self, back_at: BootMs) -> Refusal {
        let now = boot_now();
        let draw = self.state.random.borrow_mut().random::<f64>();
        let left_ms = self.request.limit_at.since(now);
        Refusal::Standing { come_back_ms: retry_after_ms(back_at.since(now), draw, left_ms) }
    }

    /// When the group is expected back, if it stands.
    pub(super) fn back_at(&self) -> Option<BootMs> {
        if !self.is_for_group() {
            return None;
        }
        let (open, outage) = (self.open(), self.outage());
        self.outlook(|outlook| outlook.expected_back_at(boot_now(), open, outage))
    }

    fn passage(&self, now: BootMs) -> SendPermission {
        let (open, outage) = (self.open(), self.outage());
        self.outlook(|outlook| outlook.send_permission(now, open, outage))
    }

    fn outlook<T>(&self, look: impl FnOnce(&mut GroupAvailability) -> T) -> T {
        let mut outlooks = self.state.outlooks.borrow_mut();
        look(outlooks.entry(self.service.clone()).or_default())
    }

    fn open(&self) -> u32 {
        self.state.backends.borrow().outstanding(&self.service)
    }

    fn outage(&self) -> OutageDurations {
        let service = self.request.catalog.services.get(&self.service);
        let stall_ms = self.state.settings.borrow().bounds.stall_ms;
        OutageDurations { stall_ms, forming_ms: service.map_or(0, |service| service.forming_ms) }
    }

    /// Whether its backend servers are ranks of a group, which make each pass together.
    pub(super) fn is_for_group(&self) -> bool {
        let services = &self.request.catalog.services;
        services.get(&self.service).is_some_and(|service| service.group.is_some())
    }

    /// Whether the request may be sent to see whether its group is back.
    ///
    /// One that was sent before would take from the budget of second sends each time; it goes only if
    /// none waits that was not.
    fn may_probe(&self) -> bool {
        self.sends == 0 || self.state.unsent.is_none()
    }

    /// Decides whether to wait for a group that is expected `back_at`, and says so once.
    fn note_standing(&mut self, back_at: BootMs, now: BootMs) -> Result<(), Refusal> {
        let is_in_time = back_at <= self.patient_until();
        // A caller that cannot come back has nothing to lose but its patience.
        let is_last = self.request.used_ms > 0 && now < self.patient_until();
        if !self.request.route.kind.is_stream() || !(is_in_time || is_last) {
            return Err(self.standing(back_at));
        }
        if !std::mem::replace(&mut self.is_waiting, true) {
            self.note_wait(back_at.since(now));
        }
        Ok(())
    }

    fn patient_until(&self) -> BootMs {
        event_wait_deadline(&self.request.route, self.heard_at)
    }

    /// Until when the request waits for room.
    ///
    /// Right after an outage room comes soon, and the request waits for as long as its caller does. At
    /// other times a group without room is slow for long: a request that is sent after most of its
    /// caller's patience only takes a place from others. One whose caller cannot come back waits for the
    /// time of a first event.
    fn room_until(&self, entered_at: BootMs) -> BootMs {
        let target_ms = self.request.route.target_latency_ms;
        let is_recovering = self.outlook(|outlook| outlook.is_recovering(boot_now()));
        if self.request.route.kind.is_stream() && (self.is_waiting || is_recovering) {
            return self.patient_until();
        }
        let is_last = self.request.used_ms > 0;
        entered_at.after(if is_last { target_ms } else { target_ms / ROOM_WAIT_DIVISOR })
    }

    pub(super) fn has_room(&self) -> bool {
        let backends = self.state.backends.borrow();
        let share = f64::from(backends.slots(&self.service)) / self.state.live_entry_count() as f64;
        let open = backends.outstanding(&self.service);
        let now = boot_now();
        let used = patience_used(&self.request.route, self.heard_at, now);
        let late_share = self.outlook(|outlook| outlook.late_share(now, used));
        let part = if self.is_late() && late_share < 1.0 { late_share } else { UNEVEN_ENTRIES };
        self.state.admission.borrow_mut().admits(&self.service, open, share, part)
    }

    /// Whether the request cannot be answered on time any more.
    fn is_late(&self) -> bool {
        let Life { request, .. } = self;
        let used_ms = request.used_ms + boot_now().since(request.arrived_at);
        request.route.kind.is_stream() && used_ms >= request.route.target_latency_ms
    }
}

/// Ends the watch over a probe when it is dropped.
pub(super) struct ProbeWatch(Rc<Cell<bool>>);

impl Drop for ProbeWatch {
    fn drop(&mut self) {
        self.0.set(false);
    }
}
