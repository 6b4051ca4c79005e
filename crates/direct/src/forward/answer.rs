//! Reads a complete answer of a backend server and forwards it to the caller.

use super::active_request::ActiveRequest;
use super::attempt::Attempt;
use super::head_fields::end_to_end;
use super::response_wait::{Awaited, WaitError};
use crate::callers::{AnswerBody, Refusal, full_body};
use crate::callers::{BufferUse, collect_body};
use crate::clock::boot_now;
use bytes::Bytes;
use hickorycross_core::Verdict;
use hickorycross_core::direct::{AttemptEnd, BackendServer};
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderMap, Response, StatusCode, response};
use hyper::body::Incoming;

/// Largest answer that is buffered until it is complete; a larger one is not forwarded.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

impl ActiveRequest {
    /// Reads the body of an answer to its end.
    pub(super) async fn read_answer(
        &self,
        server: &BackendServer,
        body: Incoming,
    ) -> Result<Bytes, AttemptEnd> {
        let buffers = &self.state.buffers;
        let reading = collect_body(body, MAX_ANSWER_BYTES, buffers, BufferUse::Running);
        match self.response_wait(server, Awaited::Body).run(reading).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(_)) | Err(WaitError::Superseded) => Err(AttemptEnd::Broken),
            Err(WaitError::TimedOut | WaitError::DeadlinePassed) => Err(AttemptEnd::TimedOut),
        }
    }

    /// Records that a backend server answered the request to its end.
    pub(crate) fn note_success(&self, attempt: &Attempt, status: StatusCode) {
        self.note_answer_for_crashes(attempt, status);
        let mut backends = self.state.backends.borrow_mut();
        if status.is_server_error() {
            backends.note_failure(&attempt.server, boot_now());
        } else {
            backends.note_success(&attempt.server);
        }
    }

    /// Returns a complete answer as the response to the caller.
    pub(super) fn forward_answer(
        &self,
        parts: response::Parts,
        bytes: Bytes,
    ) -> Response<AnswerBody> {
        if is_unproved_rejection(parts.status) {
            let refusal = Refusal::Failed(Verdict::MayHaveRun);
            self.log_response("unproved-promise", refusal.status());
            return refusal.into_response();
        }
        self.log_response("answered", parts.status);
        let mut headers = end_to_end(&parts.headers);
        // The HTTP library writes the length of a body; without one the field may tell that of
        // another answer.
        if !bytes.is_empty() {
            headers.remove(CONTENT_LENGTH);
        }
        let mut response = Response::new(full_body(bytes));
        *response.status_mut() = parts.status;
        *response.headers_mut() = headers;
        response
    }
}

/// Returns what the status of an answer proves. A backend server that rejects a request says so in
/// a header field of its own, so the status alone is no proof of that.
pub(super) const fn verdict_of_answer(status: StatusCode) -> Verdict {
    if is_unproved_rejection(status) { Verdict::MayHaveRun } else { Verdict::Ran }
}

/// Returns whether a caller would conclude from a status that the request did not run, although the
/// backend server gave no proof of that.
const fn is_unproved_rejection(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

pub(super) fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|it| it.starts_with("text/event-stream"))
}
