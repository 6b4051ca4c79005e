//! Spreads what one entry has seen among all entries.
//!
//! Whoever learns something new tells a few peers at once, and each of them does the same, so that all of a
//! large fleet know it after a few rounds. What a process misses while it is cut off, it gets with its next
//! question ([`crate::exchange`]).

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::exchange;
use crate::state::EntryState;
use hickorycross_core::direct::{
    BootMs, LimitReport, QuietReport, ReportOutcome, RequestObservation, RequestReport,
};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Pause between two rounds: some times the way between two entries.
const ROUND_MS: u64 = 250;

/// Rounds in which a word is passed on by one entry.
const ROUNDS: u32 = 2;

/// Peers that get it in one round. Eight peers of each entry leave out less than one in a thousand; a small
/// fleet is told whole at once.
const PEERS_A_ROUND: usize = 4;

/// Words in one message. With the round this bounds what the sudden end of many backend servers costs on
/// the network.
const MOST_WORDS: usize = 24;

/// Words that wait to be passed on. More are left to the next question of who lacks them.
const MOST_WAITING: usize = 256;

/// What entries tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum GossipReport {
    /// What was seen of a request.
    Request(RequestReport),
    /// What a backend server in need takes.
    Limit(LimitReport),
    /// A rank from which nothing comes.
    Quiet(QuietReport),
}

impl GossipReport {
    /// The same word `span_ms` later.
    const fn aged(self, span_ms: u64) -> Self {
        match self {
            Self::Request(word) => {
                Self::Request(RequestReport { age_ms: word.age_ms.saturating_add(span_ms), ..word })
            }
            Self::Limit(word) => {
                Self::Limit(LimitReport { age_ms: word.age_ms.saturating_add(span_ms), ..word })
            }
            Self::Quiet(word) => {
                Self::Quiet(QuietReport { age_ms: word.age_ms.saturating_add(span_ms), ..word })
            }
        }
    }
}

/// Words on their way to other entries.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    waiting: RefCell<VecDeque<Outgoing>>,
    filled: Notify,
}

#[derive(Clone, Copy, Debug)]
struct Outgoing {
    word: GossipReport,
    noted_at: BootMs,
    rounds_left: u32,
}

impl Outbox {
    /// Adds a word; when there is no room the oldest one goes.
    pub(crate) fn add(&self, word: GossipReport, now: BootMs) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MOST_WAITING {
            waiting.pop_front();
        }
        waiting.push_back(Outgoing { word, noted_at: now, rounds_left: ROUNDS });
        self.filled.notify_one();
    }

    /// Words of the next round, with their present age.
    fn next_round(&self, now: BootMs) -> Vec<GossipReport> {
        let mut waiting = self.waiting.borrow_mut();
        let count = waiting.len().min(MOST_WORDS);
        let mut words = Vec::with_capacity(count);
        for mut outgoing in waiting.drain(..count).collect::<Vec<_>>() {
            words.push(outgoing.word.aged(now.since(outgoing.noted_at)));
            outgoing.rounds_left -= 1;
            if outgoing.rounds_left > 0 {
                waiting.push_back(outgoing);
            }
        }
        words
    }
}

/// Tells peers what is in the outbox, for ever.
pub(crate) async fn run(state: Rc<EntryState>) {
    loop {
        let words = state.outbox.next_round(boot_now());
        if words.is_empty() {
            state.outbox.filled.notified().await;
            continue;
        }
        let peers = state.peers.borrow().sample(PEERS_A_ROUND, &mut *state.random.borrow_mut());
        for peer in peers {
            let telling = exchange::tell(Rc::clone(&state), peer, words.clone());
            tokio::task::spawn_local(telling);
        }
        tokio::time::sleep(Duration::from_millis(ROUND_MS)).await;
    }
}

/// Takes over words of a peer, passing on what is new if it was pushed here.
pub(crate) fn receive_reports(state: &EntryState, words: &[GossipReport], passes_on: bool) {
    for word in words {
        match word {
            GossipReport::Request(word) => hear_of_request(state, *word, passes_on),
            GossipReport::Limit(word) => hear_of_limit(state, *word, passes_on),
            GossipReport::Quiet(word) => hear_of_quiet(state, *word),
        }
    }
}

fn hear_of_request(state: &EntryState, word: RequestReport, passes_on: bool) {
    let now = boot_now();
    let word_outcome = state.crashes.borrow_mut().note(word, now);
    let outcome = match word_outcome {
        ReportOutcome::Known => return,
        ReportOutcome::New => "heard",
        ReportOutcome::Contradicted => "answered-here",
    };
    log_request_report(state, word, outcome);
    let told = match word_outcome {
        ReportOutcome::Contradicted => {
            RequestReport { seen: RequestObservation::Answered, age_ms: 0, ..word }
        }
        _ => word,
    };
    if passes_on || word_outcome == ReportOutcome::Contradicted {
        state.outbox.add(GossipReport::Request(told), now);
    }
}

fn hear_of_limit(state: &EntryState, word: LimitReport, passes_on: bool) {
    let now = boot_now();
    if !state.limits.borrow_mut().note(word, now) {
        return;
    }
    log_limit_report(state, word, None);
    if passes_on {
        state.outbox.add(GossipReport::Limit(word), now);
    }
}

fn hear_of_quiet(state: &EntryState, word: QuietReport) {
    if state.backends.borrow_mut().note_quiet_report(word, boot_now()) {
        gossip_quiet_rank(state, word, "quiet");
    }
}

/// Passes a word on for a rank that was found quiet, and says so.
pub(crate) fn gossip_quiet_rank(state: &EntryState, word: QuietReport, outcome: &'static str) {
    let line = DecisionLog::fields("backend-server").with("address", word.address);
    state.log.note(line.with("age_ms", word.age_ms).with("outcome", outcome));
    state.outbox.add(GossipReport::Quiet(word), boot_now());
}

/// Says what a backend server takes; `id` names the one that said so to this entry itself.
pub(crate) fn log_limit_report(state: &EntryState, word: LimitReport, id: Option<&str>) {
    let line = DecisionLog::fields("backend-server").with_some("incarnation", id);
    let line = line.with("backend_digest", word.incarnation).with("age_ms", word.age_ms);
    let line = line.with_some("limit_millirequests_per_s", word.millirequests_per_s);
    let is_limited = word.millirequests_per_s.is_some();
    state.log.note(line.with("outcome", if is_limited { "limited" } else { "limit-over" }));
}

/// Says what is believed of a request under which a backend server is said to have ended.
pub(crate) fn log_request_report(state: &EntryState, word: RequestReport, outcome: &'static str) {
    let crashes = state.crashes.borrow();
    metrics::gauge!("hickorycross_requests_refused_for_crashes")
        .set(crashes.refused_count() as f64);
    let line = DecisionLog::fields("request-word").with("digest", word.digest);
    let line = match word.seen {
        RequestObservation::BackendEnded { incarnation, had_begun } => {
            let line = line.with("backend_digest", incarnation);
            line.with("had_begun", had_begun)
        }
        RequestObservation::Answered => line.with("answered", true),
    };
    let line = line.with("age_ms", word.age_ms);
    let line = line.with("ended_under_it", crashes.ended_server_count(word.digest));
    let line = line.with("is_refused", crashes.is_refused(word.digest));
    state.log.note(line.with("outcome", outcome));
}
