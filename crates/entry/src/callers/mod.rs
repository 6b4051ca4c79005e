//! The HTTP side: receives callers' requests from Rocket, checks them, and submits them to the
//! driver.

mod body;
mod catcher;
mod head;
mod path;

pub(crate) use catcher::catchers;

use crate::answer;
use crate::caller_channel::{AnswerReceiver, CallerEvent};
use crate::catalog::{Caller, Catalog, KeyLookup};
use crate::refusal::{self, Rejection};
use crate::request_log::RequestLog;
use body::BodyReader;
use head::Head;
use hickorycross_config::{KeyHash, hash_api_key};
use hickorycross_core::entry::{Arrival, RefusalCode};
use hickorycross_core::message::RequestHead;
use hickorycross_core::{Incarnation, RequestId};
use hickorycross_runtime::clock::SteadyClock;
use rocket::http::{ContentType, Header, Method, Status};
use rocket::route::{Handler, Outcome, Route};
use rocket::{Data, Request, Response, async_trait};
use std::io::Cursor;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Where the model list is served.
const MODELS_PATH: &str = "/v1/models";
/// Time after which a caller may retry if the entry is overloaded or not ready.
const RETRY_AFTER_MS: u64 = 1_000;
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

/// Limits on callers' requests, from the settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerLimits {
    pub(crate) body_limit_bytes: u64,
    pub(crate) body_timeout_ms: u64,
    pub(crate) open_requests: u32,
}

/// Rocket handler for all requests of callers.
#[derive(Clone)]
pub(crate) struct CallerHandler {
    shared: Arc<Shared>,
}

struct Shared {
    incarnation: Incarnation,
    next_sequence: AtomicU64,
    driver: UnboundedSender<CallerEvent>,
    clock: SteadyClock,
    body_reader: BodyReader,
    open_permits: Arc<Semaphore>,
    max_open_requests: u32,
    catalog: Arc<Catalog>,
}

impl CallerHandler {
    pub(crate) fn new(
        incarnation: Incarnation,
        driver: UnboundedSender<CallerEvent>,
        clock: SteadyClock,
        limits: CallerLimits,
        catalog: Arc<Catalog>,
    ) -> Self {
        let shared = Shared {
            incarnation,
            next_sequence: AtomicU64::new(1),
            driver,
            clock,
            body_reader: BodyReader::new(limits.body_limit_bytes, limits.body_timeout_ms),
            open_permits: Arc::new(Semaphore::new(limits.open_requests as usize)),
            max_open_requests: limits.open_requests,
            catalog,
        };
        Self { shared: Arc::new(shared) }
    }

    /// Waits until no request is open and all answers have been passed to their connections.
    pub(crate) async fn wait_until_idle(&self) {
        let _ = self.shared.open_permits.acquire_many(self.shared.max_open_requests).await;
    }

    /// Returns routes that match every path, one for each method.
    pub(crate) fn routes(&self) -> Vec<Route> {
        METHODS.iter().map(|method| Route::new(*method, "/<path..>", self.clone())).collect()
    }

    fn next_id(&self) -> RequestId {
        let sequence = self.shared.next_sequence.fetch_add(1, Ordering::Relaxed);
        RequestId { entry: self.shared.incarnation, sequence }
    }

    async fn respond(&self, request: &Request<'_>, data: Data<'_>) -> Response<'static> {
        let id = self.next_id();
        let mut log = RequestLog::start(id, request);
        match self.admit(id, request, data, &mut log).await {
            Ok(Admitted::Models(list)) => {
                log.log_local_answer(Status::Ok.code);
                models_response(id, list)
            }
            Ok(Admitted::Request(arrival, permit)) => self.submit(id, *arrival, permit, log).await,
            Err(rejection) => {
                log.log_rejection(&rejection);
                refusal::rejection_response(self.shared.clock.now(), id, &rejection)
            }
        }
    }

    /// Makes all checks that don't need the core, in order of cost. The body is not read before the
    /// API key has been checked.
    async fn admit(
        &self,
        id: RequestId,
        request: &Request<'_>,
        data: Data<'_>,
        log: &mut RequestLog,
    ) -> Result<Admitted, Rejection> {
        let permit = self.acquire_permit()?;
        let hash = hash_api_key(head::api_key(request)?);
        let caller = self.identify_caller(&hash)?;
        log.set_caller(&caller);
        if is_model_list(request) {
            return Ok(Admitted::Models(self.models_json(&hash)));
        }
        let head = Head::parse(request)?;
        let body = self.shared.body_reader.read(request, data).await?;
        let arrival = Arrival {
            request: id,
            key_hash: hash,
            target: head::request_target(&head.path, &body)?,
            non_idempotent: head.non_idempotent,
            idempotency_key: head.idempotency_key,
            deadline: head.deadline,
            head: RequestHead {
                method: body::sent_method(request, &body).as_str().to_owned(),
                path: head.path,
                headers: head.forwarded_headers,
            },
            body,
        };
        Ok(Admitted::Request(Box::new(arrival), permit))
    }

    fn acquire_permit(&self) -> Result<OwnedSemaphorePermit, Rejection> {
        Arc::clone(&self.shared.open_permits).try_acquire_owned().map_err(|_| {
            let detail = "too many open requests at this entry".to_owned();
            self.unavailable(RefusalCode::Overloaded, detail)
        })
    }

    fn identify_caller(&self, hash: &KeyHash) -> Result<Caller, Rejection> {
        match self.shared.catalog.look_up(hash) {
            KeyLookup::Caller(caller) => Ok(caller),
            KeyLookup::UnknownKey => Err(Rejection::unknown_key("the API key is unknown")),
            KeyLookup::NoDocument => {
                let detail = "no configuration has been adopted yet".to_owned();
                Err(self.unavailable(RefusalCode::NotReady, detail))
            }
        }
    }

    fn unavailable(&self, code: RefusalCode, detail: String) -> Rejection {
        let retry_at = Some(self.shared.clock.now().after(RETRY_AFTER_MS));
        Rejection { status: Status::ServiceUnavailable, code, detail, retry_at }
    }

    fn models_json(&self, hash: &KeyHash) -> String {
        self.shared.catalog.models_json(hash).unwrap_or_default()
    }

    async fn submit(
        &self,
        id: RequestId,
        arrival: Arrival,
        permit: OwnedSemaphorePermit,
        log: RequestLog,
    ) -> Response<'static> {
        let (sender, receiver) = unbounded_channel();
        let event = CallerEvent::Arrived { arrival: Box::new(arrival), parts: sender };
        let _ = self.shared.driver.send(event);
        let parts = AnswerReceiver::new(id, receiver, self.shared.driver.clone(), permit, log);
        answer::answer_response(parts, self.shared.clock).await
    }
}

/// A request that passed all checks.
enum Admitted {
    /// A request for the model list, with the answer in JSON.
    Models(String),
    /// A request for the core, with its permit to be open.
    Request(Box<Arrival>, OwnedSemaphorePermit),
}

#[async_trait]
impl Handler for CallerHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        Outcome::Success(self.respond(request, data).await)
    }
}

fn is_model_list(request: &Request<'_>) -> bool {
    request.method() == Method::Get && request.uri().path() == MODELS_PATH
}

fn models_response(id: RequestId, list: String) -> Response<'static> {
    Response::build()
        .header(ContentType::JSON)
        .header(Header::new(refusal::REQUEST_HEADER, id.to_string()))
        .sized_body(list.len(), Cursor::new(list))
        .finalize()
}
