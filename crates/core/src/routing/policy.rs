//! The interface between an entry and its routing policy.

use crate::message::Load;
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, Document, FailureDomainId};

/// A backend server that could take a request: its link is up, its circuit is not open, and the
/// request was not sent to it before.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its identifier.
    pub backend_server: &'a BackendServerId,
    /// The failure domain in which it runs.
    pub failure_domain: &'a FailureDomainId,
    /// The latest load report, which lags behind the actual load; none before the first report.
    pub load: Option<&'a Load>,
    /// When the latest load report arrived.
    pub load_received: UnixMs,
    /// Open attempts of this entry at the backend server.
    pub outstanding: u32,
    /// Attempts that this entry has sent since the latest report was sampled.
    pub sent_since_report: u32,
    /// Requests that it runs at once, by the document.
    pub slots: u32,
    /// Share of its normal traffic that it may receive, in thousandths. It is reduced while the
    /// backend server is suspected of a fault or ramps up after one.
    pub share_permille: u16,
}

/// One request that needs a backend server.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// Rank of the request's tier; 0 is served first.
    pub rank: u8,
    /// The request's deadline.
    pub deadline: UnixMs,
    /// The failure domain of the entry.
    pub entry_failure_domain: &'a FailureDomainId,
    /// Digest of the prompt's prefix, for cache affinity.
    pub prefix_digest: Option<u64>,
    /// The backend servers that could take the request; never empty.
    pub candidates: &'a [Candidate<'a>],
}

/// The decision of a routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingDecision {
    /// Send the request to the candidate at this index.
    Candidate(usize),
    /// Refuse the request at once, because no candidate can begin it before its deadline.
    Refuse {
        /// When a retry by the caller is expected to be accepted.
        retry_at: UnixMs,
    },
}

/// Chooses a backend server for each request.
pub trait RoutingPolicy: Send {
    /// Applies a newly adopted document. Does nothing by default, for policies that ignore tiers.
    fn adopt(&mut self, _document: &Document) {}

    /// Chooses a candidate for the request, or refuses it.
    fn choose(&mut self, now: Now, request: &RoutingRequest<'_>) -> RoutingDecision;

    /// Records how long an attempt took until its first response chunk.
    fn record_first_chunk(
        &mut self,
        now: Now,
        backend_server: &BackendServerId,
        first_chunk_ms: u64,
    );

    /// Records that a request of this rank received its first chunk, so that it has started. Does
    /// nothing by default, for policies that ignore tiers.
    fn record_start(&mut self, _now: Now, _rank: u8) {}

    /// Records that an accepted request of this rank expired in a queue. Does nothing by default.
    fn record_expiry(&mut self, _now: Now, _rank: u8) {}

    /// Records that an attempt failed before its first chunk. Does nothing by default, for policies
    /// that ignore failures.
    fn record_failure(&mut self, _now: Now, _backend_server: &BackendServerId) {}
}
