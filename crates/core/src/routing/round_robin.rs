//! Baseline: each candidate in turn.

use super::border::{Choice, ChooseBackend, Pick};
use crate::time::Now;
use hickorycross_config::BackendServerId;

/// Gives each candidate its turn and looks at nothing else.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl ChooseBackend for RoundRobin {
    fn choose(&mut self, _now: Now, choice: &Choice<'_>) -> Pick {
        let index = self.turn % choice.candidates.len();
        self.turn = self.turn.wrapping_add(1);
        Pick::Candidate(index)
    }

    fn observe(&mut self, _now: Now, _backend_server: &BackendServerId, _first_chunk_ms: u64) {}
}
