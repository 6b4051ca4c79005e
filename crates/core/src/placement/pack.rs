//! Builds placements from scratch by greedy packing.
//!
//! Spare slots are given, one at a time, to the expert with the highest load per replica. Replicas
//! are then placed in order of decreasing load, each on the least loaded rank with a free slot.

use crate::placement::expert_map::{ExpertMap, LayerPlacement};
use crate::placement::search::LayerSearch;
use crate::placement::shape::GroupShape;

/// Returns a placement of one layer for the given loads of its experts, in any unit.
#[must_use]
pub fn pack_layer(shape: &GroupShape, loads: &[f64]) -> LayerPlacement {
    let replicas = replicate(shape, loads);
    let mut order: Vec<usize> = (0..loads.len()).collect();
    let share = |expert: usize| loads[expert] / f64::from(replicas[expert]);
    order.sort_by(|left, right| share(*right).total_cmp(&share(*left)).then(left.cmp(right)));
    let mut ranks = vec![RankContents::default(); usize::from(shape.ranks)];
    // Places the first replica of every expert before any second one: spare replicas could
    // otherwise fill the last free slots and leave an expert without a rank, so that no rank could
    // serve it.
    for round in 0..shape.ranks {
        for expert in order.iter().filter(|expert| replicas[**expert] > round) {
            place(&mut ranks, shape.expert_slots_per_rank, *expert as u16, share(*expert));
        }
    }
    LayerPlacement { experts_of_rank: ranks.into_iter().map(|rank| rank.experts).collect() }
}

/// Returns a map in which every layer is packed for its loads; see [`pack_layer`].
#[must_use]
pub fn pack_map(shape: &GroupShape, layer_loads: &[&[f64]]) -> ExpertMap {
    let layers = layer_loads.iter().map(|loads| pack_layer(shape, loads)).collect();
    ExpertMap { layers }
}

/// Reduces the skew of a placement by up to `max_edits` small edits, regardless of their cost.
///
/// `loads` holds the tokens per step of each expert, which are treated as exact.
#[must_use]
pub fn refine_layer(
    shape: &GroupShape,
    placed: &LayerPlacement,
    loads: &[f64],
    max_edits: u32,
) -> LayerPlacement {
    let slots = usize::from(shape.expert_slots_per_rank);
    let errors = vec![0.0; placed.experts_of_rank.len()];
    let mut search = LayerSearch::new(placed, loads, slots, errors);
    for _ in 0..max_edits {
        let Some(trial) = search.best_trial(|trial| trial.gain) else { break };
        search.apply(&trial.edit);
    }
    search.placement()
}

/// The experts that a rank holds while a layer is packed, with their total load.
#[derive(Clone, Debug, Default)]
struct RankContents {
    load: f64,
    experts: Vec<u16>,
}

/// Returns the number of replicas of each expert when all slots of the layer are used.
fn replicate(shape: &GroupShape, loads: &[f64]) -> Vec<u16> {
    let mut replicas = vec![1u16; loads.len()];
    let spare = shape.slots_per_layer() as usize - loads.len();
    let share = |replicas: &[u16], expert: usize| loads[expert] / f64::from(replicas[expert]);
    for _ in 0..spare {
        let candidates = (0..loads.len()).filter(|expert| replicas[*expert] < shape.ranks);
        let hottest = candidates.max_by(|left, right| {
            share(&replicas, *left).total_cmp(&share(&replicas, *right)).then(right.cmp(left))
        });
        match hottest {
            Some(expert) => replicas[expert] += 1,
            None => break,
        }
    }
    replicas
}

/// Places a replica on the least loaded rank that has a free slot and does not hold the expert.
fn place(ranks: &mut [RankContents], slots: u16, expert: u16, share: f64) {
    let candidates = ranks
        .iter_mut()
        .filter(|rank| rank.experts.len() < usize::from(slots) && !rank.experts.contains(&expert));
    if let Some(rank) = candidates.min_by(|left, right| left.load.total_cmp(&right.load)) {
        rank.load += share;
        rank.experts.push(expert);
    }
}
