//! What processes of the fleet tell each other: the configuration with its age, the backend servers,
//! what entries have seen of requests, and each other's addresses.
//!
//! An answer is about the moment at which the question was sent, so a question that travels or
//! waits for long makes the answer look older than it is, never fresher.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::gossip::{GossipReport, receive_reports};
use crate::peer_call::{PeerCallError, post};
use crate::state::EntryState;
use crate::store_watch::offer;
use futures_util::future::join_all;
use hickorycross_core::direct::{BackendServer, BootMs, Catalog};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Path of the exchange on the control address.
pub(crate) const EXCHANGE_PATH: &str = "/exchange";

/// Age of the configuration from which peers are asked for a fresher word.
///
/// A little over what the entry's own watch reaches while the store answers (2 s), so that nothing
/// is asked for freshness on a calm day.
const ASK_FROM_AGE_MS: u64 = 2_100;

/// Pause between questions while the own word is old.
const URGENT_PAUSE_MS: u64 = 400;

/// Time at the start of a process in which callers wait for a peer's words. One that lives answers within some
/// milliseconds. After a loss of many machines peers say nothing, and callers that wait for them come all at once
/// when the groups are back.
const FIRST_ANSWER_MS: u64 = 60;

/// Questions sent at the start of a process, so that seeds learn of it soon.
const FIRST_QUESTIONS: u32 = 3;

/// Pause between questions while the own word is fresh. They keep the members known, and bring what an entry
/// missed of its peers' words while it was cut off.
const CALM_PAUSE_MS: u64 = 2_000;

/// Addresses of members in one answer: about 700 bytes. With fewer the entries of a large fleet do not hear
/// of each other before they forget each other.
const MOST_MEMBERS: usize = 64;

/// A question to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ExchangeRequest {
    /// Where the asker answers, if it does.
    pub(crate) from: Option<SocketAddr>,
    /// Version of the configuration that the asker has.
    pub(crate) version: u64,
    /// The store's revision of the asker's list of backend servers.
    pub(crate) backends_as_of: u64,
    /// What an agent says of a backend server.
    pub(crate) word: Option<BackendWord>,
    /// What the asker tells.
    pub(crate) shared: Vec<GossipReport>,
    /// The asker's sum over the words that it has, if it wants those that it lacks.
    pub(crate) shared_sum: Option<u64>,
}

impl ExchangeRequest {
    /// A question that brings nothing back but who else is there.
    pub(crate) const fn of_nothing() -> Self {
        Self {
            from: None,
            version: u64::MAX,
            backends_as_of: u64::MAX,
            word: None,
            shared: Vec::new(),
            shared_sum: None,
        }
    }
}

/// What an agent says of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BackendWord {
    /// Where the backend server listens.
    pub(crate) address: SocketAddr,
    /// What is said of it.
    pub(crate) said: Said,
}

/// What may be said of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Said {
    /// By the agent beside it: how long its work takes, against the usual time.
    Pace {
        /// In thousandths of that.
        permille: u32,
    },
    /// By the agent that leads its group: whether the agent beside it is heard.
    Hearing {
        /// Whether it is.
        is_heard: bool,
    },
}

/// A peer's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ExchangeResponse {
    /// Version in force at the peer.
    pub(crate) version: u64,
    /// Since when the peer's word is confirmed by the store, if ever.
    pub(crate) age_ms: Option<u64>,
    /// The configuration, when the asker has an older one.
    pub(crate) catalog: Option<Catalog>,
    /// The store's revision of the peer's list of backend servers.
    pub(crate) backends_as_of: u64,
    /// The list, when the asker has an older one.
    pub(crate) backends: Option<Vec<BackendServer>>,
    /// Members, each with the time since it was heard of.
    pub(crate) members: Vec<(SocketAddr, u64)>,
    /// All that the peer knows of requests, when the asker knows something else.
    pub(crate) shared: Vec<GossipReport>,
}

/// Answers a peer's question.
pub(crate) fn handle_request(state: &EntryState, question: &ExchangeRequest) -> ExchangeResponse {
    let now = boot_now();
    if let Some(from) = question.from {
        note_member(state, from, now);
    }
    if let Some(word) = question.word {
        note_word(state, word, now);
    }
    receive_reports(state, &question.shared, true);
    let belief = state.catalog.borrow();
    let newer = belief.catalog().filter(|catalog| catalog.version > question.version);
    let backends_as_of = state.backends_as_of.get();
    let is_newer = backends_as_of > question.backends_as_of;
    let backends = is_newer.then(|| state.backends.borrow().servers().cloned().collect());
    let peers = state.peers.borrow().most_recent(MOST_MEMBERS);
    let members = peers.iter().map(|peer| (peer.address, now.since(peer.last_seen_at)));
    ExchangeResponse {
        version: belief.version(),
        age_ms: belief.age_ms(now),
        catalog: newer.map(|catalog| Catalog::clone(catalog)),
        backends_as_of,
        backends,
        members: members.collect(),
        shared: state.words_for(question.shared_sum, now),
    }
}

