//! Exchange of state between the processes of the fleet: the configuration with its age, the
//! backend servers, the drained failure domains, reports about requests and backend servers, and the
//! addresses of entries.
//!
//! Ages in a response count as of the moment at which the request was sent. A delay in transit
//! therefore makes the content look older than it is, never fresher.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::domain_drains;
use crate::exchange_messages::{
    AgedBackendReport, BackendObservation, BackendReport, ExchangeRequest, ExchangeResponse,
    MemberDomains, RankGroup,
};
use crate::gossip::receive_reports;
use crate::listing::{self, ListingForPeer};
use crate::outbox::Round;
use crate::peer_call::{self, PeerCallError};
use crate::state::EntryState;
use crate::store_watch::{adopt_catalog, confirm_catalog};
use crate::{part_reports, retry_budget, store_availability, warm_up};
use futures_util::future::join_all;
use hickorycross_core::direct::{
    BackendServer, BootMs, COUNTING_MS, Catalog, CatalogState, GroupAssignment, GroupDigest,
    ListingUpdate,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// HTTP path of the exchange on the control address.
pub(crate) const EXCHANGE_PATH: &str = "/exchange";

/// Age of the configuration above which it counts as stale, and peers are asked for a fresher
/// confirmation.
///
/// It is slightly more than the age that the entry's own watch reaches while the store answers (2
/// s), so that peers are not asked without need.
const STALE_AGE_MS: u64 = 2_100;

/// The same at an entry that asks another one for changes, whose answers take a little longer.
const STALE_AGE_BEHIND_PEER_MS: u64 = 2_400;

/// Interval between requests while the configuration is stale.
const STALE_INTERVAL_MS: u64 = 400;

/// Time for which callers wait at the start of a process for the reports of its peers. A live peer
/// answers within some milliseconds. After the loss of many instances no peer answers, and callers
/// that have waited arrive all at once when the groups are back.
const INITIAL_ANSWER_TIMEOUT_MS: u64 = 60;

/// Number of requests sent at the short interval after the start, so that seeds learn of the
/// process soon.
const INITIAL_REQUESTS: u32 = 3;

/// Interval between requests while the configuration is fresh. They keep the peers known, and fetch
/// the reports that an entry missed while it was partitioned.
const INTERVAL_MS: u64 = 2_000;

/// Maximum number of entry addresses in a response, about 700 bytes. With fewer, the entries of a
/// large fleet would not hear of each other before they expire from each other's tables.
const MAX_MEMBERS: usize = 64;

/// Maximum number of cold servers in a response without the list of backend servers, about 800
/// bytes. Each one's report reaches an entry several times while the server is cold.
const MAX_COLD_REPORTS: usize = 64;

/// Longest time for which the response to a peer is held.
const MAX_HELD_MS: u64 = 2_000;

/// Difference by which this entry's confirmation of the configuration must be newer than a peer's for
/// the response not to be held.
const FRESHER_BY_MS: u64 = 300;

/// Applies a peer's request and returns the response.
fn handle_request(state: &EntryState, request: &ExchangeRequest) -> ExchangeResponse {
    let now = boot_now();
    if let Some(from) = request.from {
        note_member(state, from, now);
        if let Some(domain) = &request.failure_domain {
            state.store_watchers.borrow_mut().note(from, domain, now);
        }
    }
    let just_made = request.backend_report.map(|report| AgedBackendReport { report, age_ms: 0 });
    for report in just_made.iter().chain(&request.backend_reports) {
        receive_backend_report(state, *report, now);
    }
    if let Some(report) = &request.rank_group {
        note_rank_group(state, report, now);
    }
    receive_reports(state, &request.reports, true);
    part_reports::receive(state, &request.part_reports, true);
    if let Some(drains) = &request.drains {
        domain_drains::receive(state, drains, request.from);
    }
    let belief = state.catalog.borrow();
    let newer = newer_catalog(&belief, request);
    let ListingForPeer { backends, update } = listing::for_peer(state, request);
    let has_listing =
        backends.is_some() || update.as_ref().is_some_and(|update| !update.is_empty());
    let cold_figures = newer.map(|_| warm_up::figures(state)).unwrap_or_default();
    let cold_reports = if has_listing {
        state.backends.borrow().all_cold_reports(now)
    } else {
        state.backends.borrow().cold_reports(MAX_COLD_REPORTS, now)
    };
    let engine_figures = newer.map(|catalog| catalog.engine_figures());
    // Who waits for news asks for members elsewhere, so the answers to it stay small.
    let max_members = if request.wait_ms > 0 { 0 } else { MAX_MEMBERS };
    let (members, member_domains) = members_for_peer(state, max_members, now);
    let watchers = state.store_watchers.borrow();
    let domain_entries = request.failure_domain.as_deref().map(|it| watchers.report(it, now));
    let availability = state.store_availability.get().report(now);
    ExchangeResponse {
        version: belief.version(),
        age_ms: belief.age_ms(now),
        catalog: newer.map(|catalog| Catalog::clone(catalog)),
        residency: newer.and_then(|catalog| catalog.residency.clone()),
        entry_count: Some(state.entry_count.borrow().report(now)),
        backends_as_of: state.listing.borrow().as_of(),
        backends,
        members,
        reports: state.reports_for(request.reports_checksum, now),
        part_reports: state.part_reports_for(request.part_reports_checksum, now),
        drains: domain_drains::for_response(state),
        groups: state.groups_for(&request.group_checksums, now),
        cold_figures,
        cold_reports,
        engine_figures: engine_figures.unwrap_or_default(),
        listing_update: update,
        held_ms: 0,
        domain_entries: domain_entries.unwrap_or_default(),
        member_domains,
        reads_store: *state.watches_store.borrow() && state.reads_store.get(),
        is_leaving: state.drain.is_active(),
        store_regained_ms: availability.map(|report| report.since_ms),
        backends_age_ms: state.listing.borrow().age_ms(now),
        store_availability: availability,
    }
}

/// Returns the configuration in force if it is newer than that of a peer.
///
/// A configuration without its regions is not passed on: the peer would take it for that of an
/// earlier release, and one entry after the other would lose the regions.
fn newer_catalog<'a>(
    belief: &'a CatalogState,
    request: &ExchangeRequest,
) -> Option<&'a Arc<Catalog>> {
    let is_newer = |it: &&Arc<Catalog>| it.version > request.version && it.residency.is_some();
    belief.catalog().filter(is_newer)
}

