//! The expected work of a request: what its caller states, how it is weighed when a backend server
//! is chosen, and what its finished stream shows of the estimate.

use super::active_request::ActiveRequest;
use crate::callers::CallerRequest;
use crate::clock::boot_now;
use crate::state::EntryState;
use hickorycross_core::direct::{
    EngineFigures, ExpectedWork, LoadMeasure, Selection, StatedTokens, load_measure,
};
use indexmap::IndexSet;

/// Returns what the caller of a request states, and the work to expect of it.
///
/// Fields that cannot be read are counted, and the request then counts as a usual one.
pub(super) fn expected_work(
    state: &EntryState,
    request: &CallerRequest,
    service: &str,
) -> (StatedTokens, ExpectedWork) {
    let stated = request.stated_tokens(&state.names).unwrap_or_else(|_| {
        metrics::counter!("hickorycross_unreadable_tokens_total").increment(1);
        StatedTokens::default()
    });
    let engine = engine(request, service);
    let estimator = state.work_estimator.borrow();
    (stated, ExpectedWork::new(&stated, &engine, &estimator, &request.route.name))
}

fn engine(request: &CallerRequest, service: &str) -> EngineFigures {
    let service = request.catalog.services.get(service);
    service.map(|service| service.engine.usable()).unwrap_or_default()
}

impl ActiveRequest {
    /// Returns what restricts and weighs the choice among the backend servers in `domains` that are
    /// not `excluded`; `None` allows all failure domains.
    pub(super) fn selection<'a>(
        &'a self,
        excluded: &'a [String],
        domains: Option<&'a IndexSet<String>>,
    ) -> Selection<'a> {
        Selection::new(&self.service, excluded)
            .in_domains(domains)
            .with_work(self.work, self.load_measure())
            .within_memory(engine(&self.request, &self.service).kv_capacity_tokens)
    }

    /// Returns whether the memory of any backend server of the service has room for the prompt.
    pub(super) fn has_memory(&self) -> bool {
        let capacity_tokens = engine(&self.request, &self.service).kv_capacity_tokens;
        let backends = self.state.backends.borrow();
        backends.has_memory_for(&self.service, &self.work, capacity_tokens, boot_now())
    }

    /// Returns how this entry measures the load of the backend servers of the service.
    pub(super) fn load_measure(&self) -> &'static dyn LoadMeasure {
        let (backends, now) = (self.state.backends.borrow(), boot_now());
        let servers = backends.ready_count(&self.service, now);
        load_measure(backends.slots(&self.service, now), servers, self.state.live_entry_count())
    }

    /// Records that the stream of the request finished after `events` events.
    pub(super) fn note_output(&self, events: u64) {
        let usual = engine(&self.request, &self.service).usual_output_tokens;
        let Some((estimate, usual)) = self.stated.output_estimate.zip(usual) else { return };
        let mut estimator = self.state.work_estimator.borrow_mut();
        estimator.note_finished(&self.request.route.name, estimate, usual, events);
    }
}
