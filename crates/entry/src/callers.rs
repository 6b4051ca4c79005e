//! Callers' requests, as Rocket hands them over.

use crate::answer;
use crate::catalog::Catalog;
use crate::inbox::{Inbound, Parts};
use crate::refusal;
use bytes::Bytes;
use hickorycross_config::hash_api_key;
use hickorycross_core::entry::{Arrival, Refusal, RefusalCode, Wanted};
use hickorycross_core::message::{Header, RequestHead};
use hickorycross_core::{Incarnation, RequestId, UnixMs, Verdict};
use hickorycross_runtime::clock::SteadyClock;
use rocket::data::ByteUnit;
use rocket::http::{ContentType, Method, Status};
use rocket::route::{Handler, Outcome, Route};
use rocket::{Data, Request, Response, async_trait};
use serde::Deserialize;
use std::io::Cursor;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Marks a request that must run at most once.
const NON_IDEMPOTENT_HEADER: &str = "x-hickorycross-non-idempotent";
/// The caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// The caller's own deadline, in milliseconds since the Unix epoch.
const DEADLINE_HEADER: &str = "x-hickorycross-deadline-unix-ms";
/// A caller that takes longer to send its body is refused.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);
/// Where the model list is served.
const MODELS_PATH: &str = "/v1/models";
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Headers that are the entry's own business or belong to one connection.
const NOT_PASSED_ON: [&str; 13] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    DEADLINE_HEADER,
];
/// Methods that are served.
const METHODS: [Method; 7] = [
    Method::Get,
    Method::Head,
    Method::Post,
    Method::Put,
    Method::Patch,
    Method::Delete,
    Method::Options,
];

/// Takes every request of callers.
#[derive(Clone)]
pub(crate) struct Callers {
    shared: Arc<Shared>,
}

struct Shared {
    incarnation: Incarnation,
    next: AtomicU64,
    driver: UnboundedSender<Inbound>,
    clock: SteadyClock,
    body_limit: ByteUnit,
    open: Arc<Semaphore>,
    open_requests: u32,
    catalog: Arc<Catalog>,
}

/// What the model API's body must have for routing.
#[derive(Deserialize)]
struct ModelBody {
    model: String,
}

/// Why a request is refused before the core sees it.
struct Rejected {
    status: Status,
    code: RefusalCode,
    detail: String,
}

impl Callers {
    pub(crate) fn new(
        incarnation: Incarnation,
        driver: UnboundedSender<Inbound>,
        clock: SteadyClock,
        body_limit_bytes: u64,
        open_requests: u32,
        catalog: Arc<Catalog>,
    ) -> Self {
        let shared = Shared {
            incarnation,
            next: AtomicU64::new(1),
            driver,
            clock,
            body_limit: ByteUnit::Byte(body_limit_bytes),
            open: Arc::new(Semaphore::new(open_requests as usize)),
            open_requests,
            catalog,
        };
        Self { shared: Arc::new(shared) }
    }

    /// Waits until no request is open and every answer has been handed to the connections.
    pub(crate) async fn wait_until_idle(&self) {
        let _ = self.shared.open.acquire_many(self.shared.open_requests).await;
    }

    /// The routes that catch everything.
    pub(crate) fn routes(&self) -> Vec<Route> {
        METHODS.iter().map(|method| Route::new(*method, "/<path..>", self.clone())).collect()
    }

