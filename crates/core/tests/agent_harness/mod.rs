//! Harness for the agent tests: a document, one agent under virtual time, and helpers to send
//! events and inspect actions.

#![allow(dead_code, reason = "each test program uses a part of it")]

use bytes::Bytes;
use hickorycross_config::{
    BackendKind, BackendServer, BackendServerId, Balance, Digest, Document, Route, RouteId, Stamp,
    Target, Team, TeamId, TeamLimit, Tier, TierId,
};
use hickorycross_core::agent::{
    AgentAction, AgentCore, AgentEvent, AgentIdentity, Mechanisms, key_home,
};
use hickorycross_core::audit::Change;
use hickorycross_core::message::{
    EveryAgent, HeldStamp, Holder, HolderQuery, HolderReport, KeyDigest, RefusalReason,
    RequestHead, RevokeOutcome, Submit, ToAgent, ToEntry,
};
use hickorycross_core::{AttemptId, Incarnation, LinkId, Now, RequestId, UnixMs, Verdict};
use std::sync::Arc;

/// Virtual time at which every test starts.
pub(crate) const START_MS: u64 = 1_000_000;
pub(crate) const KEY_HORIZON_MS: u32 = 60_000;
pub(crate) const MAX_DEADLINE_MS: u32 = 30_000;
/// Time after the start of an agent when all its keys are known.
pub(crate) const KEYS_KNOWN_AFTER_MS: u64 = 200_000;
pub(crate) const AGENT: Incarnation = Incarnation(7);
pub(crate) const ENTRY: Incarnation = Incarnation(100);
pub(crate) const LINK: LinkId = LinkId(1);

/// A document with three tiers, two teams and three backend servers.
pub(crate) fn document() -> Document {
    Document {
        schema_version: 1,
        title: "agent tests".to_owned(),
        failure_domains: Vec::new(),
        tiers: vec![tier("gold", 0, 0), tier("silver", 1, 100), tier("bronze", 2, 0)],
        teams: vec![team("hog"), team("mouse")],
        backend_servers: ["b0", "b1", "b2"].map(backend).to_vec(),
        model_groups: Vec::new(),
        routes: vec![route("read", true, &["b0", "b1"]), route("create", false, &["b0", "b1"])],
        balance: Balance {
            skew_weight: 1.0,
            rebalance_cost_weight: 1.0,
            weight_store_bytes_per_s: 1,
        },
    }
}

fn tier(id: &str, rank: u8, floor_permille: u16) -> Tier {
    Tier { id: id.into(), rank, first_chunk_target_ms: 1_000, floor_permille }
}

fn team(id: &str) -> Team {
    let limit = TeamLimit { requests_per_s: 10, burst_requests: 10 };
    Team { id: id.into(), tier: "gold".into(), key_hashes: Vec::new(), limit }
}

fn backend(id: &str) -> BackendServer {
    BackendServer {
        id: id.into(),
        failure_domain: "d0".into(),
        kind: BackendKind::Service,
        slots: 1,
        queue_slots: 4,
        checks_fencing: false,
    }
}

pub(crate) fn route(id: &str, idempotent: bool, backends: &[&str]) -> Route {
    Route {
        id: id.into(),
        target: Target::Service {
            path_prefix: format!("/{id}/"),
            backend_servers: backends.iter().map(|id| BackendServerId::new(id)).collect(),
        },
        idempotent,
        default_deadline_ms: 10_000,
        max_deadline_ms: MAX_DEADLINE_MS,
        key_horizon_ms: KEY_HORIZON_MS,
        retry_budget_permille: 0,
    }
}

/// Returns a plain key whose home on a route is the given backend server.
pub(crate) fn key_with_home(document: &Document, route: &str, home: &str) -> KeyDigest {
    keys_with_home(document, route, home).next().expect("a key with this home")
}

/// Returns plain keys whose home on a route is the given backend server.
pub(crate) fn keys_with_home<'a>(
    document: &'a Document,
    route: &'a str,
    home: &'a str,
) -> impl Iterator<Item = KeyDigest> + 'a {
    let keys = (0..10_000).map(|number| KeyDigest::of(&TeamId::new("hog"), &format!("k{number}")));
    keys.filter(move |key| is_home(document, route, *key, home))
}

