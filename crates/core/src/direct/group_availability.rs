//! Detects whether a model group makes progress, and estimates when a group that does not will
//! recover.
//!
//! When a rank of a group stops responding, or all instances lose power, all ranks stall and then
//! reject every request until the group has formed again, for 2 s or more. Requests sent meanwhile
//! would use up the attempts of their callers, who would then all retry at the moment of recovery.
//! So an entry sends a single request now and then as a probe, and lets the others wait or retry
//! later.

use super::BootMs;

/// Time without an event of any open stream after which a group counts as stalled: several slow
/// passes.
const STALLED_AFTER_MS: u64 = 500;

/// Time between probes of a group that rejects requests. Each probe uses up an attempt of one
/// caller; a longer interval delays the first events after the recovery by up to that much.
const PROBE_INTERVAL_MS: u64 = 80;

/// Time between probes of a stalled group. A probe sent then hangs until the stall ends.
const STALLED_PROBE_INTERVAL_MS: u64 = 400;

/// Time for the first pass of a group that has formed again.
const FIRST_PASS_MS: u64 = 150;

/// Time after a group's recovery in which late requests get only part of its slots. It ends when
/// the group has a balanced expert map, well before waiting callers give up.
const RECOVERY_MS: u64 = 1_000;

/// Share of a group's slots that late requests may use right after its recovery.
const FIRST_LATE_SHARE: f64 = 0.35;

/// Fraction of its caller's patience after which a late request may use all slots. The rest, 0.8 s,
/// is enough for some passes in a backend server's queue.
const LATE_PATIENCE_SHARE: f64 = 0.5;

/// Configured durations of the phases of a group outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageDurations {
    /// Time for which all ranks stall after one is lost.
    pub stall_ms: u64,
    /// Time that a group takes to form again.
    pub forming_ms: u64,
}

/// Whether a request may be sent to a group now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum SendPermission {
    /// The request may be sent.
    Allowed,
    /// The group is unavailable; this request may be sent as a probe.
    Probe,
    /// The group is unavailable, and no probe is due.
    Unavailable {
        /// When the group is expected to recover.
        expected_back_at: BootMs,
        /// When the next probe is due.
        retry_at: BootMs,
    },
}

/// The availability of the group of a service, as one entry observes it.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupAvailability {
    /// When any stream last got an event.
    newest_event_at: Option<BootMs>,
    /// When a request was sent while no other was open, or was last found accepted after a
    /// rejection.
    waiting_since: Option<BootMs>,
    /// When the group began to reject requests, until it is found to have recovered.
    rejecting_since: Option<BootMs>,
    /// When the group was last found to have recovered.
    recovered_at: Option<BootMs>,
    /// When the next probe is due.
    probe_at: BootMs,
}

impl GroupAvailability {
    /// Records that a request is sent while `open` others are open.
    pub const fn note_sent(&mut self, now: BootMs, open: u32) {
        if open == 0 {
            self.waiting_since = Some(now);
        }
    }

    /// Records an event of a stream, which shows that the group makes progress.
    pub const fn note_event(&mut self, now: BootMs) {
        self.newest_event_at = Some(now);
        self.note_recovered(now);
    }

    /// Records that a request was neither answered nor rejected for a moment, which shows that the
    /// group no longer rejects requests: it would do so at once.
    pub const fn note_accepted(&mut self, now: BootMs) {
        if self.rejecting_since.is_some() {
            self.note_recovered(now);
            self.waiting_since = Some(now);
        }
    }

    /// Records the recovery of a group that rejected requests.
    const fn note_recovered(&mut self, now: BootMs) {
        if self.rejecting_since.take().is_some() {
            self.recovered_at = Some(now);
        }
    }

    /// Returns whether the group is known to reject requests.
    #[must_use]
    pub const fn is_rejecting(&self) -> bool {
        self.rejecting_since.is_some()
    }

    /// Returns whether the group recovered less than `RECOVERY_MS` ago.
    #[must_use]
    pub fn is_recovering(&self, now: BootMs) -> bool {
        self.recovered_share(now) < 1.0
    }

