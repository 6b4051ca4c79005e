//! What must hold of the whole system, judged from outside: by callers, backend servers and the
//! documents in force, never by the state of a core.

use crate::world::backend::{Run, RunState};
use crate::world::callers::Operation;
use crate::world::place::Place;
use hickorycross_core::entry::{EntryAction, Refusal, RefusalCode};
use hickorycross_core::{AttemptId, RequestId, Verdict};
use indexmap::{IndexMap, IndexSet};

/// A final answer may come this much after its deadline: ticks, and the travel of nothing.
const ANSWER_SLACK_MS: u64 = 250;
/// A non-idempotent request whose agent is dead is given up within this time.
const GIVE_UP_MS: u64 = 8_000;
/// An agent that leaves starts nothing after this time.
const LEAVING_SLACK_MS: u64 = 50;
/// A planned stop of an agent or entry ends within this time.
const DRAIN_BOUND_MS: u64 = 75_000;

/// One request as its caller sees it.
struct Request {
    operation: usize,
    place: usize,
    life: u64,
    due_ms: u64,
    arrived_ms: u64,
    status: Option<u16>,
    bytes: Vec<u8>,
    state: State,
    /// A planned stop must not cut it.
    is_protected: bool,
    /// It must be answered whole: it came in fair weather.
    must_succeed: bool,
    /// Where its latest attempt went, and when.
    attempt_at: Option<(usize, u64, u64)>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    /// On its way to the entry, or waiting there while it is frozen.
    Sent,
    Open,
    Ended,
    /// Its caller left, or its entry died.
    Gone,
}

/// The observer's own books.
pub(crate) struct Observer {
    pub(crate) faults: Vec<String>,
    /// Faults that are expected because clocks differ by more than the documented bound.
    pub(crate) excused: Vec<String>,
    pub(crate) excuses_clocks: bool,
    requests: IndexMap<RequestId, Request>,
    open: IndexSet<RequestId>,
    not_run: IndexSet<RequestId>,
    /// Runs by operation.
    runs_of: IndexMap<usize, Vec<usize>>,
    pub(crate) tally: Tally,
}

/// Sums that show how much a run exercised.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) requests: u64,
    pub(crate) whole: u64,
    pub(crate) not_run: u64,
    pub(crate) may_have_run: u64,
    pub(crate) ran: u64,
    pub(crate) runs: u64,
    pub(crate) repeats_answered: u64,
    pub(crate) protected: u64,
    pub(crate) must_succeed: u64,
    pub(crate) drains: u64,
    pub(crate) adoptions: u64,
    pub(crate) lives: u64,
    pub(crate) floors: u64,
}

impl Tally {
    pub(crate) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.whole += other.whole;
        self.not_run += other.not_run;
        self.may_have_run += other.may_have_run;
        self.ran += other.ran;
        self.runs += other.runs;
        self.repeats_answered += other.repeats_answered;
        self.protected += other.protected;
        self.must_succeed += other.must_succeed;
        self.drains += other.drains;
        self.adoptions += other.adoptions;
        self.lives += other.lives;
        self.floors += other.floors;
    }
}

/// What became of a caller's request.
pub(crate) enum Final {
    Whole(usize),
    Refused(usize, Refusal),
}

impl Observer {
    pub(crate) fn new(excuses_clocks: bool) -> Self {
        Self {
            faults: Vec::new(),
            excused: Vec::new(),
            excuses_clocks,
            requests: IndexMap::new(),
            open: IndexSet::new(),
            not_run: IndexSet::new(),
            runs_of: IndexMap::new(),
            tally: Tally::default(),
        }
    }

    pub(crate) fn fault(&mut self, now_ms: u64, detail: &str) {
        self.faults.push(format!("{now_ms} ms: {detail}"));
    }

    /// A fault that only clocks beyond their bound excuse.
    fn fault_by_clock(&mut self, now_ms: u64, detail: &str) {
        match self.excuses_clocks {
            true => self.excused.push(format!("{now_ms} ms: {detail}")),
            false => self.fault(now_ms, detail),
        }
    }

    pub(crate) fn arrived(&mut self, now_ms: u64, operation: usize, request: RequestId) {
        self.tally.requests += 1;
        let row = Request {
            operation,
            place: usize::MAX,
            life: 0,
            due_ms: u64::MAX,
            arrived_ms: now_ms,
            status: None,
            bytes: Vec::new(),
            state: State::Sent,
            is_protected: false,
            must_succeed: false,
            attempt_at: None,
        };
        self.requests.insert(request, row);
    }

