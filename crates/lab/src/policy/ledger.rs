//! What became of each request.

use super::arrivals::Request;
use serde::Serialize;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// Its first chunk came by its deadline and its answer was whole.
    InTime,
    /// Its answer was whole, but its first chunk came after its deadline.
    Late,
    /// The team's limit was used up.
    Limited,
    /// The entry refused it without an attempt.
    RefusedAtOnce,
    /// Every attempt was refused.
    RefusedLater,
    /// It was accepted, and its deadline passed in a queue.
    Expired,
    /// It failed, or its answer was cut off.
    Failed,
    /// The run ended first.
    Open,
}

/// What is known of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Row {
    pub(crate) outcome: Outcome,
    pub(crate) accepted: bool,
    pub(crate) first_chunk_ms: Option<u64>,
    pub(crate) tries: u16,
}

/// All requests of a run.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    pub(crate) rows: Vec<Row>,
}

impl Ledger {
    /// A ledger for so many requests.
    pub(crate) fn new(requests: usize) -> Self {
        let row = Row { outcome: Outcome::Open, accepted: false, first_chunk_ms: None, tries: 0 };
        Self { rows: vec![row; requests] }
    }

    /// An attempt was sent.
    pub(crate) fn tried(&mut self, request: usize) {
        self.rows[request].tries += 1;
    }

    /// An agent accepted it.
    pub(crate) fn accepted(&mut self, request: usize) {
        self.rows[request].accepted = true;
    }

    /// Its first chunk came.
    pub(crate) fn first_chunk(&mut self, now_ms: u64, index: usize, request: &Request) {
        let row = &mut self.rows[index];
        row.first_chunk_ms = Some(now_ms - request.arrives_ms);
        let in_time = now_ms <= request.deadline_ms;
        row.outcome = if in_time { Outcome::InTime } else { Outcome::Late };
    }

    /// It ended without a whole answer.
    pub(crate) fn ended(&mut self, request: usize, outcome: Outcome) {
        self.rows[request].outcome = outcome;
    }
}
