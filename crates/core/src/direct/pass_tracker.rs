//! Measures the passes of a group and limits how much prompt data may be sent in each.
//!
//! When demand shifts to other experts, each prompt lengthens a pass two to three times as much as
//! before, until the group has a new expert map after most of a second. Longer passes collect more
//! prompts, which lengthen the next pass further: from 65 ms they grow to 140 ms and more. Every
//! open stream then exceeds the gap that its caller was promised. A request that waits a fifth of a
//! second before it is sent is still on time, so new requests are held back instead.

use super::BootMs;

/// Shortest gap between events of different passes. All ranks of a group end a pass together.
const PASS_GAP_MS: u64 = 20;

/// Fraction of the promised gap between events that a pass may take. The rest is for the network
/// path to the caller and for requests that other entries send.
const MAX_PASS_SHARE: f64 = 0.75;

/// Fraction of the longest allowed pass up to which sends are not limited: such a pass has room for
/// twice as much work.
const UNLIMITED_SHARE: f64 = 0.6;

/// Fraction of the shortest recent pass that it would take without any prompts. In a group of 72
/// busy ranks, passes of 65 ms and 140 ms before and after a shift of demand fit 42 ms without
/// prompts.
const EMPTY_PASS_SHARE: f64 = 0.6;

/// Factor by which the shortest pass grows with each longer one: a tenth per second, so that the
/// estimate follows a group whose load grows.
const SHORTEST_GROWTH: f64 = 1.007;

/// Weight of the newest pass in the moving average of bytes per pass. An entry sends two or three
/// requests per pass, so a single pass says little.
const NEWEST_WEIGHT: f64 = 0.25;

/// Longest time between events that counts as a pass. After a longer one the group was stalled or
/// this entry had no streams, so nothing is known of the next pass.
const LONGEST_PASS_MS: u64 = 500;

/// The passes of the group of one service, inferred from the events of this entry's streams.
#[derive(Clone, Copy, Debug, Default)]
pub struct PassTracker {
    newest_event_at: BootMs,
    /// Number of passes that ended.
    ended: u64,
    last_end_at: BootMs,
    shortest_ms: f64,
    /// Moving average of the duration of a pass; 0 while none was measured.
    mean_ms: f64,
    /// Bytes of requests sent since the last pass ended.
    sent_bytes: f64,
    /// Moving average of the bytes sent per pass.
    mean_bytes: f64,
    /// Bytes that may still be sent before the next pass ends; nothing when sends are not limited.
    remaining_bytes: Option<f64>,
}

impl PassTracker {
    /// Records an event of a stream whose caller was promised gaps of at most `target_gap_ms`.
    ///
    /// Returns whether it is the first event of a pass.
    pub fn note_event(&mut self, now: BootMs, target_gap_ms: Option<u64>) -> bool {
        let is_first = now.since(self.newest_event_at) > PASS_GAP_MS;
        self.newest_event_at = now;
        if is_first {
            self.end_pass(now, target_gap_ms);
        }
        is_first
    }

    /// Records that a request of `bytes` is sent. Its prompt is processed in one of the next
    /// passes.
    pub fn note_sent(&mut self, bytes: usize) {
        self.sent_bytes += bytes as f64;
        if let Some(remaining_bytes) = &mut self.remaining_bytes {
            *remaining_bytes -= bytes as f64;
        }
    }

    /// Returns whether one more request may be sent now without making a pass too long.
    #[must_use]
    pub fn may_send(&self, now: BootMs) -> bool {
        let is_known = now.since(self.last_end_at) <= LONGEST_PASS_MS;
        !is_known || self.remaining_bytes.is_none_or(|remaining_bytes| remaining_bytes > 0.0)
    }

    /// Returns the number of passes that were seen to end.
    #[must_use]
    pub const fn ended(&self) -> u64 {
        self.ended
    }

    /// Returns the mean duration of a pass, or nothing if none was seen lately.
    #[must_use]
    pub fn mean_pass_ms(&self, now: BootMs) -> Option<f64> {
        let is_known = self.mean_ms > 0.0 && now.since(self.last_end_at) <= LONGEST_PASS_MS;
        is_known.then_some(self.mean_ms)
    }

    fn end_pass(&mut self, now: BootMs, target_gap_ms: Option<u64>) {
        let took_ms = now.since(self.last_end_at);
        self.ended += 1;
        self.last_end_at = now;
        self.mean_bytes += (self.sent_bytes - self.mean_bytes) * NEWEST_WEIGHT;
        self.sent_bytes = 0.0;
        if took_ms > LONGEST_PASS_MS {
            self.remaining_bytes = None;
            return;
        }
        let took_ms = took_ms as f64;
        let weight = if self.mean_ms > 0.0 { NEWEST_WEIGHT } else { 1.0 };
        self.mean_ms += (took_ms - self.mean_ms) * weight;
        let grown_ms = self.shortest_ms * SHORTEST_GROWTH;
        self.shortest_ms = if grown_ms > 0.0 { took_ms.min(grown_ms) } else { took_ms };
        self.remaining_bytes =
            target_gap_ms.and_then(|target_gap_ms| self.allowance(took_ms, target_gap_ms as f64));
    }

    /// Returns the bytes that may be sent after a pass that took `took_ms`, or nothing when sends
    /// are not limited.
    ///
    /// The model is that a pass takes a fixed time, plus a time proportional to its prompts.
    fn allowance(&self, took_ms: f64, target_gap_ms: f64) -> Option<f64> {
        let max_pass_ms = target_gap_ms * MAX_PASS_SHARE;
        if took_ms <= max_pass_ms * UNLIMITED_SHARE {
            return None;
        }
        let empty_ms = self.shortest_ms * EMPTY_PASS_SHARE;
        let ratio = (max_pass_ms - empty_ms).max(0.0) / (took_ms - empty_ms);
        let allowed = self.mean_bytes * ratio;
        // Bytes sent beyond the last allowance, by requests that could wait no longer, are
        // subtracted from this one. An unused rest is not carried over, or one pass would get the
        // work of two.
        let overdraft = self.remaining_bytes.unwrap_or(0.0).clamp(-allowed, 0.0);
        Some(allowed + overdraft)
    }
}
