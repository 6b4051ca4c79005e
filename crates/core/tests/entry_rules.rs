//! Tests the rules of an entry: admission, routes, refusals, links, drain, policies and subsets.

mod entry_support;

use entry_support::{
    EntryHarness, IDEMPOTENT, NON_IDEMPOTENT, START_MS, STEP_MS, TestRequest, document, instance,
    instance_of, load,
};
use googletest::prelude::*;
use hickorycross_config::{BackendServerId, Document, FailureDomainId, TeamId};
use hickorycross_core::audit::Change;
use hickorycross_core::entry::RefusalCode::{
    DeadlinePassed, Interrupted, KeyUsed, NoBackend, NotReady, TeamLimit, UnknownKey, UnknownModel,
    UnknownPath,
};
use hickorycross_core::entry::{
    EntryAction, EntryCore, EntryEvent, EntryIdentity, EntryPolicies, LinkUsage, Mechanisms,
    RefusalCode,
};
use hickorycross_core::limits::{Admission, DemandReport, TeamLimiter};
use hickorycross_core::message::RefusalReason::{
    BackendDown, Expired, KeyConflict, Leaving, NotKeyHome, QueueFull, Revoked, UnknownRoute,
    WrongIncarnation,
};
use hickorycross_core::message::{
    AgentState, RefusalReason, TeamDemand, TeamTotal, ToAgent, ToEntry,
};
use hickorycross_core::{Incarnation, InstanceId, InstanceState, LinkId, Now, UnixMs, Verdict};
use indexmap::IndexMap;
use std::sync::{Arc, Mutex};

#[gtest]
fn a_request_is_submitted_and_its_response_returned() {
    let mut harness = EntryHarness::new(Mechanisms::ALL);
    let request = harness.send_request(NON_IDEMPOTENT);
    let (link, submit) = harness.latest_submission(request).expect("it was submitted");
    harness.accept(link, submit.attempt);
    harness.head(link, submit.attempt);
    harness.chunk(link, submit.attempt, 0, "whole");
    harness.end(link, submit.attempt, 1, 5);
    expect_that!(harness.expect_response(request, "whole"), ok(eq(&())));
    expect_that!(submit.agent, eq(entry_support::FIRST_INCARNATION));
}

struct RefusedCase {
    prepare: fn() -> EntryHarness,
    test_request: TestRequest,
    code: RefusalCode,
    retry: bool,
}

fn configured() -> EntryHarness {
    EntryHarness::new(Mechanisms::ALL)
}

fn draining_entry() -> EntryHarness {
    let mut harness = configured();
    harness.handle_event(EntryEvent::Drain);
    harness
}

fn limited_entry() -> EntryHarness {
    let policies =
        EntryPolicies { limits: Box::<RecordingLimiter>::default(), ..EntryPolicies::baseline() };
    EntryHarness::with_policies(Mechanisms::ALL, policies, document(), &["s-1"])
}

fn unconfigured_entry() -> EntryHarness {
    EntryHarness::unconfigured(Mechanisms::ALL, EntryPolicies::baseline())
}

fn without_agents() -> EntryHarness {
    EntryHarness::with_agents(Mechanisms::ALL, &[])
}

const WRONG_KEY: TestRequest = TestRequest { api_key: "wrong", ..NON_IDEMPOTENT };
const WRONG_PATH: TestRequest = TestRequest { path: "/other", ..NON_IDEMPOTENT };
const WRONG_MODEL: TestRequest = TestRequest { model: Some("other"), ..NON_IDEMPOTENT };
const EXPIRED: TestRequest = TestRequest { deadline_ms: Some(0), ..NON_IDEMPOTENT };
const KEYED: TestRequest = TestRequest { key: Some("k"), ..NON_IDEMPOTENT };