/// Returns a UUID version 7 key with the given creation time whose home on a route is the given
/// backend server.
pub(crate) fn timestamped_key_with_home(
    document: &Document,
    route: &str,
    home: &str,
    created_ms: u64,
) -> KeyDigest {
    let mut keys = (0..1_000).map(|number| {
        let hex = format!("{created_ms:012x}");
        let text = format!("{}-{}-7000-8000-{number:012x}", &hex[..8], &hex[8..]);
        KeyDigest::of(&TeamId::new("hog"), &text)
    });
    keys.find(|key| is_home(document, route, *key, home)).expect("some key")
}

fn is_home(document: &Document, route: &str, key: KeyDigest, home: &str) -> bool {
    let route = document.route(route).expect("a route of the fixture");
    key_home(document, route, key).is_some_and(|id| id.as_str() == home)
}

pub(crate) fn attempt(sequence: u64) -> AttemptId {
    AttemptId { request: RequestId { entry: ENTRY, sequence }, ordinal: 0 }
}

/// Returns an idempotent request of team `hog` in tier `gold` with a deadline ten seconds after
/// [`START_MS`].
pub(crate) fn submit(sequence: u64) -> Submit {
    Submit {
        attempt: attempt(sequence),
        agent: AGENT,
        team: TeamId::new("hog"),
        tier: TierId::new("gold"),
        route: RouteId::new("read"),
        idempotent: true,
        key: None,
        content: 1,
        deadline: UnixMs(START_MS + 10_000),
        head: RequestHead { method: "POST".into(), path: "/read/x".into(), headers: vec![] },
        body: Bytes::from_static(b"body"),
    }
}

/// Returns a non-idempotent request with a key and a deadline ten seconds after `now`.
pub(crate) fn keyed_submit(sequence: u64, key: KeyDigest, now: Now) -> Submit {
    let deadline = now.after(10_000);
    let route = RouteId::new("create");
    Submit { route, idempotent: false, key: Some(key), deadline, ..submit(sequence) }
}

/// One agent beside `b0` under virtual time.
pub(crate) struct Harness {
    pub(crate) core: AgentCore,
    pub(crate) now: Now,
    pub(crate) log: Vec<AgentAction>,
    /// Backend servers whose agents entries cannot reach.
    pub(crate) unreachable: &'static [&'static str],
    revision: u64,
}

impl Harness {
    /// Creates an agent with the default document and one open link.
    pub(crate) fn new(mechanisms: Mechanisms) -> Self {
        Self::with_document(mechanisms, document())
    }

    pub(crate) fn with_document(mechanisms: Mechanisms, document: Document) -> Self {
        let identity = AgentIdentity { incarnation: AGENT, backend_server: "b0".into() };
        let core = AgentCore::with_mechanisms(identity, 1, mechanisms);
        let mut harness =
            Self { core, now: Now::at(START_MS), log: Vec::new(), unreachable: &[], revision: 0 };
        harness.adopt(document);
        harness.handle(AgentEvent::LinkOpened { link: LINK, entry: ENTRY });
        harness
    }

    /// Creates an agent that has been running long enough for all keys to be known.
    pub(crate) fn with_known_keys(mechanisms: Mechanisms) -> Self {
        let mut harness = Self::new(mechanisms);
        harness.advance(KEYS_KNOWN_AFTER_MS);
        harness.tick();
        harness
    }

    pub(crate) fn adopt(&mut self, document: Document) -> Vec<AgentAction> {
        self.revision += 1;
        let stamp = Stamp { revision: self.revision, digest: Digest(self.revision) };
        self.handle(AgentEvent::Adopted { stamp, document: Arc::new(document) })
    }

    /// Advances the time without an event, like a pause of the process.
    pub(crate) fn advance(&mut self, span_ms: u64) {
        self.now = Now { unix_ms: self.now.after(span_ms) };
    }

    /// Handles an event. An entry answers at once which documents other agents hold: the one in
    /// force here.
    pub(crate) fn handle(&mut self, event: AgentEvent) -> Vec<AgentAction> {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        let (now, unreachable) = (self.now, self.unreachable);
        let adopted_at = |id: &str| (!unreachable.contains(&id)).then_some(now.unix_ms);
        answer_holder_queries(&mut self.core, now, &mut actions, adopted_at);
        self.log.extend(actions.iter().cloned());
        actions
    }

