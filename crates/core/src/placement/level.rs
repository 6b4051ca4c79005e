//! Evens out the ranks of a group by a bounded number of copies.
//!
//! Every pass lasts as long as its most loaded rank, layer by layer. Each step takes load from the
//! most loaded rank of the worst layer: by a further replica elsewhere, by a move, by an exchange,
//! or by dropping a replica that others can replace.

use crate::placement::layer::{ExpertMap, LayerPlacement};

/// Bounds of one change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelSettings {
    /// Experts of one layer that a rank can hold.
    pub slots_per_rank: u16,
    /// Experts of one layer that may be new to a rank.
    pub new_per_rank_and_layer: u16,
    /// Experts of all layers together that may be new to a rank; bounds the time for copies.
    pub new_per_rank: u16,
    /// Most loaded rank against the mean from which a layer is even enough.
    pub even_enough: f64,
}

/// Coolest ranks that are tried as takers of load.
const TAKERS: usize = 5;

/// Most steps in one layer; a layer is even long before.
const MOST_STEPS: usize = 64;

/// Least decrease of a step, as a share of the square of the mean load.
const LEAST_DECREASE: f64 = 0.02;

/// Finds a map that is more even for `loads` (by layer and expert, in any unit) on ranks whose work
/// takes `paces` times as long as usual.
#[must_use]
pub fn level_map(
    present: &ExpertMap,
    loads: &[Vec<f64>],
    paces: &[f64],
    settings: &LevelSettings,
) -> ExpertMap {
    let ranks = present.layers.first().map_or(0, |layer| layer.experts_of_rank.len());
    let mut new_by_rank = vec![0; ranks];
    let mut layers: Vec<LayerLevel<'_>> = present
        .layers
        .iter()
        .zip(loads)
        .map(|(placed, loads)| LayerLevel::new(placed, loads, paces, settings))
        .collect();
    let mut is_open = vec![true; layers.len()];
    for _ in 0..MOST_STEPS * layers.len() {
        let open = (0..layers.len()).filter(|index| is_open[*index]);
        let worst = open
            .max_by(|left, right| layers[*left].imbalance().total_cmp(&layers[*right].imbalance()));
        let Some(worst) = worst else { break };
        if layers[worst].imbalance() <= settings.even_enough {
            break;
        }
        match layers[worst].best_step(&new_by_rank) {
            Some(step) => layers[worst].apply(&step, &mut new_by_rank),
            None => is_open[worst] = false,
        }
    }
    ExpertMap { layers: layers.into_iter().map(LayerLevel::into_placement).collect() }
}

/// Sum over layers of the most loaded rank's load: what a pass lasts for, up to a constant.
#[must_use]
pub fn bottleneck_load(map: &ExpertMap, loads: &[Vec<f64>], paces: &[f64]) -> f64 {
    let layers = map.layers.iter().zip(loads);
    layers
        .map(|(placed, loads)| paced_loads(placed, loads, paces).into_iter().fold(0.0, f64::max))
        .sum()
}

/// Loads of ranks, each as long as it takes that rank.
fn paced_loads(placed: &LayerPlacement, loads: &[f64], paces: &[f64]) -> Vec<f64> {
    placed.rank_loads(loads).into_iter().zip(paces).map(|(load, pace)| load * pace).collect()
}

/// One expert on one rank.
type Place = (usize, u16);

/// Places added and given up by one step.
#[derive(Clone, Debug, Default)]
struct Step {
    added: Vec<Place>,
    removed: Vec<Place>,
    decrease: f64,
}

/// A layer's placement under change.
#[derive(Clone, Debug)]
struct LayerLevel<'a> {
    present: &'a LayerPlacement,
    loads: &'a [f64],
    paces: &'a [f64],
    settings: &'a LevelSettings,
    experts_of_rank: Vec<Vec<u16>>,
    ranks_of_expert: Vec<Vec<usize>>,
    rank_loads: Vec<f64>,
    new_by_rank: Vec<u16>,
    mean: f64,
}

impl<'a> LayerLevel<'a> {
    fn new(
        present: &'a LayerPlacement,
        loads: &'a [f64],
        paces: &'a [f64],
        settings: &'a LevelSettings,
    ) -> Self {
        let experts_of_rank = present.experts_of_rank.clone();
        let mut ranks_of_expert = vec![Vec::new(); loads.len()];
        for (rank, experts) in experts_of_rank.iter().enumerate() {
            for expert in experts {
                ranks_of_expert[usize::from(*expert)].push(rank);
            }
        }
        let rank_loads = paced_loads(present, loads, paces);
        let mean = rank_loads.iter().sum::<f64>() / rank_loads.len().max(1) as f64;
        let new_by_rank = vec![0; rank_loads.len()];
        Self {
            present,
            loads,
            paces,
            settings,
            experts_of_rank,
            ranks_of_expert,
            rank_loads,
            new_by_rank,
            mean,
        }
    }

    fn into_placement(self) -> LayerPlacement {
        LayerPlacement { experts_of_rank: self.experts_of_rank }
    }

    /// Most loaded rank against the mean.
    fn imbalance(&self) -> f64 {
        if self.mean <= 0.0 {
            return 0.0;
        }
        self.rank_loads.iter().copied().fold(0.0, f64::max) / self.mean
    }

