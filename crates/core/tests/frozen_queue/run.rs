//! Runs one case: callers arrive, entries send their requests, and instances freeze.

use super::account::Counts;
use super::cases::{Case, Detection, SHIFT_AT_MS};
use super::entry::{Decision, Entry, Pushed};
use super::ranks::{Job, Rank, SERVICE, server};
use super::request::{Phase, Request, Stay, Wait, route};
use hickorycross_core::direct::{BackendServer, BootMs, QuietReport};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK_MS: u64 = 10;
const START: BootMs = BootMs(10_000);
/// Duration of a pass before and after the shift of demand.
const BALANCED_PASS_MS: u64 = 70;
const SHIFTED_PASS_MS: u64 = 140;
/// Mean and largest number of events of a stream.
const MEAN_EVENTS: f64 = 24.0;
const MAX_EVENTS: u32 = 60;
/// New streams per second and rank: more than a rank can run after the shift.
const STREAMS_PER_RANK_S: f64 = 6.5;
const REQUEST_BYTES: usize = 800;

/// Time after which callers without an event give up.
const PATIENCE_MS: u64 = 2_000;
/// Time after which a refused caller sends its request once more.
const RETRY_AFTER_MS: u64 = 300;
/// Time after a caller has left for which its work may still run.
const CANCEL_MS: u64 = 500;

const FROZEN_MS: u64 = 4_000;
/// Time from the freeze until entries hear from the leader that the agent is silent.
const LEADER_REPORT_MS: u64 = 400;
/// Interval at which the leader repeats that.
const LEADER_REPEAT_MS: u64 = 2_000;
/// Largest fraction of ranks that the leader reports, as a divisor.
const REPORTED_DIVISOR: usize = 10;

/// Interval at which entries check waits for answers.
const POLL_MS: u64 = 100;
/// Gossip as entries set it.
const GOSSIP_ROUND_MS: u64 = 250;
const GOSSIP_PEERS: usize = 4;

/// A refused caller that sends its request once more.
#[derive(Clone, Copy)]
struct Returning {
    at: BootMs,
    entry: usize,
    used_ms: u64,
}

pub(crate) struct Simulation {
    case: Case,
    random: ChaCha8Rng,
    servers: Vec<BackendServer>,
    ranks: Vec<Rank>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    /// Numbers of the requests that are not over.
    active: Vec<usize>,
    returning: Vec<Returning>,
    next_pass_at: BootMs,
    counts: Counts,
}

impl Simulation {
    pub(crate) fn new(case: Case, seed: u64) -> Self {
        Self {
            case,
            random: ChaCha8Rng::seed_from_u64(seed),
            servers: (0..case.ranks).map(server).collect(),
            ranks: (0..case.ranks).map(|_| Rank::default()).collect(),
            entries: (0..case.entries).map(|_| Entry::new(&case)).collect(),
            requests: Vec::new(),
            active: Vec::new(),
            returning: Vec::new(),
            next_pass_at: START,
            counts: Counts::default(),
        }
    }

    pub(crate) fn run(mut self) -> Counts {
        for elapsed_ms in (0..self.case.freeze_at_ms + FROZEN_MS).step_by(TICK_MS as usize) {
            self.tick(START.after(elapsed_ms));
        }
        self.counts
    }

    fn tick(&mut self, now: BootMs) {
        if now == self.freeze_at() {
            self.freeze();
        }
        if self.leader_reports(now) {
            self.report(now);
        }
        if now >= self.next_pass_at {
            self.pass(now);
        }
        self.gossip(now);
        self.accept_probes(now);
        self.arrive(now);
        for request in self.active.clone() {
            self.advance(request, now);
        }
        let requests = &self.requests;
        self.active.retain(|it| !requests[*it].is_over());
    }

    fn freeze_at(&self) -> BootMs {
        START.after(self.case.freeze_at_ms)
    }

    fn freeze(&mut self) {
        for rank in &mut self.ranks[..self.case.frozen] {
            rank.is_frozen = self.case.freezes;
            let queued = rank.queue.iter().map(|job| job.request);
            self.counts.queued_at_freeze.extend(queued);
        }
    }

    fn leader_reports(&self, now: BootMs) -> bool {
        let report_at = self.freeze_at().after(LEADER_REPORT_MS);
        let max_reported = ((self.case.ranks - 1) / REPORTED_DIVISOR).max(1);
        self.case.freezes
            && self.case.detection == Detection::Leader
            && self.case.frozen <= max_reported
            && now >= report_at
            && now.since(report_at).is_multiple_of(LEADER_REPEAT_MS)
    }

    fn report(&mut self, now: BootMs) {
        for entry in &mut self.entries {
            for server in &self.servers[..self.case.frozen] {
                entry.table.note_agent_reachable(server.address, false, now);
            }
        }
    }

    fn pass(&mut self, now: BootMs) {
        for rank in 0..self.ranks.len() {
            for job in self.ranks[rank].pass() {
                if self.ranks[rank].is_frozen {
                    self.note_run(job, now);
                } else {
                    self.deliver(job, rank, now);
                }
            }
        }
        let is_shifted = now >= START.after(SHIFT_AT_MS);
        let pass_ms = if is_shifted { SHIFTED_PASS_MS } else { BALANCED_PASS_MS };
        self.next_pass_at = now.after(pass_ms);
    }

