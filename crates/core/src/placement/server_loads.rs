//! Counts what each server would load in a change.

use crate::placement::search::Trial;
use crate::placement::weighted_policy::ServerLoadCap;
use indexmap::IndexMap;

/// Loads of one change by server.
#[derive(Debug)]
pub(crate) struct ServerLoads {
    cap: Option<ServerLoadCap>,
    loads: IndexMap<u16, u32>,
}

impl ServerLoads {
    pub(crate) fn new(cap: Option<ServerLoadCap>) -> Self {
        Self { cap, loads: IndexMap::new() }
    }

    /// Counts an edit's loads, unless one of its servers would exceed the cap.
    ///
    /// An expert that is put back where the present map holds it counts as well, so that the count
    /// is never too low.
    pub(crate) fn take(&mut self, trial: &Trial) -> bool {
        let Some(cap) = self.cap else { return true };
        let mut loads = self.loads.clone();
        for slot in trial.edit.added.iter().flatten() {
            *loads.entry(slot.rank / cap.ranks_per_server.max(1)).or_insert(0) += 1;
        }
        let fits = loads.values().all(|&count| count <= cap.max_loads);
        if fits {
            self.loads = loads;
        }
        fits
    }
}
