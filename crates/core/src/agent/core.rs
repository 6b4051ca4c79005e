//! State of the agent and dispatch of its events.

use super::attempt::{Attempt, Stage};
use super::constants::{CLOCK_SKEW_BOUND_MS, ORPHAN_TIMEOUT_MS};
use super::counters::AgentCounters;
use super::demand::DemandTable;
use super::execution::{Execution, RetentionExpiry};
use super::guard::StartGuard;
use super::holders::HolderQueries;
use super::home_history::{HomeHistory, StampedDocument};
use super::identity::AgentIdentity;
use super::interface::{AgentAction, AgentEvent};
use super::keys::KeyTable;
use super::mechanisms::Mechanisms;
use super::queue::{FairQueue, QueueRules};
use super::service_time::ServiceTime;
use super::snapshot::DrainState;
use crate::ids::{AttemptId, Incarnation, LinkId};
use crate::message::{Adoption, HeldStamp, RefusalReason, ToEntry};
use crate::time::{Now, UnixMs};
use hickorycross_config::{Document, Stamp};
use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

/// Decision logic of one agent.
///
/// Events are handled synchronously and in order. After each event, queued attempts are started and
/// a drain is completed where possible. Expired state is removed at each [`AgentEvent::Tick`].
#[derive(Debug)]
pub struct AgentCore {
    pub(super) identity: AgentIdentity,
    pub(super) mechanisms: Mechanisms,
    pub(super) random: ChaCha8Rng,
    pub(super) stamp: Stamp,
    /// The latest adoption; none before the first document.
    pub(super) adoption: Option<Adoption>,
    pub(super) document: Option<Arc<Document>>,
    pub(super) links: IndexMap<LinkId, Incarnation>,
    pub(super) attempts: IndexMap<AttemptId, Attempt>,
    /// Latest deadline of a forgotten attempt that may have started. An attempt without a record
    /// and with a later deadline has certainly never started here.
    pub(super) forgotten_through: UnixMs,
    pub(super) queue: FairQueue,
    pub(super) executions: IndexMap<AttemptId, Execution>,
    /// Finished runs by the time at which their responses are dropped. A run whose retention was
    /// extended may also be listed with its earlier time.
    pub(super) retention_expiries: BinaryHeap<Reverse<RetentionExpiry>>,
    pub(super) running: IndexSet<AttemptId>,
    pub(super) retained_bytes: u64,
    /// Finished runs whose responses are retained for repeats of their key, oldest first.
    pub(super) replayable: VecDeque<AttemptId>,
    pub(super) keys: KeyTable,
    pub(super) homes: HomeHistory,
    pub(super) holder_queries: HolderQueries,
    /// Different documents that peers use under the revision in force here.
    conflicting_documents: Vec<Arc<Document>>,
    pub(super) guard: StartGuard,
    pub(super) demand: DemandTable,
    pub(super) service: ServiceTime,
    pub(super) counters: AgentCounters,
    pub(super) healthy: bool,
    pub(super) drain: DrainState,
}

impl AgentCore {
    /// Creates an agent without a document. `seed` determines every random choice.
    #[must_use]
    pub fn new(identity: AgentIdentity, seed: u64) -> Self {
        Self::with_mechanisms(identity, seed, Mechanisms::default())
    }

