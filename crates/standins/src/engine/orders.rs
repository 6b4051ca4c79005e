//! The engine's calls for the agent beside it: orders and the state of its ranks.

use super::State;
use crate::group::{OrderCall, RankHost};
use crate::reply::{MAX_BODY_BYTES, Reply};
use hickorycross_core::group::ExpertMap;
use hickorycross_core::placement::RankLoad;
use rocket::data::{Data, ToByteUnit as _};
use rocket::http::Status;
use rocket::{Route, get, post};
use serde::Serialize;
use std::sync::Arc;

/// The calls' shared state.
type Shared = rocket::State<Arc<State>>;

pub(super) fn routes() -> Vec<Route> {
    rocket::routes![order, ranks, maps, load]
}

#[post("/v1/orders", data = "<data>")]
async fn order(state: &Shared, data: Data<'_>) -> Reply {
    let Some(ranks) = &state.ranks else {
        return Reply::empty(Status::NotFound);
    };
    let body = match data.open(MAX_BODY_BYTES.bytes()).into_bytes().await {
        Ok(body) if body.is_complete() => body.into_inner(),
        _ => return Reply::empty(Status::BadRequest),
    };
    let Ok(call) = serde_json::from_slice::<OrderCall>(&body) else {
        return Reply::empty(Status::UnprocessableEntity);
    };
    match ranks.order(call) {
        Ok(state) => Reply::json(Status::Ok, &state),
        Err(old) => Reply::json(Status::Conflict, &old),
    }
}

#[get("/v1/ranks")]
fn ranks(state: &Shared) -> Reply {
    reply(state, RankHost::report)
}

#[get("/v1/ranks/maps")]
fn maps(state: &Shared) -> Reply {
    reply(state, |ranks| Maps { maps: ranks.maps() })
}

#[get("/v1/ranks/load?<after>")]
fn load(state: &Shared, after: u64) -> Reply {
    reply(state, |ranks| Loads { windows: ranks.loads(after) })
}

/// Body of `GET /v1/ranks/load`.
#[derive(Serialize)]
struct Loads {
    windows: Vec<RankLoad>,
}

/// Body of `GET /v1/ranks/maps`: the maps in use, granted or staged.
#[derive(Serialize)]
struct Maps {
    maps: Vec<ExpertMap>,
}

fn reply<B: Serialize>(state: &State, body: impl FnOnce(&RankHost) -> B) -> Reply {
    state.ranks.as_ref().map_or_else(
        || Reply::empty(Status::NotFound),
        |ranks| Reply::json(Status::Ok, &body(ranks)),
    )
}