const REFUSED_CASES: [RefusedCase; 9] = [
    RefusedCase {
        prepare: unconfigured_entry,
        test_request: NON_IDEMPOTENT,
        code: NotReady,
        retry: true,
    },
    RefusedCase {
        prepare: draining_entry,
        test_request: NON_IDEMPOTENT,
        code: NotReady,
        retry: true,
    },
    RefusedCase { prepare: configured, test_request: WRONG_KEY, code: UnknownKey, retry: false },
    RefusedCase { prepare: configured, test_request: WRONG_PATH, code: UnknownPath, retry: false },
    RefusedCase {
        prepare: configured,
        test_request: WRONG_MODEL,
        code: UnknownModel,
        retry: false,
    },
    RefusedCase { prepare: configured, test_request: EXPIRED, code: DeadlinePassed, retry: false },
    RefusedCase {
        prepare: limited_entry,
        test_request: NON_IDEMPOTENT,
        code: TeamLimit,
        retry: true,
    },
    RefusedCase {
        prepare: without_agents,
        test_request: NON_IDEMPOTENT,
        code: NoBackend,
        retry: true,
    },
    RefusedCase { prepare: without_agents, test_request: KEYED, code: NoBackend, retry: true },
];

#[gtest]
fn requests_refused_before_submission_have_not_run() {
    for case in &REFUSED_CASES {
        let mut harness = (case.prepare)();
        let request = harness.send_request(case.test_request);
        let seen = harness.expect_refusal(request, case.code, Verdict::NotRun);
        expect_that!(seen, ok(eq(&())), "{:?}", case.code);
        let retry_at = harness.callers[&request].refusals[0].retry_at;
        expect_that!(retry_at.is_some(), eq(case.retry), "{:?}", case.code);
    }
}

struct RoutedCase {
    test_request: TestRequest,
    route: &'static str,
    idempotent: bool,
    deadline_ms: u64,
}

const ROUTED_CASES: [RoutedCase; 5] = [
    RoutedCase {
        test_request: NON_IDEMPOTENT,
        route: "lodge",
        idempotent: false,
        deadline_ms: 20_000,
    },
    RoutedCase { test_request: IDEMPOTENT, route: "read", idempotent: true, deadline_ms: 20_000 },
    RoutedCase {
        test_request: TestRequest {
            path: "/read/review/1",
            deadline_ms: Some(900_000),
            ..NON_IDEMPOTENT
        },
        route: "review",
        idempotent: false,
        deadline_ms: 60_000,
    },
    RoutedCase {
        test_request: TestRequest { non_idempotent: true, deadline_ms: Some(5), ..IDEMPOTENT },
        route: "read",
        idempotent: false,
        deadline_ms: 5,
    },
    RoutedCase {
        test_request: TestRequest { model: Some("reviewer"), ..NON_IDEMPOTENT },
        route: "model",
        idempotent: true,
        deadline_ms: 20_000,
    },
];

#[gtest]
fn submissions_carry_route_idempotency_and_deadline() {
    for case in &ROUTED_CASES {
        let mut harness = configured();
        let request = harness.send_request(case.test_request);
        let (_, submit) = harness.latest_submission(request).expect("it was submitted");
        expect_that!(submit.route.as_str(), eq(case.route));
        expect_that!(submit.idempotent, eq(case.idempotent), "{}", case.route);
        expect_that!(submit.deadline, eq(UnixMs(START_MS + case.deadline_ms)), "{}", case.route);
    }
}

struct AgentRefusedCase {
    reason: RefusalReason,
    /// Code and verdict of the final refusal, or `None` if the request is retried.
    last: Option<(RefusalCode, Verdict)>,
}

const AGENT_REFUSED_CASES: [AgentRefusedCase; 9] = [
    AgentRefusedCase { reason: QueueFull, last: None },
    AgentRefusedCase { reason: Leaving, last: None },
    AgentRefusedCase { reason: Revoked, last: None },
    AgentRefusedCase { reason: NotKeyHome, last: None },
    AgentRefusedCase { reason: BackendDown, last: None },
    AgentRefusedCase { reason: UnknownRoute, last: None },
    AgentRefusedCase { reason: Expired, last: Some((DeadlinePassed, Verdict::NotRun)) },
    AgentRefusedCase {
        reason: KeyConflict,
        last: Some((RefusalCode::KeyConflict, Verdict::NotRun)),
    },
    AgentRefusedCase { reason: WrongIncarnation, last: Some((Interrupted, Verdict::MayHaveRun)) },
];

