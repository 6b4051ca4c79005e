//! Callers: what they ask, when they come again with the same key, and when they leave.

use crate::world::adapter::Input;
use crate::world::platform::{DEFAULT_DEADLINE_MS, MAX_DEADLINE_MS};
use crate::world::{What, World};
use bytes::Bytes;
use hickorycross_config::hash_api_key;
use hickorycross_core::entry::{Arrival, EntryEvent, Refusal, RequestTarget};
use hickorycross_core::message::RequestHead;
use hickorycross_core::{Incarnation, RequestId, UnixMs, Verdict};
use rand::RngExt;
use rand::seq::IndexedRandom as _;

const TRIES_MAX: u32 = 4;
/// A caller repeats a key no longer than this, which is within the key's horizon.
const REPEAT_WITHIN_MS: u64 = 25_000;
const PAUSE_MS: u64 = 120;
/// The pause in busy runs, in which queues form.
const BUSY_PAUSE_MS: u64 = 30;
/// One request in so many carries the key of another one.
const REUSED_ONE_IN: u32 = 40;
const KEYS_IN_REACH: usize = 20;
const NOBODY_READY_PAUSE_MS: u64 = 500;

/// One thing that a caller wants done, over however many requests.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    pub(crate) path: &'static str,
    pub(crate) model: bool,
    pub(crate) idempotent: bool,
    pub(crate) key: Option<String>,
    team: &'static str,
    /// The caller's own deadline, counted from each request.
    deadline_ms: Option<u64>,
    pub(crate) patient: bool,
    created_ms: u64,
    tries: u32,
    done: bool,
}

impl Operation {
    pub(crate) fn allowed_ms(&self) -> u64 {
        self.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS)
    }

    /// Which operation a body names.
    pub(crate) fn index(body: &[u8]) -> usize {
        let text = String::from_utf8_lossy(body);
        text.trim_start_matches("op-").parse().expect("a body names its operation")
    }

    pub(crate) fn body(index: usize) -> Bytes {
        Bytes::from(format!("op-{index}"))
    }

    /// A non-idempotent request with a key that is sent only when a script orders it.
    pub(crate) fn scripted(key: String, created_ms: u64) -> Self {
        Self {
            path: "/lodge/1",
            model: false,
            idempotent: false,
            key: Some(key),
            team: "gold",
            deadline_ms: None,
            patient: true,
            created_ms,
            tries: TRIES_MAX,
            done: false,
        }
    }
}

impl World {
    /// A new operation comes, and the next one is set.
    pub(crate) fn new_operation(&mut self) {
        if !self.callers_stopped {
            let mean_ms = if self.busy { BUSY_PAUSE_MS } else { PAUSE_MS };
            let pause_ms = self.random.random_range(1..2 * mean_ms);
            self.agenda.set(self.now_ms + pause_ms, What::NewOperation);
            let mut operation = self.draw_operation();
            self.maybe_reuse_key(&mut operation);
            let index = self.operations.len();
            self.operations.push(operation);
            self.arrive(index);
        }
    }

    /// A few callers send a key again with another request.
    fn maybe_reuse_key(&mut self, operation: &mut Operation) {
        let recent = self.operations.len().saturating_sub(KEYS_IN_REACH);
        let earlier = self.operations[recent..].choose(&mut self.random);
        if let Some(earlier) = earlier.filter(|earlier| earlier.key.is_some())
            && self.random.random_range(0..REUSED_ONE_IN) == 0
        {
            operation.key.clone_from(&earlier.key);
            (operation.path, operation.model) = (earlier.path, earlier.model);
            (operation.team, operation.idempotent) = (earlier.team, earlier.idempotent);
        }
    }