/// Returns the peers that were seen most recently, each with the milliseconds since then, and their
/// failure domains.
fn members_for_peer(
    state: &EntryState,
    max_members: usize,
    now: BootMs,
) -> (Vec<(SocketAddr, u64)>, MemberDomains) {
    let peers = state.peers.borrow().most_recent(max_members);
    let watchers = state.store_watchers.borrow();
    let mut domains = MemberDomains::default();
    for peer in &peers {
        domains.push(watchers.domain_of(peer.address));
    }
    let members = peers.iter().map(|peer| (peer.address, now.since(peer.last_seen_at)));
    (members.collect(), domains)
}

/// Responds to a peer's request, which is held until there is something new if the peer asks for that.
pub(crate) async fn respond(state: &EntryState, request: ExchangeRequest) -> ExchangeResponse {
    let received_at = boot_now();
    let known_at = confirmation_known_to(state, &request, received_at);
    let wait_until = received_at.after(request.wait_ms.min(MAX_HELD_MS));
    while boot_now() < wait_until && !has_news(state, &request, known_at) {
        let left_ms = wait_until.since(boot_now());
        let news = state.store_news.notified();
        // At the end of the time there is nothing new, and the response says so.
        let _ = tokio::time::timeout(Duration::from_millis(left_ms), news).await;
    }
    let held_ms = boot_now().since(received_at);
    ExchangeResponse { held_ms, ..handle_request(state, &request) }
}

