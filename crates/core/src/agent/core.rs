//! The agent's core: its tables, and one event in, actions out.

use super::attempt::{Attempt, Stage};
use super::border::{AgentAction, AgentEvent};
use super::constants::{CLOCK_SKEW_BOUND_MS, ORPHAN_MS};
use super::counters::AgentCounters;
use super::demand::DemandTable;
use super::execution::{DueRun, Execution};
use super::guard::StartGuard;
use super::home_history::HomeHistory;
use super::identity::AgentIdentity;
use super::keys::KeyTable;
use super::mechanisms::Mechanisms;
use super::queue::{FairQueue, QueueRules};
use super::service_time::ServiceTime;
use super::snapshot::DrainState;
use crate::ids::{AttemptId, Incarnation, LinkId};
use crate::message::{RefusalReason, ToEntry};
use crate::time::{Now, UnixMs};
use hickorycross_config::{Document, Stamp};
use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

/// The decisions of one agent.
///
/// Every event is handled at once and in order; the systems that start queued work and finish a
/// drain run after each of them, those that expire rows run at each [`AgentEvent::Tick`].
#[derive(Debug)]
pub struct AgentCore {
    pub(super) identity: AgentIdentity,
    pub(super) mechanisms: Mechanisms,
    pub(super) random: ChaCha8Rng,
    pub(super) stamp: Stamp,
    pub(super) document: Option<Arc<Document>>,
    pub(super) links: IndexMap<LinkId, Incarnation>,
    pub(super) attempts: IndexMap<AttemptId, Attempt>,
    /// The latest deadline of a forgotten attempt that may have started. Of an attempt with a
    /// later deadline and no row it is certain that it never started here.
    pub(super) forgotten_through: UnixMs,
    pub(super) queue: FairQueue,
    pub(super) executions: IndexMap<AttemptId, Execution>,
    /// Ended runs by the moment at which nothing of them is held any more; earlier moments of runs
    /// whose retention was extended may stand here too.
    pub(super) due_runs: BinaryHeap<Reverse<DueRun>>,
    pub(super) running: IndexSet<AttemptId>,
    pub(super) retained_bytes: u64,
    /// Ended runs whose answers are held for repeats of their key, oldest first.
    pub(super) replayable: VecDeque<AttemptId>,
    pub(super) keys: KeyTable,
    pub(super) homes: HomeHistory,
    /// Other documents that peers hold under the revision in force here.
    rivals: Vec<Arc<Document>>,
    pub(super) guard: StartGuard,
    pub(super) demand: DemandTable,
    pub(super) service: ServiceTime,
    pub(super) counters: AgentCounters,
    pub(super) healthy: bool,
    pub(super) drain: DrainState,
}

impl AgentCore {
    /// An agent that has adopted nothing yet. `seed` feeds every random choice.
    #[must_use]
    pub fn new(identity: AgentIdentity, seed: u64) -> Self {
        Self::with_mechanisms(identity, seed, Mechanisms::default())
    }

