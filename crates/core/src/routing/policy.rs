//! What an entry asks a routing policy, and what it answers.

use crate::message::Load;
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, Document, FailureDomainId};

/// One backend server that could take a request: link up, circuit not open, not tried before.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub backend_server: &'a BackendServerId,
    /// Where it stands.
    pub failure_domain: &'a FailureDomainId,
    /// The latest report, which lags; none before the first one.
    pub load: Option<&'a Load>,
    /// When that report came in.
    pub load_received: UnixMs,
    /// Attempts of this entry that are open there.
    pub outstanding: u32,
    /// Attempts that this entry has sent since that report was sampled.
    pub sent_since_report: u32,
    /// Slots by the document.
    pub slots: u32,
    /// Share of its normal traffic that it may get, in thousandths: less while suspect or on its
    /// ramp back.
    pub share_permille: u16,
}

/// One request that needs a backend server.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// Rank of its tier.
    pub rank: u8,
    /// Its deadline.
    pub deadline: UnixMs,
    /// Where the entry stands.
    pub home: &'a FailureDomainId,
    /// Digest of the prompt's prefix, for cache affinity.
    pub prefix: Option<u64>,
    /// Who could take it; never empty.
    pub candidates: &'a [Candidate<'a>],
}

/// The answer of a routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    /// Send it to the candidate at this index.
    Candidate(usize),
    /// None can begin it before its deadline: refuse it at once.
    Refuse {
        /// When coming back makes sense.
        retry_at: UnixMs,
    },
}

/// A routing policy.
pub trait RoutingPolicy: Send {
    /// Follows another document. Policies that do not weigh tiers need not do anything.
    fn adopt(&mut self, _document: &Document) {}

    /// Picks a candidate, or refuses.
    fn choose(&mut self, now: Now, choice: &RoutingRequest<'_>) -> RoutingDecision;

    /// Learns how long an attempt took to its first chunk.
    fn record_first_chunk(
        &mut self,
        now: Now,
        backend_server: &BackendServerId,
        first_chunk_ms: u64,
    );

    /// Learns that a request of this rank got its first chunk, so that it has begun. Policies that
    /// do not weigh tiers need not do anything.
    fn record_start(&mut self, _now: Now, _rank: u8) {}

    /// Learns that an accepted request of this rank expired in a queue.
    fn record_expiry(&mut self, _now: Now, _rank: u8) {}

    /// Learns that an attempt failed before its first chunk. Policies that ignore failures need
    /// not do anything.
    fn record_failure(&mut self, _now: Now, _backend_server: &BackendServerId) {}
}
