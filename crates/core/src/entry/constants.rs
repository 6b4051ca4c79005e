//! Timeouts and bounds of an entry.

/// An acknowledgement is overdue after this many estimated round trips.
pub(super) const ACK_ROUND_TRIPS: u64 = 4;

/// Minimum timeout of an acknowledgement, so that a scheduling delay at the agent does not count as
/// silence.
pub(super) const ACK_MIN_MS: u64 = 100;

/// Maximum timeout of an acknowledgement, however slow the path was before.
pub(super) const ACK_MAX_MS: u64 = 1_000;

/// Round trip assumed before the first measurement. The round trip between two regions is shorter.
pub(super) const INITIAL_ROUND_TRIP_MS: u64 = 50;

/// A heartbeat is sent on a link with live attempts after this long without a message from the
/// agent.
pub(super) const HEARTBEAT_LIVE_MS: u64 = 1_000;

/// Interval of heartbeats on any link. At 100 bytes each way and [`IDLE_LINKS_MAX`] links, this
/// takes 1.3 KB/s of the 5 KB/s allowed for control traffic.
pub(super) const HEARTBEAT_IDLE_MS: u64 = 10_000;

/// Maximum number of links without live attempts that are kept open.
pub(super) const IDLE_LINKS_MAX: usize = 64;

/// A link without live attempts is closed after this long without use.
pub(super) const IDLE_CLOSE_MS: u64 = 120_000;

/// Timeout for opening a link.
pub(super) const OPEN_TIMEOUT_MS: u64 = 1_000;

/// Backoff after the first failure to open a link; doubles with each further failure.
pub(super) const REOPEN_MIN_MS: u64 = 100;

/// Maximum backoff between attempts to open a link.
pub(super) const REOPEN_MAX_MS: u64 = 5_000;

/// How long an attempt may be without a working link to its agent before it ends as `MayHaveRun`,
/// or as `Ran` once part of its response was received. Long enough to try a few new links.
pub(super) const RECOVER_MS: u64 = 5_000;

/// The same for an idempotent request of which the caller has received nothing: a retry on another
/// backend server is faster than a long wait for this one.
pub(super) const RECOVER_IDEMPOTENT_MS: u64 = 500;

/// How long a request may wait for a link to open.
pub(super) const LINK_WAIT_MS: u64 = 2_000;

/// Retry delay suggested to a caller when the entry is not ready or no backend server can be
/// reached.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

/// An accepted attempt without progress for this long is attached again, in case a message was
/// lost. The delay doubles with each attachment that brings no progress.
pub(super) const STALL_MS: u64 = 2_000;

/// Maximum number of doublings of [`STALL_MS`].
pub(super) const STALL_DOUBLINGS_MAX: u32 = 3;

/// Number of attachments without progress after which a response with missing chunks is abandoned.
pub(super) const REATTACH_MAX: u32 = 4;

/// Number of chunks between two acknowledgements of a response.
pub(super) const ACK_EVERY_CHUNKS: u32 = 16;

/// Maximum number of chunks of one response that are buffered while earlier ones are missing.
pub(super) const BUFFERED_CHUNKS_MAX: usize = 64;

/// Maximum bytes of one response that are buffered while earlier chunks are missing.
pub(super) const BUFFERED_BYTES_MAX: usize = 1 << 20;

/// Number of backend servers of one route that an entry uses. Enough for a choice of two while a
/// failure domain is down, and few enough that 400 entries do not all hold links to 900 agents.
pub(super) const SUBSET_SIZE: usize = 8;

/// Number of links into a subset that are opened for a single request. Each live attempt in the
/// subset and each earlier attempt of the request adds one.
pub(super) const SUBSET_LINKS_MIN: usize = 3;

/// Number of bytes of a body whose digest stands for the prefix of the prompt.
pub(super) const PREFIX_DIGEST_BYTES: usize = 1_024;

/// Maximum number of cancellations kept for an agent without a link.
pub(super) const PENDING_CANCELS_MAX: usize = 1_024;

/// Number of ended requests kept to detect anything sent after a final response.
pub(super) const ENDED_REQUESTS_MAX: usize = 4_096;
