//! Requests permits to send to a cold server from the entry that grants them, and grants permits to
//! others.
//!
//! The path differs from that of [`crate::limit_share`]: an entry of an earlier release would take
//! the rate for a limit that the server announced.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::limit_share::MAX_REDIRECTS;
use crate::peer_call::{self, PeerCallError};
use crate::state::EntryState;
use hickorycross_core::direct::{
    ColdReport, ColdServer, GrantLookup, GrantRate, IncarnationDigest, LimitGrant,
    cold_granting_entry,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;

/// HTTP path of the requests on the control address.
pub(crate) const WARM_UP_SHARE_PATH: &str = "/warm-up-share";

/// A request for permits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ColdPermitRequest {
    /// Control address of the entry that requests.
    requester: SocketAddr,
    /// The cold server, which the receiver may not know to be cold.
    report: ColdReport,
    /// The rate of one granting entry by the requester's configuration and settings.
    rate: GrantRate,
    /// Number of permits.
    wanted: u32,
    /// Whether the receiver is one of the requester's seeds.
    is_seed: bool,
    /// Whether the requester is settled, or an entry that is has named the receiver.
    is_settled: bool,
    /// Entries that did not answer lately, and for how many more milliseconds they are not asked.
    silent: Vec<(SocketAddr, u64)>,
}

/// The answer to a request for permits.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum ColdPermitResponse {
    /// The granted permits.
    Granted(LimitGrant),
    /// Another entry grants the permits of the server.
    Redirect {
        /// That entry.
        entry: SocketAddr,
        /// Whether the entry that answers is settled.
        is_settled: bool,
    },
}

/// Time for which an entry must have known live peers to be settled. By then it knows nine in ten
/// entries of a large fleet.
const SETTLED_MS: u64 = 60_000;

/// Returns whether this entry knows nearly all others.
fn is_settled(state: &EntryState) -> bool {
    boot_now().since(state.alone_at.get()) >= SETTLED_MS
}

/// Returns the entry that grants the permits of a cold server, as far as this entry knows.
fn find_granting_entry(
    state: &EntryState,
    own: SocketAddr,
    incarnation: IncarnationDigest,
    lookup: GrantLookup,
) -> SocketAddr {
    let all_seeds = state.settings.borrow().seeds.clone();
    // The others know this entry by its address, and ask it.
    let is_only_seed = !all_seeds.is_empty() && all_seeds.iter().all(|seed| *seed == own);
    if is_only_seed && lookup != GrantLookup::Settled {
        return own;
    }
    let is_answering = |entry: &SocketAddr| !state.cold_silent_entries.contains(*entry);
    let seeds: Vec<SocketAddr> = all_seeds.into_iter().filter(is_answering).collect();
    let peers = state.peers.borrow();
    let peers: Vec<SocketAddr> =
        peers.peers().map(|peer| peer.address).filter(is_answering).collect();
    cold_granting_entry(incarnation, &seeds, &peers, own, lookup)
}

/// Answers a request for permits.
pub(crate) fn handle_request(
    state: &EntryState,
    request: &ColdPermitRequest,
) -> ColdPermitResponse {
    let ColdPermitRequest { requester, report, rate, wanted, ref silent, .. } = *request;
    let is_own_settled = is_settled(state);
    let lookup = GrantLookup::asked(is_own_settled, request.is_settled, request.is_seed);
    let own = state.settings.borrow().listen.control;
    let silent: Vec<_> = silent.iter().copied().filter(|(it, _)| Some(*it) != own).collect();
    state.cold_silent_entries.merge(&silent);
    // The question was sent at this time at the earliest, or the requester has given up.
    let sent_at = boot_now().before(peer_call::ANSWER_TIMEOUT_MS);
    state.backends.borrow_mut().note_cold_reports(&[report], sent_at);
    let granting = own.map(|own| find_granting_entry(state, own, report.incarnation, lookup));
    match granting {
        Some(entry) if Some(entry) != own => {
            ColdPermitResponse::Redirect { entry, is_settled: is_own_settled }
        }
        _ => ColdPermitResponse::Granted(grant(state, report.incarnation, rate, requester, wanted)),
    }
}

/// Grants permits to an entry, at the lower one of its rate and the rate that this entry knows.
fn grant(
    state: &EntryState,
    incarnation: IncarnationDigest,
    rate: GrantRate,
    requester: SocketAddr,
    wanted: u32,
) -> LimitGrant {
    let rate = state.backends.borrow().rate_of(incarnation).map_or(rate, |own| own.min(rate));
    let now = boot_now();
    let grant =
        state.cold_grants.borrow_mut().grant_cold(incarnation, rate, requester, wanted, now);
    let line = DecisionLog::fields("cold-grant").with("backend_digest", incarnation);
    let line = line.with("millirequests_per_s", rate.millirequests_per_s).with("asker", requester);
    let line = line.with("wanted", wanted).with("permits", grant.permits);
    state.log.note_routine(line.with("ask_again_ms", grant.ask_again_ms));
    grant
}

/// Requests permits and records the grant.
pub(crate) async fn request_permits(state: Rc<EntryState>, server: ColdServer, wanted: u32) {
    let sent_at = boot_now();
    let Some(own) = state.settings.borrow().listen.control else { return };
    match fetch_grant(&state, own, &server, wanted).await {
        Some(grant) => {
            state.cold_permits.borrow_mut().note_grant(server.incarnation, grant, sent_at);
            state.capacity_changed.notify_waiters();
        }
        None => state.cold_permits.borrow_mut().note_unanswered(server.incarnation, boot_now()),
    }
}

/// Requests permits from the granting entry and follows redirects. Returns `None` if an entry does
/// not answer or there are too many redirects.
async fn fetch_grant(
    state: &EntryState,
    own: SocketAddr,
    server: &ColdServer,
    wanted: u32,
) -> Option<LimitGrant> {
    let (incarnation, rate) = (server.incarnation, server.rate);
    let mut is_settled = is_settled(state);
    let lookup = if is_settled { GrantLookup::Settled } else { GrantLookup::Asking };
    let mut entry = find_granting_entry(state, own, incarnation, lookup);
    for _ in 0..=MAX_REDIRECTS {
        if entry == own {
            return Some(grant(state, incarnation, rate, own, wanted));
        }
        let report = state.backends.borrow().cold_report(&server.id, boot_now())?;
        let silent = state.cold_silent_entries.to_list();
        let is_seed = state.settings.borrow().seeds.contains(&entry);
        let requester = own;
        let request =
            ColdPermitRequest { requester, report, rate, wanted, is_seed, is_settled, silent };
        let response: Result<ColdPermitResponse, PeerCallError> =
            peer_call::post(&state.client, entry, WARM_UP_SHARE_PATH, &request).await;
        match response {
            Ok(ColdPermitResponse::Granted(grant)) => return Some(grant),
            Ok(ColdPermitResponse::Redirect { entry: other, is_settled: is_known_better }) => {
                entry = other;
                is_settled |= is_known_better;
            }
            Err(error) => {
                state.cold_silent_entries.note_silent(entry);
                let line = DecisionLog::fields("member").with("peer", entry);
                state.log.note_routine(line.with("error", error).with("outcome", "no-permits"));
                return None;
            }
        }
    }
    let line = DecisionLog::fields("member").with("peer", entry);
    state.log.note_routine(line.with("outcome", "too-many-redirects"));
    None
}
