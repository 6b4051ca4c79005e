//! Named bounds of an agent. All spans are in milliseconds, all sizes in bytes.

/// Greatest difference between the clocks of two processes of the system, in milliseconds.
///
/// Wherever a moment of one process is compared with the clock of another, this much is allowed.
/// A fleet whose clocks differ by more loses the guarantees that rest on deadlines.
pub const CLOCK_SKEW_BOUND_MS: u64 = 2_000;

/// How long an attempt goes on after its link closed, so that its entry can attach it elsewhere.
pub const ORPHAN_MS: u64 = 15_000;

/// How long an answer is kept after its end for an entry that has not acknowledged all of it.
pub const ANSWER_RETENTION_MS: u64 = 30_000;

/// How long an acknowledgement of all chunks that may have crossed the end marker has to stand,
/// and how long a failure is kept for an entry that may have missed it, before a drain goes on.
pub const ACK_SETTLE_MS: u64 = 1_000;

/// How long a cancelled attempt that was never seen is refused: a cancellation has no deadline.
pub const CANCEL_TOMBSTONE_MS: u64 = 60_000;

/// Bytes kept of one answer. Above it the answer can no longer be attached or repeated.
pub const RETAINED_BYTES_PER_ANSWER: u64 = 4 * 1024 * 1024;

/// Bytes kept of all answers together.
pub const RETAINED_BYTES_TOTAL: u64 = 64 * 1024 * 1024;

/// How long an entry's demand counts after it was reported.
pub const DEMAND_LIFE_MS: u64 = 10_000;

/// Time in which an accepted document is in force everywhere.
pub const ADOPTION_SPREAD_MS: u64 = 8_000;

/// Horizon of a key whose route has left the document while the request ran.
pub(crate) const FALLBACK_KEY_HORIZON_MS: u64 = 24 * 60 * 60 * 1_000;

/// Weight of the newest measurement in the smoothed service time, as a divisor.
pub(crate) const SERVICE_SMOOTHING: u64 = 8;

/// Spread added to a moment at which coming back makes sense, in thousandths of the wait.
pub(crate) const RETRY_SPREAD_PERMILLE: u64 = 250;
