//! HTTP responses for requests that the core or the HTTP side refuses.

use hickorycross_core::entry::{Refusal, RefusalCode};
use hickorycross_core::{Now, RequestId, UnixMs, Verdict};
use rocket::Response;
use rocket::http::{ContentType, Header, Status};
use serde::Serialize;
use std::io::Cursor;

/// Response header on every refusal: states whether the request ran.
pub(crate) const VERDICT_HEADER: &str = "x-hickorycross-verdict";
/// Response header on every answer: the id of the request.
pub(crate) const REQUEST_HEADER: &str = "x-hickorycross-request";

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: ErrorBody<'a>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    code: RefusalCode,
    message: &'a str,
    verdict: Verdict,
    request: String,
}

/// Builds the response for a refusal by the core.
pub(crate) fn refusal_response(
    now: Now,
    request: RequestId,
    refusal: &Refusal,
) -> Response<'static> {
    let body = error_json(request, refusal);
    let mut response = Response::build()
        .status(status_of(refusal.code))
        .header(ContentType::JSON)
        .header(Header::new(VERDICT_HEADER, refusal.verdict.as_str()))
        .header(Header::new(REQUEST_HEADER, request.to_string()))
        .sized_body(body.len(), Cursor::new(body))
        .finalize();
    if let Some(retry_at) = refusal.retry_at {
        let wait_ms = retry_at.since(now.unix_ms);
        let wait_s = wait_ms.div_ceil(1000).max(1);
        response.set_header(Header::new("retry-after", wait_s.to_string()));
    }
    response
}

/// A refusal by the HTTP side, before the request reaches the core. The request has not run.
#[derive(Clone, Debug)]
pub(crate) struct Rejection {
    pub(crate) status: Status,
    pub(crate) code: RefusalCode,
    pub(crate) detail: String,
    pub(crate) retry_at: Option<UnixMs>,
}

impl Rejection {
    /// Creates a rejection for a request that violates the API.
    pub(crate) fn bad_request(detail: String) -> Self {
        let code = RefusalCode::BadRequest;
        Self { status: Status::BadRequest, code, detail, retry_at: None }
    }

    /// Creates a rejection for a missing or unknown API key.
    pub(crate) fn unknown_key(detail: &str) -> Self {
        let code = RefusalCode::UnknownKey;
        Self { status: Status::Unauthorized, code, detail: detail.to_owned(), retry_at: None }
    }
}

/// Builds the response for a request that was refused before it reached the core.
pub(crate) fn rejection_response(
    now: Now,
    request: RequestId,
    rejection: &Rejection,
) -> Response<'static> {
    let refusal = Refusal {
        code: rejection.code,
        verdict: Verdict::NotRun,
        retry_at: rejection.retry_at,
        detail: rejection.detail.clone(),
    };
    let mut response = refusal_response(now, request, &refusal);
    response.set_status(rejection.status);
    response
}

/// Returns the JSON error body of a refusal.
pub(crate) fn error_json(request: RequestId, refusal: &Refusal) -> String {
    let error = ErrorBody {
        code: refusal.code,
        message: &refusal.detail,
        verdict: refusal.verdict,
        request: request.to_string(),
    };
    serde_json::to_string(&RefusalBody { error }).unwrap_or_default()
}

const fn status_of(code: RefusalCode) -> Status {
    match code {
        RefusalCode::UnknownKey => Status::Unauthorized,
        RefusalCode::UnknownModel | RefusalCode::UnknownPath => Status::NotFound,
        RefusalCode::TeamLimit => Status::TooManyRequests,
        RefusalCode::DeadlinePassed => Status::GatewayTimeout,
        RefusalCode::NotReady | RefusalCode::Overloaded | RefusalCode::NoBackend => {
            Status::ServiceUnavailable
        }
        RefusalCode::Interrupted | RefusalCode::BadAnswer => Status::BadGateway,
        RefusalCode::BadRequest => Status::BadRequest,
        RefusalCode::KeyUsed => Status::Conflict,
        RefusalCode::KeyConflict => Status::UnprocessableEntity,
    }
}
