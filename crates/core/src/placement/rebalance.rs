//! Evens out the ranks of a group by a bounded number of copies.
//!
//! Every pass lasts as long as its most loaded rank, layer by layer. Each step takes load from the
//! most loaded rank of the worst layer: by a further replica elsewhere, by a move, by an exchange,
//! or by dropping a replica that others can replace.

use crate::placement::expert_map::{ExpertMap, LayerPlacement};

/// Bounds of one change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RebalanceLimits {
    /// Experts of one layer that a rank can hold.
    pub slots_per_rank: u16,
    /// Experts of one layer that may be new to a rank.
    pub max_new_per_rank_and_layer: u16,
    /// Experts of all layers together that may be new to a rank; bounds the time for copies.
    pub max_new_per_rank: u16,
    /// Most loaded rank against the mean from which a layer is even enough.
    pub target_imbalance: f64,
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
pub fn rebalance_map(
    present: &ExpertMap,
    loads: &[Vec<f64>],
    paces: &[f64],
    settings: &RebalanceLimits,
) -> ExpertMap {
    let ranks = present.layers.first().map_or(0, |layer| layer.experts_of_rank.len());
    let mut new_by_rank = vec![0; ranks];
    let mut layers: Vec<LayerLevel<'_>> = present
        .layers
        .iter()
        .zip(loads)
        .map(|(placed, loads)| LayerLevel::new(placed, loads, paces, settings))
        .collect();
    let mut scratch = Vec::new();
    // A layer that cannot become more even counts as even.
    let mut imbalances: Vec<f64> = layers.iter().map(LayerLevel::imbalance).collect();
    for _ in 0..MOST_STEPS * layers.len() {
        let worst = imbalances.iter().enumerate().max_by(|left, right| left.1.total_cmp(right.1));
        let Some((worst, imbalance)) = worst else { break };
        if *imbalance <= settings.target_imbalance {
            break;
        }
        imbalances[worst] = match layers[worst].best_step(&new_by_rank, &mut scratch) {
            Some(step) => {
                layers[worst].apply(&step, &mut new_by_rank);
                layers[worst].imbalance()
            }
            None => 0.0,
        };
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

/// Most places that one step adds, or gives up.
const MOST_PLACES: usize = 2;

/// A few places, without a place on the heap: a change of a group of 129 ranks tries some 50,000 steps.
#[derive(Clone, Copy, Debug, Default)]
struct Places {
    places: [Place; MOST_PLACES],
    length: usize,
}

impl Places {
    fn of<const N: usize>(places: [Place; N]) -> Self {
        let mut all = [Place::default(); MOST_PLACES];
        all[..N].copy_from_slice(&places);
        Self { places: all, length: N }
    }

    fn as_slice(&self) -> &[Place] {
        &self.places[..self.length]
    }
}

/// Places added and given up by one step.
#[derive(Clone, Copy, Debug, Default)]
struct Step {
    added: Places,
    removed: Places,
    decrease: f64,
}

/// What a step changes in the loads of ranks; kept between steps, so that it need not be allocated.
type Changes = Vec<(usize, f64)>;

/// A layer's placement under change.
#[derive(Clone, Debug)]
struct LayerLevel<'a> {
    present: &'a LayerPlacement,
    loads: &'a [f64],
    paces: &'a [f64],
    settings: &'a RebalanceLimits,
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
        settings: &'a RebalanceLimits,
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

    fn best_step(&self, new_in_all: &[u16], scratch: &mut Changes) -> Option<Step> {
        let by_load = |left: &usize, right: &usize| {
            self.rank_loads[*left].total_cmp(&self.rank_loads[*right])
        };
        let mut ranks: Vec<usize> = (0..self.rank_loads.len()).collect();
        let hot = *ranks.iter().max_by(|left, right| by_load(left, right))?;
        if ranks.len() > TAKERS {
            ranks.select_nth_unstable_by(TAKERS, by_load);
            ranks.truncate(TAKERS);
        }
        ranks.retain(|taker| *taker != hot);
        let mut best: Option<Step> = None;
        for expert in &self.experts_of_rank[hot] {
            self.steps(hot, *expert, &ranks, &mut |added, removed| {
                let decrease = self.decrease(&added, &removed, scratch);
                let is_better = best.as_ref().is_none_or(|best| decrease > best.decrease);
                if is_better && self.fits(&added, new_in_all) {
                    best = Some(Step { added, removed, decrease });
                }
            });
        }
        best.filter(|step| step.decrease > LEAST_DECREASE * self.mean * self.mean)
    }

    /// Tries the ways to take load of one expert from the most loaded rank; `attempt` gets the places
    /// that each adds and gives up.
    fn steps(
        &self,
        hot: usize,
        expert: u16,
        takers: &[usize],
        attempt: &mut dyn FnMut(Places, Places),
    ) {
        let given = (hot, expert);
        if self.ranks_of_expert[usize::from(expert)].len() > 1 {
            attempt(Places::of([]), Places::of([given]));
        }
        for taker in takers {
            if self.experts_of_rank[*taker].contains(&expert) {
                continue;
            }
            let taken = (*taker, expert);
            if self.experts_of_rank[*taker].len() < usize::from(self.settings.slots_per_rank) {
                attempt(Places::of([taken]), Places::of([]));
                attempt(Places::of([taken]), Places::of([given]));
                continue;
            }
            for displaced in &self.experts_of_rank[*taker] {
                let victim = (*taker, *displaced);
                if self.ranks_of_expert[usize::from(*displaced)].len() > 1 {
                    attempt(Places::of([taken]), Places::of([victim]));
                    attempt(Places::of([taken]), Places::of([victim, given]));
                } else if !self.experts_of_rank[hot].contains(displaced) {
                    attempt(Places::of([taken, (hot, *displaced)]), Places::of([victim, given]));
                }
            }
        }
    }

    /// The decrease of the sum of squares of the ranks' loads.
    fn decrease(&self, added: &Places, removed: &Places, changes: &mut Changes) -> f64 {
        let (added, removed) = (added.as_slice(), removed.as_slice());
        changes.clear();
        let mut places = added.iter().chain(removed);
        let Some((_, first)) = places.next() else { return 0.0 };
        self.push_changes(changes, *first, added, removed);
        // A step is about two experts at most.
        if let Some((_, second)) = places.find(|place| place.1 != *first) {
            self.push_changes(changes, *second, added, removed);
        }
        changes.sort_unstable_by_key(|change| change.0);
        let mut decrease = 0.0;
        for of_rank in changes.chunk_by(|left, right| left.0 == right.0) {
            let rank = of_rank[0].0;
            let delta: f64 = of_rank.iter().map(|change| change.1).sum();
            let load = self.rank_loads[rank];
            let changed = load + delta * self.paces[rank];
            decrease += load * load - changed * changed;
        }
        decrease
    }

    fn push_changes(&self, changes: &mut Changes, expert: u16, added: &[Place], removed: &[Place]) {
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

    fn fits(&self, added: &Places, new_in_all: &[u16]) -> bool {
        added.as_slice().iter().filter(|place| self.is_copy(place)).all(|place| {
            self.new_by_rank[place.0] < self.settings.max_new_per_rank_and_layer
                && new_in_all[place.0] < self.settings.max_new_per_rank
        })
    }

    fn apply(&mut self, step: &Step, new_in_all: &mut [u16]) {
        for (rank, expert) in step.removed.as_slice() {
            self.experts_of_rank[*rank].retain(|held| held != expert);
            self.ranks_of_expert[usize::from(*expert)].retain(|holder| holder != rank);
            self.count_copy(&(*rank, *expert), new_in_all, false);
        }
        for (rank, expert) in step.added.as_slice() {
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