    fn best_step(&self, new_in_all: &[u16]) -> Option<Step> {
        let mut order: Vec<usize> = (0..self.rank_loads.len()).collect();
        order.sort_by(|left, right| self.rank_loads[*left].total_cmp(&self.rank_loads[*right]));
        let hot = *order.last()?;
        let mut best: Option<Step> = None;
        for expert in &self.experts_of_rank[hot] {
            for step in self.steps(hot, *expert, &order) {
                let is_better = best.as_ref().is_none_or(|best| step.decrease > best.decrease);
                if is_better && self.fits(&step, new_in_all) {
                    best = Some(step);
                }
            }
        }
        best.filter(|step| step.decrease > LEAST_DECREASE * self.mean * self.mean)
    }

    /// Ways to take load of one expert from the most loaded rank.
    fn steps(&self, hot: usize, expert: u16, order: &[usize]) -> Vec<Step> {
        let mut steps = Vec::new();
        let given = (hot, expert);
        if self.ranks_of_expert[usize::from(expert)].len() > 1 {
            steps.push(self.judged(vec![], vec![given]));
        }
        let cool = order.iter().copied().take(TAKERS).filter(|taker| *taker != hot);
        for taker in cool.filter(|taker| !self.experts_of_rank[*taker].contains(&expert)) {
            let taken = (taker, expert);
            if self.experts_of_rank[taker].len() < usize::from(self.settings.slots_per_rank) {
                steps.push(self.judged(vec![taken], vec![]));
                steps.push(self.judged(vec![taken], vec![given]));
                continue;
            }
            for displaced in &self.experts_of_rank[taker] {
                let victim = (taker, *displaced);
                if self.ranks_of_expert[usize::from(*displaced)].len() > 1 {
                    steps.push(self.judged(vec![taken], vec![victim]));
                    steps.push(self.judged(vec![taken], vec![victim, given]));
                } else if !self.experts_of_rank[hot].contains(displaced) {
                    steps.push(self.judged(vec![taken, (hot, *displaced)], vec![victim, given]));
                }
            }
        }
        steps
    }

    /// Adds the decrease of the sum of squares of the ranks' loads.
    fn judged(&self, added: Vec<Place>, removed: Vec<Place>) -> Step {
        let mut changes: Vec<(usize, f64)> = Vec::new();
        let mut experts: Vec<u16> = added.iter().chain(&removed).map(|place| place.1).collect();
        experts.sort_unstable();
        experts.dedup();
        for expert in experts {
            self.push_changes(&mut changes, expert, &added, &removed);
        }
        changes.sort_by_key(|change| change.0);
        let mut decrease = 0.0;
        let mut index = 0;
        while index < changes.len() {
            let rank = changes[index].0;
            let same = changes[index..].iter().take_while(|change| change.0 == rank);
            let (count, delta) = same.fold((0, 0.0), |(count, sum), it| (count + 1, sum + it.1));
            let load = self.rank_loads[rank];
            let changed = load + delta * self.paces[rank];
            decrease += load * load - changed * changed;
            index += count;
        }
        Step { added, removed, decrease }
    }

    fn push_changes(
        &self,
        changes: &mut Vec<(usize, f64)>,
        expert: u16,
        added: &[Place],
        removed: &[Place],
    ) {
        let holders = &self.ranks_of_expert[usize::from(expert)];
        let is_removed = |rank: &usize| removed.contains(&(*rank, expert));
        let new = added.iter().filter(|place| place.1 == expert);
        let load = self.loads[usize::from(expert)];
        let before = load / holders.len() as f64;
        let gone = holders.iter().filter(|rank| is_removed(rank)).count();
        let after = load / (holders.len() + new.clone().count() - gone) as f64;
        for rank in holders {
            let kept = if is_removed(rank) { 0.0 } else { after };
            changes.push((*rank, kept - before));
        }
        changes.extend(new.map(|place| (place.0, after)));
    }

    fn is_copy(&self, place: &Place) -> bool {
        !self.present.experts_of_rank[place.0].contains(&place.1)
    }

    fn fits(&self, step: &Step, new_in_all: &[u16]) -> bool {
        step.added.iter().filter(|place| self.is_copy(place)).all(|place| {
            self.new_by_rank[place.0] < self.settings.new_per_rank_and_layer
                && new_in_all[place.0] < self.settings.new_per_rank
        })
    }

    fn apply(&mut self, step: &Step, new_in_all: &mut [u16]) {
        for (rank, expert) in &step.removed {
            self.experts_of_rank[*rank].retain(|held| held != expert);
            self.ranks_of_expert[usize::from(*expert)].retain(|holder| holder != rank);
            self.count_copy(&(*rank, *expert), new_in_all, false);
        }
        for (rank, expert) in &step.added {
            self.experts_of_rank[*rank].push(*expert);
            self.ranks_of_expert[usize::from(*expert)].push(*rank);
            self.count_copy(&(*rank, *expert), new_in_all, true);
        }
        let placed = LayerPlacement { experts_of_rank: std::mem::take(&mut self.experts_of_rank) };
        self.rank_loads = paced_loads(&placed, self.loads, self.paces);
        self.experts_of_rank = placed.experts_of_rank;
    }

    fn count_copy(&mut self, place: &Place, new_in_all: &mut [u16], is_added: bool) {
        if !self.is_copy(place) {
            return;
        }
        for count in [&mut self.new_by_rank[place.0], &mut new_in_all[place.0]] {
            *count = if is_added { *count + 1 } else { count.saturating_sub(1) };
        }
    }
}