    async fn serve(&self, request: &Request<'_>, data: Data<'_>) -> Response<'static> {
        let shared = &self.shared;
        let sequence = shared.next.fetch_add(1, Ordering::Relaxed);
        let id = RequestId { entry: shared.incarnation, sequence };
        let Ok(permit) = Arc::clone(&shared.open).try_acquire_owned() else {
            return self.reject(id, &overloaded());
        };
        if is_model_list(request) {
            return self.list_models(id, request);
        }
        match self.arrival(id, request, data).await {
            Ok(arrival) => self.answer(id, arrival, permit).await,
            Err(rejected) => self.reject(id, &rejected),
        }
    }

    fn list_models(&self, id: RequestId, request: &Request<'_>) -> Response<'static> {
        let list = api_key(request).and_then(|key| {
            let hash = hash_api_key(key);
            self.shared.catalog.list(&hash).ok_or_else(|| unknown_key("the API key is not known"))
        });
        match list {
            Ok(list) => {
                let mut response = Response::new();
                response.set_header(ContentType::JSON);
                response.set_sized_body(list.len(), Cursor::new(list));
                response
            }
            Err(rejected) => self.reject(id, &rejected),
        }
    }

    async fn answer(
        &self,
        id: RequestId,
        arrival: Arrival,
        permit: OwnedSemaphorePermit,
    ) -> Response<'static> {
        let (sender, receiver) = unbounded_channel();
        let inbound = Inbound::Arrived { arrival: Box::new(arrival), parts: sender };
        let _ = self.shared.driver.send(inbound);
        let parts = Parts::new(id, receiver, self.shared.driver.clone(), permit);
        answer::respond(parts, self.shared.clock).await
    }

    async fn arrival(
        &self,
        id: RequestId,
        request: &Request<'_>,
        data: Data<'_>,
    ) -> Result<Arrival, Rejected> {
        let headers = request.headers();
        let key = api_key(request)?;
        let deadline = headers.get_one(DEADLINE_HEADER).map(parse_deadline).transpose()?;
        let idempotency_key = headers.get_one(KEY_HEADER).map(parse_key).transpose()?;
        let non_idempotent =
            headers.get_one(NON_IDEMPOTENT_HEADER).map(parse_mark).transpose()?.unwrap_or(false);
        let body = self.body(data).await?;
        let path = request.uri().to_string();
        let wanted = wanted(&path, &body)?;
        let head = RequestHead {
            method: request.method().as_str().to_owned(),
            path,
            headers: passed_on(request),
        };
        Ok(Arrival {
            request: id,
            key_hash: hash_api_key(key),
            wanted,
            non_idempotent,
            idempotency_key,
            deadline,
            head,
            body,
        })
    }

    async fn body(&self, data: Data<'_>) -> Result<Bytes, Rejected> {
        let limit = self.shared.body_limit;
        let reading = data.open(limit).into_bytes();
        let read = tokio::time::timeout(BODY_TIMEOUT, reading).await.map_err(|_| Rejected {
            status: Status::RequestTimeout,
            code: RefusalCode::DeadlinePassed,
            detail: format!("the body took longer than {} s", BODY_TIMEOUT.as_secs()),
        })?;
        let body = read.map_err(|error| bad_request(format!("the body broke off: {error}")))?;
        if !body.is_complete() {
            return Err(Rejected {
                status: Status::PayloadTooLarge,
                code: RefusalCode::BadRequest,
                detail: format!("the body exceeds {} bytes", limit.as_u64()),
            });
        }
        Ok(Bytes::from(body.into_inner()))
    }

    fn reject(&self, id: RequestId, rejected: &Rejected) -> Response<'static> {
        let refusal = Refusal {
            code: rejected.code,
            verdict: Verdict::NotRun,
            retry_at: None,
            detail: rejected.detail.clone(),
        };
        let mut response = refusal::respond(self.shared.clock.now(), id, &refusal);
        response.set_status(rejected.status);
        response
    }
}

#[async_trait]
impl Handler for Callers {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        Outcome::Success(self.serve(request, data).await)
    }
}

fn is_model_list(request: &Request<'_>) -> bool {
    request.method() == Method::Get && request.uri().path() == MODELS_PATH
}

fn api_key<'r>(request: &'r Request<'_>) -> Result<&'r str, Rejected> {
    request
        .headers()
        .get_one("authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| unknown_key("send the header `authorization: Bearer <API key>`"))
}

fn wanted(path: &str, body: &[u8]) -> Result<Wanted, Rejected> {
    let without_query = path.split('?').next().unwrap_or(path);
    if !without_query.starts_with("/v1/") {
        return Ok(Wanted::Path(without_query.to_owned()));
    }
    let model: ModelBody = serde_json::from_slice(body)
        .map_err(|error| bad_request(format!("the body is not a request for a model: {error}")))?;
    Ok(Wanted::Model(model.model))
}

fn passed_on(request: &Request<'_>) -> Vec<Header> {
    request
        .headers()
        .iter()
        .map(|header| Header {
            name: header.name().as_str().to_ascii_lowercase(),
            value: header.value().as_bytes().to_vec(),
        })
        .filter(|header| !NOT_PASSED_ON.contains(&header.name.as_str()))
        .collect()
}

fn parse_deadline(value: &str) -> Result<UnixMs, Rejected> {
    value.parse().map(UnixMs).map_err(|_| {
        bad_request(format!("{DEADLINE_HEADER}: allowed are milliseconds since the Unix epoch"))
    })
}

fn parse_key(value: &str) -> Result<String, Rejected> {
    let fits = (1..=MAX_KEY_BYTES).contains(&value.len());
    fits.then(|| value.to_owned())
        .ok_or_else(|| bad_request(format!("{KEY_HEADER}: allowed are 1 to {MAX_KEY_BYTES} bytes")))
}

fn parse_mark(value: &str) -> Result<bool, Rejected> {
    match value {
        "true" | "1" => Ok(true),
        "false" | "0" => Ok(false),
        _ => Err(bad_request(format!("{NON_IDEMPOTENT_HEADER}: allowed are true and false"))),
    }
}

fn unknown_key(detail: &str) -> Rejected {
    let detail = detail.to_owned();
    Rejected { status: Status::Unauthorized, code: RefusalCode::UnknownKey, detail }
}

fn bad_request(detail: String) -> Rejected {
    Rejected { status: Status::BadRequest, code: RefusalCode::BadRequest, detail }
}

fn overloaded() -> Rejected {
    Rejected {
        status: Status::ServiceUnavailable,
        code: RefusalCode::Overloaded,
        detail: "too many open requests at this entry".to_owned(),
    }
}
