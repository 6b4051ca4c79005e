//! Parses and validates the head of a request, and selects the headers to forward.

use super::path::check_path;
use crate::refusal::Rejection;
use hickorycross_core::UnixMs;
use hickorycross_core::entry::RequestTarget;
use hickorycross_core::message::Header;
use rocket::Request;
use serde::Deserialize;

/// Request header that marks a request as non-idempotent: it must run at most once.
const NON_IDEMPOTENT_HEADER: &str = "x-hickorycross-non-idempotent";
/// Request header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Request header with the caller's deadline, in milliseconds since the Unix epoch.
const DEADLINE_HEADER: &str = "x-hickorycross-deadline-unix-ms";
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Path prefix of the model API.
const MODEL_API_PREFIX: &str = "/v1/";
/// Prefix of headers that are reserved for use between caller and entry, and between agent and
/// backend server. They are not forwarded: otherwise, a caller could set the priority or the
/// attempt that a backend server sees, and be served before callers who pay for priority.
const RESERVED_PREFIX: &str = "x-hickorycross-";
/// Headers that are not forwarded, because they are meant for the entry or are hop-by-hop.
const NOT_FORWARDED: [&str; 12] = [
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

/// The validated head of a request.
pub(super) struct Head {
    pub(super) deadline: Option<UnixMs>,
    pub(super) idempotency_key: Option<String>,
    pub(super) non_idempotent: bool,
    /// Path with its query.
    pub(super) path: String,
    pub(super) forwarded_headers: Vec<Header>,
}

impl Head {
    pub(super) fn parse(request: &Request<'_>) -> Result<Self, Rejection> {
        let header = |name: &str| request.headers().get_one(name);
        let path = request.uri().to_string();
        check_path(without_query(&path)).map_err(Rejection::bad_request)?;
        Ok(Self {
            deadline: header(DEADLINE_HEADER).map(parse_deadline).transpose()?,
            idempotency_key: header(KEY_HEADER).map(parse_key).transpose()?,
            non_idempotent: header(NON_IDEMPOTENT_HEADER)
                .map(parse_bool)
                .transpose()?
                .unwrap_or(false),
            path,
            forwarded_headers: forwarded_headers(request),
        })
    }
}

/// Returns the caller's API key from the `authorization` header.
pub(super) fn api_key<'r>(request: &'r Request<'_>) -> Result<&'r str, Rejection> {
    request
        .headers()
        .get_one("authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| Rejection::unknown_key("send the header `authorization: Bearer <API key>`"))
}

/// The field of a model API body that is needed for routing.
#[derive(Deserialize)]
struct ModelBody {
    model: String,
}

/// Returns the model or path by which a request is routed.
pub(super) fn request_target(path: &str, body: &[u8]) -> Result<RequestTarget, Rejection> {
    let path = without_query(path);
    if !path.starts_with(MODEL_API_PREFIX) {
        return Ok(RequestTarget::Path(path.to_owned()));
    }
    let model: ModelBody = serde_json::from_slice(body).map_err(|error| {
        Rejection::bad_request(format!("the body is not a request for a model: {error}"))
    })?;
    Ok(RequestTarget::Model(model.model))
}

fn without_query(path: &str) -> &str {
    path.split('?').next().unwrap_or(path)
}

fn forwarded_headers(request: &Request<'_>) -> Vec<Header> {
    let hop_by_hop = connection_headers(request);
    request
        .headers()
        .iter()
        .map(|header| Header {
            name: header.name().as_str().to_ascii_lowercase(),
            value: header.value().as_bytes().to_vec(),
        })
        .filter(|header| !NOT_FORWARDED.contains(&header.name.as_str()))
        .filter(|header| !header.name.starts_with(RESERVED_PREFIX))
        .filter(|header| !hop_by_hop.contains(&header.name))
        .collect()
}

/// Returns the hop-by-hop headers that the caller lists in its `connection` header.
fn connection_headers(request: &Request<'_>) -> Vec<String> {
    let values = request.headers().get("connection");
    values.flat_map(|value| value.split(',')).map(|name| name.trim().to_ascii_lowercase()).collect()
}

fn parse_deadline(value: &str) -> Result<UnixMs, Rejection> {
    value.parse().map(UnixMs).map_err(|_| {
        let detail = format!("{DEADLINE_HEADER}: allowed are milliseconds since the Unix epoch");
        Rejection::bad_request(detail)
    })
}

fn parse_key(value: &str) -> Result<String, Rejection> {
    if (1..=MAX_KEY_BYTES).contains(&value.len()) {
        return Ok(value.to_owned());
    }
    Err(Rejection::bad_request(format!("{KEY_HEADER}: allowed are 1 to {MAX_KEY_BYTES} bytes")))
}

fn parse_bool(value: &str) -> Result<bool, Rejection> {
    match value {
        "true" | "1" => Ok(true),
        "false" | "0" => Ok(false),
        _ => {
            let detail = format!("{NON_IDEMPOTENT_HEADER}: allowed are true and false");
            Err(Rejection::bad_request(detail))
        }
    }
}