/// Returns the moment of the last confirmation of the configuration that counts as known to a peer: the
/// last one here, or that of the peer if it is much older.
fn confirmation_known_to(
    state: &EntryState,
    request: &ExchangeRequest,
    received_at: BootMs,
) -> Option<BootMs> {
    let confirmed_at = state.catalog.borrow().confirmed_at();
    let peers = request.age_ms.map(|age_ms| received_at.before(age_ms).after(FRESHER_BY_MS));
    peers.map_or(confirmed_at, |at| confirmed_at.min(Some(at)))
}

/// Returns whether this entry has learned something that a peer lacks, or its configuration was
/// confirmed later than at `known_at`.
fn has_news(state: &EntryState, request: &ExchangeRequest, known_at: Option<BootMs>) -> bool {
    let belief = state.catalog.borrow();
    let is_confirmed = belief.confirmed_at() > known_at;
    state.drain.is_active()
        || is_confirmed
        || domain_drains::differ(state, request.drains.as_ref())
        || newer_catalog(&belief, request).is_some()
        || state.listing.borrow().has_changed_since(request.backends_as_of)
}

/// Applies the report of an agent to the table of backend servers. If it is news, it is queued for the
/// other entries, since agents tell a few entries only.
fn receive_backend_report(state: &EntryState, aged: AgedBackendReport, now: BootMs) {
    let AgedBackendReport { report: BackendReport { address, observation }, age_ms } = aged;
    let reported_at = now.before(age_ms);
    let line = DecisionLog::fields("backend-server").with("address", address);
    let line = line.with("age_ms", age_ms);
    let mut backends = state.backends.borrow_mut();
    let (is_news, line) = match observation {
        BackendObservation::Pace { permille } => {
            let line = line.with("pace_permille", permille).with("outcome", "pace");
            (backends.note_pace(address, permille, reported_at), line)
        }
        BackendObservation::AgentReachability { is_reachable } => {
            let line = line.with("outcome", if is_reachable { "heard" } else { "unheard" });
            (backends.note_agent_reachable(address, is_reachable, reported_at), line)
        }
    };
    if is_news {
        state.log.note(line);
        state.outbox.add_backend(aged, now);
    }
}

/// Records the group of a backend server as its agent reports it.
fn note_rank_group(state: &EntryState, report: &RankGroup, now: BootMs) {
    let line = DecisionLog::fields("pool").with("address", report.address);
    let Some(group) = GroupDigest::of(&report.group) else {
        let line = line.with("group_name_bytes", report.group.len());
        state.log.note_routine(line.with("outcome", "name-refused"));
        return;
    };
    if state.backends.borrow_mut().note_group(report.address, group, now) {
        let line = line.with("group", &report.group).with("group_digest", group);
        state.log.note(line.with("outcome", "assigned"));
        state.prepare_added_pools();
    }
}

