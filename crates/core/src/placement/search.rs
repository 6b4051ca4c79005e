//! Searches small edits of one layer's placement by the skew that each would give.
//!
//! An edit shifts load from one of the slowest ranks to one of the fastest: by adding a replica, by
//! moving an expert, by exchanging two experts, or by dropping a replica of an expert that other
//! ranks also hold.

use crate::placement::expert_map::LayerPlacement;
use crate::placement::skew::{SmoothSpread, softness_tokens};

/// Number of slowest ranks that are tried as sources of load.
const MAX_DONORS: usize = 3;
/// Number of fastest ranks that are tried as receivers of load.
const MAX_ACCEPTORS: usize = 4;
/// Difference of two ranks' loads, in standard errors, above which it counts as significant.
///
/// A layer of 32 ranks has about a thousand pairs and a group about sixty layers. The extremes of
/// so many differences reach 4.5 standard errors on noise alone, so a common threshold of 2 or 3
/// would move experts needlessly in most decisions, even while demand is steady.
const SIGNIFICANCE_THRESHOLD: f64 = 6.0;

/// One expert on one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Slot {
    pub(crate) expert: u16,
    pub(crate) rank: u16,
}

/// A change of up to four slots of one layer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Edit {
    /// Slots that are filled; their weights are loaded unless the rank holds them in the present
    /// map.
    pub(crate) added: [Option<Slot>; 2],
    /// Slots that are vacated.
    pub(crate) removed: [Option<Slot>; 2],
}

impl Edit {
    fn slots(&self) -> impl Iterator<Item = &Slot> {
        self.added.iter().chain(&self.removed).flatten()
    }

    /// Returns whether an earlier slot of the edit concerns the same expert.
    fn repeats_expert(&self, slot: &Slot) -> bool {
        let earlier = self.slots().take_while(|other| *other != slot);
        earlier.into_iter().any(|other| other.expert == slot.expert)
    }
}

/// An edit with its predicted effect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trial {
    pub(crate) edit: Edit,
    /// Reduction of the layer's skew.
    pub(crate) gain: f64,
    /// Number of experts to load, which are those that the rank lacks in the present map.
    pub(crate) weight_loads: u32,
}

/// A layer's placement while it is being edited.
#[derive(Clone, Debug)]
pub(crate) struct LayerSearch<'a> {
    present: &'a LayerPlacement,
    loads: &'a [f64],
    slots: usize,
    edited: LayerPlacement,
    ranks_of_expert: Vec<Vec<u16>>,
    rank_loads: Vec<f64>,
    mean_tokens: f64,
    spread: SmoothSpread,
    error_squares: Vec<f64>,
    deltas: Vec<f64>,
}

impl<'a> LayerSearch<'a> {
    /// Creates a search that starts from the present placement. `error_squares` holds the squared
    /// standard error of each rank's load; zeros mean that the loads are exact.
    pub(crate) fn new(
        present: &'a LayerPlacement,
        loads: &'a [f64],
        slots: usize,
        error_squares: Vec<f64>,
    ) -> Self {
        let ranks = present.experts_of_rank.len();
        let rank_loads = present.rank_loads(loads);
        let mean_tokens = rank_loads.iter().sum::<f64>() / ranks.max(1) as f64;
        Self {
            present,
            loads,
            slots,
            edited: present.clone(),
            ranks_of_expert: ranks_of_expert(present, loads.len()),
            spread: SmoothSpread::new(&rank_loads, softness_tokens(mean_tokens)),
            rank_loads,
            mean_tokens,
            error_squares,
            deltas: vec![0.0; ranks],
        }
    }

    /// Returns the predicted skew of the edited placement.
    pub(crate) fn skew(&self) -> f64 {
        if self.mean_tokens > 0.0 { self.spread.value() / self.mean_tokens } else { 0.0 }
    }