#[gtest]
fn agent_refusals_are_retried_elsewhere_or_final() {
    for case in &AGENT_REFUSED_CASES {
        let mut harness = configured();
        let request = harness.send_request(NON_IDEMPOTENT);
        let (link, submit) = harness.latest_submission(request).expect("it was submitted");
        let load = load(harness.now_ms, AgentState::Serving);
        let (attempt, reason) = (submit.attempt, case.reason);
        harness.deliver(link, ToEntry::Refused { attempt, reason, retry_at: None, load });
        harness.advance(STEP_MS);
        let submissions = harness.submissions(request);
        expect_that!(submissions.len(), eq(if case.last.is_none() { 2 } else { 1 }), "{reason:?}");
        if let Some((code, verdict)) = case.last {
            expect_that!(harness.expect_refusal(request, code, verdict), ok(eq(&())), "{reason:?}");
        } else {
            let again = submissions.last().map(|(link, _)| *link);
            expect_that!(again, not(some(eq(link))), "{reason:?}");
        }
    }
}

/// The HTTP server hands in a request under an identifier that it used before, which is a bug
/// there. The second request must not run under the identifier of the first, whose caller would get
/// two responses.
#[gtest]
fn a_reused_request_id_is_a_violation() {
    let mut harness = configured();
    let request = harness.send_request(NON_IDEMPOTENT);
    harness.next_request = request.sequence;
    harness.send_request(NON_IDEMPOTENT);
    expect_that!(harness.submissions(request).len(), eq(1));
    expect_that!(harness.violations().len(), eq(1));
    expect_that!(harness.callers[&request].final_response_count(), eq(0));
}

#[gtest]
fn a_used_key_is_refused_with_the_known_verdict() {
    let mut harness = configured();
    let request = harness.send_request(TestRequest { key: Some("k"), ..IDEMPOTENT });
    let (link, submit) = harness.latest_submission(request).expect("it was submitted");
    let (attempt, verdict) = (submit.attempt, Verdict::Ran);
    harness.deliver(link, ToEntry::KeyUsed { attempt, earlier: None, verdict });
    expect_that!(harness.expect_refusal(request, KeyUsed, verdict), ok(eq(&())));
}

/// The process is told to stop while a response is being sent. It must report the drain as complete
/// only after that response, or a planned stop would truncate it.
#[gtest]
fn drain_ends_after_the_last_response() {
    let mut harness = configured();
    let request = harness.send_request(NON_IDEMPOTENT);
    let (link, submit) = harness.latest_submission(request).expect("it was submitted");
    let drained =
        |harness: &EntryHarness| harness.log.iter().filter(|a| **a == EntryAction::Drained).count();
    harness.handle_event(EntryEvent::Drain);
    harness.handle_event(EntryEvent::Drain);
    expect_that!(drained(&harness), eq(0));
    harness.head(link, submit.attempt);
    harness.end(link, submit.attempt, 0, 0);
    harness.advance(100);
    expect_that!(harness.expect_response(request, ""), ok(eq(&())));
    expect_that!(drained(&harness), eq(1));
}

