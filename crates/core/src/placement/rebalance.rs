//! Balances the load of a group's ranks with a bounded number of weight loads.
//!
//! In every layer, a forward pass waits for the most loaded rank. Each edit takes load from the
//! most loaded rank of the least balanced layer: by adding a replica on another rank, by moving an
//! expert, by exchanging two experts, or by dropping a replica of an expert that other ranks also
//! hold.

use crate::placement::expert_map::{ExpertMap, LayerPlacement};

/// The limits of one call of [`rebalance_map`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RebalanceLimits {
    /// Number of experts of one layer that a rank can hold.
    pub slots_per_rank: u16,
    /// Maximum number of experts of one layer that are new to a rank.
    pub max_new_per_rank_and_layer: u16,
    /// Maximum number of experts of all layers together that are new to a rank. It bounds the time
    /// in which their weights are loaded.
    pub max_new_per_rank: u16,
    /// Ratio of the most loaded rank's load to the mean at or below which a layer is left as it is.
    pub target_imbalance: f64,
}

/// Number of least loaded ranks that are tried as receivers of load.
const MAX_RECEIVERS: usize = 5;

/// Maximum number of edits per layer on average; layers are balanced long before.
const MAX_EDITS_PER_LAYER: usize = 64;

/// Minimum decrease of the sum of squared rank loads by one edit, as a share of the squared mean
/// load. Edits with a smaller effect are not made.
const MIN_DECREASE: f64 = 0.02;

/// Returns a map that balances the ranks better than `present`, within `limits`.
///
/// `loads` are indexed by layer and expert, in any unit. `slowdowns` holds for each rank the factor
/// by which its work takes longer than usual. The result equals `present` when no layer exceeds the
/// target imbalance or no edit helps.
#[must_use]
pub fn rebalance_map(
    present: &ExpertMap,
    loads: &[Vec<f64>],
    slowdowns: &[f64],
    limits: &RebalanceLimits,
) -> ExpertMap {
    let ranks = present.layers.first().map_or(0, |layer| layer.experts_of_rank.len());
    let mut new_by_rank = vec![0; ranks];
    let mut layers: Vec<LayerBalancer<'_>> = present
        .layers
        .iter()
        .zip(loads)
        .map(|(placed, loads)| LayerBalancer::new(placed, loads, slowdowns, limits))
        .collect();
    let mut scratch = Vec::new();
    // A layer without a useful edit counts as balanced, so that it is not picked again.
    let mut imbalances: Vec<f64> = layers.iter().map(LayerBalancer::imbalance).collect();
    for _ in 0..MAX_EDITS_PER_LAYER * layers.len() {
        let worst = imbalances.iter().enumerate().max_by(|left, right| left.1.total_cmp(right.1));
        let Some((worst, imbalance)) = worst else { break };
        if *imbalance <= limits.target_imbalance {
            break;
        }
        imbalances[worst] = match layers[worst].best_edit(&new_by_rank, &mut scratch) {
            Some(edit) => {
                layers[worst].apply(&edit, &mut new_by_rank);
                layers[worst].imbalance()
            }
            None => 0.0,
        };
    }
    ExpertMap { layers: layers.into_iter().map(LayerBalancer::into_placement).collect() }
}

/// Returns the sum over layers of the most loaded rank's load, scaled by its slowdown. The duration
/// of a forward pass is proportional to it.
#[must_use]
pub fn bottleneck_load(map: &ExpertMap, loads: &[Vec<f64>], slowdowns: &[f64]) -> f64 {
    let layers = map.layers.iter().zip(loads);
    layers
        .map(|(placed, loads)| {
            scaled_rank_loads(placed, loads, slowdowns).into_iter().fold(0.0, f64::max)
        })
        .sum()
}

/// Returns the loads of ranks, each multiplied by the rank's slowdown.
fn scaled_rank_loads(placed: &LayerPlacement, loads: &[f64], slowdowns: &[f64]) -> Vec<f64> {
    placed
        .rank_loads(loads)
        .into_iter()
        .zip(slowdowns)
        .map(|(load, slowdown)| load * slowdown)
        .collect()
}

/// One expert on one rank, as rank and expert.
type Replica = (usize, u16);

/// Maximum number of replicas that one edit adds, and that it removes.
const MAX_REPLICAS_PER_LIST: usize = 2;

/// A list of up to [`MAX_REPLICAS_PER_LIST`] replicas that needs no heap allocation, since a change
/// in a group of 129 ranks tries some 50,000 edits.
#[derive(Clone, Copy, Debug, Default)]
struct Replicas {
    replicas: [Replica; MAX_REPLICAS_PER_LIST],
    length: usize,
}

