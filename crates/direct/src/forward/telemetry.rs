//! Log lines and metrics about one request.

use super::active_request::ActiveRequest;
use super::attempt::SendOptions;
use crate::callers::Refusal;
use crate::clock::boot_now;
use crate::decision_log::{DecisionLog, Fields};
use crate::retry_budget;
use hickorycross_core::direct::{AttemptEnd, BackendServer, BootMs, Choice, PromptPart};
use http::StatusCode;

/// Most prompt parts in one log line.
const MAX_LOGGED_PARTS: usize = 8;

impl ActiveRequest {
    /// Starts a log line with the fields that every line about this request has.
    fn line(&self, event: &str) -> Fields {
        let line = DecisionLog::fields(event).with("request", self.request.id());
        line.with("route", &self.request.route.name)
            .with("service", &self.service)
            .with_some("pool", (*self.pool != *self.service).then_some(&self.pool))
    }

    /// Adds the first parts of the prompt that other requests may share.
    fn with_prompt_parts(&self, line: Fields) -> Fields {
        let shown = self.prompt_parts.iter().take(MAX_LOGGED_PARTS);
        let ids: Vec<String> = shown.map(ToString::to_string).collect();
        line.with_some("parts", (!ids.is_empty()).then(|| ids.join(",")))
    }

    /// Logs that the request is about to be sent to the chosen backend server.
    pub(super) fn log_attempt(&self, choice: &Choice, options: SendOptions) {
        metrics::counter!("hickorycross_attempts_total").increment(1);
        let catalog_state = self.state.catalog.borrow();
        let line = self.line("attempt").with("backend", &choice.server.id);
        let line = line.with("load", format_args!("{:.1}", choice.load_requests));
        let line = line.with("load_measure", self.load_measure().name());
        let work = &self.work;
        let line = line.with("work", format_args!("{:.2}", work.units()));
        let output_tokens = work.output_tokens().map(f64::round);
        let line = line.with_some("expected_output_tokens", output_tokens);
        metrics::histogram!("hickorycross_expected_work_units").record(work.units());
        let line = line.with("others", choice.others).with("sends", self.sends + 1);
        let line = line.with("digest", self.digest).with("urgency", options.urgency);
        let line = self.with_prompt_parts(line);
        let now = boot_now();
        let backoff_left_ms = self.state.backends.borrow().backoff_left_ms(&choice.server, now);
        if backoff_left_ms > 0 {
            metrics::counter!("hickorycross_attempts_in_backoff_total").increment(1);
        }
        let line = line.with("backoff_left_ms", backoff_left_ms);
        let domains = self.allowed_domains();
        let domains = domains.map(|domains| domains.into_iter().collect::<Vec<_>>().join(","));
        let line = line.with_some("allowed_domains", domains);
        let line = line.with("domain", &choice.server.failure_domain);
        let line = line.with("waited_ms", now.since(self.waiting_since));
        let line = line.with("left_ms", self.deadline_at().since(now));
        let line = line.with("configuration", self.request.catalog.version);
        let line = line.with_some("configuration_age_ms", catalog_state.age_ms(now));
        let line = self.with_load(line);
        let line = self.with_listing(line, &choice.server, now);
        let line = retry_budget::with_usage(&self.state, line, &self.service);
        self.state.log.note_routine(line.with_some("resume_after", options.resume_after));
    }

    /// Adds how current the list of backend servers is, and for how long the chosen one has been
    /// kept without a registration.
    fn with_listing(&self, line: Fields, server: &BackendServer, now: BootMs) -> Fields {
        let listing = self.state.listing.borrow();
        let line = line.with("backends_as_of", listing.as_of());
        let line = line.with_some("backends_age_ms", listing.age_ms(now));
        line.with_some("unlisted_ms", self.state.backends.borrow().unlisted_ms(&server.id, now))
    }

    /// Logs that the retry budget does not allow to send the request again.
    pub(super) fn log_retry_denied(&self) {
        metrics::counter!("hickorycross_retries_denied_total").increment(1);
        let line = self.line("retry-denied").with("sends", self.sends);
        self.state.log.note_routine(retry_budget::with_usage(&self.state, line, &self.service));
    }

    /// Adds the load of the pool: open requests, how many of them are streams without an event,
    /// and the bound on open requests.
    fn with_load(&self, line: Fields) -> Fields {
        let backends = self.state.backends.borrow();
        let bound = self.state.admission.borrow().limit_requests(&self.pool);
        let line = line.with("open_at_service", backends.outstanding(&self.pool));
        let line = line.with("unbegun_at_service", backends.not_begun(&self.pool));
        let queue_limit = self.state.queue_limit.borrow();
        let mean = queue_limit.mean_streams(&self.pool);
        let line = line.with_some("unbegun_mean", mean.map(|mean| format!("{mean:.1}")));
        line.with_some("bound", bound.map(|bound| bound as u64))
    }

    /// Logs and counts the first event of a stream, `unbegun_ms` after it was sent to `server`.
    pub(super) fn log_first_event(&self, server: &BackendServer, unbegun_ms: u64) {
        let waited_ms = boot_now().since(self.request.arrived_at);
        metrics::histogram!("hickorycross_first_event_seconds").record(waited_ms as f64 / 1000.0);
        metrics::histogram!("hickorycross_unbegun_seconds").record(unbegun_ms as f64 / 1000.0);
        let line = self.line("first-event").with("backend", &server.id);
        let line = line.with("unbegun_ms", unbegun_ms).with("waited_ms", waited_ms);
        self.state.log.note_routine(line.with("sends", self.sends));
    }

