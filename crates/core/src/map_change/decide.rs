//! Whether a group gets another map.

use super::leader::{Leader, LeaderAction};
use super::status::RankStatus;
use crate::direct::{BootMs, GroupDimensions};
use crate::placement::{ExpertMap, LayerPlacement, LevelSettings, bottleneck_load, level_map};
use std::sync::Arc;

/// Least part of the bottleneck that a change must take away. Below it, copies cost more time than
/// they bring before demand shifts again. Score of a site with a group of 12 ranks, one run each:
/// 0.79 without it, 0.85 with it.
const LEAST_GAIN: f64 = 0.12;

/// Copies for one rank in one change: at 0.1 s each, the change is there in half a second. Three and
/// four made no difference in groups of 12 ranks.
const NEW_PER_RANK: u16 = 5;

/// Most loaded rank against the mean from which a layer is even enough; chosen by its order of
/// magnitude, other figures were not measured.
const EVEN_ENOUGH: f64 = 1.08;

/// Choices that an estimate needs, so that it is not of a single request. A group of 12 ranks makes
/// ten times as many in the first 0.2 s of traffic.
const LEAST_CHOICES: f64 = 20_000.0;

/// Pause between two looks at the demand.
const DECIDE_MS: u64 = 50;

/// Time from the first sign of a shift until a decision: samples that reach back to the time before
/// have then left the newest ones. They are counted between two polls, which lie about as far apart.
const SETTLE_MS: u64 = 100;

/// What a search for a better map has found.
enum Better {
    /// A map, with the bottleneck before and after the change to it in thousandths of an even load.
    Map(ExpertMap, (u64, u64)),
    /// No map is worth its change.
    None,
}

impl Leader {
    /// Looks at the demand, and begins a change that pays.
    pub(super) fn look(
        &mut self,
        now: BootMs,
        epoch: u64,
        dimensions: &GroupDimensions,
        actions: &mut Vec<LeaderAction>,
    ) {
        if self.statuses().any(|status| !status.is_open) || self.settle(epoch, now, actions) {
            return;
        }
        if now < self.decide_at {
            return;
        }
        self.decide_at = now.after(DECIDE_MS);
        // All ranks armed alike will switch by themselves. Disarming one of them while no pass is held could
        // make that pass begin with two maps.
        if self.statuses().any(|status| status.armed.is_some()) {
            return;
        }
        self.learn_map();
        let is_settled = self.is_settled(now);
        if !is_settled || self.demand.total_choices() < LEAST_CHOICES {
            return;
        }
        match self.better_map(dimensions) {
            Some(Better::Map(map, bottleneck_permille)) => {
                self.begin(now, epoch, map, Some(bottleneck_permille), actions);
            }
            Some(Better::None) => self.even_clock.note_even(now),
            None => {}
        }
    }

    /// A map that is worth its change; nothing where the present one is not known for certain.
    fn better_map(&self, dimensions: &GroupDimensions) -> Option<Better> {
        let (version, present) = self.map.as_ref()?;
        // A change with a rank whose agent is not heard would hold the group for long.
        let is_aligned =
            self.statuses().all(|status| status.map == *version && !status.is_read_remotely);
        if !is_aligned {
            return None;
        }
        let loads = self.demand.loads();
        let paces = self.paces(present.ranks());
        let before = bottleneck_load(present, loads, &paces);
        let even = self.demand.total_choices() / present.ranks().max(1) as f64;
        // No map is better than even; the search takes most of an agent's processor time.
        if before * (1.0 - LEAST_GAIN) <= even {
            return Some(Better::None);
        }
        let settings = LevelSettings {
            slots_per_rank: dimensions.expert_slots_per_rank,
            new_per_rank_and_layer: dimensions.spare_slots_per_rank,
            new_per_rank: NEW_PER_RANK,
            even_enough: EVEN_ENOUGH,
        };
        let map = level_map(present, loads, &paces, &settings);
        let after = bottleneck_load(&map, loads, &paces);
        // A map fits the chance in its estimate too, which brings nothing afterwards.
        let least_gain = LEAST_GAIN + self.demand.uncertainty();
        let permille = |load: f64| (load / even * 1000.0) as u64;
        let is_worth_it = after < before * (1.0 - least_gain);
        let better = || Better::Map(map, (permille(before), permille(after)));
        Some(if is_worth_it { better() } else { Better::None })
    }

    /// Whether demand has not shifted just now.
    fn is_settled(&mut self, now: BootMs) -> bool {
        if self.demand.drop_outdated(now) {
            self.shift_seen_at.get_or_insert(now);
        }
        let is_settled = self.shift_seen_at.is_none_or(|at| now.since(at) >= SETTLE_MS);
        if is_settled {
            self.shift_seen_at = None;
        }
        is_settled
    }

    /// How much longer each rank takes for its work than usual.
    fn paces(&self, ranks: usize) -> Vec<f64> {
        let mut paces = vec![1.0; ranks];
        for status in self.statuses() {
            if let Some(pace) = paces.get_mut(usize::from(status.rank)) {
                *pace = f64::from(status.pace_permille.max(1000)) / 1000.0;
            }
        }
        paces
    }

    /// Puts the map in use together from what the ranks say they hold.
    fn learn_map(&mut self) {
        let Some(version) = self.statuses().map(|status| status.map).next() else { return };
        if self.map.as_ref().is_some_and(|(known, _)| *known == version) {
            return;
        }
        self.map = None;
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
        self.map = Some((version, Arc::new(ExpertMap { layers: layers.collect() })));
    }
}