    /// An agent without some mechanisms, for tests that show what each one prevents.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mechanisms(identity: AgentIdentity, seed: u64, mechanisms: Mechanisms) -> Self {
        let rules = QueueRules {
            eviction: mechanisms.eviction,
            team_fairness: mechanisms.team_fairness,
            tier_floors: mechanisms.tier_floors,
        };
        Self {
            homes: HomeHistory::new(identity.backend_server.clone()),
            identity,
            mechanisms,
            random: ChaCha8Rng::seed_from_u64(seed),
            stamp: Stamp::NONE,
            document: None,
            rivals: Vec::new(),
            links: IndexMap::new(),
            attempts: IndexMap::new(),
            forgotten_through: UnixMs::default(),
            queue: FairQueue::new(rules),
            executions: IndexMap::new(),
            due_runs: BinaryHeap::new(),
            running: IndexSet::new(),
            retained_bytes: 0,
            replayable: VecDeque::new(),
            keys: KeyTable::default(),
            guard: StartGuard::default(),
            demand: DemandTable::default(),
            service: ServiceTime::default(),
            counters: AgentCounters::default(),
            healthy: true,
            drain: DrainState::Serving,
        }
    }

    /// Handles one event and appends what is to be done.
    pub fn handle(&mut self, now: Now, event: AgentEvent, actions: &mut Vec<AgentAction>) {
        match event {
            AgentEvent::Tick => self.sweep(now, actions),
            AgentEvent::Adopted { stamp, document } => self.adopt(now, stamp, document, actions),
            AgentEvent::ConflictingDocument { document } => self.note_rival(now, document),
            AgentEvent::LinkOpened { link, entry } => self.open_link(link, entry, actions),
            AgentEvent::LinkClosed { link } => self.close_link(now, link),
            AgentEvent::Message { link, message } => self.message(now, link, message, actions),
            AgentEvent::BackendHead { attempt, head } => {
                self.backend_head(attempt, head, actions);
            }
            AgentEvent::BackendChunk { attempt, bytes } => {
                self.backend_chunk(attempt, bytes, actions);
            }
            AgentEvent::BackendEnd { attempt } => self.backend_end(now, attempt, actions),
            AgentEvent::BackendFailed { attempt, verdict, detail } => {
                self.backend_failed(now, attempt, verdict, detail, actions);
            }
            AgentEvent::BackendHealth { healthy } => self.backend_health(now, healthy, actions),
            AgentEvent::Drain => self.begin_drain(now, actions),
        }
        self.start_queued(now, actions);
        self.finish_drain(now, actions);
    }

    /// What has been counted since the start of the process.
    #[must_use]
    pub fn counters(&self) -> &AgentCounters {
        &self.counters
    }

    fn adopt(
        &mut self,
        now: Now,
        stamp: Stamp,
        document: Arc<Document>,
        actions: &mut Vec<AgentAction>,
    ) {
        match &self.document {
            Some(before) if self.mechanisms.key_home_changes => {
                self.homes.change(now, before, &document);
            }
            None if self.mechanisms.unknown_keys_after_start => self.homes.begin(now, &document),
            _ => {}
        }
        for rival in std::mem::take(&mut self.rivals) {
            self.homes.change(now, &rival, &document);
        }
        self.queue.adopt(&document);
        self.stamp = stamp;
        self.document = Some(document);
        if self.backend().is_none() {
            self.hand_back_all(now, RefusalReason::UnknownRoute, actions);
        }
    }

    /// Notes that other agents are homes of keys by another document of the same revision.
    ///
    /// Without this, an agent that started on one content of a revision would take itself for the
    /// only home that its keys ever had, while an agent on the other content runs them too. One
    /// would see one key run twice, on a fleet whose revisions look the same. Keys whose home the
    /// two contents give to different agents are unknown, now and after the next document.
    fn note_rival(&mut self, now: Now, rival: Arc<Document>) {
        let Some(document) =
            self.document.as_ref().filter(|_| self.mechanisms.conflicting_documents)
        else {
            return;
        };
        self.homes.change(now, &rival, document);
        if !self.rivals.contains(&rival) {
            self.rivals.push(rival);
        }
    }

    fn open_link(&mut self, link: LinkId, entry: Incarnation, actions: &mut Vec<AgentAction>) {
        self.links.insert(link, entry);
        if self.drain != DrainState::Serving {
            actions.push(AgentAction::Send { link, message: ToEntry::Leaving });
        }
    }

    fn close_link(&mut self, now: Now, link: LinkId) {
        self.links.shift_remove(&link);
        for attempt in self.attempts.values_mut().filter(|row| row.link == Some(link)) {
            attempt.link = None;
            attempt.orphan_at = now.after(ORPHAN_MS);
        }
    }

    /// Whether an attempt without a row certainly never started here.
    pub(super) fn never_started(&self, deadline: UnixMs) -> bool {
        !self.mechanisms.forgotten_watermark || deadline > self.forgotten_through
    }

    /// Adds a row for an attempt.
    pub(super) fn record(
        &mut self,
        attempt: AttemptId,
        link: Option<LinkId>,
        deadline: UnixMs,
        stage: Stage,
    ) {
        let row = Attempt {
            link,
            deadline,
            orphan_at: UnixMs::NEVER,
            forget_at: deadline.after(CLOCK_SKEW_BOUND_MS),
            stage,
        };
        self.attempts.insert(attempt, row);
    }
}