    /// Logs that the request waits until its group is expected back, a backoff ends or a part of its
    /// prompt may be tried, as `cause` says, in `back_in_ms`.
    pub(super) fn log_wait(&self, back_in_ms: u64, cause: &'static str) {
        let line = self.line("wait").with("cause", cause).with("back_in_ms", back_in_ms);
        let line = line.with("used_ms", self.request.used_ms).with("sends", self.sends);
        self.state.log.note_routine(line);
    }

    /// Logs that the request is held back for at most `wait_ms` until the queues of the backend
    /// servers are shorter, or is refused at once because too many others go before it.
    pub(super) fn log_hold(&self, urgency: u8, wait_ms: u64, is_refused: bool) {
        let outcome = if is_refused { "out-of-reach" } else { "held" };
        metrics::counter!("hickorycross_held_requests_total", "outcome" => outcome).increment(1);
        let line = self.with_load(self.line("hold-back")).with("urgency", urgency);
        self.state.log.note_routine(line.with("wait_ms", wait_ms).with("outcome", outcome));
    }

    /// Logs that an attempt ended without an answer; `is_paused` tells whether that paused the
    /// backend server.
    pub(super) fn log_attempt_end(&self, id: &str, end: AttemptEnd, is_paused: bool) {
        metrics::counter!("hickorycross_attempts_failed_total", "end" => end.as_str()).increment(1);
        let line = self.line("attempt-end").with("backend", id).with("end", end.as_str());
        let line = line.with("verdict", self.verdict).with("paused", is_paused);
        let line = line.with("digest", self.digest).with("has_head", self.head_at.is_some());
        let line = self.with_prompt_parts(line);
        let line = line.with("since_sent_ms", boot_now().since(self.sent_at));
        self.state.log.note(line.with("sends", self.sends));
    }

    /// Logs that the request is refused because `ended_servers` backend servers ended while they
    /// had it.
    pub(super) fn log_crash_refusal(&self, ended_servers: usize) {
        let line = self.line("request-refused").with("digest", self.digest);
        let line = line.with("ended_under_it", ended_servers).with("sends", self.sends);
        self.state.log.note(line.with("verdict", self.verdict));
    }

    /// Logs that the request is a trial of a part under which backend servers have ended.
    pub(super) fn log_part_trial(&self, part: PromptPart) {
        metrics::counter!("hickorycross_prompt_part_trials_total").increment(1);
        self.state.log.note(self.line("part-trial").with("part", part).with("sends", self.sends));
    }

    /// Logs that the request is refused because `ended_servers` backend servers ended under
    /// requests with a part of its prompt.
    pub(super) fn log_part_refusal(
        &self,
        part: PromptPart,
        ended_servers: usize,
        refusal: &Refusal,
    ) {
        metrics::counter!("hickorycross_prompt_part_refusals_total", "cause" => refusal.as_str())
            .increment(1);
        let line = self.line("request-refused").with("part", part);
        let line = line.with("ended_under_it", ended_servers).with("sends", self.sends);
        let line = line.with("cause", refusal.as_str());
        self.state.log.note(line.with("verdict", self.verdict));
    }

    /// Logs an answer with a server error status, and whether the request is retried elsewhere
    /// instead of forwarding that answer.
    pub(super) fn log_failure(&self, id: &str, status: StatusCode, is_retried: bool) {
        metrics::counter!("hickorycross_attempts_failed_total", "end" => "failed").increment(1);
        let line = self.line("attempt-end").with("backend", id).with("end", "failed");
        let line = line.with("status", status.as_u16()).with("sends", self.sends);
        self.state.log.note(line.with("outcome", if is_retried { "left" } else { "handed-on" }));
    }

    /// Logs the end of a request whose caller gets a response.
    pub(super) fn log_response(&self, outcome: &'static str, status: StatusCode) {
        self.log_outcome(outcome, Some(status));
    }

    /// Logs the end of a request that is refused, and when its caller is told to retry if that
    /// depends on when a group or its backend servers take requests again.
    pub(super) fn log_refusal(&self, refusal: &Refusal) {
        if let Refusal::GroupUnavailable { retry_after_ms }
        | Refusal::Backoff { retry_after_ms }
        | Refusal::WarmUp { retry_after_ms } = refusal
        {
            let line = self.line("retry-after").with("retry_after_ms", retry_after_ms);
            self.state.log.note(line.with("cause", refusal.as_str()));
        }
        if *refusal == Refusal::DomainsDrained {
            metrics::counter!("hickorycross_requests_refused_for_drains_total").increment(1);
        }
        self.log_response(refusal.as_str(), refusal.status());
    }

    /// Logs and counts the end of the request; `status` is `None` if the caller left before.
    ///
    /// A failure is logged together with the load of the service.
    pub(super) fn log_outcome(&self, outcome: &'static str, status: Option<StatusCode>) {
        self.is_ended.set(true);
        let took_ms = boot_now().since(self.request.arrived_at);
        metrics::counter!("hickorycross_requests_total", "outcome" => outcome).increment(1);
        metrics::histogram!("hickorycross_request_seconds").record(took_ms as f64 / 1000.0);
        let line = self.line("final").with("outcome", outcome);
        let line = line.with_some("status", status.map(|status| status.as_u16()));
        let line = line.with("verdict", self.verdict).with("sends", self.sends);
        let line = line.with("took_ms", took_ms).with("has_event", self.has_event);
        let line = line.with_some("longest_gap_ms", self.has_event.then_some(self.longest_gap_ms));
        if status.is_none_or(|status| status.is_success()) {
            self.state.log.note_routine(line);
        } else {
            self.state.log.note(self.with_load(line));
        }
    }
}
