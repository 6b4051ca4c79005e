//! The final answer to a request that was given up, as HTTP.

use hickorycross_core::entry::{Refusal, RefusalCode};
use hickorycross_core::{Now, RequestId, UnixMs, Verdict};
use rocket::Response;
use rocket::http::{ContentType, Header, Status};
use serde::Serialize;
use std::io::Cursor;

/// Carries the verdict on every refusal.
pub(crate) const VERDICT_HEADER: &str = "x-hickorycross-verdict";
/// Carries the request's identifier on every answer.
pub(crate) const REQUEST_HEADER: &str = "x-hickorycross-request";

#[derive(Serialize)]
struct Body<'a> {
    error: ErrorBody<'a>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    code: RefusalCode,
    message: &'a str,
    verdict: Verdict,
    request: String,
}

/// Makes the response of a refusal.
pub(crate) fn respond(now: Now, request: RequestId, refusal: &Refusal) -> Response<'static> {
    let body = json(request, refusal);
    let mut response = Response::build()
        .status(status(refusal.code))
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

/// Why a request is refused before the core sees it. It has not run.
#[derive(Clone, Debug)]
pub(crate) struct Rejected {
    pub(crate) status: Status,
    pub(crate) code: RefusalCode,
    pub(crate) detail: String,
    pub(crate) retry_at: Option<UnixMs>,
}

impl Rejected {
    /// The request broke the rules of the API.
    pub(crate) fn bad_request(detail: String) -> Self {
        let code = RefusalCode::BadRequest;
        Self { status: Status::BadRequest, code, detail, retry_at: None }
    }

    /// The API key is missing or unknown.
    pub(crate) fn unknown_key(detail: &str) -> Self {
        let code = RefusalCode::UnknownKey;
        Self { status: Status::Unauthorized, code, detail: detail.to_owned(), retry_at: None }
    }
}

/// Makes the response of a request that the core never saw.
pub(crate) fn reject(now: Now, request: RequestId, rejected: &Rejected) -> Response<'static> {
    let refusal = Refusal {
        code: rejected.code,
        verdict: Verdict::NotRun,
        retry_at: rejected.retry_at,
        detail: rejected.detail.clone(),
    };
    let mut response = respond(now, request, &refusal);
    response.set_status(rejected.status);
    response
}

/// The error body of a refusal.
pub(crate) fn json(request: RequestId, refusal: &Refusal) -> String {
    let error = ErrorBody {
        code: refusal.code,
        message: &refusal.detail,
        verdict: refusal.verdict,
        request: request.to_string(),
    };
    serde_json::to_string(&Body { error }).unwrap_or_default()
}

const fn status(code: RefusalCode) -> Status {
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