    fn draw_operation(&mut self) -> Operation {
        let random = &mut self.random;
        let kind = random.random_range(0..10);
        let (path, model) = match kind {
            0..4 => ("/lodge/1", false),
            4..8 => ("/read/1", false),
            _ => ("/v1/chat", true),
        };
        let marked = random.random_range(0..6) == 0;
        let idempotent = !path.starts_with("/lodge") && !marked;
        let keyed = random.random_range(0..2) == 0;
        let key = keyed.then(|| match random.random() {
            true => format!("plain-{}", random.random::<u64>()),
            false => {
                let made_ms = self.now_ms.saturating_add_signed(random.random_range(-3_000..2_000));
                let (hex, tail) = (format!("{made_ms:012x}"), random.random::<u64>() >> 16);
                format!("{}-{}-7000-8000-{tail:012x}", &hex[..8], &hex[8..])
            }
        });
        let own = random.random_range(0..2) == 0;
        Operation {
            path,
            model,
            idempotent,
            key,
            team: ["gold", "silver"].choose(random).copied().unwrap_or("gold"),
            deadline_ms: own.then(|| random.random_range(300..MAX_DEADLINE_MS)),
            patient: random.random_range(0..20) > 0,
            created_ms: self.now_ms,
            tries: 0,
            done: false,
        }
    }

    /// One request of an operation, at any entry that the balancer knows.
    pub(crate) fn arrive(&mut self, index: usize) {
        let ready: Vec<usize> =
            self.places.iter().filter(|place| place.ready).map(|place| place.index).collect();
        let Some(place) = ready.choose(&mut self.random).copied() else {
            return self.agenda.set(self.now_ms + NOBODY_READY_PAUSE_MS, What::Arrive(index));
        };
        let now_ms = self.now_ms;
        let operation = &mut self.operations[index];
        let late = now_ms > operation.created_ms + REPEAT_WITHIN_MS;
        if operation.done || operation.tries >= TRIES_MAX || late {
            return;
        }
        operation.tries += 1;
        self.arrive_at(index, place);
    }

    /// One request of an operation at an entry.
    pub(crate) fn arrive_at(&mut self, index: usize, place: usize) {
        let now_ms = self.now_ms;
        let operation = self.operations[index].clone();
        let Some(entry) = self.places[place].node.as_ref().map(|node| node.hello().incarnation)
        else {
            return self.agenda.set(now_ms + NOBODY_READY_PAUSE_MS, What::Arrive(index));
        };
        self.observer.arrived(now_ms, index, RequestId { entry, sequence: self.next_request });
        let input = Box::new(Input::Entry(EntryEvent::Arrived(Box::new(
            self.arrival(entry, index, &operation),
        ))));
        let life = self.places[place].life;
        self.agenda.set(now_ms, What::Input { place, life, input });
        if !operation.patient {
            let request = RequestId { entry, sequence: self.next_request };
            let at_ms = now_ms + self.random.random_range(0..2_000);
            let input = Box::new(Input::Entry(EntryEvent::CallerGone { request }));
            self.agenda.set(at_ms, What::Input { place, life, input });
        }
        if operation.key.is_some() && self.random.random_range(0..8) == 0 {
            let at_ms = now_ms + self.random.random_range(0..6_000);
            self.agenda.set(at_ms, What::Arrive(index));
        }
        self.next_request += 1;
    }

    fn arrival(&self, entry: Incarnation, index: usize, operation: &Operation) -> Arrival {
        let path = operation.path.to_owned();
        let target = match operation.model {
            true => RequestTarget::Model("reviewer".to_owned()),
            false => RequestTarget::Path(path.clone()),
        };
        Arrival {
            request: RequestId { entry, sequence: self.next_request },
            key_hash: hash_api_key(operation.team),
            target,
            non_idempotent: !operation.idempotent,
            idempotency_key: operation.key.clone(),
            deadline: operation.deadline_ms.map(|span_ms| UnixMs(self.now_ms + span_ms)),
            head: RequestHead { method: "POST".to_owned(), path, headers: Vec::new() },
            body: Operation::body(index),
        }
    }

    pub(crate) fn answered_whole(&mut self, index: usize) {
        self.operations[index].done = true;
    }

    /// A caller that was refused, or whose entry died, comes again where it may.
    pub(crate) fn refused(&mut self, index: usize, refusal: Option<&Refusal>) {
        let operation = &self.operations[index];
        let not_run = refusal.is_some_and(|refusal| refusal.verdict == Verdict::NotRun);
        if !(operation.idempotent || operation.key.is_some() || not_run) {
            return;
        }
        let asked_ms = refusal.and_then(|refusal| refusal.retry_at).map_or(0, |at| at.0);
        let spread_ms = self.random.random_range(100..1_500);
        self.agenda.set(self.now_ms.max(asked_ms) + spread_ms, What::Arrive(index));
    }
}
