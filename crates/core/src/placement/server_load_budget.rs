//! Limits the weight loads of each backend server in one change.

use crate::placement::search::Trial;
use crate::placement::weighted_policy::ServerLoadCap;
use indexmap::IndexMap;

/// The weight loads of one change, counted by backend server.
#[derive(Debug)]
pub(crate) struct ServerLoadBudget {
    cap: Option<ServerLoadCap>,
    loads: IndexMap<u16, u32>,
}

impl ServerLoadBudget {
    pub(crate) fn new(cap: Option<ServerLoadCap>) -> Self {
        Self { cap, loads: IndexMap::new() }
    }

    /// Adds an edit's loads to the counts and returns true, or returns false and changes nothing if
    /// a server would exceed the cap.
    ///
    /// An expert that an edit returns to a rank which holds it in the present map counts as well,
    /// although it needs no load, so the count is never too low.
    pub(crate) fn try_reserve(&mut self, trial: &Trial) -> bool {
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
