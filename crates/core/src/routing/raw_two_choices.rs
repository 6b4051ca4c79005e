//! Baseline policy: two random candidates, compared by their latest load reports alone.

use super::policy::{RoutingDecision, RoutingPolicy, RoutingRequest};
use super::sample::sample_two;
use crate::time::Now;
use hickorycross_config::BackendServerId;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Chooses, of two random candidates, the one whose latest load report counts fewer requests,
/// however old the report is.
#[derive(Clone, Debug)]
pub struct RawTwoChoices {
    rng: ChaCha8Rng,
}

impl RawTwoChoices {
    /// Creates the policy; the seed determines the random candidates.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed) }
    }
}

impl RoutingPolicy for RawTwoChoices {
    fn choose(&mut self, _now: Now, request: &RoutingRequest<'_>) -> RoutingDecision {
        let all: Vec<usize> = (0..request.candidates.len()).collect();
        let Some((one, other)) = sample_two(&mut self.rng, &all) else {
            return RoutingDecision::Candidate(0);
        };
        let better = if reported(request, other) < reported(request, one) { other } else { one };
        RoutingDecision::Candidate(better)
    }

    fn record_first_chunk(
        &mut self,
        _now: Now,
        _backend_server: &BackendServerId,
        _first_chunk_ms: u64,
    ) {
    }
}

/// Returns the running and waiting requests in the latest report; zero without a report.
fn reported(request: &RoutingRequest<'_>, index: usize) -> u32 {
    let Some(load) = request.candidates[index].load else {
        return 0;
    };
    load.running + load.waiting.iter().map(|tier| tier.requests).sum::<u32>()
}
