//! Random events around one agent: entries, paths that lose, double and delay, a backend server.

mod observer;

use crate::agent_rig::{AGENT, ENTRY, LINK, Rig, document, keys_at, lodge, route, submit};
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

/// A message on its way from an entry.
struct Pending {
    entry: Incarnation,
    message: ToAgent,
}

pub(crate) struct World {
    pub(crate) rig: Rig,
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

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        Self::with_mechanisms(seed, Mechanisms::default())
    }

    pub(crate) fn with_mechanisms(seed: u64, mechanisms: Mechanisms) -> Self {
        let mut first = document();
        first.backend_servers[0].slots = SLOTS;
        let mut second = first.clone();
        second.routes[1] = route("lodge", false, &["b0", "b2"]);
        let mut keys: Vec<KeyDigest> = keys_at(&first, "lodge", "b0").take(4).collect();
        keys.extend(keys_at(&first, "lodge", "b1").take(1));
        let rig = Rig::with_document(mechanisms, first.clone());
        let mut world = Self {
            rig,
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
        world.rig.wait(crate::agent_rig::WARM_MS);
        ENTRIES.into_iter().for_each(|entry| world.open_link(entry));
        world
    }

    pub(crate) fn step(&mut self) {
        let span_ms = match self.random.random_range(0..200) {
            0 => 20_000,
            1..=5 => 3_000,
            _ => self.random.random_range(0..60),
        };
        self.rig.wait(span_ms);
        match self.random.random_range(0..100) {
            0..20 => self.new_request(),
            20..30 => self.recover(),
            30..62 => self.deliver(),
            62..82 => self.backend(),
            82..94 => self.event(AgentEvent::Tick),
            94..95 => self.close_link(),
            95..98 => self.open_link_of_any(),
            98 => self.change_health(),
            _ => self.change_document(),
        }
    }

    /// Drains, lets everything end and checks that nothing is left.
    pub(crate) fn finish(&mut self) {
        self.event(AgentEvent::Drain);
        while !self.pending.is_empty() {
            self.deliver();
        }
        while !self.running.is_empty() {
            self.backend();
        }
        for _ in 0..30 {
            self.rig.wait(10_000);
            self.event(AgentEvent::Tick);
        }
        self.observer.check_finished();
        let snapshot = self.rig.core.snapshot(self.rig.now);
        let left = (snapshot.attempts, snapshot.answers, snapshot.keys, snapshot.retained_bytes);
        assert_eq!(left, (0, 0, 0, 0), "attempts, answers, keys, bytes");
    }

    fn event(&mut self, event: AgentEvent) {
        self.observer.before(self.rig.now, &event);
        let actions = self.rig.step(event);
        for action in &actions {
            match action {
                AgentAction::Start { attempt, .. } => self.running.push(*attempt),
                AgentAction::Send { link, .. } => {
                    assert!(self.links.iter().any(|(open, _)| open == link), "closed link");
                }
                _ => {}
            }
            self.observer.see(self.rig.now, action);
        }
    }

    fn new_request(&mut self) {
        let entry = *ENTRIES.choose(&mut self.random).expect("entries");
        let sequence = self.submitted.len() as u64;
        let key = *self.keys.choose(&mut self.random).expect("keys");
        let mut new = match self.random.random_range(0..3) {
            0 => lodge(sequence, key, self.rig.now),
            _ => submit(sequence),
        };
        new.attempt = AttemptId { request: RequestId { entry, sequence }, ordinal: 0 };
        new.deadline = self.rig.now.after(self.random.random_range(0..8_000));
        new.tier = ["gold", "silver", "bronze"].choose(&mut self.random).copied().unwrap().into();
        new.team = ["hog", "mouse"].choose(&mut self.random).copied().unwrap().into();
        if self.random.random_range(0..20) == 0 {
            new.content = 2;
        }
        if self.random.random_range(0..40) == 0 {
            new.agent = Incarnation(6);
        }
        self.submitted.push(new.clone());
        self.post(entry, ToAgent::Submit(Box::new(new)));
    }

    /// Any further message about an earlier attempt, whatever its state.
    fn recover(&mut self) {
        let Some(earlier) = self.submitted.choose(&mut self.random).cloned() else { return };
        let (attempt, deadline) = (earlier.attempt, earlier.deadline);
        let next_chunk = self.observer.held_by_entry(attempt);
        let message = match self.random.random_range(0..10) {
            0..2 => ToAgent::Submit(Box::new(earlier)),
            2..4 => ToAgent::Attach { attempt, agent: AGENT, next_chunk },
            4..6 => ToAgent::Revoke { attempt, agent: AGENT, deadline, next_chunk },
            6 => ToAgent::Cancel { attempt },
            _ => ToAgent::Received { attempt, next_chunk },
        };
        self.post(attempt.request.entry, message);
    }

    /// Hands a message to a path that may lose or double it.
    fn post(&mut self, entry: Incarnation, message: ToAgent) {
        let copies = [1, 1, 1, 1, 1, 1, 2, 2, 0].choose(&mut self.random).copied().unwrap_or(1);
        for _ in 0..copies {
            self.pending.push(Pending { entry, message: message.clone() });
        }
    }

    /// Delivers any message that is on its way, on any open link of its entry.
    fn deliver(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.pending.len());
        let Pending { entry, message } = self.pending.swap_remove(index);
        let of_entry = self.links.iter().filter(|(_, end)| *end == entry);
        let links: Vec<LinkId> = of_entry.map(|(link, _)| *link).collect();
        if let Some(link) = links.choose(&mut self.random).copied() {
            self.event(AgentEvent::Message { link, message });
        }
    }

    fn backend(&mut self) {
        let Some(attempt) = self.running.choose(&mut self.random).copied() else { return };
        match self.random.random_range(0..10) {
            0..5 => {
                let bytes = self.observer.next_piece(attempt);
                self.event(AgentEvent::BackendChunk { attempt, bytes });
            }
            5..8 => {
                self.running.retain(|run| *run != attempt);
                self.event(AgentEvent::BackendEnd { attempt });
            }
            kind => {
                self.running.retain(|run| *run != attempt);
                let verdict = if kind == 8 { Verdict::NotRun } else { Verdict::MayHaveRun };
                let detail = "random".to_owned();
                self.event(AgentEvent::BackendFailed { attempt, verdict, detail });
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
        self.event(AgentEvent::LinkOpened { link, entry });
    }

    fn close_link(&mut self) {
        if self.links.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.links.len());
        let (link, _) = self.links.swap_remove(index);
        self.event(AgentEvent::LinkClosed { link });
    }

    fn change_health(&mut self) {
        self.healthy = !self.healthy || self.random.random_range(0..4) > 0;
        self.event(AgentEvent::BackendHealth { healthy: self.healthy });
    }

    fn change_document(&mut self) {
        let index = (self.random.next_u32() % 2) as usize;
        let document = self.documents[index].clone();
        let actions = self.rig.adopt(document);
        actions.iter().for_each(|action| self.observer.see(self.rig.now, action));
    }
}
