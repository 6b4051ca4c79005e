//! Baseline policy: each candidate in turn.

use super::policy::{RoutingDecision, RoutingPolicy, RoutingRequest};
use crate::time::Now;
use hickorycross_config::BackendServerId;

/// Chooses the candidates in turn, whatever their load.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl RoutingPolicy for RoundRobin {
    fn choose(&mut self, _now: Now, request: &RoutingRequest<'_>) -> RoutingDecision {
        let index = self.turn % request.candidates.len();
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
