//! How fast long messages may follow each other on a small machine's link.

use crate::direct::BootMs;

/// Bytes a millisecond that long messages take of a link: two thirds of the smallest in use, 6 Mbit/s. The
/// rest is for signs of life, statuses and answers.
const BYTES_PER_MS: u64 = 500;

/// Bytes that may be on their way together. A link holds some 45 KB back and loses what is over: of 11 maps
/// of 5 KB sent at once two or three were lost at each agent that passed them on.
const MOST_BACKLOG_BYTES: u64 = 24_000;

/// What a link still has to carry of the long messages that were sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkPace {
    backlog_bytes: u64,
    noted_at: BootMs,
}

impl LinkPace {
    /// Time until a message of `bytes` may be sent.
    #[must_use]
    pub fn wait_ms(&self, now: BootMs, bytes: u64) -> u64 {
        let backlog = self.backlog_bytes_at(now);
        // A message that is longer than all that may be on its way goes alone.
        let most = MOST_BACKLOG_BYTES.saturating_sub(bytes);
        backlog.saturating_sub(most).div_ceil(BYTES_PER_MS)
    }

    /// Notes that a message of `bytes` is sent.
    pub fn note_sent(&mut self, now: BootMs, bytes: u64) {
        self.backlog_bytes = self.backlog_bytes_at(now) + bytes;
        self.noted_at = now;
    }

    fn backlog_bytes_at(&self, now: BootMs) -> u64 {
        self.backlog_bytes.saturating_sub(now.since(self.noted_at) * BYTES_PER_MS)
    }
}
