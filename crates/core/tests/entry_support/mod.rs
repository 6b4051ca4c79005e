//! Test harness that drives one entry core and records what its callers receive.

#![allow(dead_code, reason = "each test program uses a part of it")]

use bytes::Bytes;
use hickorycross_config::{
    BackendServerId, Digest, Document, FailureDomainId, Stamp, hash_api_key,
};
use hickorycross_core::audit::Change;
use hickorycross_core::entry::{
    Arrival, EntryAction, EntryCore, EntryEvent, EntryIdentity, EntryPolicies, Mechanisms, Refusal,
    RefusalCode, RequestTarget,
};
use hickorycross_core::message::{
    AgentState, Load, RequestHead, ResponseHead, Submit, ToAgent, ToEntry,
};
use hickorycross_core::{
    AttemptId, Incarnation, Instance, InstanceId, InstanceState, LinkId, Now, RequestId, Role,
    UnixMs, Verdict,
};
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;

pub(crate) mod fake_agent;
pub(crate) mod scenarios;

/// Time at which every test begins.
pub(crate) const START_MS: u64 = 1_000_000;

/// Interval between two ticks.
pub(crate) const STEP_MS: u64 = 10;

/// Incarnation of every agent before a restart.
pub(crate) const FIRST_INCARNATION: Incarnation = Incarnation(100);

/// Incarnation of an agent after a restart.
pub(crate) const SECOND_INCARNATION: Incarnation = Incarnation(200);

/// Returns a document with two non-idempotent service routes, an idempotent one, and a model route.
pub(crate) fn document() -> Document {
    let server = |id: &str, domain: &str| {
        serde_json::json!({"id": id, "failure_domain": domain, "kind": "service",
                           "slots": 4, "queue_slots": 8})
    };
    let route = |id: &str, target: serde_json::Value, idempotent: bool| {
        serde_json::json!({"id": id, "target": target, "idempotent": idempotent,
                           "default_deadline_ms": 20000, "max_deadline_ms": 60000,
                           "key_horizon_ms": 60000, "retry_budget_permille": 1000})
    };
    let service = |prefix: &str| {
        serde_json::json!({"service": {"path_prefix": prefix,
                                       "backend_servers": ["s-1", "s-2", "s-3"]}})
    };
    serde_json::from_value(serde_json::json!({
        "schema_version": 1,
        "title": "entry tests",
        "failure_domains": [{"id": "fd-a", "region": "r"}, {"id": "fd-b", "region": "r"},
                            {"id": "fd-c", "region": "r"}],
        "tiers": [{"id": "gold", "rank": 0, "first_chunk_target_ms": 500}],
        "teams": [{"id": "clerks", "tier": "gold", "key_hashes": [hash_api_key("secret")],
                   "limit": {"requests_per_s": 10, "burst_requests": 10}}],
        "backend_servers": [server("s-1", "fd-a"), server("s-2", "fd-b"), server("s-3", "fd-c")],
        "model_groups": [{"id": "group", "models": ["reviewer"], "weights_version": "1",
                          "backend_servers": ["s-1", "s-2", "s-3"], "ranks_per_server": 1,
                          "layers": 1, "experts_per_layer": 3, "expert_bytes": 1,
                          "expert_slots_per_rank": 1}],
        "routes": [route("lodge", service("/lodge/"), false), route("read", service("/read/"), true),
                   route("review", service("/read/review/"), false),
                   route("model", serde_json::json!({"model": {"groups": ["group"]}}), true)],
        "balance": {"skew_weight": 1.0, "rebalance_cost_weight": 1.0,
                    "weight_store_bytes_per_s": 1}
    }))
    .expect("the document is well formed")
}

/// What one caller received.
#[derive(Clone, Debug, Default)]
pub(crate) struct Caller {
    pub(crate) head_count: u32,
    pub(crate) bytes: Vec<u8>,
    pub(crate) finished: bool,
    pub(crate) refusals: Vec<Refusal>,
    pub(crate) actions_after_final: u32,
}

impl Caller {
    pub(crate) fn final_response_count(&self) -> usize {
        self.refusals.len() + usize::from(self.finished)
    }