/// While an instance is replaced, one backend server has two instances. New attempts must go to the
/// successor, and the predecessor must be able to finish its last responses.
#[gtest]
fn a_successor_gets_new_attempts_while_the_predecessor_finishes() {
    let mut harness = EntryHarness::with_agents(Mechanisms::ALL, &["s-1"]);
    let first = harness.send_request(NON_IDEMPOTENT);
    let (old, submit) = harness.latest_submission(first).expect("it was submitted");
    let mut successor = instance("s-1", InstanceState::Live);
    successor.id = InstanceId::new("i-s-1-next");
    harness.hosted_servers.insert(successor.id.clone(), BackendServerId::new("s-1"));
    let leaving = instance("s-1", InstanceState::Leaving);
    harness.handle_event(EntryEvent::Instances(vec![leaving, successor.clone()]));
    let second = harness.send_request(NON_IDEMPOTENT);
    let (fresh, _) = harness.latest_submission(second).expect("it was submitted");
    expect_that!(harness.links[&fresh], eq(&successor.id));
    harness.head(old, submit.attempt);
    harness.end(old, submit.attempt, 0, 0);
    expect_that!(harness.expect_response(first, ""), ok(eq(&())));
    harness.advance(STEP_MS);
    expect_true!(harness.log.contains(&EntryAction::CloseLink { link: old }));
}

/// An outdated instance list names an instance that hosts another backend server by now. Requests
/// must not reach a backend server that was not chosen.
#[gtest]
fn a_link_to_another_backend_server_is_not_used() {
    let mut harness = EntryHarness::with_agents(Mechanisms::ALL, &["s-1"]);
    harness.hosted_servers.insert(instance_of("s-1"), BackendServerId::new("s-2"));
    let request = harness.send_request(NON_IDEMPOTENT);
    expect_that!(harness.submissions(request), is_empty());
    expect_true!(harness.log.contains(&EntryAction::CloseLink { link: LinkId(0) }));
}

#[gtest]
fn a_request_waits_briefly_for_a_link() {
    let mut harness = EntryHarness::with_agents(Mechanisms::ALL, &["s-1"]);
    harness.unreachable.insert(instance_of("s-1"));
    let request = harness.send_request(NON_IDEMPOTENT);
    harness.advance(1_000);
    expect_that!(harness.callers[&request].final_response_count(), eq(0));
    harness.advance(2_000);
    let seen = harness.expect_refusal(request, NoBackend, Verdict::NotRun);
    expect_that!(seen, ok(eq(&())));
}

/// An agent reports its backend server as down, and later as up. Links and agent work throughout,
/// so that only these reports show that the backend server must not get requests.
#[gtest]
fn circuits_follow_agent_reports_and_are_audited() {
    let mut harness = EntryHarness::with_agents(Mechanisms::ALL, &["s-1", "s-2"]);
    let request = harness.send_request(NON_IDEMPOTENT);
    let (down, submit) = harness.latest_submission(request).expect("it was submitted");
    let report = load(harness.now_ms + 1, AgentState::BackendDown);
    harness.deliver(down, ToEntry::Accepted { attempt: submit.attempt, load: report });
    for _ in 0..4 {
        let request = harness.send_request(NON_IDEMPOTENT);
        let (link, _) = harness.latest_submission(request).expect("it was submitted");
        expect_that!(link, not(eq(down)));
    }
    harness.advance(3_000);
    let changes = harness.log.iter().filter_map(|action| match action {
        EntryAction::Audit(record) => Some(&record.change),
        _ => None,
    });
    let opened = changes.clone().filter(|one| matches!(one, Change::CircuitOpened { .. })).count();
    let closed = changes.filter(|one| matches!(one, Change::CircuitClosed { .. })).count();
    expect_that!((opened, closed), eq((1, 1)));
}

#[gtest]
fn acknowledgements_stay_one_chunk_behind_until_the_response_is_complete() {
    let mut harness = configured();
    let request = harness.send_request(NON_IDEMPOTENT);
    let (link, submit) = harness.latest_submission(request).expect("it was submitted");
    harness.head(link, submit.attempt);
    for index in 0..40 {
        harness.chunk(link, submit.attempt, index, "x");
    }
    harness.end(link, submit.attempt, 40, 40);
    let received = harness.sent().filter_map(|(_, message)| match message {
        ToAgent::Received { next_chunk, .. } => Some(*next_chunk),
        _ => None,
    });
    expect_that!(received.collect::<Vec<_>>(), elements_are![eq(&16), eq(&32), eq(&40)]);
}