/// Applies a peer's response to a request that was sent at `sent_at`.
pub(crate) fn apply_response(
    state: &EntryState,
    peer: SocketAddr,
    response: ExchangeResponse,
    sent_at: BootMs,
) {
    note_member(state, peer, boot_now());
    note_domains(state, &response, sent_at);
    receive_reports(state, &response.reports, false);
    part_reports::receive(state, &response.part_reports, false);
    if let Some(drains) = &response.drains {
        domain_drains::receive(state, drains, Some(peer));
    }
    // All live peers hold the same reports, so one response suffices.
    state.has_asked_peers.set(true);
    if sent_at.since(state.started_at) >= COUNTING_MS {
        state.knows_entries.set(true);
    }
    if let Some(report) = response.entry_count {
        state.entry_count.borrow_mut().note_report(report, sent_at, boot_now());
    }
    retry_budget::update(state);
    for (address, silent_ms) in response.members {
        note_member(state, address, sent_at.before(silent_ms));
    }
    // A response that was held left the peer no earlier than that time after the request was sent.
    let as_of = sent_at.after(response.held_ms);
    let confirmed_at = response.age_ms.map(|age_ms| as_of.before(age_ms));
    if let Some(report) = response.store_availability {
        store_availability::note_report(state, peer, report, as_of);
    }
    if let Some(mut catalog) = response.catalog {
        for (service, figures) in response.cold_figures {
            if let Some(service) = catalog.services.get_mut(&service) {
                service.cold = figures;
            }
        }
        catalog.set_engine_figures(&response.engine_figures);
        catalog.residency = response.residency;
        adopt_catalog(state, catalog, confirmed_at.unwrap_or_default(), "peer");
    }
    if let Some(confirmed_at) = confirmed_at {
        confirm_catalog(state, response.version, confirmed_at);
    }
    if response.backends_as_of > state.listing.borrow().as_of() {
        receive_listing(
            state,
            peer,
            response.backends,
            response.listing_update,
            response.backends_as_of,
        );
    }
    if let Some(age_ms) = response.backends_age_ms {
        let confirmed_at = as_of.before(age_ms);
        state.listing.borrow_mut().confirm(response.backends_as_of, confirmed_at);
    }
    // After the list of backend servers, since groups of servers that are not listed are ignored.
    receive_groups(state, peer, &response.groups, sent_at);
    state.backends.borrow_mut().note_cold_reports(&response.cold_reports, sent_at);
}

/// Applies what a peer knows of the list of backend servers.
fn receive_listing(
    state: &EntryState,
    peer: SocketAddr,
    backends: Option<Vec<BackendServer>>,
    update: Option<ListingUpdate>,
    as_of: u64,
) {
    if let Some(backends) = backends {
        let line = DecisionLog::fields("backend-servers-heard").with("peer", peer);
        state.log.note(line.with("listed", backends.len()).with("as_of", as_of));
        listing::replace(state, backends, as_of);
    }
    if let Some(update) = update {
        listing::apply(state, update);
    }
}

/// Records the failure domains of the entries that a peer names.
fn note_domains(state: &EntryState, response: &ExchangeResponse, sent_at: BootMs) {
    let own_domain = state.settings.borrow().failure_domain.clone();
    let mut watchers = state.store_watchers.borrow_mut();
    for (entry, age_ms) in &response.domain_entries {
        watchers.note(*entry, &own_domain, sent_at.before(*age_ms));
    }
    for (index, (entry, age_ms)) in response.members.iter().enumerate() {
        if let Some(domain) = response.member_domains.get(index) {
            watchers.note(*entry, domain, sent_at.before(*age_ms));
        }
    }
}

/// Records the groups of backend servers that a peer knows.
fn receive_groups(
    state: &EntryState,
    peer: SocketAddr,
    groups: &[GroupAssignment],
    sent_at: BootMs,
) {
    let news = state.backends.borrow_mut().note_groups(groups, sent_at);
    if news > 0 {
        let line = DecisionLog::fields("pool").with("peer", peer).with("servers", news);
        state.log.note(line.with("outcome", "heard"));
        state.prepare_added_pools();
    }
}

fn note_member(state: &EntryState, address: SocketAddr, heard_at: BootMs) {
    if state.peers.borrow_mut().note(address, heard_at) {
        state.log.note(DecisionLog::fields("member").with("peer", address).with("outcome", "seen"));
        retry_budget::update(state);
    }
}

/// Exchanges state with peers continuously: at the start with all known ones, then with one at a
/// time, more often while the own configuration is stale.
pub(crate) async fn exchange_with_peers(state: Rc<EntryState>) {
    let mut sent_count = 0;
    let first = state.peers.borrow().candidates();
    let exchange = first.into_iter().map(|peer| exchange_with_peer(Rc::clone(&state), peer));
    // Peers that have not answered by then are asked again below.
    let _ =
        tokio::time::timeout(Duration::from_millis(INITIAL_ANSWER_TIMEOUT_MS), join_all(exchange))
            .await;
    state.has_asked_peers.set(true);
    loop {
        if let Some(peer) = state.random_peer() {
            let exchange = exchange_with_peer(Rc::clone(&state), peer);
            tokio::task::spawn_local(exchange);
            sent_count += 1;
        }
        expire(&state);
        pause(&state, sent_count).await;
    }
}

