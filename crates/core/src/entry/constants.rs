//! Spans and bounds of an entry, each with the reason for its size.

/// Missing acknowledgements are judged after this many smoothed round trips.
pub(super) const ACK_ROUND_TRIPS: u64 = 4;

/// Shortest wait for an acknowledgement: an agent that the scheduler held up is not silent.
pub(super) const ACK_MIN_MS: u64 = 100;

/// Longest wait for an acknowledgement, however slow the path was before.
pub(super) const ACK_MAX_MS: u64 = 1_000;

/// Round trip assumed before the first measurement; two regions are less apart.
pub(super) const INITIAL_ROUND_TRIP_MS: u64 = 50;

/// A link with live attempts on which nothing was heard for this long gets a heartbeat.
pub(super) const HEARTBEAT_LIVE_MS: u64 = 1_000;

/// A link gets a heartbeat at least this often: at 100 bytes each way and
/// [`IDLE_LINKS_MAX`] links that is 1.3 KB a second out of the 5 KB a second allowed for control.
pub(super) const HEARTBEAT_IDLE_MS: u64 = 10_000;

/// Links without live attempts that are kept open.
pub(super) const IDLE_LINKS_MAX: usize = 64;

/// A link that had no live attempt for this long is closed.
pub(super) const IDLE_CLOSE_MS: u64 = 120_000;

/// A link that is not up after this long has failed to open.
pub(super) const OPEN_GIVE_UP_MS: u64 = 1_000;

/// Wait after a first failure to open a link; doubles with each further one.
pub(super) const REOPEN_MIN_MS: u64 = 100;

/// Longest wait between tries to open a link.
pub(super) const REOPEN_MAX_MS: u64 = 5_000;

/// How long an attempt may be out of touch before it ends as `MayHaveRun`, or `Ran` once its
/// answer has begun: time for a few fresh links.
pub(super) const RECOVER_MS: u64 = 5_000;

/// The same for an idempotent request whose answer has not begun: another backend server is
/// sooner than a long wait for this one.
pub(super) const RECOVER_IDEMPOTENT_MS: u64 = 500;

/// How long a request may wait for a link to open.
pub(super) const LINK_WAIT_MS: u64 = 2_000;

/// When a caller without a reachable backend server should come back.
pub(super) const COME_BACK_MS: u64 = 1_000;

/// An accepted attempt that makes no progress for this long is attached again, in case the
/// message that would have moved it was lost; doubles without progress.
pub(super) const QUIET_MS: u64 = 2_000;

/// Doublings of [`QUIET_MS`] at most.
pub(super) const QUIET_DOUBLINGS_MAX: u32 = 3;

/// Attachments without progress after which an answer with a known gap is given up.
pub(super) const REATTACH_MAX: u32 = 4;

/// Pieces between two acknowledgements of an answer.
pub(super) const RECEIVED_EVERY_CHUNKS: u32 = 16;

/// Pieces of one answer that are held while earlier ones are missing.
pub(super) const EARLY_CHUNKS_MAX: usize = 64;

/// Bytes of one answer that are held while earlier ones are missing.
pub(super) const EARLY_BYTES_MAX: usize = 1 << 20;

/// Backend servers of one route that an entry uses: enough for two choices with a failure domain
/// gone, few enough that 400 entries do not all hold links to 900 agents.
pub(super) const SUBSET_SIZE: usize = 8;

/// Links of a subset that are opened for a single request; each live attempt adds one.
pub(super) const SUBSET_LINKS_MIN: usize = 3;

/// Bytes of a body whose digest stands for the prefix of a prompt.
pub(super) const PREFIX_BYTES: usize = 1_024;

/// Cancellations kept for an agent that is out of touch.
pub(super) const CANCELS_MAX: usize = 1_024;

/// Ended requests remembered so that anything after a final answer is noticed.
pub(super) const ENDED_REMEMBERED: usize = 4_096;
