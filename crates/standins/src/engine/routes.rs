//! The engine's HTTP calls.

use super::State;
use super::answer::Answer;
use super::request::Generate;
use crate::head::Head;
use crate::http::Connections;
use crate::reply::{MAX_BODY_BYTES, Reply};
use crate::worker::{Ended, Run};
use rocket::data::{Data, ToByteUnit as _};
use rocket::http::{ContentType, Status};
use rocket::{Route, get, post};
use serde::Serialize;
use std::sync::Arc;

/// The calls' shared state.
type Shared = rocket::State<Arc<State>>;

pub(super) fn routes() -> Vec<Route> {
    rocket::routes![chat_completions, completions, models, health]
}

#[post("/v1/chat/completions", data = "<data>")]
async fn chat_completions(
    state: &Shared,
    connections: &rocket::State<Connections>,
    head: Head,
    data: Data<'_>,
) -> Reply {
    generate(state, connections, &head, data, true).await
}

#[post("/v1/completions", data = "<data>")]
async fn completions(
    state: &Shared,
    connections: &rocket::State<Connections>,
    head: Head,
    data: Data<'_>,
) -> Reply {
    generate(state, connections, &head, data, false).await
}

#[get("/v1/models")]
fn models(state: &Shared) -> Reply {
    let data = state.models.iter().map(|id| Model { id, object: "model" }).collect();
    Reply::json(Status::Ok, &Models { object: "list", data })
}

#[get("/health")]
fn health(state: &Shared) -> Status {
    if state.worker.knobs().healthy { Status::Ok } else { Status::ServiceUnavailable }
}

#[derive(Serialize)]
struct Models<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
}

async fn generate(
    state: &State,
    connections: &Connections,
    head: &Head,
    data: Data<'_>,
    chat: bool,
) -> Reply {
    let body = match data.open(MAX_BODY_BYTES.bytes()).into_bytes().await {
        Ok(body) if body.is_complete() => body.into_inner(),
        _ => return Reply::empty(Status::BadRequest),
    };
    let Ok(request) = serde_json::from_slice::<Generate>(&body) else {
        return Reply::empty(Status::UnprocessableEntity);
    };
    let answer = Answer::new(&request.model, &request.text());
    let begun = tokio::select! {
        begun = state.worker.begin(head.call(&body)) => begun,
        () = connections.client_gone(head.remote) => None,
    };
    let Some(run) = begun else {
        return Reply::empty(Status::InternalServerError);
    };
    if request.stream {
        let events = answer.events(chat, request.tokens());
        let receiver = run.stream(events, connections.clone(), head.remote);
        return Reply::pieces(Status::Ok, ContentType::EventStream, receiver, None);
    }
    whole(run, connections, head, &answer, request.tokens(), chat).await
}

/// Runs a request whose answer is given in one piece.
async fn whole(
    mut run: Run,
    connections: &Connections,
    head: &Head,
    answer: &Answer,
    tokens: u32,
    chat: bool,
) -> Reply {
    let result = tokio::select! {
        result = make_tokens(&mut run, tokens) => result,
        () = connections.client_gone(head.remote) => Err(Ended::CallerGone),
    };
    match result {
        Ok(()) => {
            run.finish();
            Reply::json(Status::Ok, &answer.whole(chat, tokens))
        }
        Err(ended) => {
            run.end(ended, connections, head.remote).await;
            Reply::empty(Status::InternalServerError)
        }
    }
}

async fn make_tokens(run: &mut Run, tokens: u32) -> Result<(), Ended> {
    for _ in 0..tokens {
        run.next_piece().await?;
    }
    Ok(())
}