    pub(crate) fn observe(&mut self, action: &EntryAction) {
        if self.final_response_count() > 0 {
            self.actions_after_final += 1;
        }
        match action {
            EntryAction::Head { .. } => self.head_count += 1,
            EntryAction::Chunk { bytes, .. } => self.bytes.extend_from_slice(bytes),
            EntryAction::Finish { .. } => self.finished = true,
            EntryAction::Refuse { refusal, .. } => self.refusals.push(refusal.clone()),
            _ => {}
        }
    }
}

/// Returns the request whose caller gets an action, if any.
pub(crate) fn response_target(action: &EntryAction) -> Option<RequestId> {
    match action {
        EntryAction::Head { request, .. }
        | EntryAction::Chunk { request, .. }
        | EntryAction::Finish { request }
        | EntryAction::Refuse { request, .. } => Some(*request),
        _ => None,
    }
}

/// Parameters of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TestRequest {
    pub(crate) path: &'static str,
    pub(crate) model: Option<&'static str>,
    pub(crate) api_key: &'static str,
    pub(crate) non_idempotent: bool,
    pub(crate) key: Option<&'static str>,
    pub(crate) deadline_ms: Option<u64>,
}

/// A request to a non-idempotent route.
pub(crate) const NON_IDEMPOTENT: TestRequest = TestRequest {
    path: "/lodge/1",
    model: None,
    api_key: "secret",
    non_idempotent: false,
    key: None,
    deadline_ms: None,
};

/// A request to an idempotent route.
pub(crate) const IDEMPOTENT: TestRequest = TestRequest { path: "/read/1", ..NON_IDEMPOTENT };

/// One entry whose agents are played by the test, except that links are opened and heartbeats are
/// acknowledged automatically.
pub(crate) struct EntryHarness {
    pub(crate) core: EntryCore,
    pub(crate) now_ms: u64,
    pub(crate) log: Vec<EntryAction>,
    pub(crate) callers: IndexMap<RequestId, Caller>,
    /// Instances to which no link can be opened.
    pub(crate) unreachable: IndexSet<InstanceId>,
    /// Incarnations of restarted agents.
    pub(crate) incarnations: IndexMap<InstanceId, Incarnation>,
    /// Links that are open but deliver nothing in either direction.
    pub(crate) silent: IndexSet<LinkId>,
    pub(crate) links: IndexMap<LinkId, InstanceId>,
    /// Backend servers hosted by instances that are not named after them.
    pub(crate) hosted_servers: IndexMap<InstanceId, BackendServerId>,
    pub(crate) next_request: u64,
}

/// Returns the instance that hosts a backend server.
pub(crate) fn instance_of(backend_server: &str) -> InstanceId {
    InstanceId::new(&format!("i-{backend_server}"))
}

/// Returns an instance list entry of an agent.
pub(crate) fn instance(backend_server: &str, state: InstanceState) -> Instance {
    Instance {
        id: instance_of(backend_server),
        role: Role::Agent { backend_server: BackendServerId::new(backend_server) },
        link_address: "127.0.0.1:7000".parse().expect("an address"),
        failure_domain: FailureDomainId::new("fd-a"),
        state,
    }
}

/// Returns a load report of an agent.
pub(crate) fn load(sampled_ms: u64, state: AgentState) -> Load {
    let (running, slots, service_ms) = (1, 4, 10);
    Load { sampled: UnixMs(sampled_ms), state, running, slots, waiting: vec![], service_ms }
}

impl EntryHarness {
    /// Creates an entry with the test document and three live agents.
    pub(crate) fn new(mechanisms: Mechanisms) -> Self {
        Self::with_agents(mechanisms, &["s-1", "s-2", "s-3"])
    }

    /// Creates an entry with the test document and the agents of some backend servers.
    pub(crate) fn with_agents(mechanisms: Mechanisms, backend_servers: &[&str]) -> Self {
        Self::with_policies(mechanisms, EntryPolicies::baseline(), document(), backend_servers)
    }

    /// Creates an entry with a document, policies and the agents of some backend servers.
    pub(crate) fn with_policies(
        mechanisms: Mechanisms,
        policies: EntryPolicies,
        document: Document,
        backend_servers: &[&str],
    ) -> Self {
        let mut harness = Self::unconfigured(mechanisms, policies);
        harness.adopt(document);
        harness.list_instances(backend_servers);
        harness
    }

