//! Baseline: each candidate in turn.

use super::policy::{RoutingDecision, RoutingPolicy, RoutingRequest};
use crate::time::Now;
use hickorycross_config::BackendServerId;

/// Gives each candidate its turn and looks at nothing else.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl RoutingPolicy for RoundRobin {
    fn choose(&mut self, _now: Now, choice: &RoutingRequest<'_>) -> RoutingDecision {
        let index = self.turn % choice.candidates.len();
        self.turn = self.turn.wrapping_add(1);
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
