//! Building a placement from nothing but loads.
//!
//! Spare slots go, one at a time, to the expert with the highest load per replica; then replicas
//! are placed by falling load on the rank with the least load so far.

use crate::placement::expert_map::{ExpertMap, LayerPlacement};
use crate::placement::search::LayerSearch;
use crate::placement::shape::GroupShape;

/// Packs one layer for loads of its experts, in any unit.
#[must_use]
pub fn pack_layer(shape: &GroupShape, loads: &[f64]) -> LayerPlacement {
    let replicas = replicate(shape, loads);
    let mut order: Vec<usize> = (0..loads.len()).collect();
    let share = |expert: usize| loads[expert] / f64::from(replicas[expert]);
    order.sort_by(|left, right| share(*right).total_cmp(&share(*left)).then(left.cmp(right)));
    let mut ranks = vec![RankFill::default(); usize::from(shape.ranks)];
    // Every expert finds its first place before any finds a second: spare replicas could otherwise
    // fill the last free slots and leave an expert without a rank, which no rank could then serve.
    for round in 0..shape.ranks {
        for expert in order.iter().filter(|expert| replicas[**expert] > round) {
            place(&mut ranks, shape.expert_slots_per_rank, *expert as u16, share(*expert));
        }
    }
    LayerPlacement { experts_of_rank: ranks.into_iter().map(|rank| rank.experts).collect() }
}

/// Packs every layer.
#[must_use]
pub fn pack_map(shape: &GroupShape, layer_loads: &[&[f64]]) -> ExpertMap {
    let layers = layer_loads.iter().map(|loads| pack_layer(shape, loads)).collect();
    ExpertMap { layers }
}

/// Evens out a placement by up to `max_edits` small edits, without regard to cost.
///
/// `loads` are tokens a step for each expert and are taken as exact.
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
        let Some(trial) = search.best(|trial| trial.gain) else { break };
        search.apply(&trial.edit);
    }
    search.placement()
}

/// What a rank holds while a layer is packed.
#[derive(Clone, Debug, Default)]
struct RankFill {
    load: f64,
    experts: Vec<u16>,
}

fn replicate(shape: &GroupShape, loads: &[f64]) -> Vec<u16> {
    let mut replicas = vec![1u16; loads.len()];
    let spare = shape.slots_per_layer() as usize - loads.len();
    let share = |replicas: &[u16], expert: usize| loads[expert] / f64::from(replicas[expert]);
    for _ in 0..spare {
        let open = (0..loads.len()).filter(|expert| replicas[*expert] < shape.ranks);
        let hottest = open.max_by(|left, right| {
            share(&replicas, *left).total_cmp(&share(&replicas, *right)).then(right.cmp(left))
        });
        match hottest {
            Some(expert) => replicas[expert] += 1,
            None => break,
        }
    }
    replicas
}

fn place(ranks: &mut [RankFill], slots: u16, expert: u16, share: f64) {
    let open = ranks
        .iter_mut()
        .filter(|rank| rank.experts.len() < usize::from(slots) && !rank.experts.contains(&expert));
    if let Some(rank) = open.min_by(|left, right| left.load.total_cmp(&right.load)) {
        rank.load += share;
        rank.experts.push(expert);
    }
}
