//! Asks the entry that grants them for permits to send to a backend server in need, and grants them.

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

/// Path of the questions on the control address.
pub(crate) const LIMIT_SHARE_PATH: &str = "/limit-share";

/// Time for which an entry that did not answer is not asked for permits; another one grants meanwhile.
const SILENT_KEPT_MS: u64 = 5_000;

/// Silent entries that a question names at most.
const MOST_SILENT: usize = 16;

/// Entries that a question is handed on to, when those that are asked know one that should grant instead.
const MOST_HOPS: u32 = 2;

/// A question for permits.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    asker: SocketAddr,
    /// What the asker knows of the limit.
    word: LimitReport,
    wanted: u32,
    /// Entries that did not answer lately, and for how many milliseconds more they are not asked. Who is asked
    /// would name them as the ones that grant, and nobody would.
    silent: Vec<(SocketAddr, u64)>,
}

/// An answer to a question for permits.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum PermitResponse {
    /// What is granted.
    Granted(LimitGrant),
    /// Another entry grants.
    Ask(SocketAddr),
}

/// Entries that did not answer lately, and until when they are not asked.
#[derive(Debug, Default)]
pub(crate) struct SilentEntries(RefCell<IndexMap<SocketAddr, BootMs>>);

impl SilentEntries {
    fn note(&self, entry: SocketAddr) {
        self.0.borrow_mut().insert(entry, boot_now().after(SILENT_KEPT_MS));
    }

    fn contains(&self, entry: SocketAddr) -> bool {
        self.0.borrow().get(&entry).is_some_and(|until| *until > boot_now())
    }

    /// Takes over what another entry says. Its time is kept: passed on anew each time, the word of an entry
    /// that answers again would never end.
    fn hear(&self, entries: &[(SocketAddr, u64)]) {
        let now = boot_now();
        for (entry, left_ms) in entries {
            let heard_until = now.after((*left_ms).min(SILENT_KEPT_MS));
            let mut silent = self.0.borrow_mut();
            let until = silent.entry(*entry).or_default();
            *until = heard_until.max(*until);
        }
    }

    fn all(&self) -> Vec<(SocketAddr, u64)> {
        let now = boot_now();
        self.0.borrow_mut().retain(|_, until| *until > now);
        let silent = self.0.borrow();
        let left = silent.iter().map(|(entry, until)| (*entry, until.since(now)));
        left.take(MOST_SILENT).collect()
    }
}

/// The entry that grants the permits of a backend server, as far as this one knows.
fn granting(state: &EntryState, own: SocketAddr, incarnation: IncarnationDigest) -> SocketAddr {
    let peers = state.peers.borrow();
    let others = peers.peers().map(|peer| peer.address);
    let answering = others.filter(|entry| !state.silent_entries.contains(*entry));
    granting_entry(incarnation, answering.chain([own])).unwrap_or(own)
}

/// Answers a question for permits.
pub(crate) fn handle_request(state: &EntryState, question: &PermitRequest) -> PermitResponse {
    let PermitRequest { asker, word, wanted, ref silent } = *question;
    state.silent_entries.hear(silent);
    receive_reports(state, &[GossipReport::Limit(word)], true);
    let own = state.settings.borrow().listen.control;
    let granting = own.map(|own| granting(state, own, word.incarnation));
    match granting {
        Some(entry) if Some(entry) != own && entry != asker => PermitResponse::Ask(entry),
        _ => PermitResponse::Granted(grant(state, word.incarnation, asker, wanted)),
    }
}

fn grant(
    state: &EntryState,
    incarnation: IncarnationDigest,
    asker: SocketAddr,
    wanted: u32,
) -> LimitGrant {
    let limit = state.limits.borrow().millirequests_per_s(incarnation).unwrap_or(0);
    let now = boot_now();
    let grant = state.limit_grants.borrow_mut().grant(incarnation, limit, asker, wanted, now);
    let line = DecisionLog::fields("limit-grant").with("backend_digest", incarnation);
    let line = line.with("limit_millirequests_per_s", limit).with("asker", asker);
    let line = line.with("wanted", wanted).with("permits", grant.permits);
    state.log.note_ordinary(line.with("ask_again_ms", grant.ask_again_ms));
    grant
}

/// Asks for permits, and takes over what is granted.
pub(crate) async fn request_permits(state: Rc<EntryState>, word: LimitReport, wanted: u32) {
    let incarnation = word.incarnation;
    let asked_at = boot_now();
    let Some(own) = state.settings.borrow().listen.control else { return };
    match obtain(&state, own, word, wanted).await {
        Some(grant) => {
            state.limit_permits.borrow_mut().note_grant(incarnation, grant, asked_at);
            state.room.notify_waiters();
        }
        None => state.limit_permits.borrow_mut().note_unanswered(incarnation, boot_now()),
    }
}

async fn obtain(
    state: &EntryState,
    own: SocketAddr,
    word: LimitReport,
    wanted: u32,
) -> Option<LimitGrant> {
    let mut entry = granting(state, own, word.incarnation);
    for _ in 0..=MOST_HOPS {
        if entry == own {
            return Some(grant(state, word.incarnation, own, wanted));
        }
        let silent = state.silent_entries.all();
        let question = PermitRequest { asker: own, word, wanted, silent };
        let answer: Result<PermitResponse, PeerCallError> =
            peer_call::post(&state.client, entry, LIMIT_SHARE_PATH, &question).await;
        match answer {
            Ok(PermitResponse::Granted(grant)) => return Some(grant),
            Ok(PermitResponse::Ask(other)) => entry = other,
            Err(error) => {
                state.silent_entries.note(entry);
                let line = DecisionLog::fields("member").with("peer", entry);
                state.log.note_ordinary(line.with("error", error).with("outcome", "no-permits"));
                return None;
            }
        }
    }
    None
}