    /// Creates an agent with some mechanisms disabled, for tests that show what each one prevents.
    #[doc(hidden)]
    #[must_use]
    pub fn with_mechanisms(identity: AgentIdentity, seed: u64, mechanisms: Mechanisms) -> Self {
        let rules = QueueRules {
            eviction: mechanisms.eviction,
            team_fairness: mechanisms.team_fairness,
            tier_floors: mechanisms.tier_floors,
        };
        Self {
            homes: HomeHistory::new(
                identity.backend_server.clone(),
                mechanisms.former_homes_awaited,
            ),
            holder_queries: HolderQueries::default(),
            identity,
            mechanisms,
            random: ChaCha8Rng::seed_from_u64(seed),
            stamp: Stamp::NONE,
            adoption: None,
            document: None,
            conflicting_documents: Vec::new(),
            links: IndexMap::new(),
            attempts: IndexMap::new(),
            forgotten_through: UnixMs::default(),
            queue: FairQueue::new(rules),
            executions: IndexMap::new(),
            retention_expiries: BinaryHeap::new(),
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

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Now, event: AgentEvent, actions: &mut Vec<AgentAction>) {
        match event {
            AgentEvent::Tick => self.sweep(now, actions),
            AgentEvent::Adopted { stamp, document } => self.adopt(now, stamp, document, actions),
            AgentEvent::ConflictingDocument { document } => {
                self.record_conflict(now, document);
                self.audit_former_homes(now, actions);
            }
            AgentEvent::LinkOpened { link, entry } => self.open_link(link, entry, actions),
            AgentEvent::LinkClosed { link } => self.close_link(now, link),
            AgentEvent::Message { link, message } => self.dispatch(now, link, message, actions),
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

    /// Returns the event counters since the start of the process.
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
        self.record_homes(now, StampedDocument { stamp, document: &document });
        self.holder_queries.ask_soon();
        self.queue.apply_document(&document);
        self.stamp = stamp;
        let replaced = self.adoption.map(|adoption| adoption.held);
        let held = HeldStamp { stamp, adopted_at: now.unix_ms };
        self.adoption = Some(Adoption { held, replaced });
        self.announce_adoption(actions);
        self.document = Some(document);
        self.audit_former_homes(now, actions);
        if self.backend().is_none() {
            self.refuse_all_queued(now, RefusalReason::UnknownRoute, actions);
        }
    }

    /// Records the former homes of the keys that a new document moves.
    fn record_homes(&mut self, now: Now, after: StampedDocument<'_>) {
        self.homes.hold(after.stamp);
        let last_held = self.stamp.revision;
        match &self.document {
            Some(before) if self.mechanisms.key_home_changes => {
                self.homes.on_change(now, before, after);
                if after.stamp.revision > last_held + 1 {
                    self.homes.on_skip(now, last_held, after);
                }
            }
            None if self.mechanisms.unknown_keys_after_start => self.homes.on_start(now, after),
            _ => {}
        }
        for conflicting in std::mem::take(&mut self.conflicting_documents) {
            self.homes.on_change(now, &conflicting, after);
        }
    }

    /// Records that peers use a different document under the revision in force here.
    ///
    /// Under that document, other agents are the homes of some of this agent's keys and may run
    /// them, so one key could run twice although all processes report the same revision. Keys whose
    /// home differs between the two documents count as unknown, now and after the next document.
    fn record_conflict(&mut self, now: Now, conflicting: Arc<Document>) {
        let Some(document) =
            self.document.as_ref().filter(|_| self.mechanisms.conflicting_documents)
        else {
            return;
        };
        let held = StampedDocument { stamp: self.stamp, document };
        self.homes.on_change(now, &conflicting, held);
        if !self.conflicting_documents.contains(&conflicting) {
            self.conflicting_documents.push(conflicting);
        }
    }

    fn open_link(&mut self, link: LinkId, entry: Incarnation, actions: &mut Vec<AgentAction>) {
        self.links.insert(link, entry);
        if self.drain != DrainState::Serving {
            actions.push(AgentAction::Send { link, message: ToEntry::Leaving });
            return;
        }
        actions.extend(self.adoption_message(link));
        self.holder_queries.ask_soon();
        self.ask_for_holders(link, actions);
    }

    fn close_link(&mut self, now: Now, link: LinkId) {
        self.links.shift_remove(&link);
        for attempt in self.attempts.values_mut().filter(|row| row.link == Some(link)) {
            attempt.link = None;
            attempt.orphan_at = now.after(ORPHAN_TIMEOUT_MS);
        }
    }

    /// Returns whether an attempt without a record certainly never started here.
    pub(super) fn never_started(&self, deadline: UnixMs) -> bool {
        !self.mechanisms.forgotten_watermark || deadline > self.forgotten_through
    }

    /// Adds the record of an attempt.
    pub(super) fn insert_attempt(
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
