//! Whether a group makes passes, and when one that stands is expected back.
//!
//! The load that this answers: a rank of a group falls silent, or all machines lose power. All ranks
//! stall, then turn every request away until the group has formed anew, for 2 s and more. Requests that
//! are sent meanwhile use up the tries of their callers, who all come back at once to a group that has
//! just opened. So an entry sends one request now and then to see whether the group is back, and lets
//! the others wait or come back later.

use super::BootMs;

/// Time without an event of any open stream from which a group counts as standing: several slow passes.
const NO_EVENT_MS: u64 = 500;

/// Pause between requests that are sent to see whether a group that turns requests away is back. Each
/// costs a try of one caller; a caller's first event is late by this much at most.
const PROBE_MS: u64 = 80;

/// The same while a group only stalls. A request that is sent then hangs until the stall ends.
const STALLED_PROBE_MS: u64 = 400;

/// Time for the first pass of a group that has formed anew.
const FIRST_PASS_MS: u64 = 150;

/// Time after a group's return in which requests of the outage leave room: until the group has an even
/// map, well before the callers that wait leave.
const RECOVERY_MS: u64 = 1_000;

/// Part of a group's slots that late requests may take right after its return.
const FIRST_LATE_PART: f64 = 0.35;

/// Part of its caller's patience after which a late request may take all the room that others may: the rest,
/// 0.8 s, is enough for some passes in a backend server's queue.
const LATE_PATIENCE_PART: f64 = 0.5;

/// What the operators and the platform say of how a group fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutageDurations {
    /// Time for which all ranks stall when one is gone.
    pub stall_ms: u64,
    /// Time that a group takes to form anew.
    pub forming_ms: u64,
}

/// Whether a request may be sent to a group now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum SendPermission {
    /// It may.
    Allowed,
    /// The group stands; this request may be sent to see whether it is back.
    Probe,
    /// The group stands.
    Unavailable {
        /// When it is expected back.
        expected_back_at: BootMs,
        /// When to ask again.
        retry_at: BootMs,
    },
}

/// What one entry has seen of the group of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupAvailability {
    /// When a stream last gave an event.
    newest_event_at: Option<BootMs>,
    /// Since when this entry waits for anything from the group.
    waiting_since: Option<BootMs>,
    /// Since when the group turns requests away, by its own word.
    broken_at: Option<BootMs>,
    /// When the group was last found to be back.
    back_since: Option<BootMs>,
    probe_at: BootMs,
}

impl GroupAvailability {
    /// Notes that a request is sent while `open` others are open.
    pub const fn note_sent(&mut self, now: BootMs, open: u32) {
        if open == 0 {
            self.waiting_since = Some(now);
        }
    }

    /// Notes an event of a stream: the group makes passes.
    pub const fn note_event(&mut self, now: BootMs) {
        self.newest_event_at = Some(now);
        self.note_back(now);
    }

    /// Notes that a request was neither answered nor turned away for a moment: a group that is broken
    /// turns requests away at once.
    pub const fn note_accepted(&mut self, now: BootMs) {
        if self.broken_at.is_some() {
            self.note_back(now);
            self.waiting_since = Some(now);
        }
    }

    const fn note_back(&mut self, now: BootMs) {
        if self.broken_at.take().is_some() {
            self.back_since = Some(now);
        }
    }

    /// Whether the group has come back a moment ago.
    #[must_use]
    pub fn is_recovering(&self, now: BootMs) -> bool {
        self.recovered_part(now) < 1.0
    }

    /// Part of its slots that a group gives to a request that is late already, whose caller has used up
    /// `patience_used` of its patience, 1 being all of it.
    ///
    /// When a group is back, hundreds of them wait for it, and it still has the map that it was formed
    /// with, by which passes take three times as long as by an even one. All at once they take every
    /// slot, and whoever comes then is late too, for 2 s and more. But a fresh request that waits is late at
    /// worst, and a late one whose caller leaves is lost, so those that have waited for long leave no room.
    #[must_use]
    pub fn late_share(&self, now: BootMs, patience_used: f64) -> f64 {
        let recovered_part = self.recovered_part(now);
        let first_part = FIRST_LATE_PART + (1.0 - FIRST_LATE_PART) * recovered_part;
        first_part.max(patience_used / LATE_PATIENCE_PART).min(1.0)
    }

    /// How far a group that was away has come since its return, 1 when that is over.
    fn recovered_part(&self, now: BootMs) -> f64 {
        let Some(back_since) = self.back_since else { return 1.0 };
        (now.since(back_since) as f64 / RECOVERY_MS as f64).min(1.0)
    }

    /// Notes that a rank turned a request away. Returns whether the group stands, rather than that one
    /// rank is full.
    pub fn note_rejected(&mut self, now: BootMs) -> bool {
        let makes_passes = self.newest_event_at.is_some_and(|at| now.since(at) <= NO_EVENT_MS);
        if !makes_passes && self.broken_at.is_none() {
            self.broken_at = Some(now);
            self.probe_at = now.after(PROBE_MS);
        }
        !makes_passes
    }

    /// Whether one more request may be sent while `open` are open.
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

    /// When a group that stands is expected back; nothing when it makes passes as far as is known.
    #[must_use]
    pub fn expected_back_at(
        &self,
        now: BootMs,
        open: u32,
        outage: OutageDurations,
    ) -> Option<BootMs> {
        self.unavailability(now, open, outage).map(|(expected_back_at, _)| expected_back_at)
    }

    /// When a group that stands is expected back, and the pause between probes.
    fn unavailability(
        &self,
        now: BootMs,
        open: u32,
        outage: OutageDurations,
    ) -> Option<(BootMs, u64)> {
        let OutageDurations { stall_ms, forming_ms } = outage;
        if let Some(broken_at) = self.broken_at {
            return Some((expected(now, broken_at, forming_ms), PROBE_MS));
        }
        let since = self.newest_event_at.max(self.waiting_since)?;
        let is_stalled = open > 0 && now.since(since) > NO_EVENT_MS;
        is_stalled.then(|| (expected(now, since, stall_ms + forming_ms), STALLED_PROBE_MS))
    }
}

/// When a group is back that has stood `since`, usually for `usual_ms`.
///
/// Of one that is away for longer nothing is known but for how long already; it may well be as long
/// again.
fn expected(now: BootMs, since: BootMs, usual_ms: u64) -> BootMs {
    let usual_at = since.after(usual_ms + FIRST_PASS_MS);
    if usual_at > now { usual_at } else { now.after(now.since(since)) }
}
