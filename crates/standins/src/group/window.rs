//! Load of each engine's ranks, summed up over windows of steps.

use super::host::RankHost;
use super::step::Step;
use super::work::Work;
use hickorycross_core::group::MapRef;
use hickorycross_core::placement::RankLoad;
use indexmap::IndexMap;

/// The open windows of a group, by the first rank of each engine.
#[derive(Debug, Default)]
pub(super) struct Windows(IndexMap<u16, OpenWindow>);

/// Load of one engine's ranks in the window that is open.
#[derive(Clone, Debug)]
struct OpenWindow {
    from_step: u64,
    first_rank: u16,
    rank_count: u16,
    map: MapRef,
    steps: u64,
    tokens_of_expert: Vec<Vec<f64>>,
}

impl Windows {
    /// Adds a step to the window of an engine; returns the window that it ends.
    pub(super) fn count(
        &mut self,
        host: &RankHost,
        made: &Step,
        works: &[Work],
        window_steps: u64,
    ) -> Option<RankLoad> {
        let own: Vec<&Work> = works.iter().filter(|w| host.ranks().contains(&w.rank)).collect();
        let map = own.first()?.granted.map.reference;
        let first_rank = host.first_rank();
        let ended = self
            .0
            .get(&first_rank)
            .is_some_and(|open| open.map != map || open.steps >= window_steps);
        let closed = if ended { self.0.swap_remove(&first_rank) } else { None };
        let open =
            self.0.entry(first_rank).or_insert_with(|| OpenWindow::new(made.step, map, &own));
        open.add(&own);
        closed.map(OpenWindow::close)
    }
}

impl OpenWindow {
    fn new(from_step: u64, map: MapRef, own: &[&Work]) -> Self {
        let first_rank = own.first().map_or(0, |work| work.rank);
        let layers = own.first().map(|work| work.tokens.as_slice()).unwrap_or_default();
        let tokens_of_expert = layers.iter().map(|layer| vec![0.0; layer.len()]).collect();
        let rank_count = own.len() as u16;
        Self { from_step, first_rank, rank_count, map, steps: 0, tokens_of_expert }
    }

    fn add(&mut self, own: &[&Work]) {
        self.steps += 1;
        for work in own {
            let tokens = work.tokens.iter().flatten();
            for (sum, tokens) in self.tokens_of_expert.iter_mut().flatten().zip(tokens) {
                *sum += tokens;
            }
        }
    }

    fn close(self) -> RankLoad {
        let layers = self.tokens_of_expert.into_iter();
        RankLoad {
            first_rank: self.first_rank,
            rank_count: self.rank_count,
            first_step: self.from_step,
            last_step: self.from_step + self.steps.max(1) - 1,
            layer_loads_tokens: layers
                .map(|layer| layer.into_iter().map(|tokens| tokens as u32).collect())
                .collect(),
        }
    }
}
