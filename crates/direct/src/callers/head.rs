//! Checks the head of a caller's request against the current catalog.

use super::Refusal;
use crate::clock::boot_now;
use crate::state::EntryState;
use crate::wire_names::WireNames;
use hickorycross_core::direct::{
    BootMs, CallerDigest, Catalog, PromptPart, RequestDigest, RequestIdentity, Route, StatedTokens,
    UnreadableTokens,
};
use http::header::{AUTHORIZATION, HOST};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Uri};
use std::net::IpAddr;
use std::sync::Arc;

/// Timeout of a request that names none.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// A caller's request that was accepted.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    host: String,
    /// Remote address of the caller's connection.
    address: IpAddr,
    /// Path and query as the caller sent them.
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    /// Id that the caller gave this attempt; a retry has another one.
    pub(crate) attempt_id: HeaderValue,
    pub(crate) arrived_at: BootMs,
    /// When the caller's or the route's timeout ends, whichever is first.
    pub(crate) deadline_at: BootMs,
    pub(crate) route: Route,
    /// The catalog by which the request was accepted.
    pub(crate) catalog: Arc<Catalog>,
    /// Name of the team to which the API key belongs; `None` if no key is needed.
    pub(crate) team: Option<String>,
    /// Priority of the team, or else of the route; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Time that the caller used up in earlier attempts, in milliseconds; 0 for the first one.
    pub(crate) used_ms: u64,
}

impl CallerRequest {
    /// Returns the attempt id for log lines.
    pub(crate) fn id(&self) -> &str {
        self.attempt_id.to_str().unwrap_or("unreadable")
    }

    /// Returns the team that sent the request, or the address of a caller without a key.
    fn caller(&self) -> String {
        self.team.clone().unwrap_or_else(|| self.address.to_string())
    }

    /// Returns the digest of the team or caller that sent the request.
    pub(crate) fn caller_digest(&self) -> CallerDigest {
        CallerDigest::of(&self.caller())
    }

    /// Returns the digest of the request's content, which includes its `body`.
    pub(crate) fn digest(&self, body: &[u8]) -> RequestDigest {
        RequestDigest::of(&RequestIdentity {
            caller: &self.caller(),
            method: self.method.as_str(),
            host: &self.host,
            target: self.target.path_and_query().map_or("", PathAndQuery::as_str),
            body,
        })
    }

    /// Returns the parts of the request's prompt that other requests at `service` may share.
    pub(crate) fn prompt_parts(&self, state: &EntryState, service: &str) -> Vec<PromptPart> {
        let fields = self.headers.get_all(&state.names.prompt_parts).iter();
        let lists: Vec<&str> = fields.filter_map(|value| value.to_str().ok()).collect();
        PromptPart::parse_shared(service, &lists.join(","))
    }

    /// Returns what the caller states about the tokens of the request.
    ///
    /// # Errors
    ///
    /// When a field is malformed or was given twice.
    pub(crate) fn stated_tokens(
        &self,
        names: &WireNames,
    ) -> Result<StatedTokens, UnreadableTokens> {
        // A value that is no text cannot be a number either.
        let values = |name| self.headers.get_all(name).iter().map(|it| it.to_str().unwrap_or("?"));
        StatedTokens::parse(values(&names.token_usage), values(&names.length_hint))
    }

    /// Checks the head of a request that was sent from `address`.
    ///
    /// # Errors
    ///
    /// When no catalog is known, a required field is missing or invalid, no route matches, or the
    /// API key is not valid.
    pub(crate) fn accept(
        state: &EntryState,
        parts: Parts,
        address: IpAddr,
    ) -> Result<Self, Refusal> {
        let now = boot_now();
        let catalog = state.catalog.borrow().catalog().cloned().ok_or(Refusal::NoConfiguration)?;
        if !state.knows_drains() {
            return Err(Refusal::NoConfiguration);
        }
        let is_catalog_fresh = state.keys_are_fresh(now);
        let attempt_id = parts.headers.get(&state.names.attempt_id).cloned();
        let attempt_id = attempt_id.ok_or(Refusal::BadHead("the attempt id is missing"))?;
        let timeout_ms = caller_timeout_ms(state, &parts.headers)?;
        let host = host(&parts).ok_or(Refusal::BadHead("the host is missing"))?.to_owned();
        // An outdated catalog may lack a route or key that was just added, so the caller must not
        // be told that it does not exist.
        let unknown_route =
            if is_catalog_fresh { Refusal::UnknownRoute } else { Refusal::StaleConfiguration };
        let route = catalog.route(&host, parts.uri.path()).cloned().ok_or(unknown_route)?;
        let mut team = None;
        let mut priority = route.priority;
        if !route.public && !catalog.teams.is_empty() {
            if !is_catalog_fresh {
                return Err(Refusal::StaleConfiguration);
            }
            let key = api_key(state, &parts.headers).ok_or(Refusal::UnknownKey)?;
            let holder = catalog.team_of_key(key).ok_or(Refusal::UnknownKey)?;
            priority = holder.priority.unwrap_or(priority);
            team = Some(holder.name.clone());
        }
        let used_ms = timeout_ms.map_or(0, |ms| used_ms(state, ms, &route));
        let caller_deadline_at = now.after(timeout_ms.unwrap_or(DEFAULT_DEADLINE_MS));
        let deadline_at = caller_deadline_at.min(now.after(route.timeout_ms));
        let target = target(&parts.uri).ok_or(Refusal::BadHead("the target has no path"))?;
        Ok(Self {
            method: parts.method,
            host,
            address,
            target,
            headers: parts.headers,
            attempt_id,
            arrived_at: now,
            deadline_at,
            route,
            catalog,
            team,
            priority,
            used_ms,
        })
    }
}

/// Returns the time in milliseconds that a caller with `left_ms` left used up in earlier attempts.
fn used_ms(state: &EntryState, left_ms: u64, route: &Route) -> u64 {
    let mut timeouts = state.initial_timeouts.borrow_mut();
    timeouts.entry(route.name.clone()).or_default().note(left_ms, route)
}

/// Returns the time for which the caller waits, in milliseconds, if the request names it.
fn caller_timeout_ms(state: &EntryState, headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(&state.names.deadline_ms) else { return Ok(None) };
    let text = value.to_str().ok().map(str::trim);
    let number = text.and_then(|text| text.parse::<f64>().ok()).filter(|number| *number >= 0.0);
    let error = Refusal::BadHead("the deadline is not a number of milliseconds");
    let number = number.filter(|number| number.is_finite());
    number.map(|number| Some(number as u64)).ok_or(error)
}

/// Returns the requested host without its port.
fn host(parts: &Parts) -> Option<&str> {
    let named = parts.uri.host();
    let header = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = named.or(header)?;
    Some(host.split(':').next().unwrap_or(host))
}

/// Returns the API key of the `Authorization` field, if it has the right scheme.
fn api_key<'a>(state: &EntryState, headers: &'a HeaderMap) -> Option<&'a str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case(state.names.key_scheme).then_some(key.trim())
}

/// Returns the path and query of a request target.
fn target(uri: &Uri) -> Option<Uri> {
    Some(Uri::from(uri.path_and_query()?.clone()))
}