impl Replicas {
    fn of<const N: usize>(replicas: [Replica; N]) -> Self {
        let mut all = [Replica::default(); MAX_REPLICAS_PER_LIST];
        all[..N].copy_from_slice(&replicas);
        Self { replicas: all, length: N }
    }

    fn as_slice(&self) -> &[Replica] {
        &self.replicas[..self.length]
    }
}

/// A change of a layer's placement, with the decrease of the sum of squared rank loads.
#[derive(Clone, Copy, Debug, Default)]
struct Edit {
    added: Replicas,
    removed: Replicas,
    decrease: f64,
}

/// Changes of rank loads caused by an edit, as rank and difference. The buffer is reused between
/// edits to avoid allocations.
type LoadChanges = Vec<(usize, f64)>;

/// A layer's placement while it is being rebalanced.
#[derive(Clone, Debug)]
struct LayerBalancer<'a> {
    present: &'a LayerPlacement,
    loads: &'a [f64],
    slowdowns: &'a [f64],
    limits: &'a RebalanceLimits,
    experts_of_rank: Vec<Vec<u16>>,
    ranks_of_expert: Vec<Vec<usize>>,
    rank_loads: Vec<f64>,
    new_by_rank: Vec<u16>,
    mean: f64,
}

impl<'a> LayerBalancer<'a> {
    fn new(
        present: &'a LayerPlacement,
        loads: &'a [f64],
        slowdowns: &'a [f64],
        limits: &'a RebalanceLimits,
    ) -> Self {
        let experts_of_rank = present.experts_of_rank.clone();
        let mut ranks_of_expert = vec![Vec::new(); loads.len()];
        for (rank, experts) in experts_of_rank.iter().enumerate() {
            for expert in experts {
                ranks_of_expert[usize::from(*expert)].push(rank);
            }
        }
        let rank_loads = scaled_rank_loads(present, loads, slowdowns);
        let mean = rank_loads.iter().sum::<f64>() / rank_loads.len().max(1) as f64;
        let new_by_rank = vec![0; rank_loads.len()];
        Self {
            present,
            loads,
            slowdowns,
            limits,
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

    /// Returns the ratio of the most loaded rank's load to the mean, or 0 without load.
    fn imbalance(&self) -> f64 {
        if self.mean <= 0.0 {
            return 0.0;
        }
        self.rank_loads.iter().copied().fold(0.0, f64::max) / self.mean
    }

    /// Returns the edit within the limits that decreases the sum of squared rank loads most, or
    /// `None` when no edit reaches [`MIN_DECREASE`].
    fn best_edit(&self, new_in_all_layers: &[u16], scratch: &mut LoadChanges) -> Option<Edit> {
        let by_load = |left: &usize, right: &usize| {
            self.rank_loads[*left].total_cmp(&self.rank_loads[*right])
        };
        let mut ranks: Vec<usize> = (0..self.rank_loads.len()).collect();
        let busiest = *ranks.iter().max_by(|left, right| by_load(left, right))?;
        if ranks.len() > MAX_RECEIVERS {
            ranks.select_nth_unstable_by(MAX_RECEIVERS, by_load);
            ranks.truncate(MAX_RECEIVERS);
        }
        ranks.retain(|receiver| *receiver != busiest);
        let mut best: Option<Edit> = None;
        for expert in &self.experts_of_rank[busiest] {
            self.try_edits(busiest, *expert, &ranks, &mut |added, removed| {
                let decrease = self.decrease(&added, &removed, scratch);
                let is_better = best.as_ref().is_none_or(|best| decrease > best.decrease);
                if is_better && self.fits(&added, new_in_all_layers) {
                    best = Some(Edit { added, removed, decrease });
                }
            });
        }
        best.filter(|edit| edit.decrease > MIN_DECREASE * self.mean * self.mean)
    }

    /// Enumerates the edits that take load of one expert from the most loaded rank and calls
    /// `attempt` with the replicas that each edit adds and removes.
    fn try_edits(
        &self,
        busiest: usize,
        expert: u16,
        receivers: &[usize],
        attempt: &mut dyn FnMut(Replicas, Replicas),
    ) {
        let on_busiest = (busiest, expert);
        if self.ranks_of_expert[usize::from(expert)].len() > 1 {
            attempt(Replicas::of([]), Replicas::of([on_busiest]));
        }
        for receiver in receivers {
            if self.experts_of_rank[*receiver].contains(&expert) {
                continue;
            }
            let on_receiver = (*receiver, expert);
            if self.experts_of_rank[*receiver].len() < usize::from(self.limits.slots_per_rank) {
                attempt(Replicas::of([on_receiver]), Replicas::of([]));
                attempt(Replicas::of([on_receiver]), Replicas::of([on_busiest]));
                continue;
            }
            for displaced in &self.experts_of_rank[*receiver] {
                let displaced_replica = (*receiver, *displaced);
                if self.ranks_of_expert[usize::from(*displaced)].len() > 1 {
                    attempt(Replicas::of([on_receiver]), Replicas::of([displaced_replica]));
                    attempt(
                        Replicas::of([on_receiver]),
                        Replicas::of([displaced_replica, on_busiest]),
                    );
                } else if !self.experts_of_rank[busiest].contains(displaced) {
                    attempt(
                        Replicas::of([on_receiver, (busiest, *displaced)]),
                        Replicas::of([displaced_replica, on_busiest]),
                    );
                }
            }
        }
    }

    /// Returns by how much an edit decreases the sum of squared rank loads.
    fn decrease(&self, added: &Replicas, removed: &Replicas, changes: &mut LoadChanges) -> f64 {
        let (added, removed) = (added.as_slice(), removed.as_slice());
        changes.clear();
        let mut replicas = added.iter().chain(removed);
        let Some((_, first)) = replicas.next() else { return 0.0 };
        self.push_changes(changes, *first, added, removed);
        // An edit concerns at most two experts.
        if let Some((_, second)) = replicas.find(|replica| replica.1 != *first) {
            self.push_changes(changes, *second, added, removed);
        }
        changes.sort_unstable_by_key(|change| change.0);
        let mut decrease = 0.0;
        for of_rank in changes.chunk_by(|left, right| left.0 == right.0) {
            let rank = of_rank[0].0;
            let delta: f64 = of_rank.iter().map(|change| change.1).sum();
            let load = self.rank_loads[rank];
            let changed = load + delta * self.slowdowns[rank];
            decrease += load * load - changed * changed;
        }
        decrease
    }

    /// Appends the changes of rank loads that an edit causes through one expert.
    fn push_changes(
        &self,
        changes: &mut LoadChanges,
        expert: u16,
        added: &[Replica],
        removed: &[Replica],
    ) {
        let holders = &self.ranks_of_expert[usize::from(expert)];
        let is_removed = |rank: &usize| removed.contains(&(*rank, expert));
        let new = added.iter().filter(|replica| replica.1 == expert);
        let load = self.loads[usize::from(expert)];
        let before = load / holders.len() as f64;
        let gone = holders.iter().filter(|rank| is_removed(rank)).count();
        let after = load / (holders.len() + new.clone().count() - gone) as f64;
        for rank in holders {
            let kept = if is_removed(rank) { 0.0 } else { after };
            changes.push((*rank, kept - before));
        }
        changes.extend(new.map(|replica| (replica.0, after)));
    }

    /// Returns whether the replica's weights must be loaded, as the present map lacks it.
    fn needs_load(&self, replica: &Replica) -> bool {
        !self.present.experts_of_rank[replica.0].contains(&replica.1)
    }

    /// Returns whether the added replicas keep within the limits on new experts.
    fn fits(&self, added: &Replicas, new_in_all_layers: &[u16]) -> bool {
        added.as_slice().iter().filter(|replica| self.needs_load(replica)).all(|replica| {
            self.new_by_rank[replica.0] < self.limits.max_new_per_rank_and_layer
                && new_in_all_layers[replica.0] < self.limits.max_new_per_rank
        })
    }

    fn apply(&mut self, edit: &Edit, new_in_all_layers: &mut [u16]) {
        for (rank, expert) in edit.removed.as_slice() {
            self.experts_of_rank[*rank].retain(|held| held != expert);
            self.ranks_of_expert[usize::from(*expert)].retain(|holder| holder != rank);
            self.count_new(&(*rank, *expert), new_in_all_layers, false);
        }
        for (rank, expert) in edit.added.as_slice() {
            self.experts_of_rank[*rank].push(*expert);
            self.ranks_of_expert[usize::from(*expert)].push(*rank);
            self.count_new(&(*rank, *expert), new_in_all_layers, true);
        }
        let placed = LayerPlacement { experts_of_rank: std::mem::take(&mut self.experts_of_rank) };
        self.rank_loads = scaled_rank_loads(&placed, self.loads, self.slowdowns);
        self.experts_of_rank = placed.experts_of_rank;
    }

    /// Updates the counts of new experts for an added or removed replica.
    fn count_new(&mut self, replica: &Replica, new_in_all_layers: &mut [u16], is_added: bool) {
        if !self.needs_load(replica) {
            return;
        }
        for count in [&mut self.new_by_rank[replica.0], &mut new_in_all_layers[replica.0]] {
            *count = if is_added { *count + 1 } else { count.saturating_sub(1) };
        }
    }
}
