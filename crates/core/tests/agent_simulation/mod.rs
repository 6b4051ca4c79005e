//! Random events around one agent: entries, links that lose, duplicate and delay messages, and a
//! backend server.

mod observer;

use crate::agent_harness::{
    AGENT, ENTRY, Harness, LINK, document, keyed_submit, keys_with_home, route, submit,
};
use hickorycross_config::Document;
use hickorycross_core::agent::{AgentAction, AgentEvent, Mechanisms};
use hickorycross_core::message::{KeyDigest, Submit, ToAgent};
use hickorycross_core::{AttemptId, Incarnation, LinkId, RequestId, Verdict};
use observer::Observer;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 2;
const ENTRIES: [Incarnation; 2] = [Incarnation(100), Incarnation(200)];

/// A message in transit from an entry.
struct Pending {
    entry: Incarnation,
    message: ToAgent,
}

pub(crate) struct Simulation {
    pub(crate) harness: Harness,
    pub(crate) observer: Observer,
    random: ChaCha8Rng,
    documents: [Document; 2],
    keys: Vec<KeyDigest>,
    links: Vec<(LinkId, Incarnation)>,
    next_link: u64,
    submitted: Vec<Submit>,
    pending: Vec<Pending>,
    running: Vec<AttemptId>,
    healthy: bool,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        Self::with_mechanisms(seed, Mechanisms::default())
    }

    pub(crate) fn with_mechanisms(seed: u64, mechanisms: Mechanisms) -> Self {
        let mut first = document();
        first.backend_servers[0].slots = SLOTS;
        let mut second = first.clone();
        second.routes[1] = route("create", false, &["b0", "b2"]);
        let mut keys: Vec<KeyDigest> = keys_with_home(&first, "create", "b0").take(4).collect();
        keys.extend(keys_with_home(&first, "create", "b1").take(1));
        let harness = Harness::with_document(mechanisms, first.clone());
        let mut simulation = Self {
            harness,
            observer: Observer::new(SLOTS),
            random: ChaCha8Rng::seed_from_u64(seed),
            documents: [first, second],
            keys,
            links: vec![(LINK, ENTRY)],
            next_link: 10,
            submitted: Vec::new(),
            pending: Vec::new(),
            running: Vec::new(),
            healthy: true,
        };
        simulation.harness.advance(crate::agent_harness::KEYS_KNOWN_AFTER_MS);
        ENTRIES.into_iter().for_each(|entry| simulation.open_link(entry));
        simulation
    }

    pub(crate) fn step(&mut self) {
        let span_ms = match self.random.random_range(0..200) {
            0 => 20_000,
            1..=5 => 3_000,
            _ => self.random.random_range(0..60),
        };
        self.harness.advance(span_ms);
        match self.random.random_range(0..100) {
            0..20 => self.new_request(),
            20..30 => self.follow_up(),
            30..62 => self.deliver(),
            62..82 => self.backend_event(),
            82..94 => self.handle(AgentEvent::Tick),
            94..95 => self.close_link(),
            95..98 => self.open_link_of_any(),
            98 => self.change_health(),
            _ => self.change_document(),
        }
    }

    /// Drains the agent, ends all runs and checks that no state is left.
    pub(crate) fn finish(&mut self) {
        self.handle(AgentEvent::Drain);
        while !self.pending.is_empty() {
            self.deliver();
        }
        while !self.running.is_empty() {
            self.backend_event();
        }
        for _ in 0..30 {
            self.harness.advance(10_000);
            self.handle(AgentEvent::Tick);
        }
        self.observer.check_finished();
        let snapshot = self.harness.core.snapshot(self.harness.now);
        let left = (snapshot.attempts, snapshot.answers, snapshot.keys, snapshot.retained_bytes);
        assert_eq!(left, (0, 0, 0, 0), "attempts, answers, keys, bytes");
    }

    fn handle(&mut self, event: AgentEvent) {
        self.observer.observe_event(self.harness.now, &event);
        let actions = self.harness.handle(event);
        for action in &actions {
            match action {
                AgentAction::Start { attempt, .. } => self.running.push(*attempt),
                AgentAction::Send { link, .. } => {
                    assert!(
                        self.links.iter().any(|(open, _)| open == link),
                        "sent on a closed link"
                    );
                }
                _ => {}
            }
            self.observer.observe_action(self.harness.now, action);
        }
    }

    fn new_request(&mut self) {
        let entry = *ENTRIES.choose(&mut self.random).expect("entries");
        let sequence = self.submitted.len() as u64;
        let key = *self.keys.choose(&mut self.random).expect("keys");
        let mut new = match self.random.random_range(0..3) {
            0 => keyed_submit(sequence, key, self.harness.now),
            _ => submit(sequence),
        };
        new.attempt = AttemptId { request: RequestId { entry, sequence }, ordinal: 0 };
        new.deadline = self.harness.now.after(self.random.random_range(0..8_000));
        new.tier = ["gold", "silver", "bronze"].choose(&mut self.random).copied().unwrap().into();
        new.team = ["hog", "mouse"].choose(&mut self.random).copied().unwrap().into();
        if self.random.random_range(0..20) == 0 {
            new.content = 2;
        }
        if self.random.random_range(0..40) == 0 {
            new.agent = Incarnation(6);
        }
        self.submitted.push(new.clone());
        self.send(entry, ToAgent::Submit(Box::new(new)));
    }

    /// Sends a random message about an earlier attempt, whatever its state.
    fn follow_up(&mut self) {
        let Some(earlier) = self.submitted.choose(&mut self.random).cloned() else { return };
        let (attempt, deadline) = (earlier.attempt, earlier.deadline);
        let next_chunk = self.observer.next_missing_chunk(attempt);
        let message = match self.random.random_range(0..10) {
            0..2 => ToAgent::Submit(Box::new(earlier)),
            2..4 => ToAgent::Attach { attempt, agent: AGENT, next_chunk },
            4..6 => ToAgent::Revoke { attempt, agent: AGENT, deadline, next_chunk },
            6 => ToAgent::Cancel { attempt },
            _ => ToAgent::Received { attempt, next_chunk },
        };
        self.send(attempt.request.entry, message);
    }

    /// Sends a message over a network that may lose or duplicate it.
    fn send(&mut self, entry: Incarnation, message: ToAgent) {
        let copies = [1, 1, 1, 1, 1, 1, 2, 2, 0].choose(&mut self.random).copied().unwrap_or(1);
        for _ in 0..copies {
            self.pending.push(Pending { entry, message: message.clone() });
        }
    }

    /// Delivers a random message in transit on a random open link of its entry.
    fn deliver(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.pending.len());
        let Pending { entry, message } = self.pending.swap_remove(index);
        let of_entry = self.links.iter().filter(|(_, end)| *end == entry);
        let links: Vec<LinkId> = of_entry.map(|(link, _)| *link).collect();
        if let Some(link) = links.choose(&mut self.random).copied() {
            self.handle(AgentEvent::Message { link, message });
        }
    }

    fn backend_event(&mut self) {
        let Some(attempt) = self.running.choose(&mut self.random).copied() else { return };
        match self.random.random_range(0..10) {
            0..5 => {
                let bytes = self.observer.next_chunk_of(attempt);
                self.handle(AgentEvent::BackendChunk { attempt, bytes });
            }
            5..8 => {
                self.running.retain(|run| *run != attempt);
                self.handle(AgentEvent::BackendEnd { attempt });
            }
            kind => {
                self.running.retain(|run| *run != attempt);
                let verdict = if kind == 8 { Verdict::NotRun } else { Verdict::MayHaveRun };
                let detail = "random".to_owned();
                self.handle(AgentEvent::BackendFailed { attempt, verdict, detail });
            }
        }
    }

    fn open_link_of_any(&mut self) {
        let entry = *ENTRIES.choose(&mut self.random).expect("entries");
        self.open_link(entry);
    }

    fn open_link(&mut self, entry: Incarnation) {
        let link = LinkId(self.next_link);
        self.next_link += 1;
        self.links.push((link, entry));
        self.handle(AgentEvent::LinkOpened { link, entry });
    }

    fn close_link(&mut self) {
        if self.links.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.links.len());
        let (link, _) = self.links.swap_remove(index);
        self.handle(AgentEvent::LinkClosed { link });
    }

    fn change_health(&mut self) {
        self.healthy = !self.healthy || self.random.random_range(0..4) > 0;
        self.handle(AgentEvent::BackendHealth { healthy: self.healthy });
    }

    fn change_document(&mut self) {
        let index = (self.random.next_u32() % 2) as usize;
        let document = self.documents[index].clone();
        let actions = self.harness.adopt(document);
        actions.iter().for_each(|action| self.observer.observe_action(self.harness.now, action));
    }
}
