//! What a caller asks for, judged by the catalog in force.

use super::Refusal;
use crate::clock::boot_now;
use crate::state::EntryState;
use hickorycross_core::direct::{BootMs, Catalog, RequestDigest, RequestIdentity, Route};
use http::header::{AUTHORIZATION, HOST};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderValue, Method, Uri};
use std::net::IpAddr;
use std::sync::Arc;

/// Time for which a caller is taken to wait that does not say so.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// A caller's request that the catalog allows.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) method: Method,
    host: String,
    /// Where the caller's connection comes from.
    address: IpAddr,
    /// Path and query as the caller sent them.
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) attempt_id: HeaderValue,
    pub(crate) arrived_at: BootMs,
    /// When the caller or the operator stops waiting, whichever is first.
    pub(crate) limit_at: BootMs,
    pub(crate) route: Route,
    pub(crate) catalog: Arc<Catalog>,
    /// Name of the team that holds the key; `None` on public routes.
    pub(crate) team: Option<String>,
    /// Priority of the team or route, 0 first.
    pub(crate) priority: u8,
    /// Time that the caller had used up before this attempt; 0 for its first one.
    pub(crate) used_ms: u64,
}

impl CallerRequest {
    /// The attempt's id for logs.
    pub(crate) fn id(&self) -> &str {
        self.attempt_id.to_str().unwrap_or("unreadable")
    }

    /// What the request asks for, together with its `body`.
    pub(crate) fn digest(&self, body: &[u8]) -> RequestDigest {
        let address = self.address.to_string();
        RequestDigest::of(&RequestIdentity {
            caller: self.team.as_deref().unwrap_or(&address),
            method: self.method.as_str(),
            host: &self.host,
            target: self.target.path_and_query().map_or("", PathAndQuery::as_str),
            body,
        })
    }

    /// Judges a request's head, sent from `address`.
    pub(crate) fn judge(
        state: &EntryState,
        parts: Parts,
        address: IpAddr,
    ) -> Result<Self, Refusal> {
        let now = boot_now();
        let catalog = state.catalog.borrow().catalog().cloned().ok_or(Refusal::NoConfiguration)?;
        let is_fresh = state.keys_are_fresh(now);
        let attempt_id = parts.headers.get(&state.names.attempt_id).cloned();
        let attempt_id = attempt_id.ok_or(Refusal::BadHead("the attempt id is missing"))?;
        let told_ms = deadline_ms(state, &parts.headers)?;
        let host = host(&parts).ok_or(Refusal::BadHead("the host is missing"))?.to_owned();
        // An entry that lost touch may lack a route or key that was just added; it must not say
        // that there is none.
        let unknown_route =
            if is_fresh { Refusal::UnknownRoute } else { Refusal::StaleConfiguration };
        let route = catalog.route(&host, parts.uri.path()).cloned().ok_or(unknown_route)?;
        let mut team = None;
        let mut priority = route.priority;
        if !route.public && !catalog.teams.is_empty() {
            if !is_fresh {
                return Err(Refusal::StaleConfiguration);
            }
            let key = api_key(state, &parts.headers).ok_or(Refusal::UnknownKey)?;
            let holder = catalog.team_of_key(key).ok_or(Refusal::UnknownKey)?;
            priority = holder.priority.unwrap_or(priority);
            team = Some(holder.name.clone());
        }
        let used_ms = told_ms.map_or(0, |ms| used_ms(state, ms, &route));
        let deadline_at = now.after(told_ms.unwrap_or(DEFAULT_DEADLINE_MS));
        let limit_at = deadline_at.min(now.after(route.timeout_ms));
        let target = target(&parts.uri).ok_or(Refusal::BadHead("the target has no path"))?;
        Ok(Self {
            method: parts.method,
            host,
            address,
            target,
            headers: parts.headers,
            attempt_id,
            arrived_at: now,
            limit_at,
            route,
            catalog,
            team,
            priority,
            used_ms,
        })
    }
}

/// Time that a caller with `left_ms` left had used up before, in earlier attempts.
fn used_ms(state: &EntryState, left_ms: u64, route: &Route) -> u64 {
    let mut deadlines = state.first_deadlines.borrow_mut();
    deadlines.entry(route.name.clone()).or_default().note(left_ms, route)
}

fn deadline_ms(state: &EntryState, headers: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(&state.names.deadline_ms) else { return Ok(None) };
    let text = value.to_str().ok().map(str::trim);
    let number = text.and_then(|text| text.parse::<f64>().ok()).filter(|number| *number >= 0.0);
    let bad = Refusal::BadHead("the deadline is not a number of milliseconds");
    let number = number.filter(|number| number.is_finite());
    number.map(|number| Some(number as u64)).ok_or(bad)
}

fn host(parts: &Parts) -> Option<&str> {
    let named = parts.uri.host();
    let header = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = named.or(header)?;
    Some(host.split(':').next().unwrap_or(host))
}

fn api_key<'a>(state: &EntryState, headers: &'a HeaderMap) -> Option<&'a str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case(state.names.key_scheme).then_some(key.trim())
}

fn target(uri: &Uri) -> Option<Uri> {
    Some(Uri::from(uri.path_and_query()?.clone()))
}