    pub(crate) fn tick(&mut self) -> Vec<AgentAction> {
        self.handle(AgentEvent::Tick)
    }

    pub(crate) fn send_message(&mut self, message: ToAgent) -> Vec<AgentAction> {
        self.send_message_on(LINK, message)
    }

    pub(crate) fn send_message_on(&mut self, link: LinkId, message: ToAgent) -> Vec<AgentAction> {
        self.handle(AgentEvent::Message { link, message })
    }

    pub(crate) fn submit(&mut self, submit: Submit) -> Vec<AgentAction> {
        self.send_message(ToAgent::Submit(Box::new(submit)))
    }

    pub(crate) fn revoke(&mut self, sequence: u64, deadline: UnixMs) -> Vec<AgentAction> {
        let attempt = attempt(sequence);
        self.send_message(ToAgent::Revoke { attempt, agent: AGENT, deadline, next_chunk: 0 })
    }

    pub(crate) fn attach(
        &mut self,
        link: LinkId,
        sequence: u64,
        next_chunk: u32,
    ) -> Vec<AgentAction> {
        let attempt = attempt(sequence);
        self.send_message_on(link, ToAgent::Attach { attempt, agent: AGENT, next_chunk })
    }

    pub(crate) fn received(&mut self, sequence: u64, next_chunk: u32) -> Vec<AgentAction> {
        self.send_message(ToAgent::Received { attempt: attempt(sequence), next_chunk })
    }

    pub(crate) fn chunk(&mut self, sequence: u64, bytes: impl Into<Bytes>) -> Vec<AgentAction> {
        let bytes = bytes.into();
        self.handle(AgentEvent::BackendChunk { attempt: attempt(sequence), bytes })
    }

    pub(crate) fn end(&mut self, sequence: u64) -> Vec<AgentAction> {
        self.handle(AgentEvent::BackendEnd { attempt: attempt(sequence) })
    }

    pub(crate) fn fail(&mut self, sequence: u64, verdict: Verdict) -> Vec<AgentAction> {
        let detail = "test".to_owned();
        self.handle(AgentEvent::BackendFailed { attempt: attempt(sequence), verdict, detail })
    }

    /// Returns how often an attempt was started.
    pub(crate) fn starts(&self, sequence: u64) -> usize {
        started(&self.log).iter().filter(|id| **id == attempt(sequence)).count()
    }
}

/// Answers the queries of an agent as an entry does that hears all agents at once.
///
/// `adopted_at` returns when the agent of a backend server adopted the document that is in force at
/// the asking one; none if it holds another one. Queries, and announcements to entries, are taken
/// out of the actions.
pub(crate) fn answer_holder_queries(
    core: &mut AgentCore,
    now: Now,
    actions: &mut Vec<AgentAction>,
    adopted_at: impl Fn(&str) -> Option<UnixMs>,
) {
    let sent = std::mem::take(actions);
    for action in sent {
        match action {
            AgentAction::Send { link, message: ToEntry::HolderQuery(query) } => {
                let report = holder_report(&query, &adopted_at);
                let message = ToAgent::HolderReport(report);
                core.handle(now, AgentEvent::Message { link, message }, actions);
            }
            AgentAction::Send { message: ToEntry::Adopted(_), .. } => {}
            action => actions.push(action),
        }
    }
}

fn holder_report(query: &HolderQuery, adopted_at: impl Fn(&str) -> Option<UnixMs>) -> HolderReport {
    let stamp = query.stamp;
    let holders = query.backend_servers.iter().filter_map(|backend_server| {
        let held = vec![HeldStamp { stamp, adopted_at: adopted_at(backend_server.as_str())? }];
        Some(Holder { backend_server: backend_server.clone(), held })
    });
    let holders = holders.collect();
    let all: Option<Vec<_>> = ["b0", "b1", "b2"].into_iter().map(adopted_at).collect();
    let latest = all.and_then(|all| all.into_iter().max());
    let every_agent = latest.map(|at| EveryAgent { holds_since: at, holds_no_skipped_since: at });
    HolderReport { stamp, homes_since: stamp.revision, holders, every_agent }
}

