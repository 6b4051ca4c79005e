//! What the entry reads of a request's head.

use super::path::check_path;
use crate::refusal::Rejected;
use hickorycross_core::UnixMs;
use hickorycross_core::entry::RequestTarget;
use hickorycross_core::message::Header;
use rocket::Request;
use serde::Deserialize;

/// Marks a request that must run at most once.
const NON_IDEMPOTENT_HEADER: &str = "x-hickorycross-non-idempotent";
/// The caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// The caller's own deadline, in milliseconds since the Unix epoch.
const DEADLINE_HEADER: &str = "x-hickorycross-deadline-unix-ms";
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Paths of the model API begin so.
const MODEL_API_PREFIX: &str = "/v1/";
/// Headers with this beginning are between a caller and the entry, or between the agent and its
/// backend server. Passed on, a caller's own could name a priority or an attempt, and a caller who
/// pays for no priority would be served before those who do.
const OWN_PREFIX: &str = "x-hickorycross-";
/// Headers that are the entry's own business or belong to one connection.
const NOT_PASSED_ON: [&str; 12] = [
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
];

/// A head that follows the rules of the API.
pub(super) struct Head {
    pub(super) deadline: Option<UnixMs>,
    pub(super) idempotency_key: Option<String>,
    pub(super) non_idempotent: bool,
    /// Path with query.
    pub(super) path: String,
    pub(super) passed_on: Vec<Header>,
}

impl Head {
    pub(super) fn parse(request: &Request<'_>) -> Result<Self, Rejected> {
        let one = |name: &str| request.headers().get_one(name);
        let path = request.uri().to_string();
        check_path(without_query(&path)).map_err(Rejected::bad_request)?;
        Ok(Self {
            deadline: one(DEADLINE_HEADER).map(parse_deadline).transpose()?,
            idempotency_key: one(KEY_HEADER).map(parse_key).transpose()?,
            non_idempotent: one(NON_IDEMPOTENT_HEADER)
                .map(parse_mark)
                .transpose()?
                .unwrap_or(false),
            path,
            passed_on: passed_on(request),
        })
    }
}

/// The caller's API key.
pub(super) fn api_key<'r>(request: &'r Request<'_>) -> Result<&'r str, Rejected> {
    request
        .headers()
        .get_one("authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| Rejected::unknown_key("send the header `authorization: Bearer <API key>`"))
}

/// What the model API's body must have for routing.
#[derive(Deserialize)]
struct ModelBody {
    model: String,
}

/// Where a request leads.
pub(super) fn wanted(path: &str, body: &[u8]) -> Result<RequestTarget, Rejected> {
    let path = without_query(path);
    if !path.starts_with(MODEL_API_PREFIX) {
        return Ok(RequestTarget::Path(path.to_owned()));
    }
    let model: ModelBody = serde_json::from_slice(body).map_err(|error| {
        Rejected::bad_request(format!("the body is not a request for a model: {error}"))
    })?;
    Ok(RequestTarget::Model(model.model))
}

fn without_query(path: &str) -> &str {
    path.split('?').next().unwrap_or(path)
}

fn passed_on(request: &Request<'_>) -> Vec<Header> {
    let hop_by_hop = named_in_connection(request);
    request
        .headers()
        .iter()
        .map(|header| Header {
            name: header.name().as_str().to_ascii_lowercase(),
            value: header.value().as_bytes().to_vec(),
        })
        .filter(|header| !NOT_PASSED_ON.contains(&header.name.as_str()))
        .filter(|header| !header.name.starts_with(OWN_PREFIX))
        .filter(|header| !hop_by_hop.contains(&header.name))
        .collect()
}

/// Headers that the caller's `connection` header declares to belong to this connection.
fn named_in_connection(request: &Request<'_>) -> Vec<String> {
    let values = request.headers().get("connection");
    values.flat_map(|value| value.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect()
}

fn parse_deadline(value: &str) -> Result<UnixMs, Rejected> {
    value.parse().map(UnixMs).map_err(|_| {
        let detail = format!("{DEADLINE_HEADER}: allowed are milliseconds since the Unix epoch");
        Rejected::bad_request(detail)
    })
}

fn parse_key(value: &str) -> Result<String, Rejected> {
    if (1..=MAX_KEY_BYTES).contains(&value.len()) {
        return Ok(value.to_owned());
    }
    Err(Rejected::bad_request(format!("{KEY_HEADER}: allowed are 1 to {MAX_KEY_BYTES} bytes")))
}

fn parse_mark(value: &str) -> Result<bool, Rejected> {
    match value {
        "true" | "1" => Ok(true),
        "false" | "0" => Ok(false),
        _ => {
            let detail = format!("{NON_IDEMPOTENT_HEADER}: allowed are true and false");
            Err(Rejected::bad_request(detail))
        }
    }
}