    /// Returns the share of the group's slots that a late request may use.
    ///
    /// `patience_used` is the fraction of its caller's patience that is used up. When a group
    /// recovers, hundreds of late requests wait for it, and with its initial expert map passes take
    /// three times as long as with a balanced one. If all were sent at once, they would take every
    /// slot and make new requests late for 2 s or more. But a new request that waits is late at
    /// worst, whereas a late one is lost when its caller gives up, so the share grows to 1 as the
    /// caller's patience runs out.
    #[must_use]
    pub fn late_share(&self, now: BootMs, patience_used: f64) -> f64 {
        let recovered_share = self.recovered_share(now);
        let first_share = FIRST_LATE_SHARE + (1.0 - FIRST_LATE_SHARE) * recovered_share;
        first_share.max(patience_used / LATE_PATIENCE_SHARE).min(1.0)
    }

    /// Returns the elapsed fraction of the recovery period, 1 when it is over.
    fn recovered_share(&self, now: BootMs) -> f64 {
        let Some(recovered_at) = self.recovered_at else { return 1.0 };
        (now.since(recovered_at) as f64 / RECOVERY_MS as f64).min(1.0)
    }

    /// Records that a rank rejected a request. Returns whether the whole group is unavailable,
    /// rather than just that rank being full.
    pub fn note_rejected(&mut self, now: BootMs) -> bool {
        let makes_progress =
            self.newest_event_at.is_some_and(|at| now.since(at) <= STALLED_AFTER_MS);
        if !makes_progress && self.rejecting_since.is_none() {
            self.rejecting_since = Some(now);
            self.probe_at = now.after(PROBE_INTERVAL_MS);
        }
        !makes_progress
    }

    /// Returns whether one more request may be sent while `open` requests are open.
    pub fn send_permission(
        &mut self,
        now: BootMs,
        open: u32,
        outage: OutageDurations,
    ) -> SendPermission {
        let Some((expected_back_at, pause_ms)) = self.unavailability(now, open, outage) else {
            return SendPermission::Allowed;
        };
        if now >= self.probe_at {
            self.probe_at = now.after(pause_ms);
            return SendPermission::Probe;
        }
        SendPermission::Unavailable { expected_back_at, retry_at: self.probe_at }
    }

    /// Returns when an unavailable group is expected to recover, or nothing if the group is
    /// available as far as this entry knows.
    #[must_use]
    pub fn expected_back_at(
        &self,
        now: BootMs,
        open: u32,
        outage: OutageDurations,
    ) -> Option<BootMs> {
        self.unavailability(now, open, outage).map(|(expected_back_at, _)| expected_back_at)
    }

    /// Returns when an unavailable group is expected to recover, and the time between probes.
    fn unavailability(
        &self,
        now: BootMs,
        open: u32,
        outage: OutageDurations,
    ) -> Option<(BootMs, u64)> {
        let OutageDurations { stall_ms, forming_ms } = outage;
        if let Some(rejecting_since) = self.rejecting_since {
            return Some((expected_recovery(now, rejecting_since, forming_ms), PROBE_INTERVAL_MS));
        }
        let since = self.newest_event_at.max(self.waiting_since)?;
        let is_stalled = open > 0 && now.since(since) > STALLED_AFTER_MS;
        is_stalled.then(|| {
            (expected_recovery(now, since, stall_ms + forming_ms), STALLED_PROBE_INTERVAL_MS)
        })
    }
}

/// Returns when a group that is unavailable `since` is expected to recover, usually after
/// `usual_ms`.
///
/// If that time is over, the outage so far is the only known estimate, so as much time again is
/// assumed.
fn expected_recovery(now: BootMs, since: BootMs, usual_ms: u64) -> BootMs {
    let usual_recovery_at = since.after(usual_ms + FIRST_PASS_MS);
    if usual_recovery_at > now { usual_recovery_at } else { now.after(now.since(since)) }
}