/// Returns the attempts started by some actions, in order.
pub(crate) fn started(actions: &[AgentAction]) -> Vec<AttemptId> {
    let starts = actions.iter().filter_map(|action| match action {
        AgentAction::Start { attempt, .. } => Some(*attempt),
        _ => None,
    });
    starts.collect()
}

/// Returns the messages sent by some actions, in order.
pub(crate) fn sent(actions: &[AgentAction]) -> Vec<&ToEntry> {
    let messages = actions.iter().filter_map(|action| match action {
        AgentAction::Send { message, .. } => Some(message),
        _ => None,
    });
    messages.collect()
}

/// Returns the value that `pick` takes from the first matching message.
fn first<T>(actions: &[AgentAction], pick: impl Fn(&ToEntry) -> Option<T>) -> Option<T> {
    sent(actions).into_iter().find_map(pick)
}

macro_rules! message_field {
    ($(#[$doc:meta])* $name:ident -> $what:ty, $message:pat => $value:expr) => {
        $(#[$doc])*
        pub(crate) fn $name(actions: &[AgentAction]) -> Option<$what> {
            first(actions, |message| match message {
                $message => Some($value),
                _ => None,
            })
        }
    };
}

message_field!(revoked -> RevokeOutcome, ToEntry::Revoked { outcome, .. } => *outcome);
message_field!(failed -> Verdict, ToEntry::Failed { verdict, .. } => *verdict);
message_field!(key_used -> Verdict, ToEntry::KeyUsed { verdict, .. } => *verdict);
message_field!(
    /// Chunk and byte counts of an end marker.
    end_counts -> (u32, u64),
    ToEntry::End { chunk_count, byte_count, .. } => (*chunk_count, *byte_count)
);
message_field!(retry_at -> Option<UnixMs>, ToEntry::Refused { retry_at, .. } => *retry_at);

pub(crate) fn accepted(actions: &[AgentAction], sequence: u64) -> bool {
    sent(actions).into_iter().any(|message| {
        matches!(message, ToEntry::Accepted { attempt: id, .. } if *id == attempt(sequence))
    })
}

/// Returns the reason for which an attempt was refused.
pub(crate) fn refused(actions: &[AgentAction], sequence: u64) -> Option<RefusalReason> {
    first(actions, |message| match message {
        ToEntry::Refused { attempt: id, reason, .. } if *id == attempt(sequence) => Some(*reason),
        _ => None,
    })
}

/// Returns the indexes of the chunks sent.
pub(crate) fn chunks(actions: &[AgentAction]) -> Vec<u32> {
    let indexes = sent(actions).into_iter().filter_map(|message| match message {
        ToEntry::Chunk { index, .. } => Some(*index),
        _ => None,
    });
    indexes.collect()
}

pub(crate) fn aborted(actions: &[AgentAction]) -> bool {
    actions.iter().any(|action| matches!(action, AgentAction::Abort { .. }))
}

pub(crate) fn drained(actions: &[AgentAction]) -> usize {
    actions.iter().filter(|action| matches!(action, AgentAction::Drained)).count()
}

pub(crate) fn violations(actions: &[AgentAction]) -> usize {
    let broken = |action: &&AgentAction| match action {
        AgentAction::Audit(record) => matches!(record.change, Change::InvariantViolated { .. }),
        _ => false,
    };
    actions.iter().filter(broken).count()
}

/// A mechanism that can be disabled.
pub(crate) struct Mechanism {
    pub(crate) name: &'static str,
    disable: fn(&mut Mechanisms),
}

impl Mechanism {
    pub(crate) const fn new(name: &'static str, disable: fn(&mut Mechanisms)) -> Self {
        Self { name, disable }
    }

    /// Returns the mechanisms with this one disabled.
    pub(crate) fn without(&self, mut mechanisms: Mechanisms) -> Mechanisms {
        (self.disable)(&mut mechanisms);
        mechanisms
    }
}

#[allow(unused_macros, reason = "each test program uses a part of this file")]
macro_rules! mechanisms {
    ($($field:ident),+ $(,)?) => {
        &[$($crate::agent_harness::Mechanism::new(
            stringify!($field),
            |mechanisms| mechanisms.$field = false,
        )),+]
    };
}

#[allow(unused_imports, reason = "each test program uses a part of this file")]
pub(crate) use mechanisms;
