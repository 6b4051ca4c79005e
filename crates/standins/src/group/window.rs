//! Load of each engine's ranks, summed up over windows of steps.

use super::host::RankHost;
use super::report::LoadWindow;
use super::step::Step;
use super::work::Work;
use indexmap::IndexMap;

/// The open windows of a group, by the first rank of each engine.
#[derive(Debug, Default)]
pub(super) struct Windows(IndexMap<u16, OpenWindow>);

/// Load of one engine's ranks in the window that is open.
#[derive(Clone, Debug)]
struct OpenWindow {
    from_step: u64,
    version: u64,
    steps: u64,
    tokens_of_expert: Vec<Vec<f64>>,
    rank_us: Vec<u64>,
}

impl Windows {
    /// Adds a step to the window of an engine; returns the window that it ends.
    pub(super) fn count(
        &mut self,
        host: &RankHost,
        made: &Step,
        works: &[Work],
        window_steps: u64,
    ) -> Option<LoadWindow> {
        let own: Vec<&Work> = works.iter().filter(|w| host.ranks().contains(&w.rank)).collect();
        let version = own.first()?.granted.version;
        let first_rank = host.first_rank();
        let ended = self
            .0
            .get(&first_rank)
            .is_some_and(|open| open.version != version || open.steps >= window_steps);
        let closed = if ended { self.0.swap_remove(&first_rank) } else { None };
        let open =
            self.0.entry(first_rank).or_insert_with(|| OpenWindow::new(made.step, version, &own));
        open.add(made, &own);
        closed.map(OpenWindow::close)
    }
}

impl OpenWindow {
    fn new(from_step: u64, version: u64, own: &[&Work]) -> Self {
        let layers = own.first().map(|work| work.tokens.as_slice()).unwrap_or_default();
        let tokens_of_expert = layers.iter().map(|layer| vec![0.0; layer.len()]).collect();
        Self { from_step, version, steps: 0, tokens_of_expert, rank_us: vec![0; own.len()] }
    }

    fn add(&mut self, made: &Step, own: &[&Work]) {
        self.steps += 1;
        for (work, rank_us) in own.iter().zip(&mut self.rank_us) {
            let record = made.ranks.iter().find(|record| record.rank == work.rank);
            *rank_us += record.map_or(0, |record| record.rank_us);
            let tokens = work.tokens.iter().flatten();
            for (sum, tokens) in self.tokens_of_expert.iter_mut().flatten().zip(tokens) {
                *sum += tokens;
            }
        }
    }

    fn close(self) -> LoadWindow {
        let steps = self.steps.max(1);
        let layers = self.tokens_of_expert.into_iter();
        LoadWindow {
            reports_from_step: self.from_step,
            reports_to_step: self.from_step + steps - 1,
            map_version: self.version,
            tokens_of_expert: layers
                .map(|layer| layer.into_iter().map(|tokens| tokens as u64).collect())
                .collect(),
            rank_us: self.rank_us.into_iter().map(|sum| sum / steps).collect(),
        }
    }
}
