//! The passes of a group as one entry sees them, and how much may begin in each.
//!
//! The load that this answers: demand shifts, and until the group has another map, for most of a second,
//! each prompt that is read makes a pass longer by two to three times as much as before. Longer passes
//! collect more prompts, which make the next one longer still: from 65 ms they grow to 140 ms and more.
//! Every stream that is open then pauses for longer than its caller was promised. A request that waits
//! for a fifth of a second before it begins is still on time.

use super::BootMs;

/// Pause between events that belong to different passes. All ranks of a group end a pass together.
const NEXT_PASS_MS: u64 = 20;

/// Part of the promised pause between events that a pass may take: the rest is for the way to the
/// caller and for what other entries begin.
const MOST_PART: f64 = 0.75;

/// Part of that up to which work is not counted: such a pass has room for twice as much.
const UNCOUNTED_PART: f64 = 0.6;

/// Part of the shortest pass lately that it would have taken without any prompts. In a group of 72 busy
/// ranks passes of 65 ms and 140 ms, before and after a shift, fit 42 ms without prompts.
const EMPTY_PART: f64 = 0.6;

/// Growth of the shortest pass with each one that is longer: a tenth in a second, so that a group whose
/// load grows is not held to what it once was.
const SHORTEST_GROWTH: f64 = 1.007;

/// Weight of the newest pass in the mean of work. An entry begins two or three requests in a pass, so a
/// single one tells little.
const NEWEST_WEIGHT: f64 = 0.25;

/// Pass after which nothing is known of the next one: the group stood, or this entry had no streams.
const LONGEST_PASS_MS: u64 = 500;

/// How the streams of one service go on, as one entry sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassTracker {
    newest_event_at: BootMs,
    ended: u64,
    last_end_at: BootMs,
    shortest_ms: f64,
    /// Bytes of requests that were sent since the last end.
    begun_bytes: f64,
    /// The same in earlier passes, newer ones counting more.
    mean_bytes: f64,
    /// Bytes that may yet be sent before the next end; nothing when they are not counted.
    left_bytes: Option<f64>,
}

impl PassTracker {
    /// Notes an event of a stream whose caller was promised pauses of at most `target_gap_ms`. Returns
    /// whether it is the first one of a pass.
    pub fn note_event(&mut self, now: BootMs, target_gap_ms: Option<u64>) -> bool {
        let is_first = now.since(self.newest_event_at) > NEXT_PASS_MS;
        self.newest_event_at = now;
        if is_first {
            self.end_pass(now, target_gap_ms);
        }
        is_first
    }

    /// Notes that a request of `bytes` is sent. Its prompt is read in one of the next passes.
    pub fn note_sent(&mut self, bytes: usize) {
        self.begun_bytes += bytes as f64;
        if let Some(left_bytes) = &mut self.left_bytes {
            *left_bytes -= bytes as f64;
        }
    }

    /// Whether one more request may be sent now without making a pass too long.
    #[must_use]
    pub fn may_send(&self, now: BootMs) -> bool {
        let is_known = now.since(self.last_end_at) <= LONGEST_PASS_MS;
        !is_known || self.left_bytes.is_none_or(|left_bytes| left_bytes > 0.0)
    }

    /// Passes that were seen to end.
    #[must_use]
    pub const fn ended(&self) -> u64 {
        self.ended
    }

    fn end_pass(&mut self, now: BootMs, target_gap_ms: Option<u64>) {
        let took_ms = now.since(self.last_end_at);
        self.ended += 1;
        self.last_end_at = now;
        self.mean_bytes += (self.begun_bytes - self.mean_bytes) * NEWEST_WEIGHT;
        self.begun_bytes = 0.0;
        if took_ms > LONGEST_PASS_MS {
            self.left_bytes = None;
            return;
        }
        let took_ms = took_ms as f64;
        let grown_ms = self.shortest_ms * SHORTEST_GROWTH;
        self.shortest_ms = if grown_ms > 0.0 { took_ms.min(grown_ms) } else { took_ms };
        self.left_bytes =
            target_gap_ms.and_then(|target_gap_ms| self.allow(took_ms, target_gap_ms as f64));
    }

    /// Bytes that may be sent after a pass that took `took_ms`; nothing when they are not counted.
    ///
    /// A pass takes some time for itself, and beyond that as long as its prompts need.
    fn allow(&self, took_ms: f64, target_gap_ms: f64) -> Option<f64> {
        let most_ms = target_gap_ms * MOST_PART;
        if took_ms <= most_ms * UNCOUNTED_PART {
            return None;
        }
        let empty_ms = self.shortest_ms * EMPTY_PART;
        let room = (most_ms - empty_ms).max(0.0) / (took_ms - empty_ms);
        let allowed = self.mean_bytes * room;
        // What was sent beyond the last allowance, as by requests that could wait no longer, comes out
        // of this one. What was left of it does not come on top: one pass would get the work of two.
        let owed = self.left_bytes.unwrap_or(0.0).clamp(-allowed, 0.0);
        Some(allowed + owed)
    }
}
