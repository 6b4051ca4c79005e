//! Decides whether a group gets another map.

use super::leader::Leader;
use super::leader_action::LeaderAction;
use super::status::RankStatus;
use crate::direct::{BootMs, GroupDimensions};
use crate::placement::{
    ExpertMap, LayerPlacement, RebalanceLimits, bottleneck_load, rebalance_map,
};
use std::sync::Arc;

/// Least relative reduction of the bottleneck load for a change. Below it, the copies cost more
/// time than they save before demand shifts again. The score of a site with a group of 12 ranks, in
/// one run each, was 0.79 without this limit and 0.85 with it.
const MIN_GAIN: f64 = 0.12;

/// Most experts that one rank copies in one change. At 0.1 s each, the change takes effect within
/// half a second. Limits of three and four gave the same results in groups of 12 ranks.
const NEW_PER_RANK: u16 = 5;

/// Ratio of the load of the most loaded rank to the mean load below which a layer counts as
/// balanced.
const EVEN_ENOUGH: f64 = 1.08;

/// Fewest choices for an estimate, so that it does not rest on a single request. A group of 12
/// ranks makes ten times as many in the first 0.2 s of traffic.
const MIN_CHOICES: f64 = 20_000.0;

/// Interval between two evaluations of the demand.
const DECISION_INTERVAL_MS: u64 = 50;

/// Time from the first sign of a shift until a decision. By then, samples that include the time
/// before the shift are no longer among the newest ones. Samples count the choices between two
/// polls, which are about as far apart.
const SHIFT_SETTLE_MS: u64 = 100;

/// Result of the search for a better map.
enum SearchResult {
    /// A better map, with the bottleneck load before and after the change in thousandths of a
    /// balanced load.
    Map(ExpertMap, (u64, u64)),
    /// No map justifies a change.
    None,
}

impl Leader {
    /// Evaluates the demand and begins a change if it is worth its cost.
    pub(super) fn consider_change(
        &mut self,
        now: BootMs,
        epoch: u64,
        dimensions: &GroupDimensions,
        actions: &mut Vec<LeaderAction>,
    ) {
        if self.statuses().any(|status| !status.is_open)
            || self.resolve_abandoned(epoch, now, actions)
        {
            return;
        }
        if now < self.next_decision_at {
            return;
        }
        self.next_decision_at = now.after(DECISION_INTERVAL_MS);
        // Ranks that are all armed for the same switch will complete it without an order. Disarming
        // one of them while no pass is held could make that pass begin with two maps.
        if self.statuses().any(|status| status.armed.is_some()) {
            return;
        }
        self.assemble_map();
        let is_settled = self.is_settled(now);
        if !is_settled || self.demand.total_choices() < MIN_CHOICES {
            return;
        }
        match self.better_map(dimensions) {
            Some(SearchResult::Map(map, bottleneck_permille)) => {
                self.begin_change(now, epoch, map, Some(bottleneck_permille), actions);
            }
            Some(SearchResult::None) => self.imbalance_clock.note_balanced(now),
            None => {}
        }
    }

    /// Searches for a map that is worth a change. Returns nothing if it is uncertain which map is
    /// in use.
    fn better_map(&self, dimensions: &GroupDimensions) -> Option<SearchResult> {
        let (version, present) = self.current_map.as_ref()?;
        // A change that involves a rank with a silent agent would stall the group for long.
        let is_aligned =
            self.statuses().all(|status| status.map == *version && !status.is_read_remotely);
        if !is_aligned {
            return None;
        }
        let loads = self.demand.loads();
        let paces = self.paces(present.ranks());
        let before = bottleneck_load(present, loads, &paces);
        let even = self.demand.total_choices() / present.ranks().max(1) as f64;
        // No map is better than a balanced one, and the search takes most of the processor time of
        // an agent.
        if before * (1.0 - MIN_GAIN) <= even {
            return Some(SearchResult::None);
        }
        let settings = RebalanceLimits {
            slots_per_rank: dimensions.expert_slots_per_rank,
            max_new_per_rank_and_layer: dimensions.spare_slots_per_rank,
            max_new_per_rank: NEW_PER_RANK,
            target_imbalance: EVEN_ENOUGH,
        };
        let map = rebalance_map(present, loads, &paces, &settings);
        let after = bottleneck_load(&map, loads, &paces);
        // The search also fits the random error of the estimate, which brings no gain afterwards.
        let min_gain = MIN_GAIN + self.demand.uncertainty();
        let permille = |load: f64| (load / even * 1000.0) as u64;
        let is_worth_it = after < before * (1.0 - min_gain);
        let better = || SearchResult::Map(map, (permille(before), permille(after)));
        Some(if is_worth_it { better() } else { SearchResult::None })
    }

    /// Returns whether no recent shift of demand is still in progress.
    fn is_settled(&mut self, now: BootMs) -> bool {
        if self.demand.drop_outdated(now) {
            self.shift_seen_at.get_or_insert(now);
        }
        let is_settled = self.shift_seen_at.is_none_or(|at| now.since(at) >= SHIFT_SETTLE_MS);
        if is_settled {
            self.shift_seen_at = None;
        }
        is_settled
    }

    /// Returns the relative duration of the work of each rank, at least 1.0, the usual duration.
    fn paces(&self, ranks: usize) -> Vec<f64> {
        let mut paces = vec![1.0; ranks];
        for status in self.statuses() {
            if let Some(pace) = paces.get_mut(usize::from(status.rank)) {
                *pace = f64::from(status.pace_permille.max(1000)) / 1000.0;
            }
        }
        paces
    }

    /// Assembles the map in use from the experts that the ranks report.
    fn assemble_map(&mut self) {
        let Some(version) = self.statuses().map(|status| status.map).next() else { return };
        if self.current_map.as_ref().is_some_and(|(known, _)| *known == version) {
            return;
        }
        self.current_map = None;
        let mut ranks: Vec<&RankStatus> = self.statuses().collect();
        ranks.sort_by_key(|status| status.rank);
        let lists: Option<Vec<&Vec<Vec<u16>>>> = ranks
            .iter()
            .map(|status| status.experts.as_ref().filter(|_| status.map == version))
            .collect();
        let Some(lists) = lists else { return };
        let layers = lists.iter().map(|list| list.len()).min().unwrap_or(0);
        let layers = (0..layers).map(|layer| LayerPlacement {
            experts_of_rank: lists.iter().map(|list| list[layer].clone()).collect(),
        });
        self.current_map = Some((version, Arc::new(ExpertMap { layers: layers.collect() })));
    }
}
