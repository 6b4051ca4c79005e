//! Fake backend servers: they take a request, answer in pieces, and fail in all ways.

use crate::world::adapter::Input;
use crate::world::{What, World};
use bytes::Bytes;
use hickorycross_core::agent::{AgentAction, AgentEvent};
use hickorycross_core::message::ResponseHead;
use hickorycross_core::{AttemptId, UnixMs, Verdict};
use rand::RngExt;

const HEALTH_PAUSE_MS: u64 = 500;

/// One backend server.
#[derive(Clone, Copy, Default)]
pub(crate) struct Backend {
    pub(crate) down_until_ms: u64,
    pub(crate) frozen_until_ms: u64,
    /// How many times slower than usual it is, less one.
    pub(crate) slowness: u64,
}

/// A call that an agent is about to make.
pub(crate) struct Call {
    pub(crate) place: usize,
    pub(crate) life: u64,
    pub(crate) attempt: AttemptId,
    pub(crate) body: Bytes,
    pub(crate) deadline: UnixMs,
}

/// One request that a backend server has begun.
pub(crate) struct Run {
    pub(crate) place: usize,
    life: u64,
    pub(crate) attempt: AttemptId,
    /// The body, which names the caller's operation.
    pub(crate) body: Bytes,
    pub(crate) started_ms: u64,
    pub(crate) status: u16,
    pub(crate) bytes: Vec<u8>,
    pub(crate) state: RunState,
    pieces: u32,
    made: u32,
    pause_ms: u64,
    breaks_after: Option<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    Going,
    Whole,
    Broken,
}

impl World {
    /// What an agent's core wants of its backend server.
    pub(crate) fn backend_action(&mut self, place: usize, action: AgentAction) {
        let life = self.places[place].life;
        match action {
            AgentAction::Start { attempt, body, deadline, .. } => {
                let call = Call { place, life, attempt, body, deadline };
                let at_ms = self.now_ms + self.random.random_range(0..3);
                self.agenda.set(at_ms, What::Call(call));
            }
            AgentAction::Abort { attempt } => {
                let of_life = |run: &&mut Run| run.life == life && run.place == place;
                let mut runs = self.runs.iter_mut().filter(of_life);
                if let Some(run) = runs.find(|run| run.attempt == attempt)
                    && run.state == RunState::Going
                {
                    run.state = RunState::Broken;
                }
                self.backend_failed(place, life, attempt, Verdict::MayHaveRun);
            }
            _ => {}
        }
    }

    /// Makes a call, as the program of the agent does: after a last look at the deadline.
    pub(crate) fn call(&mut self, call: Call) {
        let place = &self.places[call.place];
        if place.life != call.life || place.node.is_none() {
            return;
        }
        if place.is_frozen(self.now_ms) {
            let at_ms = place.frozen_until_ms + 1;
            return self.agenda.set(at_ms, What::Call(call));
        }
        let expired = call.deadline.is_past(place.local(self.now_ms));
        let backend = self.backends[place.backend.unwrap_or_default()];
        if expired || backend.down_until_ms > self.now_ms {
            let (place, life, attempt) = (call.place, call.life, call.attempt);
            return self.backend_failed(place, life, attempt, Verdict::NotRun);
        }
        self.begin_run(call, backend);
    }

    fn begin_run(&mut self, call: Call, backend: Backend) {
        let service_ms = match self.random.random_range(0..20) {
            0 => 3_000,
            _ => self.random.random_range(20..300),
        };
        let pieces = self.random.random_range(1..6);
        let faulty = self.is_stormy();
        let run = Run {
            place: call.place,
            life: call.life,
            attempt: call.attempt,
            body: call.body,
            started_ms: self.now_ms,
            status: if faulty && self.random.random_range(0..50) == 0 { 500 } else { 200 },
            bytes: Vec::new(),
            state: RunState::Going,
            pieces,
            made: 0,
            pause_ms: service_ms * (1 + backend.slowness) / u64::from(pieces),
            breaks_after: (faulty && self.random.random_range(0..50) == 0)
                .then(|| self.random.random_range(0..pieces)),
        };
        let index = self.runs.len();
        self.runs.push(run);
        let (now_ms, runs) = (self.now_ms, &self.runs);
        if let Some(operation) = self.observer.started(now_ms, index, runs, &self.places) {
            self.observer.ran_again(now_ms, operation, &self.operations[operation], runs);
        }
        self.agenda.set(self.now_ms + 1, What::RunStep(index));
    }

