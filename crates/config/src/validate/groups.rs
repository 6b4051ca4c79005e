//! The rule for the size of a model group.

use super::Rule;
use crate::document::{Document, ModelGroup};
use crate::fault::Fault;
use crate::limits::MAX_RANKS_PER_GROUP;

/// Requires that a group has at most [`MAX_RANKS_PER_GROUP`] ranks, and enough expert slots for
/// every expert of a layer.
pub(crate) struct Groups;

impl Rule for Groups {
    fn check(&self, document: &Document, faults: &mut Vec<Fault>) {
        for (index, group) in document.model_groups.iter().enumerate() {
            check_ranks(index, group, faults);
            check_slots(index, group, faults);
        }
    }
}

fn check_ranks(index: usize, group: &ModelGroup, faults: &mut Vec<Fault>) {
    let ranks = group.ranks();
    if ranks > u64::from(MAX_RANKS_PER_GROUP) {
        let path = format!("model_groups[{index}].ranks_per_server");
        let found = format!("{} for {ranks} ranks", group.ranks_per_server);
        let allowed = format!("at most {MAX_RANKS_PER_GROUP} ranks over all backend servers");
        faults.push(Fault::new(&path, found, allowed));
    }
}

fn check_slots(index: usize, group: &ModelGroup, faults: &mut Vec<Fault>) {
    let ranks = group.ranks();
    let slots = ranks * u64::from(group.expert_slots_per_rank);
    let experts = u64::from(group.experts_per_layer);
    if ranks > 0 && slots < experts {
        let path = format!("model_groups[{index}].expert_slots_per_rank");
        let found = format!("{} for {slots} slots", group.expert_slots_per_rank);
        let least = experts.div_ceil(ranks);
        let allowed = format!("at least {least}: {experts} experts on {ranks} ranks");
        faults.push(Fault::new(&path, found, allowed));
    }
}
