//! One line when a request arrives and one when it ends, and the times that callers wait.

use crate::catalog::Caller;
use crate::export::{ANSWER_SECONDS, FIRST_CHUNK_SECONDS};
use crate::inbox::Part;
use crate::refusal::Rejected;
use hickorycross_core::RequestId;
use rocket::Request;
use std::time::Instant;

/// Stands for what is not known.
const NONE: &str = "-";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The answer was whole.
    Finished,
    /// A refusal was the answer.
    Refused,
    /// The answer had begun and was cut off.
    Cut,
    /// The caller left before.
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

/// What the lines of one request say.
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
    /// Logs the arrival.
    pub(crate) fn begin(request: RequestId, head: &Request<'_>) -> Self {
        // The query is left out: callers put personal data there.
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

    /// Notes whose request it is.
    pub(crate) fn identify(&mut self, caller: &Caller) {
        self.caller = Some(caller.clone());
    }

    /// Notes a part of the answer on its way to the caller.
    pub(crate) fn saw(&mut self, part: Option<&Part>) {
        match part {
            Some(Part::Begin(head)) => self.status = Some(head.status),
            Some(Part::Chunk(_)) => self.first_chunk(),
            Some(Part::Finish) => self.end(Outcome::Finished, NONE, NONE),
            Some(Part::Refuse(refusal)) => {
                let outcome = if self.status.is_some() { Outcome::Cut } else { Outcome::Refused };
                self.end(outcome, refusal.verdict.as_str(), &refusal.detail);
            }
            None => self.end(Outcome::Cut, "may-have-run", "the entry stopped"),
        }
    }

    /// Logs a refusal that the core never saw.
    pub(crate) fn rejected(mut self, rejected: &Rejected) {
        self.status = Some(rejected.status.code);
        self.end(Outcome::Refused, "not-run", &rejected.detail);
    }

    /// Logs an answer that the entry gave by itself.
    pub(crate) fn answered(mut self, status: u16) {
        self.status = Some(status);
        self.end(Outcome::Finished, NONE, NONE);
    }

    fn first_chunk(&mut self) {
        if !self.has_chunk {
            self.has_chunk = true;
            let seconds = self.arrived_at.elapsed().as_secs_f64();
            metrics::histogram!(FIRST_CHUNK_SECONDS, "tier" => self.tier()).record(seconds);
        }
    }

    fn tier(&self) -> String {
        self.caller.as_ref().map_or_else(|| NONE.to_owned(), |caller| caller.tier.to_string())
    }

    fn end(&mut self, outcome: Outcome, verdict: &str, detail: &str) {
        if std::mem::replace(&mut self.has_ended, true) {
            return;
        }
        let lasted = self.arrived_at.elapsed();
        metrics::histogram!(
            ANSWER_SECONDS,
            "tier" => self.tier(),
            "outcome" => outcome.as_str()
        )
        .record(lasted.as_secs_f64());
        let duration_ms = u64::try_from(lasted.as_millis()).unwrap_or(u64::MAX);
        log::info!(
            target: "request",
            request = self.request.to_string().as_str(),
            outcome = outcome.as_str(),
            verdict = verdict,
            status = self.status.unwrap_or_default(),
            duration_ms = duration_ms,
            team = self.caller.as_ref().map_or(NONE, |caller| caller.team.as_str()),
            tier = self.caller.as_ref().map_or(NONE, |caller| caller.tier.as_str()),
            detail = detail;
            "ended"
        );
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        self.end(Outcome::CallerGone, NONE, NONE);
    }
}
