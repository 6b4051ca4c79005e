//! Callers' requests, as Rocket hands them over.

mod body;
mod catcher;
mod head;
mod path;

pub(crate) use catcher::catchers;

use crate::answer;
use crate::catalog::{Caller, Catalog, Known};
use crate::inbox::{Inbound, Parts};
use crate::refusal::{self, Rejected};
use crate::request_log::RequestLog;
use body::BodyRules;
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
/// When a caller should come back who met an entry that is full or not ready.
const COME_BACK_MS: u64 = 1_000;
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

/// Bounds on what callers may do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    pub(crate) body_limit_bytes: u64,
    pub(crate) body_timeout_ms: u64,
    pub(crate) open_requests: u32,
}

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
    body: BodyRules,
    open: Arc<Semaphore>,
    open_requests: u32,
    catalog: Arc<Catalog>,
}

impl Callers {
    pub(crate) fn new(
        incarnation: Incarnation,
        driver: UnboundedSender<Inbound>,
        clock: SteadyClock,
        bounds: Bounds,
        catalog: Arc<Catalog>,
    ) -> Self {
        let shared = Shared {
            incarnation,
            next: AtomicU64::new(1),
            driver,
            clock,
            body: BodyRules::new(bounds.body_limit_bytes, bounds.body_timeout_ms),
            open: Arc::new(Semaphore::new(bounds.open_requests as usize)),
            open_requests: bounds.open_requests,
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

    fn next_id(&self) -> RequestId {
        let sequence = self.shared.next.fetch_add(1, Ordering::Relaxed);
        RequestId { entry: self.shared.incarnation, sequence }
    }

    async fn serve(&self, request: &Request<'_>, data: Data<'_>) -> Response<'static> {
        let id = self.next_id();
        let mut log = RequestLog::begin(id, request);
        match self.try_serve(id, request, data, &mut log).await {
            Ok(Served::Models(list)) => {
                log.answered(Status::Ok.code);
                models_response(id, list)
            }
            Ok(Served::Request(arrival, permit)) => self.answer(id, *arrival, permit, log).await,
            Err(rejected) => {
                log.rejected(&rejected);
                refusal::reject(self.shared.clock.now(), id, &rejected)
            }
        }
    }

    /// Everything that can be judged without the core, the cheapest first: nothing is read of the
    /// body of a caller without a valid key.
    async fn try_serve(
        &self,
        id: RequestId,
        request: &Request<'_>,
        data: Data<'_>,
        log: &mut RequestLog,
    ) -> Result<Served, Rejected> {
        let permit = self.permit()?;
        let hash = hash_api_key(head::api_key(request)?);
        let caller = self.caller(&hash)?;
        log.identify(&caller);
        if is_model_list(request) {
            return Ok(Served::Models(self.models(&hash)));
        }
        let head = Head::parse(request)?;
        let body = self.shared.body.read(request, data).await?;
        let arrival = Arrival {
            request: id,
            key_hash: hash,
            target: head::wanted(&head.path, &body)?,
            non_idempotent: head.non_idempotent,
            idempotency_key: head.idempotency_key,
            deadline: head.deadline,
            head: RequestHead {
                method: body::sent_method(request, &body).as_str().to_owned(),
                path: head.path,
                headers: head.passed_on,
            },
            body,
        };
        Ok(Served::Request(Box::new(arrival), permit))
    }

    fn permit(&self) -> Result<OwnedSemaphorePermit, Rejected> {
        Arc::clone(&self.shared.open).try_acquire_owned().map_err(|_| {
            let detail = "too many open requests at this entry".to_owned();
            self.come_back(RefusalCode::Overloaded, detail)
        })
    }

    fn caller(&self, hash: &KeyHash) -> Result<Caller, Rejected> {
        match self.shared.catalog.caller(hash) {
            Known::Caller(caller) => Ok(caller),
            Known::Nobody => Err(Rejected::unknown_key("the API key is unknown")),
            Known::NothingYet => {
                let detail = "no configuration has been adopted yet".to_owned();
                Err(self.come_back(RefusalCode::NotReady, detail))
            }
        }
    }

    fn come_back(&self, code: RefusalCode, detail: String) -> Rejected {
        let retry_at = Some(self.shared.clock.now().after(COME_BACK_MS));
        Rejected { status: Status::ServiceUnavailable, code, detail, retry_at }
    }

    fn models(&self, hash: &KeyHash) -> String {
        self.shared.catalog.list(hash).unwrap_or_default()
    }

    async fn answer(
        &self,
        id: RequestId,
        arrival: Arrival,
        permit: OwnedSemaphorePermit,
        log: RequestLog,
    ) -> Response<'static> {
        let (sender, receiver) = unbounded_channel();
        let inbound = Inbound::Arrived { arrival: Box::new(arrival), parts: sender };
        let _ = self.shared.driver.send(inbound);
        let parts = Parts::new(id, receiver, self.shared.driver.clone(), permit, log);
        answer::respond(parts, self.shared.clock).await
    }
}

/// What a request comes to.
enum Served {
    Models(String),
    Request(Box<Arrival>, OwnedSemaphorePermit),
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

fn models_response(id: RequestId, list: String) -> Response<'static> {
    Response::build()
        .header(ContentType::JSON)
        .header(Header::new(refusal::REQUEST_HEADER, id.to_string()))
        .sized_body(list.len(), Cursor::new(list))
        .finalize()
}