    /// Counts a run at a frozen rank if its caller has left.
    fn note_run(&mut self, job: Job, now: BootMs) {
        let left_at = self.requests[job.request].left_at;
        if left_at.is_none_or(|left_at| now.since(left_at) <= CANCEL_MS) {
            return;
        }
        let was_queued = self.counts.queued_at_freeze.contains(&job.request);
        let counts = &mut self.counts;
        let runs = if was_queued { &mut counts.queued_runs } else { &mut counts.running_runs };
        runs.insert(job.request);
    }

    /// Hands an event of a stream to its entry and caller.
    fn deliver(&mut self, job: Job, rank: usize, now: BootMs) {
        let request = &mut self.requests[job.request];
        let entry = &mut self.entries[request.entry];
        let server = &self.servers[rank];
        let span_ms = now.since(request.waiting_since.max(request.sent_at));
        if request.has_event {
            entry.admission.note_gap(SERVICE, span_ms, now);
        } else {
            entry.admission.note_first_event(SERVICE, span_ms, now);
        }
        entry.passes.note_event(now, route().target_gap_ms);
        entry.availability.note_event(now);
        if !request.is_begun() {
            entry.note_begun(server, request.sent_at, now);
            request.end_stay(now);
        }
        entry.table.note_event(server, entry.passes.ended(), now);
        request.has_event = true;
        request.waiting_since = now;
        request.events_left = job.events_left;
        if job.events_left == 0 {
            entry.note_ended(server, true, request.sent_at, now);
            entry.table.note_success(server);
            request.phase = Phase::Over;
            return;
        }
        let can_retry = entry.may_retry(request.sends, now);
        let passes = entry.passes.ended();
        request.phase = Phase::Sent(Wait { rank, since: now, passes, can_retry });
    }

    fn gossip(&mut self, now: BootMs) {
        if self.case.detection == Detection::Alone {
            return;
        }
        for from in 0..self.entries.len() {
            let mut outbox = std::mem::take(&mut self.entries[from].outbox);
            for pushed in outbox.iter_mut().filter(|pushed| pushed.due_at <= now) {
                pushed.due_at = now.after(GOSSIP_ROUND_MS);
                pushed.rounds -= 1;
                self.push(from, *pushed, now);
            }
            outbox.retain(|pushed| pushed.rounds > 0);
            self.entries[from].outbox.extend(outbox);
        }
    }

    /// Pushes a report to some other entries, which push it on if it is news.
    fn push(&mut self, from: usize, pushed: Pushed, now: BootMs) {
        let peers = (0..self.case.entries).filter(|it| *it != from);
        for peer in peers.sample(&mut self.random, GOSSIP_PEERS) {
            let report = QuietReport { age_ms: now.since(pushed.noted_at), ..pushed.report };
            let entry = &mut self.entries[peer];
            if entry.table.note_quiet_report(report, now) {
                entry.push(report, pushed.noted_at, now.after(TICK_MS));
            }
        }
    }

    /// Lets entries take probes for accepted that are neither answered nor rejected.
    fn accept_probes(&mut self, now: BootMs) {
        for entry in &mut self.entries {
            for probe in entry.take_due_probes(now) {
                let request = &self.requests[probe.request];
                let is_sent = matches!(request.phase, Phase::Sent(_));
                if is_sent && request.sends == probe.send && !request.is_begun() {
                    entry.availability.note_accepted(now);
                }
            }
        }
    }

    fn arrive(&mut self, now: BootMs) {
        let arriving = STREAMS_PER_RANK_S * self.case.ranks as f64 * TICK_MS as f64 / 1_000.0;
        let arriving = arriving as usize + usize::from(self.random.random_bool(arriving.fract()));
        for _ in 0..arriving {
            let entry = self.random.random_range(0..self.case.entries);
            self.add_request(entry, 0, now);
        }
        let due = self.returning.extract_if(.., |it| it.at <= now).collect::<Vec<_>>();
        for Returning { entry, used_ms, .. } in due {
            self.add_request(entry, used_ms, now);
        }
    }

    fn add_request(&mut self, entry: usize, used_ms: u64, now: BootMs) {
        self.entries[entry].budget.note_first_send(now, SERVICE);
        let events = -self.random.random::<f64>().max(1e-9).ln() * MEAN_EVENTS;
        let events = (events as u32).clamp(1, MAX_EVENTS);
        self.active.push(self.requests.len());
        self.requests.push(Request::new(entry, used_ms, events, now));
    }

    fn advance(&mut self, index: usize, now: BootMs) {
        let request = &self.requests[index];
        if request.is_over() {
            return;
        }
        if now.since(request.waiting_since) >= PATIENCE_MS {
            return self.leave(index, now);
        }
        match request.phase {
            Phase::Waiting => self.admit(index, now),
            Phase::Sent(wait) => self.check_wait(index, wait, now),
            Phase::Over => {}
        }
    }