#[gtest]
fn idle_links_get_few_heartbeats_and_are_closed() {
    let mut harness = EntryHarness::with_agents(Mechanisms::ALL, &["s-1"]);
    let request = harness.send_request(NON_IDEMPOTENT);
    let (link, submit) = harness.latest_submission(request).expect("it was submitted");
    harness.head(link, submit.attempt);
    harness.end(link, submit.attempt, 0, 0);
    harness.advance(100_000);
    let heartbeats = harness.core.counters().heartbeats_sent;
    expect_that!(heartbeats, all![ge(9), le(11)]);
    expect_that!(
        harness.core.snapshot(Now::at(harness.now_ms)).links[0].usage,
        eq(LinkUsage::Active)
    );
    harness.advance(25_000);
    expect_that!(harness.core.snapshot(Now::at(harness.now_ms)).links, is_empty());
}

/// A limiter that refuses all requests unless `open`, and records its calls.
#[derive(Clone, Default)]
struct RecordingLimiter {
    seen: Arc<Mutex<Vec<String>>>,
    open: bool,
}

impl RecordingLimiter {
    fn record(&self, text: String) {
        self.seen.lock().expect("no other thread failed").push(text);
    }
}

impl TeamLimiter for RecordingLimiter {
    fn adopt(&mut self, _now: Now, _document: &Document) {}

    fn set_entry_count(&mut self, _now: Now, entries: u32) {
        self.record(format!("entries {entries}"));
    }

    fn admit(&mut self, now: Now, _team: &TeamId) -> Admission {
        if self.open { Admission::Within } else { Admission::Exceeded { retry_at: now.after(1) } }
    }

    fn due_reports(&mut self, _now: Now) -> Vec<DemandReport> {
        let demands = vec![TeamDemand { team: TeamId::new("clerks"), requests_per_s: 2.0 }];
        vec![DemandReport { to: BackendServerId::new("s-2"), demands }]
    }

    fn receive_totals(&mut self, _now: Now, from: &BackendServerId, totals: &[TeamTotal]) {
        self.record(format!("totals from {from}: {}", totals.len()));
    }
}

#[gtest]
fn demand_is_reported_and_totals_reach_the_limiter() {
    let limiter = RecordingLimiter { open: true, ..RecordingLimiter::default() };
    let policies = EntryPolicies { limits: Box::new(limiter.clone()), ..EntryPolicies::baseline() };
    let mut harness =
        EntryHarness::with_policies(Mechanisms::ALL, policies, document(), &["s-1", "s-2"]);
    harness.advance(STEP_MS);
    let link = harness.last_sent(|message| matches!(message, ToAgent::Demand(_)));
    let link = link.expect("demand was reported");
    expect_that!(harness.links[&link], eq(&instance_of("s-2")));
    harness.deliver(link, ToEntry::Totals(vec![]));
    let seen = limiter.seen.lock().expect("no other thread failed").clone();
    expect_that!(seen, elements_are![eq("entries 0"), eq("totals from s-2: 0")]);
}

const ENTRIES: u64 = 400;
const AGENTS: usize = 900;
const DOMAINS: usize = 7;

/// Returns a document with one route to the agents of a fleet of the maximum designed size.
fn large_document() -> Document {
    let mut large = document();
    let (server, domain) = (large.backend_servers[0].clone(), large.failure_domains[0].clone());
    let domain_id = |index: usize| FailureDomainId::new(&format!("fd-{}", index % DOMAINS));
    large.failure_domains.clear();
    for index in 0..DOMAINS {
        let mut domain = domain.clone();
        domain.id = domain_id(index);
        large.failure_domains.push(domain);
    }
    large.backend_servers.clear();
    for index in 0..AGENTS {
        let mut server = server.clone();
        server.id = BackendServerId::new(&format!("b-{index}"));
        server.failure_domain = domain_id(index);
        large.backend_servers.push(server);
    }
    large.routes.truncate(1);
    if let hickorycross_config::Target::Service { backend_servers, .. } =
        &mut large.routes[0].target
    {
        *backend_servers = large.backend_servers.iter().map(|one| one.id.clone()).collect();
    }
    large
}