    /// Creates an entry without a document or instance list.
    pub(crate) fn unconfigured(mechanisms: Mechanisms, policies: EntryPolicies) -> Self {
        let failure_domain = FailureDomainId::new("fd-a");
        let identity = EntryIdentity { incarnation: Incarnation(1), failure_domain };
        Self {
            core: EntryCore::new(identity, policies, 1).with_mechanisms(mechanisms),
            now_ms: START_MS,
            log: Vec::new(),
            callers: IndexMap::new(),
            unreachable: IndexSet::new(),
            incarnations: IndexMap::new(),
            silent: IndexSet::new(),
            links: IndexMap::new(),
            hosted_servers: IndexMap::new(),
            next_request: 0,
        }
    }

    pub(crate) fn adopt(&mut self, document: Document) {
        let stamp = Stamp { revision: 1, digest: Digest(1) };
        self.handle_event(EntryEvent::Adopted { stamp, document: Arc::new(document) });
    }

    pub(crate) fn list_instances(&mut self, backend_servers: &[&str]) {
        let live = |id: &&str| instance(id, InstanceState::Live);
        self.handle_event(EntryEvent::Instances(backend_servers.iter().map(live).collect()));
    }

    /// Handles an event, then opens the requested links and acknowledges heartbeats.
    pub(crate) fn handle_event(&mut self, event: EntryEvent) {
        let mut actions = Vec::new();
        self.core.handle(Now::at(self.now_ms), event, &mut actions);
        let mut replies = Vec::new();
        for action in &actions {
            if let Some(request) = response_target(action) {
                self.callers.entry(request).or_default().observe(action);
            }
            replies.extend(self.automatic_reply(action));
        }
        self.log.extend(actions);
        for reply in replies {
            self.handle_event(reply);
        }
    }

    fn automatic_reply(&mut self, action: &EntryAction) -> Option<EntryEvent> {
        match action {
            EntryAction::OpenLink { link, instance, .. } => {
                self.links.insert(*link, instance.clone());
                if self.unreachable.contains(instance) {
                    return None;
                }
                let name = instance.0.trim_start_matches("i-");
                let incarnation =
                    self.incarnations.get(instance).copied().unwrap_or(FIRST_INCARNATION);
                let named = BackendServerId::new(name);
                let backend_server = self.hosted_servers.get(instance).cloned().unwrap_or(named);
                Some(EntryEvent::LinkOpened { link: *link, backend_server, incarnation })
            }
            EntryAction::Send { link, message: ToAgent::Heartbeat { nonce, stamp } } => {
                let load = load(self.now_ms, AgentState::Serving);
                let message = ToEntry::HeartbeatAck { nonce: *nonce, stamp: *stamp, load };
                let heard = !self.silent.contains(link);
                heard.then_some(EntryEvent::Message { link: *link, message })
            }
            _ => None,
        }
    }

    /// Delivers a message from an agent, unless the link is silent.
    pub(crate) fn deliver(&mut self, link: LinkId, message: ToEntry) {
        if !self.silent.contains(&link) {
            self.handle_event(EntryEvent::Message { link, message });
        }
    }