    fn admit(&mut self, index: usize, now: BootMs) {
        let (requests, active) = (&self.requests, &self.active);
        let request = &requests[index];
        let is_unsent_here =
            |it: &usize| requests[*it].entry == request.entry && requests[*it].is_unsent();
        let is_unsent_waiting = || active.iter().any(is_unsent_here);
        match self.entries[request.entry].decide(request, is_unsent_waiting, now) {
            Decision::Send { is_probe } => self.send(index, now, is_probe),
            Decision::Wait => {}
            Decision::WaitForGroup => self.requests[index].has_waited_for_group = true,
            Decision::Refuse => self.refuse(index, now),
        }
    }

    fn send(&mut self, index: usize, now: BootMs, is_probe: bool) {
        let draw = self.random.random::<f64>();
        let request = &mut self.requests[index];
        let entry = &mut self.entries[request.entry];
        let Some(server) = entry.choose(request, draw, now) else {
            return self.refuse(index, now);
        };
        let rank = self.servers.iter().position(|it| it.id == server.id).expect("a rank");
        let key = (entry.urgency(request, now), now.0);
        request.tried.push(server.id.clone());
        request.sends += 1;
        request.sent_at = now;
        let can_retry = entry.may_retry(request.sends, now);
        entry.note_sent_to_group(REQUEST_BYTES, now);
        if self.ranks[rank].rejects() {
            return self.handle_rejection(index, now);
        }
        if is_probe {
            entry.watch_probe(index, request.sends, now);
        }
        entry.note_sent(&server, now);
        request.stays.push(Stay { rank, from: now, until: None });
        let passes = entry.passes.ended();
        request.phase = Phase::Sent(Wait { rank, since: now, passes, can_retry });
        let (send, events_left) = (request.sends, request.events_left);
        self.ranks[rank].take_in(Job { request: index, send, key, events_left });
    }

    fn handle_rejection(&mut self, index: usize, now: BootMs) {
        let request = &mut self.requests[index];
        let is_group = self.entries[request.entry].availability.note_rejected(now);
        request.entered_at = now;
        if is_group || request.sends >= route().max_attempts {
            self.refuse(index, now);
        }
    }

    /// Moves a request away if its wait counts as lost.
    fn check_wait(&mut self, index: usize, wait: Wait, now: BootMs) {
        let silent_ms = now.since(wait.since);
        let is_polled = silent_ms > 0 && silent_ms.is_multiple_of(POLL_MS);
        let request = &self.requests[index];
        let entry = &mut self.entries[request.entry];
        if !is_polled || !entry.has_timed_out(request, wait, now) {
            return;
        }
        entry.note_timed_out(&self.servers[wait.rank], now);
        if !request.has_event {
            entry.admission.note_not_begun(SERVICE, now.since(request.sent_at), now);
        }
        self.end_attempt(index, wait.rank, now);
        let request = &mut self.requests[index];
        request.may_have_run = true;
        request.entered_at = now;
        let has_tries = request.sends < route().max_attempts;
        request.phase = if has_tries { Phase::Waiting } else { Phase::Over };
    }

    fn end_attempt(&mut self, index: usize, rank: usize, now: BootMs) {
        let request = &mut self.requests[index];
        let is_begun = request.is_begun();
        self.entries[request.entry].note_ended(&self.servers[rank], is_begun, request.sent_at, now);
        request.end_stay(now);
        self.ranks[rank].cancel(index, request);
    }

    fn refuse(&mut self, index: usize, now: BootMs) {
        let request = &mut self.requests[index];
        request.phase = Phase::Over;
        if request.sends == 0 && request.used_ms == 0 {
            let at = now.after(RETRY_AFTER_MS);
            let used_ms = at.since(request.arrived_at);
            self.returning.push(Returning { at, entry: request.entry, used_ms });
        }
    }

    fn leave(&mut self, index: usize, now: BootMs) {
        let request = &mut self.requests[index];
        request.left_at = Some(now);
        if !request.has_event && request.sends > 0 {
            let waited_ms = now.since(request.sent_at);
            self.entries[request.entry].admission.note_not_begun(SERVICE, waited_ms, now);
        }
        if let Phase::Sent(wait) = request.phase {
            self.end_attempt(index, wait.rank, now);
        }
        self.requests[index].phase = Phase::Over;
        self.account(index, now);
    }

    /// Accounts for a caller that left if its request was queued at a frozen rank at the freeze.
    fn account(&mut self, index: usize, now: BootMs) {
        let freeze_at = self.freeze_at();
        let request = &self.requests[index];
        let is_frozen = |stay: &Stay| {
            stay.rank < self.case.frozen && stay.until.is_none_or(|until| until > freeze_at)
        };
        let was_queued = self.counts.queued_at_freeze.contains(&index);
        let position = request.stays.iter().position(is_frozen);
        let Some(position) = position.filter(|_| was_queued && !request.has_event) else { return };
        let second_is_frozen = request.stays.get(position + 1).is_some_and(is_frozen);
        self.counts.queued_left.insert(index);
        self.counts.queued.add(request, position, second_is_frozen, freeze_at, now);
    }
}
