//! Reads request bodies within limits on size and time.

use crate::refusal::Rejection;
use bytes::Bytes;
use hickorycross_core::entry::RefusalCode;
use rocket::data::ByteUnit;
use rocket::form::Form;
use rocket::http::{Method, Status};
use rocket::{Data, Request};
use std::time::Duration;
use tokio::time::Instant;

/// Number of bytes at the start of a form in which Rocket looks for a `_method` field.
const METHOD_FIELD_BYTES: usize = "_method=delete".len();

/// Reads bodies within a size limit and a timeout.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyReader {
    limit: ByteUnit,
    /// Time within which a whole body has to arrive.
    timeout_ms: u64,
}

impl BodyReader {
    pub(super) fn new(limit_bytes: u64, timeout_ms: u64) -> Self {
        Self { limit: ByteUnit::Byte(limit_bytes), timeout_ms }
    }

    /// Reads a whole body. If its `content-length` exceeds the limit, rejects it without reading.
    pub(super) async fn read(
        &self,
        request: &Request<'_>,
        data: Data<'_>,
    ) -> Result<Bytes, Rejection> {
        let announced = request.headers().get_one("content-length");
        let announced = announced.and_then(|text| text.parse::<u64>().ok());
        if announced.is_some_and(|bytes| bytes > self.limit.as_u64()) {
            return Err(self.too_large());
        }
        let reading = data.open(self.limit).into_bytes();
        let deadline = Instant::now() + Duration::from_millis(self.timeout_ms);
        let read =
            tokio::time::timeout_at(deadline, reading).await.map_err(|_| self.timed_out())?;
        let body =
            read.map_err(|error| Rejection::bad_request(format!("the body broke off: {error}")))?;
        if !body.is_complete() {
            return Err(self.too_large());
        }
        Ok(Bytes::from(body.into_inner()))
    }

    fn timed_out(&self) -> Rejection {
        Rejection {
            status: Status::RequestTimeout,
            code: RefusalCode::DeadlinePassed,
            detail: format!("the body took longer than {} ms", self.timeout_ms),
            retry_at: None,
        }
    }

    fn too_large(&self) -> Rejection {
        Rejection {
            status: Status::PayloadTooLarge,
            code: RefusalCode::BadRequest,
            detail: format!("the body exceeds {} bytes", self.limit.as_u64()),
            retry_at: None,
        }
    }
}

/// Returns the method that the caller sent.
///
/// If the first field of a posted form is named `_method`, Rocket replaces the request's method
/// with the field's value, so that a backend server would receive, for example, a DELETE instead of
/// a POST. This function parses the field as Rocket does and reverts the change. Rocket rewrites no
/// method other than POST.
pub(super) fn sent_method(request: &Request<'_>, body: &[u8]) -> Method {
    if !request.content_type().is_some_and(|kind| kind.is_form()) {
        return request.method();
    }
    let first_bytes = &body[..body.len().min(METHOD_FIELD_BYTES)];
    let form_method = std::str::from_utf8(first_bytes)
        .ok()
        .and_then(|form| Form::values(form).next())
        .filter(|field| field.name == "_method")
        .and_then(|field| field.value.parse::<Method>().ok());
    if form_method == Some(request.method()) { Method::Post } else { request.method() }
}
