//! The platform's HTTP calls.

use super::MAX_DOCUMENT_BYTES;
use super::counts::Read;
use super::state::{PublishError, State, View};
use rocket::data::{Data, ToByteUnit as _};
use rocket::http::{ContentType, Status};
use rocket::{Responder, Route, Shutdown, get, put};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Longest wait of a watch.
const MAX_WAIT_MS: u64 = 30_000;
/// Seconds after which a reader over the rate may come again.
const RETRY_AFTER_S: &str = "1";

/// The calls' shared state.
type Shared = rocket::State<Arc<State>>;

/// Answers of the platform.
#[derive(Responder)]
pub(super) enum Answer {
    Value((Status, (ContentType, String))),
    Busy((Status, RetryAfter)),
    Nothing(Status),
}

/// An empty answer that says when to come back.
#[derive(Responder)]
pub(super) struct RetryAfter {
    inner: (),
    header: rocket::http::Header<'static>,
}

/// Body of an accepted publication.
#[derive(Serialize)]
struct Accepted {
    revision: u64,
}

/// Body of a refused publication.
#[derive(Serialize)]
struct Refused {
    current: u64,
}

pub(super) fn routes() -> Vec<Route> {
    rocket::routes![get_config, watch_config, get_instances, watch_instances, put_config]
}

#[get("/v1/config")]
async fn get_config(state: &Shared) -> Answer {
    if let Some(early) = admit(state, Read::Config).await {
        return early;
    }
    let seen = state.subscribe();
    let config = seen.borrow().config.clone();
    config.map_or(Answer::Nothing(Status::NotFound), |config| value(&*config))
}

#[get("/v1/config/watch?<after>&<wait_ms>")]
async fn watch_config(state: &Shared, after: u64, wait_ms: u64, end: Shutdown) -> Answer {
    if let Some(early) = admit(state, Read::ConfigWatch).await {
        return early;
    }
    let is_newer = |view: &View| view.config.as_ref().is_some_and(|c| c.revision > after);
    let view = wait(state, wait_ms, end, is_newer).await;
    let config = view.and_then(|view| view.config);
    config.map_or(Answer::Nothing(Status::NoContent), |config| value(&*config))
}

#[get("/v1/instances")]
async fn get_instances(state: &Shared) -> Answer {
    if let Some(early) = admit(state, Read::Instances).await {
        return early;
    }
    let instances = state.subscribe().borrow().instances.clone();
    value(&*instances)
}

#[get("/v1/instances/watch?<after>&<wait_ms>")]
async fn watch_instances(state: &Shared, after: u64, wait_ms: u64, end: Shutdown) -> Answer {
    if let Some(early) = admit(state, Read::InstancesWatch).await {
        return early;
    }
    let view = wait(state, wait_ms, end, |view| view.instances.revision > after).await;
    view.map_or(Answer::Nothing(Status::NoContent), |view| value(&*view.instances))
}

#[put("/v1/config?<base>", data = "<data>")]
async fn put_config(state: &Shared, base: Option<u64>, data: Data<'_>) -> Answer {
    if state.unavailable() {
        return Answer::Nothing(Status::ServiceUnavailable);
    }
    let Ok(body) = data.open((MAX_DOCUMENT_BYTES + 1).bytes()).into_bytes().await else {
        return Answer::Nothing(Status::BadRequest);
    };
    let Ok(document) = std::str::from_utf8(&body) else {
        return Answer::Nothing(Status::BadRequest);
    };
    match state.publish(base, document) {
        Ok(revision) => value(&Accepted { revision }),
        Err(PublishError::TooLarge) => Answer::Nothing(Status::PayloadTooLarge),
        Err(PublishError::NotCurrent { current }) => json(Status::Conflict, &Refused { current }),
    }
}

/// Counts a call and applies the faults in force; an answer ends the call early.
async fn admit(state: &State, read: Read) -> Option<Answer> {
    if !state.count(read) {
        let header = rocket::http::Header::new("retry-after", RETRY_AFTER_S);
        return Some(Answer::Busy((Status::TooManyRequests, RetryAfter { inner: (), header })));
    }
    let slow_ms = state.slow_ms();
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    state.unavailable().then_some(Answer::Nothing(Status::ServiceUnavailable))
}

/// Waits until readers see what `wanted` asks for; none when the wait ended first.
async fn wait(
    state: &State,
    wait_ms: u64,
    end: Shutdown,
    wanted: impl Fn(&View) -> bool,
) -> Option<View> {
    let bound = Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
    let mut seen = state.subscribe();
    let found = tokio::select! {
        found = tokio::time::timeout(bound, seen.wait_for(|view| wanted(view))) => found,
        () = end => return None,
    };
    found.ok().and_then(Result::ok).map(|view| view.clone())
}

fn value(body: &impl Serialize) -> Answer {
    json(Status::Ok, body)
}

fn json(status: Status, body: &impl Serialize) -> Answer {
    // The bodies are plain structs: they always serialise.
    let text = serde_json::to_string(body).unwrap_or_default();
    Answer::Value((status, (ContentType::JSON, text)))
}