    /// Advances the time, with a tick at each step.
    pub(crate) fn advance(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.handle_event(EntryEvent::Tick);
        }
    }

    /// Lets a request arrive, and returns its identifier.
    pub(crate) fn send_request(&mut self, test_request: TestRequest) -> RequestId {
        let request = RequestId { entry: Incarnation(1), sequence: self.next_request };
        self.next_request += 1;
        let path = test_request.path.to_owned();
        let target = test_request
            .model
            .map_or(RequestTarget::Path(path.clone()), |m| RequestTarget::Model(m.to_owned()));
        let arrival = Arrival {
            request,
            key_hash: hash_api_key(test_request.api_key),
            target,
            non_idempotent: test_request.non_idempotent,
            idempotency_key: test_request.key.map(str::to_owned),
            deadline: test_request.deadline_ms.map(|ms| UnixMs(START_MS + ms)),
            head: RequestHead { method: "POST".to_owned(), path, headers: vec![] },
            body: Bytes::from_static(b"{}"),
        };
        self.callers.entry(request).or_default();
        self.handle_event(EntryEvent::Arrived(Box::new(arrival)));
        request
    }

    /// Returns all submissions of a request with their links.
    pub(crate) fn submissions(&self, request: RequestId) -> Vec<(LinkId, Submit)> {
        let submits = self.sent().filter_map(|(link, message)| match message {
            ToAgent::Submit(submit) if submit.attempt.request == request => {
                Some((link, submit.as_ref().clone()))
            }
            _ => None,
        });
        submits.collect()
    }

    /// Returns the latest submission of a request with its link.
    pub(crate) fn latest_submission(&self, request: RequestId) -> Result<(LinkId, Submit), String> {
        self.submissions(request).pop().ok_or_else(|| "it was not submitted".to_owned())
    }

    /// Returns all messages sent, with their links.
    pub(crate) fn sent(&self) -> impl Iterator<Item = (LinkId, &ToAgent)> {
        self.log.iter().filter_map(|action| match action {
            EntryAction::Send { link, message } => Some((*link, message)),
            _ => None,
        })
    }

    /// Returns the link of the latest matching message.
    pub(crate) fn last_sent(&self, matches: impl Fn(&ToAgent) -> bool) -> Option<LinkId> {
        self.sent().filter(|(_, message)| matches(message)).map(|(link, _)| link).last()
    }

    /// Returns the link of the latest revocation of an attempt.
    pub(crate) fn revoke_link(&self, id: AttemptId) -> Result<LinkId, String> {
        let is = |message: &ToAgent| matches!(message, ToAgent::Revoke { attempt, .. } if *attempt == id);
        self.last_sent(is).ok_or_else(|| "it was not revoked".to_owned())
    }

    /// Returns the link on which an attempt was last attached from the chunk `from` on.
    pub(crate) fn attach_link(&self, id: AttemptId, from: u32) -> Result<LinkId, String> {
        let is = |message: &ToAgent| {
            matches!(message, ToAgent::Attach { attempt, next_chunk, .. }
                if *attempt == id && *next_chunk == from)
        };
        self.last_sent(is).ok_or_else(|| format!("it was not attached from {from}"))
    }

    pub(crate) fn accept(&mut self, link: LinkId, attempt: AttemptId) {
        let load = load(self.now_ms, AgentState::Serving);
        self.deliver(link, ToEntry::Accepted { attempt, load });
    }

    pub(crate) fn head(&mut self, link: LinkId, attempt: AttemptId) {
        let head = ResponseHead { status: 200, headers: vec![] };
        self.deliver(link, ToEntry::Head { attempt, head });
    }

    pub(crate) fn chunk(
        &mut self,
        link: LinkId,
        attempt: AttemptId,
        index: u32,
        text: &'static str,
    ) {
        let bytes = Bytes::from_static(text.as_bytes());
        self.deliver(link, ToEntry::Chunk { attempt, index, bytes });
    }

    pub(crate) fn end(
        &mut self,
        link: LinkId,
        attempt: AttemptId,
        chunk_count: u32,
        byte_count: u64,
    ) {
        let load = load(self.now_ms, AgentState::Serving);
        self.deliver(link, ToEntry::End { attempt, chunk_count, byte_count, load });
    }

    /// Returns the audited violations of invariants.
    pub(crate) fn violations(&self) -> Vec<String> {
        let of = |action: &EntryAction| match action {
            EntryAction::Audit(record) => match &record.change {
                Change::InvariantViolated { detail } => Some(detail.clone()),
                _ => None,
            },
            _ => None,
        };
        self.log.iter().filter_map(of).collect()
    }

    /// Checks that the caller received exactly this response, and that no invariant was violated.
    pub(crate) fn expect_response(&self, request: RequestId, text: &str) -> Result<(), String> {
        let caller = &self.callers[&request];
        let full_response =
            caller.finished && caller.head_count == 1 && caller.bytes == text.as_bytes();
        check(
            full_response && caller.final_response_count() == 1 && caller.actions_after_final == 0,
            caller,
        )?;
        check(self.violations().is_empty(), &self.violations())
    }

    /// Checks that the caller received exactly this refusal.
    pub(crate) fn expect_refusal(
        &self,
        request: RequestId,
        code: RefusalCode,
        verdict: Verdict,
    ) -> Result<(), String> {
        let caller = &self.callers[&request];
        check(caller.final_response_count() == 1 && caller.actions_after_final == 0, caller)?;
        let fits = |one: &Refusal| one.code == code && one.verdict == verdict;
        check(caller.refusals.first().is_some_and(fits), caller)
    }
}

/// Returns `seen` as the error unless the condition holds.
pub(crate) fn check(holds: bool, seen: &impl std::fmt::Debug) -> Result<(), String> {
    if holds { Ok(()) } else { Err(format!("{seen:?}")) }
}
