//! Timeouts and limits of an agent.

/// Maximum difference between the clocks of two processes of the system, in milliseconds.
///
/// Every comparison of one process's timestamp with another process's clock allows for it. If
/// clocks differ by more, the guarantees that rest on deadlines no longer hold.
pub const CLOCK_SKEW_BOUND_MS: u64 = 2_000;

/// How long an attempt survives the loss of its link, in milliseconds, so that its entry can
/// reattach it on another one.
pub const ORPHAN_TIMEOUT_MS: u64 = 15_000;

/// How long a finished response is retained for an entry that has not acknowledged all of it, in
/// milliseconds.
pub const RESPONSE_RETENTION_MS: u64 = 30_000;

/// Delay before a drain may complete after an ambiguous acknowledgement or a failure, in
/// milliseconds.
///
/// An acknowledgement of all chunks may have been sent before the end marker arrived, and an entry
/// may have missed the message about a failure. The delay gives it time to reattach.
pub const ACK_SETTLE_MS: u64 = 1_000;

/// How long the submit of an attempt that was cancelled first is refused, in milliseconds. A
/// cancellation carries no deadline from which this could be derived.
pub const CANCEL_TOMBSTONE_MS: u64 = 60_000;

/// Bytes retained of one response. A larger response can be neither resumed nor replayed.
pub const RETAINED_BYTES_PER_RESPONSE: u64 = 4 * 1024 * 1024;

/// Bytes retained of all responses together.
pub const RETAINED_BYTES_TOTAL: u64 = 64 * 1024 * 1024;

/// How long an entry's demand report is counted, in milliseconds.
pub const DEMAND_TTL_MS: u64 = 10_000;

/// Time within which an accepted document is in force at every process, in milliseconds.
pub const ADOPTION_SPREAD_MS: u64 = 8_000;

/// Horizon of a key whose route was removed from the document while its request ran, in
/// milliseconds.
pub(crate) const FALLBACK_KEY_HORIZON_MS: u64 = 24 * 60 * 60 * 1_000;

/// Divisor that gives the weight of the newest measurement in the smoothed service time.
pub(crate) const SERVICE_SMOOTHING_DIVISOR: u64 = 8;

/// Maximum jitter added to the suggested retry time, in thousandths of the wait.
pub(crate) const RETRY_JITTER_PERMILLE: u64 = 250;