    pub(crate) fn run_step(&mut self, index: usize) {
        let run = &self.runs[index];
        if run.state != RunState::Going {
            return;
        }
        let backend = self.backends[self.places[run.place].backend.unwrap_or_default()];
        if backend.frozen_until_ms > self.now_ms {
            return self.agenda.set(backend.frozen_until_ms + 1, What::RunStep(index));
        }
        let (place, life, attempt) = (run.place, run.life, run.attempt);
        if run.breaks_after == Some(run.made) {
            return self.break_run(index);
        }
        let (first, last) = (run.made == 0, run.made == run.pieces);
        let pause_ms = run.pause_ms.max(1);
        if first {
            let head = ResponseHead { status: run.status, headers: Vec::new() };
            self.set_agent_event(place, life, AgentEvent::BackendHead { attempt, head });
        }
        if last {
            self.runs[index].state = RunState::Whole;
            return self.set_agent_event(place, life, AgentEvent::BackendEnd { attempt });
        }
        let run = &mut self.runs[index];
        let text = format!("{}#{index}/{};", String::from_utf8_lossy(&run.body), run.made);
        run.made += 1;
        run.bytes.extend_from_slice(text.as_bytes());
        let bytes = Bytes::from(text);
        self.set_agent_event(place, life, AgentEvent::BackendChunk { attempt, bytes });
        self.agenda.set(self.now_ms + pause_ms, What::RunStep(index));
    }

    fn break_run(&mut self, index: usize) {
        let run = &mut self.runs[index];
        run.state = RunState::Broken;
        let verdict = if run.made > 0 { Verdict::Ran } else { Verdict::MayHaveRun };
        let (place, life, attempt) = (run.place, run.life, run.attempt);
        self.backend_failed(place, life, attempt, verdict);
    }

    /// A backend server dies with everything that it runs.
    pub(crate) fn kill_backend(&mut self, backend: usize, down_ms: u64) {
        self.backends[backend].down_until_ms = self.now_ms + down_ms;
        let going = |run: &Run| run.state == RunState::Going;
        let beside = |run: &Run| self.places[run.place].backend == Some(backend);
        let dying: Vec<usize> = (0..self.runs.len())
            .filter(|index| going(&self.runs[*index]) && beside(&self.runs[*index]))
            .collect();
        dying.into_iter().for_each(|index| self.break_run(index));
    }

    pub(crate) fn check_health(&mut self, place: usize, life: u64) {
        if self.places[place].life != life {
            return;
        }
        let backend = self.backends[self.places[place].backend.unwrap_or_default()];
        let healthy =
            backend.down_until_ms <= self.now_ms && backend.frozen_until_ms <= self.now_ms;
        self.set_agent_event(place, life, AgentEvent::BackendHealth { healthy });
        self.agenda.set(self.now_ms + HEALTH_PAUSE_MS, What::HealthCheck { place, life });
    }

    fn backend_failed(&mut self, place: usize, life: u64, attempt: AttemptId, verdict: Verdict) {
        let detail = "the backend server failed".to_owned();
        let event = AgentEvent::BackendFailed { attempt, verdict, detail };
        self.set_agent_event(place, life, event);
    }

    fn set_agent_event(&mut self, place: usize, life: u64, event: AgentEvent) {
        let input = Box::new(Input::Agent(event));
        self.agenda.set(self.now_ms + 1, What::Input { place, life, input });
    }
}
