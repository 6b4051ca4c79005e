//! Baseline policy: the candidate with the fewest open attempts of this entry.

use super::policy::{RoutingDecision, RoutingPolicy, RoutingRequest};
use crate::time::Now;
use hickorycross_config::BackendServerId;

/// Chooses the candidate at which this entry has the fewest open attempts.
///
/// The search starts after the candidate chosen last, so that ties do not all go to the first
/// candidate while the entry is idle.
#[derive(Clone, Debug, Default)]
pub struct LeastOutstanding {
    last: usize,
}

impl RoutingPolicy for LeastOutstanding {
    fn choose(&mut self, _now: Now, request: &RoutingRequest<'_>) -> RoutingDecision {
        let count = request.candidates.len();
        let first = self.last.wrapping_add(1);
        let index = (0..count)
            .map(|step| (first.wrapping_add(step)) % count)
            .min_by_key(|&index| request.candidates[index].outstanding)
            .unwrap_or(0);
        self.last = index;
        RoutingDecision::Candidate(index)
    }

    fn record_first_chunk(
        &mut self,
        _now: Now,
        _backend_server: &BackendServerId,
        _first_chunk_ms: u64,
    ) {
    }
}