    /// The entry has begun to handle it.
    pub(crate) fn taken(
        &mut self,
        now_ms: u64,
        request: RequestId,
        place: &Place,
        operation: &Operation,
        must_succeed: bool,
    ) {
        let Some(row) = self.requests.get_mut(&request) else { return };
        (row.place, row.life) = (place.index, place.life);
        row.state = State::Open;
        // By an entry whose clock is behind, a caller's own deadline comes later.
        let asked_ms =
            (row.arrived_ms + operation.allowed_ms()).saturating_add_signed(-place.offset_ms);
        let default_ms = now_ms + operation.allowed_ms();
        row.due_ms = asked_ms.max(default_ms);
        row.must_succeed = must_succeed;
        self.tally.must_succeed += u64::from(must_succeed);
        self.open.insert(request);
    }

    pub(crate) fn caller_left(&mut self, request: RequestId) {
        self.end(request, State::Gone);
    }

    /// Where the latest attempt of a request goes.
    pub(crate) fn submitted(&mut self, now_ms: u64, attempt: AttemptId, place: usize, life: u64) {
        if let Some(row) = self.requests.get_mut(&attempt.request) {
            row.attempt_at = Some((place, life, now_ms));
        }
    }

    /// Everything open at an entry is lost with it; its callers see a broken connection.
    pub(crate) fn entry_died(&mut self, place: usize) -> Vec<usize> {
        let lost: Vec<RequestId> =
            self.open.iter().filter(|id| self.requests[*id].place == place).copied().collect();
        lost.iter().for_each(|id| self.end(*id, State::Gone));
        lost.iter().map(|id| self.requests[id].operation).collect()
    }

    fn end(&mut self, request: RequestId, state: State) {
        self.open.swap_remove(&request);
        if let Some(row) = self.requests.get_mut(&request) {
            row.state = state;
        }
    }

    /// Judges what goes to a caller.
    pub(crate) fn answer(
        &mut self,
        now_ms: u64,
        action: EntryAction,
        runs: &[Run],
    ) -> Option<Final> {
        let request = match &action {
            EntryAction::Head { request, .. }
            | EntryAction::Chunk { request, .. }
            | EntryAction::Finish { request }
            | EntryAction::Refuse { request, .. } => *request,
            _ => return None,
        };
        let state = self.requests.get(&request).map(|row| row.state);
        if state != Some(State::Open) {
            self.fault(
                now_ms,
                &format!("(a) request {request} answered after its end: {action:?}"),
            );
            return None;
        }
        let row = &mut self.requests[&request];
        match action {
            EntryAction::Head { head, .. } => {
                if row.status.replace(head.status).is_some() {
                    self.fault(now_ms, &format!("(b) request {request} began twice"));
                }
                None
            }
            EntryAction::Chunk { bytes, .. } => {
                row.bytes.extend_from_slice(&bytes);
                None
            }
            EntryAction::Refuse { refusal, .. } => {
                Some(self.refused(now_ms, request, refusal, runs))
            }
            _ => Some(self.finished(now_ms, request, runs)),
        }
    }

    fn finished(&mut self, now_ms: u64, request: RequestId, runs: &[Run]) -> Final {
        self.end(request, State::Ended);
        let row = &self.requests[&request];
        let operation = row.operation;
        let made = self.runs_of.get(&operation).into_iter().flatten().map(|run| &runs[*run]);
        let own = made
            .filter(|run| run.state == RunState::Whole)
            .find(|run| run.bytes == row.bytes && Some(run.status) == row.status);
        let late = now_ms > row.due_ms + ANSWER_SLACK_MS;
        match own.map(|run| run.attempt.request) {
            None => {
                let text = String::from_utf8_lossy(&row.bytes).into_owned();
                let detail = format!("(b) request {request} of op-{operation} got {text}");
                self.fault(now_ms, &detail);
            }
            Some(by) => self.tally.repeats_answered += u64::from(by != request),
        }
        self.tally.whole += 1;
        if late {
            self.fault(now_ms, &format!("(a) request {request} was answered after its deadline"));
        }
        Final::Whole(operation)
    }

    fn refused(
        &mut self,
        now_ms: u64,
        request: RequestId,
        refusal: Refusal,
        runs: &[Run],
    ) -> Final {
        self.end(request, State::Ended);
        let row = &self.requests[&request];
        let operation = row.operation;
        let (is_protected, must_succeed) = (row.is_protected, row.must_succeed);
        let made = self.runs_of.get(&operation).into_iter().flatten().map(|run| &runs[*run]);
        let own = made.filter(|run| run.attempt.request == request).count();
        match refusal.verdict {
            Verdict::NotRun => {
                self.tally.not_run += 1;
                self.not_run.insert(request);
                if own > 0 {
                    let detail =
                        format!("(c) {request} refused as not run, but it had: {refusal:?}");
                    self.fault_by_clock(now_ms, &detail);
                }
            }
            Verdict::MayHaveRun => self.tally.may_have_run += 1,
            Verdict::Ran => self.tally.ran += 1,
        }
        if is_protected && refusal.code != RefusalCode::DeadlinePassed {
            let detail = format!("(f) a planned stop cut {request}: {refusal:?}");
            self.fault(now_ms, &detail);
        }
        if must_succeed {
            let detail =
                format!("(h) {request} of op-{operation} refused in fair weather: {refusal:?}");
            self.fault(now_ms, &detail);
        }
        Final::Refused(operation, refusal)
    }