    /// Returns the skew that sampling noise causes even when all ranks have the mean load.
    fn balanced_skew(&self) -> f64 {
        let ranks = self.rank_loads.len() as f64;
        2.0 * softness_tokens(self.mean_tokens) * ranks.ln() / self.mean_tokens
    }

    pub(crate) fn placement(self) -> LayerPlacement {
        self.edited
    }

    /// Returns the edit with the highest positive `net_gain`, which must increase with the gain.
    pub(crate) fn best_trial(&mut self, net_gain: impl Fn(&Trial) -> f64) -> Option<Trial> {
        if self.mean_tokens <= 0.0 {
            return None;
        }
        let skew = self.skew();
        let balanced =
            Trial { edit: Edit::default(), gain: skew - self.balanced_skew(), weight_loads: 0 };
        // Most layers are sufficiently balanced most of the time. Trying their edits would cost the
        // agent several times its processor share without effect.
        if net_gain(&balanced) <= 0.0 {
            return None;
        }
        let mut best_trial = None;
        let mut best_net_gain = 0.0;
        for edit in self.candidates() {
            let after = self.skew_after(&edit);
            let trial =
                Trial { edit, gain: skew - after, weight_loads: self.weight_loads_of(&edit) };
            let trial_net_gain = net_gain(&trial);
            if trial.gain > 0.0 && trial_net_gain > best_net_gain {
                best_trial = Some(trial);
                best_net_gain = trial_net_gain;
            }
        }
        best_trial
    }

    /// Applies an edit found by [`LayerSearch::best_trial`].
    pub(crate) fn apply(&mut self, edit: &Edit) {
        for slot in edit.removed.iter().flatten() {
            self.edited.experts_of_rank[usize::from(slot.rank)].retain(|held| *held != slot.expert);
            self.ranks_of_expert[usize::from(slot.expert)].retain(|rank| *rank != slot.rank);
        }
        for slot in edit.added.iter().flatten() {
            self.edited.experts_of_rank[usize::from(slot.rank)].push(slot.expert);
            self.ranks_of_expert[usize::from(slot.expert)].push(slot.rank);
        }
        self.rank_loads = self.edited.rank_loads(self.loads);
        self.spread = SmoothSpread::new(&self.rank_loads, softness_tokens(self.mean_tokens));
    }

    fn weight_loads_of(&self, edit: &Edit) -> u32 {
        let is_new = |slot: &&Slot| !self.present.holds(slot.rank, slot.expert);
        edit.added.iter().flatten().filter(is_new).count() as u32
    }

    fn candidates(&self) -> Vec<Edit> {
        let mut order: Vec<u16> = (0..).take(self.rank_loads.len()).collect();
        let load = |rank: &u16| self.rank_loads[usize::from(*rank)];
        order.sort_by(|left, right| load(right).total_cmp(&load(left)).then(left.cmp(right)));
        let mut edits = Vec::new();
        for donor in order.iter().take(MAX_DONORS) {
            self.add_drops(&mut edits, *donor);
            for acceptor in order.iter().rev().take(MAX_ACCEPTORS) {
                if self.is_significant(*donor, *acceptor) {
                    self.add_transfers(&mut edits, *donor, *acceptor);
                }
            }
        }
        edits
    }

    fn is_significant(&self, donor: u16, acceptor: u16) -> bool {
        let (donor, acceptor) = (usize::from(donor), usize::from(acceptor));
        let difference = self.rank_loads[donor] - self.rank_loads[acceptor];
        let error = (self.error_squares[donor] + self.error_squares[acceptor]).sqrt();
        difference > SIGNIFICANCE_THRESHOLD * error
    }

    fn add_drops(&self, edits: &mut Vec<Edit>, donor: u16) {
        for expert in &self.edited.experts_of_rank[usize::from(donor)] {
            let others = &self.ranks_of_expert[usize::from(*expert)];
            let significant = |rank: &u16| *rank == donor || self.is_significant(donor, *rank);
            if others.len() > 1 && others.iter().all(significant) {
                let removed = [Some(Slot { expert: *expert, rank: donor }), None];
                edits.push(Edit { added: [None; 2], removed });
            }
        }
    }