/// 400 entries choose their subsets of 900 agents independently. Unless the choice is hashed
/// evenly, some agents get many times the entries of others, or one failure domain gets them all.
#[gtest]
fn subsets_spread_over_agents_and_failure_domains() {
    let document = Arc::new(large_document());
    let names: Vec<String> =
        document.backend_servers.iter().map(|one| one.id.to_string()).collect();
    let list: Vec<_> = names.iter().map(|name| instance(name, InstanceState::Live)).collect();
    let mut entries_of: IndexMap<InstanceId, u32> = IndexMap::new();
    for entry in 0..ENTRIES {
        let opened = opened_links(entry, &document, &list);
        expect_that!(opened.len(), eq(8));
        let domains = opened.iter().map(|instance| {
            let index: usize = instance.0.trim_start_matches("i-b-").parse().unwrap_or(0);
            index % DOMAINS
        });
        let domains: indexmap::IndexSet<usize> = domains.collect();
        expect_that!(domains.len(), eq(DOMAINS));
        for instance in opened {
            *entries_of.entry(instance).or_insert(0) += 1;
        }
    }
    let most = entries_of.values().copied().max().unwrap_or(0);
    expect_that!(most, le(13));
    expect_that!(entries_of.len(), ge(AGENTS * 9 / 10));
}

/// Returns the instances to which an entry opens links for a burst of requests.
fn opened_links(
    entry: u64,
    document: &Arc<Document>,
    list: &[hickorycross_core::Instance],
) -> indexmap::IndexSet<InstanceId> {
    let failure_domain = document.failure_domains[entry as usize % DOMAINS].id.clone();
    let incarnation = Incarnation(entry * 0x9e37_79b9 + 1);
    let identity = EntryIdentity { incarnation, failure_domain };
    let mut harness = EntryHarness::unconfigured(Mechanisms::ALL, EntryPolicies::baseline());
    harness.core = EntryCore::new(identity, EntryPolicies::baseline(), 1);
    harness.adopt(document.as_ref().clone());
    harness.handle_event(EntryEvent::Instances(list.to_vec()));
    for _ in 0..9 {
        harness.send_request(NON_IDEMPOTENT);
    }
    let links: Vec<LinkId> = harness.links.keys().copied().collect();
    links.iter().map(|link| harness.links[link].clone()).collect()
}

/// During an upgrade an agent reports leaving and ends, and another incarnation starts on the same
/// instance, which the list names as live throughout. Nothing is sent to a leaving agent, so that
/// no request would open a link to its successor.
#[gtest]
fn an_agent_restarted_in_place_gets_attempts_again() {
    let mut harness = EntryHarness::with_agents(Mechanisms::ALL, &["s-1"]);
    let first = harness.send_request(NON_IDEMPOTENT);
    let (old, submit) = harness.latest_submission(first).expect("it was submitted");
    harness.head(old, submit.attempt);
    harness.end(old, submit.attempt, 0, 0);
    harness.deliver(old, ToEntry::Leaving);
    let instance = harness.links[&old].clone();
    harness.unreachable.insert(instance.clone());
    harness.handle_event(EntryEvent::LinkClosed { link: old });
    harness.advance(3_000);
    harness.unreachable.swap_remove(&instance);
    harness.incarnations.insert(instance, Incarnation(200));
    harness.advance(10_000);
    let second = harness.send_request(NON_IDEMPOTENT);
    let (link, again) = harness.latest_submission(second).expect("it was submitted");
    expect_that!(link, not(eq(old)));
    expect_that!(again.agent, eq(Incarnation(200)));
}
