//! A request's body, bounded in size and time.

use crate::refusal::Rejected;
use bytes::Bytes;
use hickorycross_core::entry::RefusalCode;
use rocket::data::ByteUnit;
use rocket::form::Form;
use rocket::http::{Method, Status};
use rocket::{Data, Request};
use std::time::Duration;
use tokio::time::Instant;

/// Rocket looks for a method in so many bytes of a form.
const METHOD_FIELD_BYTES: usize = "_method=delete".len();

/// Bounds on a body.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyRules {
    limit: ByteUnit,
    /// A span as the settings give it; each read turns it into a deadline.
    timeout_ms: u64,
}

impl BodyRules {
    pub(super) fn new(limit_bytes: u64, timeout_ms: u64) -> Self {
        Self { limit: ByteUnit::Byte(limit_bytes), timeout_ms }
    }

    /// Reads a body whole. One whose announced length is too large is refused unread.
    pub(super) async fn read(
        &self,
        request: &Request<'_>,
        data: Data<'_>,
    ) -> Result<Bytes, Rejected> {
        let announced = request.headers().get_one("content-length");
        let announced = announced.and_then(|text| text.parse::<u64>().ok());
        if announced.is_some_and(|bytes| bytes > self.limit.as_u64()) {
            return Err(self.too_large());
        }
        let reading = data.open(self.limit).into_bytes();
        let deadline = Instant::now() + Duration::from_millis(self.timeout_ms);
        let read = tokio::time::timeout_at(deadline, reading).await.map_err(|_| self.too_slow())?;
        let body =
            read.map_err(|error| Rejected::bad_request(format!("the body broke off: {error}")))?;
        if !body.is_complete() {
            return Err(self.too_large());
        }
        Ok(Bytes::from(body.into_inner()))
    }

    fn too_slow(&self) -> Rejected {
        Rejected {
            status: Status::RequestTimeout,
            code: RefusalCode::DeadlinePassed,
            detail: format!("the body took longer than {} ms", self.timeout_ms),
            retry_at: None,
        }
    }

    fn too_large(&self) -> Rejected {
        Rejected {
            status: Status::PayloadTooLarge,
            code: RefusalCode::BadRequest,
            detail: format!("the body exceeds {} bytes", self.limit.as_u64()),
            retry_at: None,
        }
    }
}

/// The method as the caller sent it.
///
/// Rocket takes the value of a posted form's first field for the method when its name is
/// `_method`. A backend server that expects such a form would get a DELETE in place of a POST; this
/// repeats Rocket's reading and undoes it. Rocket only ever rewrites POST.
pub(super) fn sent_method(request: &Request<'_>, body: &[u8]) -> Method {
    if !request.content_type().is_some_and(|kind| kind.is_form()) {
        return request.method();
    }
    let first_bytes = &body[..body.len().min(METHOD_FIELD_BYTES)];
    let in_form = std::str::from_utf8(first_bytes)
        .ok()
        .and_then(|form| Form::values(form).next())
        .filter(|field| field.name == "_method")
        .and_then(|field| field.value.parse::<Method>().ok());
    if in_form == Some(request.method()) { Method::Post } else { request.method() }
}