    fn add_transfers(&self, edits: &mut Vec<Edit>, donor: u16, acceptor: u16) {
        let accepted = &self.edited.experts_of_rank[usize::from(acceptor)];
        let has_room = accepted.len() < self.slots;
        for expert in &self.edited.experts_of_rank[usize::from(donor)] {
            if accepted.contains(expert) {
                continue;
            }
            let given = Slot { expert: *expert, rank: donor };
            let taken = Some(Slot { expert: *expert, rank: acceptor });
            if has_room {
                edits.push(Edit { added: [taken, None], removed: [None; 2] });
                edits.push(Edit { added: [taken, None], removed: [Some(given), None] });
            }
            for displaced in accepted {
                self.add_exchange(edits, given, Slot { expert: *displaced, rank: acceptor });
            }
        }
    }

    /// Adds the edits in which `given.expert` takes the slot of `displaced`.
    fn add_exchange(&self, edits: &mut Vec<Edit>, given: Slot, displaced: Slot) {
        let taken = Some(Slot { expert: given.expert, rank: displaced.rank });
        if self.ranks_of_expert[usize::from(displaced.expert)].len() > 1 {
            edits.push(Edit { added: [taken, None], removed: [Some(displaced), None] });
            edits.push(Edit { added: [taken, None], removed: [Some(given), Some(displaced)] });
        }
        if !self.edited.holds(given.rank, displaced.expert)
            && self.narrows_difference(given, displaced)
        {
            let returned = Some(Slot { expert: displaced.expert, rank: given.rank });
            let removed = [Some(given), Some(displaced)];
            edits.push(Edit { added: [taken, returned], removed });
        }
    }

    /// Returns whether an exchange leaves the loads of both ranks between their present loads.
    fn narrows_difference(&self, given: Slot, returned: Slot) -> bool {
        let load = |slot: Slot| self.rank_loads[usize::from(slot.rank)];
        let moved = self.share(given.expert) - self.share(returned.expert);
        moved > 0.0 && moved < load(given) - load(returned)
    }

    fn share(&self, expert: u16) -> f64 {
        let expert = usize::from(expert);
        self.loads[expert] / self.ranks_of_expert[expert].len() as f64
    }

    fn skew_after(&mut self, edit: &Edit) -> f64 {
        self.deltas.fill(0.0);
        for slot in edit.slots() {
            if !edit.repeats_expert(slot) {
                self.add_deltas(edit, slot.expert);
            }
        }
        self.spread.value_with_deltas(&self.deltas) / self.mean_tokens
    }

    fn add_deltas(&mut self, edit: &Edit, expert: u16) {
        let holders = &self.ranks_of_expert[usize::from(expert)];
        let of_expert = |slot: &&Slot| slot.expert == expert;
        let added = edit.added.iter().flatten().filter(of_expert);
        let removed = edit.removed.iter().flatten().filter(of_expert);
        let load = self.loads[usize::from(expert)];
        let before = load / holders.len() as f64;
        let replicas = holders.len() + added.clone().count() - removed.clone().count();
        let after = load / replicas as f64;
        for rank in holders {
            self.deltas[usize::from(*rank)] += after - before;
        }
        for slot in added {
            self.deltas[usize::from(slot.rank)] += after;
        }
        for slot in removed {
            self.deltas[usize::from(slot.rank)] -= after;
        }
    }
}

fn ranks_of_expert(placed: &LayerPlacement, experts: usize) -> Vec<Vec<u16>> {
    let mut ranks = vec![Vec::new(); experts];
    for (rank, held) in (0..).zip(&placed.experts_of_rank) {
        for expert in held {
            ranks[usize::from(*expert)].push(rank);
        }
    }
    ranks
}
