//! The service's HTTP calls.

use super::State;
use crate::head::Head;
use crate::http::Connections;
use crate::reply::{MAX_BODY_BYTES, Reply};
use hickorycross_config::Digest;
use rocket::data::{Data, ToByteUnit as _};
use rocket::http::{ContentType, Method, Status};
use rocket::response::Responder as _;
use rocket::route::{Handler, Outcome};
use rocket::{Request, Route, get};
use serde::Serialize;
use std::sync::Arc;

/// Path at which applications are lodged.
const APPLICATIONS_PATH: &str = "/cases/applications";
/// Path below which the status of a case is found.
const CASES_PATH: &str = "/cases/";
/// Bytes of one piece of an answer.
const PIECE_BYTES: usize = 1024;
/// The methods that are answered; `rocket` answers HEAD by itself.
const METHODS: [Method; 6] =
    [Method::Get, Method::Put, Method::Post, Method::Delete, Method::Options, Method::Patch];
/// Rank behind the calls with a path of their own.
const LAST_RANK: isize = 10;

pub(super) fn routes() -> Vec<Route> {
    let any = METHODS.map(|method| Route::ranked(LAST_RANK, method, "/<path..>", AnyCall));
    let mut routes = rocket::routes![health];
    routes.extend(any);
    routes
}

#[get("/health")]
fn health(state: &rocket::State<Arc<State>>) -> Status {
    if state.worker.knobs().healthy { Status::Ok } else { Status::ServiceUnavailable }
}

/// Handles every call besides the health check.
#[derive(Clone)]
struct AnyCall;

#[rocket::async_trait]
impl Handler for AnyCall {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let state = request.rocket().state::<Arc<State>>();
        let connections = request.rocket().state::<Connections>();
        let reply = match (state, connections) {
            (Some(state), Some(connections)) => answer(state, connections, request, data).await,
            _ => Reply::empty(Status::InternalServerError),
        };
        match reply.respond_to(request) {
            Ok(response) => Outcome::Success(response),
            Err(status) => Outcome::Error(status),
        }
    }
}

/// What the service has to say to a call.
struct Content {
    status: Status,
    body: Vec<u8>,
}

async fn answer(
    state: &State,
    connections: &Connections,
    request: &Request<'_>,
    data: Data<'_>,
) -> Reply {
    let head = Head::of(request);
    let body = match data.open(MAX_BODY_BYTES.bytes()).into_bytes().await {
        Ok(body) if body.is_complete() => body.into_inner(),
        _ => return Reply::empty(Status::BadRequest),
    };
    let begun = tokio::select! {
        begun = state.worker.begin(head.call(&body)) => begun,
        () = connections.client_gone(head.remote) => None,
    };
    let Some(run) = begun else {
        return Reply::empty(Status::InternalServerError);
    };
    let content = content(state, &head, request, &body);
    let byte_count = content.body.len();
    let pieces = content.body.chunks(PIECE_BYTES).map(<[u8]>::to_vec).collect();
    let receiver = run.stream(pieces, connections.clone(), head.remote);
    Reply::pieces(content.status, ContentType::JSON, receiver, Some(byte_count))
}

fn content(state: &State, head: &Head, request: &Request<'_>, body: &[u8]) -> Content {
    let path = request.uri().path().as_str();
    if request.method() == Method::Post && path == APPLICATIONS_PATH {
        return lodge(state, body);
    }
    match path.strip_prefix(CASES_PATH) {
        Some(case) if request.method() == Method::Get => case_status(state, case),
        _ => echo(head, request, body),
    }
}

/// Lodges an application. It counts from this moment on, whether or not its answer arrives.
fn lodge(state: &State, body: &[u8]) -> Content {
    let digest = Digest::of(body);
    let mut lodged = state.lock_lodged();
    let times = lodged.entry(digest).or_default();
    *times += 1;
    json(Status::Created, &Case { case: &digest.to_string(), status: "received", lodged: *times })
}

fn case_status(state: &State, case: &str) -> Content {
    let lodged = state.lock_lodged();
    let found = lodged.iter().find(|(digest, _)| digest.to_string() == case);
    found.map_or_else(
        || json(Status::NotFound, &Case { case, status: "unknown", lodged: 0 }),
        |(_, times)| json(Status::Ok, &Case { case, status: "received", lodged: *times }),
    )
}

fn echo(head: &Head, request: &Request<'_>, body: &[u8]) -> Content {
    let headers = request.headers().iter();
    let headers = headers
        .map(|header| EchoHeader {
            name: header.name().as_str().to_ascii_lowercase(),
            value: header.value().to_owned(),
        })
        .collect();
    let echo = Echo {
        method: &head.method,
        path: &head.path,
        headers,
        body_digest: Digest::of(body).to_string(),
        body_bytes: body.len(),
    };
    json(Status::Ok, &echo)
}

fn json(status: Status, body: &impl Serialize) -> Content {
    // The bodies are plain structs: they always serialise.
    Content { status, body: serde_json::to_vec(body).unwrap_or_default() }
}

/// Body of an answer about a case.
#[derive(Serialize)]
struct Case<'a> {
    case: &'a str,
    status: &'static str,
    lodged: u32,
}

/// Body of any other answer.
#[derive(Serialize)]
struct Echo<'a> {
    method: &'a str,
    path: &'a str,
    headers: Vec<EchoHeader>,
    body_digest: String,
    body_bytes: usize,
}

#[derive(Serialize)]
struct EchoHeader {
    name: String,
    value: String,
}
