//! What a request's life says of itself, in logs and metrics.

use super::life::Life;
use crate::clock::boot_now;
use crate::decision_log::{DecisionLog, Fields};
use hickorycross_core::direct::{AttemptEnd, Choice};
use http::StatusCode;

impl Life {
    fn line(&self, event: &str) -> Fields {
        let line = DecisionLog::fields(event).with("request", self.request.id());
        line.with("route", &self.request.route.name).with("service", &self.service)
    }

    pub(super) fn note_send(&self, choice: &Choice, resume_after: Option<u64>) {
        metrics::counter!("hickorycross_attempts_total").increment(1);
        let belief = self.state.catalog.borrow();
        let line = self.line("attempt").with("backend", &choice.server.id);
        let line = line.with("load", format_args!("{:.1}", choice.load_requests));
        let line = line.with("others", choice.others).with("sends", self.sends + 1);
        let line = line.with("digest", self.digest);
        let now = boot_now();
        let line = line.with("waited_ms", now.since(self.heard_at));
        let line = line.with("left_ms", self.request.limit_at.since(now));
        let line = line.with("configuration", self.request.catalog.version);
        let line = line.with_some("configuration_age_ms", belief.age_ms(now));
        let spent = self.state.allowance.borrow().retry_count(&self.service);
        let line = line.with("backends_as_of", self.state.backends_as_of.get());
        let line = line.with("second_sends_spent", spent);
        self.state.log.note_routine(line.with_some("resume_after", resume_after));
    }

    /// Says that a request waits for a group that stands.
    pub(super) fn note_wait(&self, back_in_ms: u64) {
        let line = self.line("wait").with("back_in_ms", back_in_ms);
        let line = line.with("used_ms", self.request.used_ms).with("sends", self.sends);
        self.state.log.note_routine(line);
    }

    pub(super) fn note_attempt_end(&self, id: &str, end: AttemptEnd, is_paused: bool) {
        metrics::counter!("hickorycross_attempts_failed_total", "end" => end.as_str()).increment(1);
        let line = self.line("attempt-end").with("backend", id).with("end", end.as_str());
        let line = line.with("verdict", self.verdict).with("paused", is_paused);
        let line = line.with("digest", self.digest).with("has_head", self.has_head);
        self.state.log.note(line.with("sends", self.sends));
    }

    /// Says that the request is not sent, because so many backend servers have ended under it.
    pub(super) fn note_crashes(&self, ended_under_it: usize) {
        let line = self.line("request-refused").with("digest", self.digest);
        let line = line.with("ended_under_it", ended_under_it).with("sends", self.sends);
        self.state.log.note(line.with("verdict", self.verdict));
    }

    /// Says what becomes of an answer in which a backend server says that it failed.
    pub(super) fn note_failure(&self, id: &str, status: StatusCode, is_left: bool) {
        metrics::counter!("hickorycross_attempts_failed_total", "end" => "failed").increment(1);
        let line = self.line("attempt-end").with("backend", id).with("end", "failed");
        let line = line.with("status", status.as_u16()).with("sends", self.sends);
        self.state.log.note(line.with("outcome", if is_left { "left" } else { "handed-on" }));
    }

    /// Says how the request ended.
    pub(super) fn note_final(&self, outcome: &'static str, status: StatusCode) {
        self.note_end_as(outcome, Some(status));
    }

    pub(super) fn note_end_as(&self, outcome: &'static str, status: Option<StatusCode>) {
        self.is_ended.set(true);
        let took_ms = boot_now().since(self.request.arrived_at);
        metrics::counter!("hickorycross_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("hickorycross_request_seconds").record(took_ms as f64 / 1000.0);
        let line = self.line("final").with("outcome", outcome);
        let line = line.with_some("status", status.map(|status| status.as_u16()));
        let line = line.with("verdict", self.verdict).with("sends", self.sends);
        let line = line.with("took_ms", took_ms);
        if status.is_none_or(|status| status.is_success()) {
            self.state.log.note_routine(line);
        } else {
            let open = self.state.backends.borrow().outstanding(&self.service);
            let bound = self.state.admission.borrow().limit_requests(&self.service);
            let line = line.with("open_at_service", open);
            self.state.log.note(line.with_some("bound", bound.map(|bound| bound as u64)));
        }
    }
}
