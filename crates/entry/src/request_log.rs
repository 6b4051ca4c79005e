//! Log lines and latency metrics of requests: one line when a request arrives, one when it ends.

use crate::caller_channel::AnswerPart;
use crate::catalog::Caller;
use crate::export::{ANSWER_SECONDS, FIRST_CHUNK_SECONDS};
use crate::refusal::Rejection;
use hickorycross_core::RequestId;
use rocket::Request;
use std::time::Instant;

/// Log value and metric label of a field that is unknown or does not apply.
const UNKNOWN: &str = "-";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The answer was complete.
    Finished,
    /// The request was refused before an answer began.
    Refused,
    /// The answer was cut off after it had begun.
    Cut,
    /// The caller disconnected before the answer was complete.
    CallerGone,
}

impl Outcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::Refused => "refused",
            Self::Cut => "cut",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// Collects what is logged about one request; logs the end when dropped, at the latest.
#[derive(Debug)]
pub(crate) struct RequestLog {
    request: RequestId,
    caller: Option<Caller>,
    arrived_at: Instant,
    status: Option<u16>,
    has_chunk: bool,
    has_ended: bool,
}

impl RequestLog {
    /// Logs the arrival of a request and starts measuring its duration.
    pub(crate) fn start(request: RequestId, head: &Request<'_>) -> Self {
        // The query is not logged, because it may contain personal data.
        log::debug!(
            target: "request",
            request = request.to_string().as_str(),
            method = head.method().as_str(),
            path = head.uri().path().as_str();
            "arrived"
        );
        Self {
            request,
            caller: None,
            arrived_at: Instant::now(),
            status: None,
            has_chunk: false,
            has_ended: false,
        }
    }

    /// Sets the caller for the line that is logged at the end.
    pub(crate) fn set_caller(&mut self, caller: &Caller) {
        self.caller = Some(caller.clone());
    }

    /// Records a part of the answer; logs the end after the last part or if the driver has stopped
    /// (`None`).
    pub(crate) fn record_part(&mut self, part: Option<&AnswerPart>) {
        match part {
            Some(AnswerPart::Head(head)) => self.status = Some(head.status),
            Some(AnswerPart::Chunk(_)) => self.record_first_chunk(),
            Some(AnswerPart::Finish) => self.log_end(Outcome::Finished, UNKNOWN, UNKNOWN),
            Some(AnswerPart::Refuse(refusal)) => {
                let outcome = if self.status.is_some() { Outcome::Cut } else { Outcome::Refused };
                self.log_end(outcome, refusal.verdict.as_str(), &refusal.detail);
            }
            None => self.log_end(Outcome::Cut, "may-have-run", "the entry stopped"),
        }
    }

    /// Logs the end of a request that was refused before it reached the core.
    pub(crate) fn log_rejection(mut self, rejection: &Rejection) {
        self.status = Some(rejection.status.code);
        self.log_end(Outcome::Refused, "not-run", &rejection.detail);
    }

    /// Logs the end of a request that the entry answered without a backend server.
    pub(crate) fn log_local_answer(mut self, status: u16) {
        self.status = Some(status);
        self.log_end(Outcome::Finished, UNKNOWN, UNKNOWN);
    }

    fn record_first_chunk(&mut self) {
        if !self.has_chunk {
            self.has_chunk = true;
            let seconds = self.arrived_at.elapsed().as_secs_f64();
            metrics::histogram!(FIRST_CHUNK_SECONDS, "tier" => self.tier_label()).record(seconds);
        }
    }

    fn tier_label(&self) -> String {
        self.caller.as_ref().map_or_else(|| UNKNOWN.to_owned(), |caller| caller.tier.to_string())
    }

    fn log_end(&mut self, outcome: Outcome, verdict: &str, detail: &str) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let elapsed = self.arrived_at.elapsed();
        metrics::histogram!(
            ANSWER_SECONDS,
            "tier" => self.tier_label(),
            "outcome" => outcome.as_str()
        )
        .record(elapsed.as_secs_f64());
        let duration_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        log::info!(
            target: "request",
            request = self.request.to_string().as_str(),
            outcome = outcome.as_str(),
            verdict = verdict,
            status = self.status.unwrap_or_default(),
            duration_ms = duration_ms,
            team = self.caller.as_ref().map_or(UNKNOWN, |caller| caller.team.as_str()),
            tier = self.caller.as_ref().map_or(UNKNOWN, |caller| caller.tier.as_str()),
            detail = detail;
            "ended"
        );
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        self.log_end(Outcome::CallerGone, UNKNOWN, UNKNOWN);
    }
}