    /// A backend server has begun a request.
    pub(crate) fn started(
        &mut self,
        now_ms: u64,
        index: usize,
        runs: &[Run],
        places: &[Place],
    ) -> Option<usize> {
        self.tally.runs += 1;
        let run = &runs[index];
        let request = run.attempt.request;
        let Some(row) = self.requests.get(&request) else {
            self.fault(now_ms, &format!("{request} was made up"));
            return None;
        };
        let operation = row.operation;
        self.runs_of.entry(operation).or_default().push(index);
        if run.body != Operation::body(operation) {
            self.fault(now_ms, &format!("(b) {request} ran with another body"));
        }
        if self.not_run.contains(&request) {
            let detail = format!("(c) {} ran after it was refused as not run", run.attempt);
            self.fault_by_clock(now_ms, &detail);
        }
        let since_ms = places[run.place].leaving_since_ms;
        if since_ms.is_some_and(|since_ms| now_ms > since_ms + LEAVING_SLACK_MS) {
            self.fault(now_ms, &format!("(e) {} ran at an agent that leaves", run.attempt));
        }
        Some(operation)
    }

    /// Judges how often an operation ran that must run at most once.
    pub(crate) fn ran_again(
        &mut self,
        now_ms: u64,
        operation: usize,
        of: &Operation,
        runs: &[Run],
    ) {
        let made = &self.runs_of[&operation];
        if of.idempotent || made.len() < 2 {
            return;
        }
        let list: Vec<String> = made
            .iter()
            .map(|index| &runs[*index])
            .map(|run| format!("{} at place {} at {} ms", run.attempt, run.place, run.started_ms))
            .collect();
        let detail = format!("(d) op-{operation} {:?} ran again: {}", of.key, list.join(", "));
        self.fault_by_clock(now_ms, &detail);
    }

    /// What a planned stop must not cut: what runs at an agent, or what is open at an entry.
    pub(crate) fn protect(&mut self, place: &Place, runs: &[Run]) {
        self.tally.drains += 1;
        let going = runs.iter().filter(|run| run.state == RunState::Going);
        let running: IndexSet<(RequestId, usize)> =
            going.map(|run| (run.attempt.request, run.place)).collect();
        for id in &self.open {
            let row = &mut self.requests[id];
            let runs_there = running.contains(&(*id, place.index));
            let open_there = row.place == place.index && running.iter().any(|(of, _)| of == id);
            if runs_there || open_there {
                row.is_protected = true;
                self.tally.protected += 1;
            }
        }
    }

    /// Weather has turned foul: nothing is promised to succeed any more.
    pub(crate) fn storm(&mut self) {
        for id in &self.open {
            let row = &mut self.requests[id];
            row.is_protected = false;
            row.must_succeed = false;
        }
    }

    /// Looks at everything that is open.
    pub(crate) fn look(&mut self, now_ms: u64, places: &[Place], operations: &[Operation]) {
        let mut found = Vec::new();
        for id in &self.open {
            let row = &self.requests[id];
            let entry = &places[row.place];
            if entry.life != row.life || entry.is_frozen(now_ms + ANSWER_SLACK_MS) {
                continue;
            }
            let awake_ms = entry.frozen_until_ms;
            if now_ms > row.due_ms.max(awake_ms) + ANSWER_SLACK_MS {
                found.push(format!("(a) {id} has no final answer after its deadline"));
            }
            let Some((place, life, sent_ms)) = row.attempt_at else { continue };
            let died_ms = places[place].life_ended_ms(life);
            let given_up_by = died_ms.map(|died| died.max(awake_ms).max(sent_ms) + GIVE_UP_MS);
            let once = !operations[row.operation].idempotent;
            if once && given_up_by.is_some_and(|by| now_ms > by) {
                found.push(format!("(a) {id} is not given up although its agent is dead"));
            }
        }
        for place in places.iter().filter(|place| place.node.is_some()) {
            let late = place.leaving_since_ms.is_some_and(|since| now_ms > since + DRAIN_BOUND_MS);
            if late && !place.is_frozen(now_ms) {
                found.push(format!("(f) the planned stop of place {} does not end", place.index));
            }
        }
        found.iter().for_each(|detail| self.fault(now_ms, detail));
    }

    /// Requests at a place that callers still wait for.
    pub(crate) fn open_at(&self, place: usize) -> usize {
        self.open.iter().filter(|id| self.requests[*id].place == place).count()
    }

    /// Whether a run goes on for a request that someone waits for.
    pub(crate) fn still_open(&self) -> usize {
        self.open.len()
    }
}