/// Waits until the next request is due.
async fn pause(state: &EntryState, sent_count: u32) {
    for _ in 0..INTERVAL_MS / STALE_INTERVAL_MS {
        tokio::time::sleep(Duration::from_millis(STALE_INTERVAL_MS)).await;
        let age_ms = state.catalog.borrow().age_ms(boot_now());
        let watches_store = *state.watches_store.borrow();
        let stale_ms = if watches_store { STALE_AGE_MS } else { STALE_AGE_BEHIND_PEER_MS };
        if sent_count < INITIAL_REQUESTS || age_ms.is_none_or(|age_ms| age_ms > stale_ms) {
            return;
        }
    }
}

/// Removes peers that have not been heard of for too long.
fn expire(state: &EntryState) {
    let gone = state.peers.borrow_mut().expire(boot_now());
    state.store_watchers.borrow_mut().expire(boot_now());
    for peer in &gone {
        state.log.note(DecisionLog::fields("member").with("peer", peer).with("outcome", "gone"));
    }
    if !gone.is_empty() {
        retry_budget::update(state);
    }
}

/// Sends a request that fetches the reports this entry lacks.
async fn exchange_with_peer(state: Rc<EntryState>, peer: SocketAddr) {
    let request = ExchangeRequest {
        reports_checksum: Some(state.reports_checksum()),
        part_reports_checksum: Some(state.part_crashes.borrow().checksum()),
        group_checksums: state.backends.borrow().group_checksums(),
        ..new_request(&state)
    };
    send_and_apply(&state, peer, request).await;
}

/// Pushes reports to a peer.
pub(crate) async fn push_reports(state: Rc<EntryState>, peer: SocketAddr, round: Round) {
    let Round { reports, part_reports, backend_reports } = round;
    let request = ExchangeRequest { reports, part_reports, backend_reports, ..new_request(&state) };
    send_and_apply(&state, peer, request).await;
}

/// Returns a request that tells what this entry knows of the store.
pub(crate) fn new_request(state: &EntryState) -> ExchangeRequest {
    let settings = state.settings.borrow();
    ExchangeRequest {
        from: settings.listen.control,
        failure_domain: Some(settings.failure_domain.clone()),
        version: known_version(state),
        backends_as_of: state.listing.borrow().as_of(),
        drains: domain_drains::for_request(state),
        ..ExchangeRequest::empty()
    }
}

/// Returns the version of the configuration in force, or the one before if its regions are missing, so
/// that a peer that has them sends it.
fn known_version(state: &EntryState) -> u64 {
    let catalog = state.catalog.borrow();
    catalog.version().saturating_sub(u64::from(catalog.lacks_residency()))
}

async fn send_and_apply(state: &EntryState, peer: SocketAddr, request: ExchangeRequest) {
    let sent_at = boot_now();
    match send(&state.client, peer, &request).await {
        Ok(response) => apply_response(state, peer, response, sent_at),
        Err(error) => {
            metrics::counter!("hickorycross_exchange_failures_total").increment(1);
            let line = DecisionLog::fields("member").with("peer", peer).with("error", error);
            state.log.note_routine(line.with("outcome", "silent"));
        }
    }
}

/// Sends a request to a peer and returns its response.
pub(crate) async fn send(
    client: &reqwest::Client,
    peer: SocketAddr,
    request: &ExchangeRequest,
) -> Result<ExchangeResponse, PeerCallError> {
    peer_call::post(client, peer, EXCHANGE_PATH, request).await
}
