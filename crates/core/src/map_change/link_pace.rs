//! Limits the rate of long messages on the link of a small instance.

use crate::direct::BootMs;

/// Bytes per millisecond for long messages: two thirds of the smallest link in use, 6 Mbit/s. The
/// rest is for heartbeats, statuses and answers.
const BYTES_PER_MS: u64 = 500;

/// Most bytes of long messages in flight. A link queues some 45 KB and drops the excess: of 11 maps
/// of 5 KB sent at once, two or three were lost at each agent that relayed them.
const MAX_BACKLOG_BYTES: u64 = 24_000;

/// Estimated backlog of long messages on a link.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkPace {
    backlog_bytes: u64,
    updated_at: BootMs,
}

impl LinkPace {
    /// Returns the time until a message of `bytes` may be sent.
    #[must_use]
    pub fn wait_ms(&self, now: BootMs, bytes: u64) -> u64 {
        let backlog = self.backlog_bytes_at(now);
        // A message above the limit is sent alone.
        let most = MAX_BACKLOG_BYTES.saturating_sub(bytes);
        backlog.saturating_sub(most).div_ceil(BYTES_PER_MS)
    }

    /// Records that a message of `bytes` is sent.
    pub fn note_sent(&mut self, now: BootMs, bytes: u64) {
        self.backlog_bytes = self.backlog_bytes_at(now) + bytes;
        self.updated_at = now;
    }

    fn backlog_bytes_at(&self, now: BootMs) -> u64 {
        self.backlog_bytes.saturating_sub(now.since(self.updated_at) * BYTES_PER_MS)
    }
}
