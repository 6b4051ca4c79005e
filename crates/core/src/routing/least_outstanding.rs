//! Baseline: the candidate with the fewest open attempts of this entry.

use super::policy::{RoutingDecision, RoutingPolicy, RoutingRequest};
use crate::time::Now;
use hickorycross_config::BackendServerId;

/// Picks the candidate on which this entry has the fewest open attempts.
///
/// Ties go to the candidate after the one that was picked last, so that an idle entry does not
/// send everything to the first candidate.
#[derive(Clone, Debug, Default)]
pub struct LeastOutstanding {
    last: usize,
}

impl RoutingPolicy for LeastOutstanding {
    fn choose(&mut self, _now: Now, choice: &RoutingRequest<'_>) -> RoutingDecision {
        let count = choice.candidates.len();
        let first = self.last.wrapping_add(1);
        let index = (0..count)
            .map(|step| (first.wrapping_add(step)) % count)
            .min_by_key(|&index| choice.candidates[index].outstanding)
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