fn note_word(state: &EntryState, word: BackendWord, now: BootMs) {
    let BackendWord { address, said } = word;
    let line = DecisionLog::fields("backend-server").with("address", address);
    let mut backends = state.backends.borrow_mut();
    match said {
        Said::Pace { permille } => {
            backends.note_pace(address, permille, now);
            state.log.note(line.with("pace_permille", permille).with("outcome", "pace"));
        }
        Said::Hearing { is_heard } => {
            backends.note_agent_reachable(address, is_heard, now);
            state.log.note(line.with("outcome", if is_heard { "heard" } else { "unheard" }));
        }
    }
}

/// Takes over a peer's answer to a question sent at `sent_at`.
pub(crate) fn take_over(
    state: &EntryState,
    peer: SocketAddr,
    answer: ExchangeResponse,
    sent_at: BootMs,
) {
    note_member(state, peer, boot_now());
    receive_reports(state, &answer.shared, false);
    // Peers that live know the same.
    state.has_asked_peers.set(true);
    for (address, silent_ms) in answer.members {
        note_member(state, address, sent_at.before(silent_ms));
    }
    let confirmed_at = answer.age_ms.map(|age_ms| sent_at.before(age_ms));
    if let Some(catalog) = answer.catalog {
        offer(state, catalog, confirmed_at.unwrap_or_default(), "peer");
    }
    if let Some(confirmed_at) = confirmed_at {
        state.catalog.borrow_mut().confirm(answer.version, confirmed_at);
    }
    let Some(backends) = answer.backends else { return };
    if answer.backends_as_of > state.backends_as_of.get() {
        state.backends_as_of.set(answer.backends_as_of);
        let gone = state.backends.borrow_mut().replace_all(backends, boot_now(), None);
        let line = DecisionLog::fields("backend-servers-heard").with("peer", peer);
        let line = line.with("as_of", answer.backends_as_of);
        state.log.note(line.with("gone", gone.join(",")));
    }
}

fn note_member(state: &EntryState, address: SocketAddr, heard_at: BootMs) {
    if state.peers.borrow_mut().note(address, heard_at) {
        state.log.note(DecisionLog::fields("member").with("peer", address).with("outcome", "seen"));
        state.split_slack();
    }
}

/// Asks peers for ever: all that are known at the start, then one at a time, often while the own word is
/// old, now and then otherwise.
pub(crate) async fn exchange_with_peers(state: Rc<EntryState>) {
    let mut asked = 0;
    let first = state.peers.borrow().candidates();
    let asking = first.into_iter().map(|peer| ask(Rc::clone(&state), peer));
    // Whoever has not answered by then is asked again below.
    let _ = tokio::time::timeout(Duration::from_millis(FIRST_ANSWER_MS), join_all(asking)).await;
    state.has_asked_peers.set(true);
    loop {
        if let Some(peer) = state.next_to_ask() {
            let asking = ask(Rc::clone(&state), peer);
            tokio::task::spawn_local(asking);
            asked += 1;
        }
        expire(&state);
        pause(&state, asked).await;
    }
}

async fn pause(state: &EntryState, asked: u32) {
    for _ in 0..CALM_PAUSE_MS / URGENT_PAUSE_MS {
        tokio::time::sleep(Duration::from_millis(URGENT_PAUSE_MS)).await;
        let age_ms = state.catalog.borrow().age_ms(boot_now());
        if asked < FIRST_QUESTIONS || age_ms.is_none_or(|age_ms| age_ms > ASK_FROM_AGE_MS) {
            return;
        }
    }
}

fn expire(state: &EntryState) {
    let gone = state.peers.borrow_mut().expire(boot_now());
    for peer in &gone {
        state.log.note(DecisionLog::fields("member").with("peer", peer).with("outcome", "gone"));
    }
    if !gone.is_empty() {
        state.split_slack();
    }
}

async fn ask(state: Rc<EntryState>, peer: SocketAddr) {
    let shared_sum = Some(state.words_sum());
    exchange_with(&state, peer, ExchangeRequest { shared_sum, ..question(&state) }).await;
}

/// Tells a peer what entries tell each other.
pub(crate) async fn tell(state: Rc<EntryState>, peer: SocketAddr, shared: Vec<GossipReport>) {
    exchange_with(&state, peer, ExchangeRequest { shared, ..question(&state) }).await;
}

fn question(state: &EntryState) -> ExchangeRequest {
    ExchangeRequest {
        from: state.settings.borrow().listen.control,
        version: state.catalog.borrow().version(),
        backends_as_of: state.backends_as_of.get(),
        ..ExchangeRequest::of_nothing()
    }
}

async fn exchange_with(state: &EntryState, peer: SocketAddr, question: ExchangeRequest) {
    let sent_at = boot_now();
    match call(&state.client, peer, &question).await {
        Ok(answer) => take_over(state, peer, answer, sent_at),
        Err(error) => {
            metrics::counter!("hickorycross_exchange_failures_total").increment(1);
            let line = DecisionLog::fields("member").with("peer", peer).with("error", error);
            state.log.note_ordinary(line.with("outcome", "silent"));
        }
    }
}

/// Asks one peer.
pub(crate) async fn call(
    client: &reqwest::Client,
    peer: SocketAddr,
    question: &ExchangeRequest,
) -> Result<ExchangeResponse, PeerCallError> {
    post(client, peer, EXCHANGE_PATH, question).await
}
