//! Baseline: two random candidates by the raw lagging report.

use super::policy::{RoutingDecision, RoutingPolicy, RoutingRequest};
use super::sample::two_of;
use crate::time::Now;
use hickorycross_config::BackendServerId;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Takes, of two random candidates, the one whose latest report counts fewer requests, however
/// old the report is.
#[derive(Clone, Debug)]
pub struct RawTwoChoices {
    rng: ChaCha8Rng,
}

impl RawTwoChoices {
    /// Makes the policy.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed) }
    }
}

impl RoutingPolicy for RawTwoChoices {
    fn choose(&mut self, _now: Now, choice: &RoutingRequest<'_>) -> RoutingDecision {
        let all: Vec<usize> = (0..choice.candidates.len()).collect();
        let Some((one, other)) = two_of(&mut self.rng, &all) else {
            return RoutingDecision::Candidate(0);
        };
        let better = if reported(choice, other) < reported(choice, one) { other } else { one };
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

fn reported(choice: &RoutingRequest<'_>, index: usize) -> u32 {
    let Some(load) = choice.candidates[index].load else {
        return 0;
    };
    load.running + load.waiting.iter().map(|tier| tier.requests).sum::<u32>()
}
