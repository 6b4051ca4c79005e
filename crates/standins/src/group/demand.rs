//! Demand for experts, and the work that it makes for a rank.

use super::map::StagedMap;

/// Tokens of one step for each expert, by layer.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Demand {
    tokens_of_expert: Vec<Vec<f64>>,
}

impl Demand {
    /// The same demand for every expert.
    pub(super) fn even(layers: u16, experts: u16, tokens: f64) -> Self {
        let layer = vec![tokens / f64::from(experts.max(1)); usize::from(experts)];
        Self { tokens_of_expert: vec![layer; usize::from(layers)] }
    }

    pub(super) const fn new(tokens_of_expert: Vec<Vec<f64>>) -> Self {
        Self { tokens_of_expert }
    }

    /// Tokens of one step in all layers, for each rank of an even group.
    pub(super) fn mean_of_rank(&self, ranks: u16) -> f64 {
        let total: f64 = self.tokens_of_expert.iter().flatten().sum();
        total / f64::from(ranks.max(1))
    }

    /// Tokens that one rank processes for each expert it holds, by layer. Replicas share evenly.
    pub(super) fn of_rank(&self, map: &StagedMap, rank: u16) -> Vec<Vec<f64>> {
        let layers = self.tokens_of_expert.iter().zip(&map.map.layers).zip(&map.replicas);
        layers
            .map(|((tokens, placement), replicas)| {
                let mut own = vec![0.0; tokens.len()];
                let held = placement.experts_of_rank.get(usize::from(rank));
                for expert in held.into_iter().flatten().map(|expert| usize::from(*expert)) {
                    if let (Some(own), Some(tokens)) = (own.get_mut(expert), tokens.get(expert)) {
                        *own += tokens / f64::from(replicas[expert].max(1));
                    }
                }
                own
            })
            .collect()
    }
}
