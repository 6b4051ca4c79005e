//! What the backend stand-ins read of a request's head.

use crate::calls::{Call, CallState};
use hickorycross_config::Digest;
use rocket::Request;
use rocket::request::{FromRequest, Outcome};
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};

/// Header with the attempt that a request belongs to.
pub const ATTEMPT_HEADER: &str = "x-hickorycross-attempt";
/// Header with the priority of a request, 0 first.
pub const PRIORITY_HEADER: &str = "x-hickorycross-priority";
/// Header with a caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Method, path and the headers that the stand-ins use.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) remote: SocketAddr,
    attempt: Option<String>,
    idempotency_key: Option<String>,
    priority: u8,
}

impl Head {
    pub(crate) fn of(request: &Request<'_>) -> Self {
        let header = |name| request.headers().get_one(name).map(str::to_owned);
        Self {
            method: request.method().as_str().to_owned(),
            path: request.uri().to_string(),
            remote: request.remote().unwrap_or(SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0))),
            attempt: header(ATTEMPT_HEADER),
            idempotency_key: header(IDEMPOTENCY_HEADER),
            priority: header(PRIORITY_HEADER).and_then(|text| text.parse().ok()).unwrap_or(0),
        }
    }

    /// The call to record for a request with this head.
    pub(crate) fn call(&self, body: &[u8]) -> Call {
        Call {
            attempt: self.attempt.clone(),
            idempotency_key: self.idempotency_key.clone(),
            method: self.method.clone(),
            path: self.path.clone(),
            body_digest: Digest::of(body),
            priority: self.priority,
            ran: false,
            state: CallState::Waiting,
        }
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Head {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        Outcome::Success(Self::of(request))
    }
}
