//! Requests permits to send to an overloaded backend server from the entry that grants them, and
//! grants permits to others.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::gossip::{GossipReport, receive_reports};
use crate::peer_call::{self, PeerCallError};
use crate::state::EntryState;
use hickorycross_core::direct::{
    BootMs, IncarnationDigest, LimitGrant, LimitReport, granting_entry,
};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// HTTP path of the requests on the control address.
pub(crate) const LIMIT_SHARE_PATH: &str = "/limit-share";

/// Time for which an entry that did not answer is not asked for permits; meanwhile another one
/// grants them.
const SILENT_ENTRY_TTL_MS: u64 = 5_000;

/// Maximum number of silent entries named in a request.
const MAX_SILENT_ENTRIES: usize = 16;

/// Maximum number of redirects that a requester follows when an entry names another one as the
/// granting entry.
pub(crate) const MAX_REDIRECTS: u32 = 2;

/// A request for permits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    /// Control address of the entry that requests.
    #[serde(rename = "asker")]
    requester: SocketAddr,
    /// The limit of the backend server, as the requester knows it.
    #[serde(rename = "word")]
    report: LimitReport,
    /// Number of permits.
    wanted: u32,
    /// Entries that did not answer lately, and for how many more milliseconds they are not asked.
    /// Without this list the receiver would redirect the requester to one of them, and nobody would
    /// grant.
    silent: Vec<(SocketAddr, u64)>,
}

/// The answer to a request for permits.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum PermitResponse {
    /// The granted permits.
    Granted(LimitGrant),
    /// Another entry grants the permits of the backend server.
    #[serde(rename = "Ask")]
    Redirect(SocketAddr),
}

/// Entries that did not answer lately, and until when they are not asked.
#[derive(Debug, Default)]
pub(crate) struct SilentEntries(RefCell<IndexMap<SocketAddr, BootMs>>);

impl SilentEntries {
    /// Records that an entry did not answer.
    pub(crate) fn note_silent(&self, entry: SocketAddr) {
        self.0.borrow_mut().insert(entry, boot_now().after(SILENT_ENTRY_TTL_MS));
    }

    /// Returns whether an entry is not to be asked at present.
    pub(crate) fn contains(&self, entry: SocketAddr) -> bool {
        self.0.borrow().get(&entry).is_some_and(|until| *until > boot_now())
    }

    /// Adds the silent entries that another entry reports. Their remaining time is kept: if it
    /// started again at each entry, the report of an entry that answers again would circulate for
    /// ever.
    pub(crate) fn merge(&self, entries: &[(SocketAddr, u64)]) {
        let now = boot_now();
        for (entry, left_ms) in entries {
            let reported_until = now.after((*left_ms).min(SILENT_ENTRY_TTL_MS));
            let mut silent = self.0.borrow_mut();
            let until = silent.entry(*entry).or_default();
            *until = reported_until.max(*until);
        }
    }

    /// Returns silent entries, each with its remaining time in milliseconds.
    pub(crate) fn to_list(&self) -> Vec<(SocketAddr, u64)> {
        let now = boot_now();
        self.0.borrow_mut().retain(|_, until| *until > now);
        let silent = self.0.borrow();
        let left = silent.iter().map(|(entry, until)| (*entry, until.since(now)));
        left.take(MAX_SILENT_ENTRIES).collect()
    }
}

/// Returns the entry that grants the permits of a backend server, as far as this entry knows.
fn find_granting_entry(
    state: &EntryState,
    own: SocketAddr,
    incarnation: IncarnationDigest,
) -> SocketAddr {
    let peers = state.peers.borrow();
    let others = peers.peers().map(|peer| peer.address);
    let answering = others.filter(|entry| !state.silent_entries.contains(*entry));
    granting_entry(incarnation, answering.chain([own])).unwrap_or(own)
}

/// Answers a request for permits.
pub(crate) fn handle_request(state: &EntryState, request: &PermitRequest) -> PermitResponse {
    let PermitRequest { requester, report, wanted, ref silent } = *request;
    state.silent_entries.merge(silent);
    receive_reports(state, &[GossipReport::Limit(report)], true);
    let own = state.settings.borrow().listen.control;
    let granting = own.map(|own| find_granting_entry(state, own, report.incarnation));
    match granting {
        Some(entry) if Some(entry) != own && entry != requester => PermitResponse::Redirect(entry),
        _ => PermitResponse::Granted(grant(state, report.incarnation, requester, wanted)),
    }
}

/// Grants permits to an entry, within the limit of the backend server.
fn grant(
    state: &EntryState,
    incarnation: IncarnationDigest,
    requester: SocketAddr,
    wanted: u32,
) -> LimitGrant {
    let limit = state.limits.borrow().millirequests_per_s(incarnation).unwrap_or(0);
    let now = boot_now();
    let grant = state.limit_grants.borrow_mut().grant(incarnation, limit, requester, wanted, now);
    let line = DecisionLog::fields("limit-grant").with("backend_digest", incarnation);
    let line = line.with("limit_millirequests_per_s", limit).with("asker", requester);
    let line = line.with("wanted", wanted).with("permits", grant.permits);
    state.log.note_routine(line.with("ask_again_ms", grant.ask_again_ms));
    grant
}

/// Requests permits and records the grant.
pub(crate) async fn request_permits(state: Rc<EntryState>, report: LimitReport, wanted: u32) {
    let incarnation = report.incarnation;
    let sent_at = boot_now();
    let Some(own) = state.settings.borrow().listen.control else { return };
    match fetch_grant(&state, own, report, wanted).await {
        Some(grant) => {
            state.limit_permits.borrow_mut().note_grant(incarnation, grant, sent_at);
            state.capacity_changed.notify_waiters();
        }
        None => state.limit_permits.borrow_mut().note_unanswered(incarnation, boot_now()),
    }
}

/// Requests permits from the granting entry and follows redirects. Returns `None` if an entry does
/// not answer or there are too many redirects.
async fn fetch_grant(
    state: &EntryState,
    own: SocketAddr,
    report: LimitReport,
    wanted: u32,
) -> Option<LimitGrant> {
    let mut entry = find_granting_entry(state, own, report.incarnation);
    for _ in 0..=MAX_REDIRECTS {
        if entry == own {
            return Some(grant(state, report.incarnation, own, wanted));
        }
        let silent = state.silent_entries.to_list();
        let request = PermitRequest { requester: own, report, wanted, silent };
        let response: Result<PermitResponse, PeerCallError> =
            peer_call::post(&state.client, entry, LIMIT_SHARE_PATH, &request).await;
        match response {
            Ok(PermitResponse::Granted(grant)) => return Some(grant),
            Ok(PermitResponse::Redirect(other)) => entry = other,
            Err(error) => {
                state.silent_entries.note_silent(entry);
                let line = DecisionLog::fields("member").with("peer", entry);
                state.log.note_routine(line.with("error", error).with("outcome", "no-permits"));
                return None;
            }
        }
    }
    None
}
