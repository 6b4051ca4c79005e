//! The expected work of this entry's open requests at each backend server.

use super::backend_row::Row;
use super::{BackendServer, BackendTable, BootMs, ExpectedWork, OpenRequests};

/// Expected work of the open requests at one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OutstandingWork {
    /// What is left of it, in units of a usual request.
    units: f64,
    /// Tokens of the prompts of these requests.
    prompt_tokens: f64,
}

impl Row {
    /// Returns the open requests of this entry.
    pub(super) const fn open_requests(&self) -> OpenRequests {
        OpenRequests { count: self.outstanding, work_units: self.outstanding_work.units }
    }

    /// Returns whether the memory of the backend server has room for the prompt of a request.
    ///
    /// A request whose prompt has an unknown length always fits, so that nothing changes for
    /// services whose callers state no lengths.
    pub(super) fn has_memory_for(&self, work: &ExpectedWork, capacity_tokens: f64) -> bool {
        !work.is_prompt_stated()
            || self.outstanding_work.prompt_tokens + work.prompt_tokens() <= capacity_tokens
    }

    fn add_work(&mut self, units: f64, prompt_tokens: f64) {
        let work = &mut self.outstanding_work;
        work.units = (work.units + units).max(0.0);
        work.prompt_tokens = (work.prompt_tokens + prompt_tokens).max(0.0);
        // Rounding errors of sums must not remain at an idle server.
        if self.outstanding == 0 {
            *work = OutstandingWork::default();
        }
    }
}

impl BackendTable {
    /// Records that a request with `work` was sent to a backend server.
    pub fn note_work_sent(&mut self, server: &BackendServer, work: &ExpectedWork) {
        if let Some(row) = self.current_row_mut(server) {
            row.outstanding += 1;
            row.add_work(work.units(), work.prompt_tokens());
        }
    }

    /// Records that a request at a backend server has got from `events_before` to `events` events.
    pub fn note_work_done(
        &mut self,
        server: &BackendServer,
        work: &ExpectedWork,
        events_before: u64,
        events: u64,
    ) {
        let done_units = work.units_left(events_before) - work.units_left(events);
        if let Some(row) = self.current_row_mut(server).filter(|row| row.outstanding > 0) {
            row.add_work(-done_units, 0.0);
        }
    }

    /// Records that a request with `work` ended at a backend server after `events` events.
    pub fn note_work_ended(&mut self, server: &BackendServer, work: &ExpectedWork, events: u64) {
        if let Some(row) = self.current_row_mut(server) {
            row.outstanding = row.outstanding.saturating_sub(1);
            row.add_work(-work.units_left(events), -work.prompt_tokens());
        }
    }

    /// Returns whether the memory of any backend server of a service that takes requests from this
    /// entry has room for the prompt of a request.
    #[must_use]
    pub fn has_memory_for(
        &self,
        service: &str,
        work: &ExpectedWork,
        kv_capacity_tokens: Option<f64>,
        now: BootMs,
    ) -> bool {
        let Some(capacity) = kv_capacity_tokens else { return true };
        let mut taking = self.taking_requests(service, now).peekable();
        taking.peek().is_none() || taking.any(|row| row.has_memory_for(work, capacity))
    }

    /// Returns the expected work that is left of this entry's open requests at a backend server, in
    /// units of a usual request.
    #[must_use]
    pub fn outstanding_work(&self, server: &BackendServer) -> f64 {
        self.row(server).map_or(0.0, |row| row.open_requests().work_units)
    }
}
