//! What an entry decides when nothing fails: admission, routes, subsets, links, drain, policies.

mod entry_support;

use entry_support::{
    Ask, LODGE, READ, Rig, START_MS, STEP_MS, document, instance, instance_of, load,
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
fn a_request_reaches_its_backend_server_and_its_answer_the_caller() {
    let mut rig = Rig::new(Mechanisms::ALL);
    let request = rig.ask(LODGE);
    let (link, submit) = rig.submission(request).expect("it was submitted");
    rig.accept(link, submit.attempt);
    rig.head(link, submit.attempt);
    rig.chunk(link, submit.attempt, 0, "whole");
    rig.end(link, submit.attempt, 1, 5);
    expect_that!(rig.expect_answer(request, "whole"), ok(eq(&())));
    expect_that!(submit.agent, eq(entry_support::FIRST_LIFE));
}

struct Refused {
    prepare: fn() -> Rig,
    ask: Ask,
    code: RefusalCode,
    retry: bool,
}

fn whole_rig() -> Rig {
    Rig::new(Mechanisms::ALL)
}

fn draining() -> Rig {
    let mut rig = whole_rig();
    rig.event(EntryEvent::Drain);
    rig
}

fn limited() -> Rig {
    let policies =
        EntryPolicies { limits: Box::<SpyLimits>::default(), ..EntryPolicies::baseline() };
    Rig::with(Mechanisms::ALL, policies, document(), &["s-1"])
}

fn bare() -> Rig {
    Rig::bare(Mechanisms::ALL, EntryPolicies::baseline())
}

fn deserted() -> Rig {
    Rig::of(Mechanisms::ALL, &[])
}

const WRONG_KEY: Ask = Ask { api_key: "wrong", ..LODGE };
const WRONG_PATH: Ask = Ask { path: "/other", ..LODGE };
const WRONG_MODEL: Ask = Ask { model: Some("other"), ..LODGE };
const TOO_LATE: Ask = Ask { deadline_ms: Some(0), ..LODGE };
const KEYED: Ask = Ask { key: Some("k"), ..LODGE };

const REFUSED: [Refused; 9] = [
    Refused { prepare: bare, ask: LODGE, code: NotReady, retry: true },
    Refused { prepare: draining, ask: LODGE, code: NotReady, retry: true },
    Refused { prepare: whole_rig, ask: WRONG_KEY, code: UnknownKey, retry: false },
    Refused { prepare: whole_rig, ask: WRONG_PATH, code: UnknownPath, retry: false },
    Refused { prepare: whole_rig, ask: WRONG_MODEL, code: UnknownModel, retry: false },
    Refused { prepare: whole_rig, ask: TOO_LATE, code: DeadlinePassed, retry: false },
    Refused { prepare: limited, ask: LODGE, code: TeamLimit, retry: true },
    Refused { prepare: deserted, ask: LODGE, code: NoBackend, retry: true },
    Refused { prepare: deserted, ask: KEYED, code: NoBackend, retry: true },
];

#[gtest]
fn refusals_at_the_door_are_final_and_not_run() {
    for case in &REFUSED {
        let mut rig = (case.prepare)();
        let request = rig.ask(case.ask);
        let seen = rig.expect_refusal(request, case.code, Verdict::NotRun);
        expect_that!(seen, ok(eq(&())), "{:?}", case.code);
        let retry_at = rig.callers[&request].refusals[0].retry_at;
        expect_that!(retry_at.is_some(), eq(case.retry), "{:?}", case.code);
    }
}

struct Routed {
    ask: Ask,
    route: &'static str,
    idempotent: bool,
    deadline_ms: u64,
}

const ROUTED: [Routed; 5] = [
    Routed { ask: LODGE, route: "lodge", idempotent: false, deadline_ms: 20_000 },
    Routed { ask: READ, route: "read", idempotent: true, deadline_ms: 20_000 },
    Routed {
        ask: Ask { path: "/read/review/1", deadline_ms: Some(900_000), ..LODGE },
        route: "review",
        idempotent: false,
        deadline_ms: 60_000,
    },
    Routed {
        ask: Ask { non_idempotent: true, deadline_ms: Some(5), ..READ },
        route: "read",
        idempotent: false,
        deadline_ms: 5,
    },
    Routed {
        ask: Ask { model: Some("reviewer"), ..LODGE },
        route: "model",
        idempotent: true,
        deadline_ms: 20_000,
    },
];

#[gtest]
fn submissions_carry_route_mark_and_deadline() {
    for case in &ROUTED {
        let mut rig = whole_rig();
        let request = rig.ask(case.ask);
        let (_, submit) = rig.submission(request).expect("it was submitted");
        expect_that!(submit.route.as_str(), eq(case.route));
        expect_that!(submit.idempotent, eq(case.idempotent), "{}", case.route);
        expect_that!(submit.deadline, eq(UnixMs(START_MS + case.deadline_ms)), "{}", case.route);
    }
}

struct AgentRefused {
    reason: RefusalReason,
    /// The final answer, unless the request is tried again.
    last: Option<(RefusalCode, Verdict)>,
}

const AGENT_REFUSED: [AgentRefused; 9] = [
    AgentRefused { reason: QueueFull, last: None },
    AgentRefused { reason: Leaving, last: None },
    AgentRefused { reason: Revoked, last: None },
    AgentRefused { reason: NotKeyHome, last: None },
    AgentRefused { reason: BackendDown, last: None },
    AgentRefused { reason: UnknownRoute, last: None },
    AgentRefused { reason: Expired, last: Some((DeadlinePassed, Verdict::NotRun)) },
    AgentRefused { reason: KeyConflict, last: Some((RefusalCode::KeyConflict, Verdict::NotRun)) },
    AgentRefused { reason: WrongIncarnation, last: Some((Interrupted, Verdict::MayHaveRun)) },
];

#[gtest]
fn refusals_of_agents_are_tried_elsewhere_or_final() {
    for case in &AGENT_REFUSED {
        let mut rig = whole_rig();
        let request = rig.ask(LODGE);
        let (link, submit) = rig.submission(request).expect("it was submitted");
        let load = load(rig.now_ms, AgentState::Serving);
        let (attempt, reason) = (submit.attempt, case.reason);
        rig.say(link, ToEntry::Refused { attempt, reason, retry_at: None, load });
        rig.wait(STEP_MS);
        let submissions = rig.submissions(request);
        expect_that!(submissions.len(), eq(if case.last.is_none() { 2 } else { 1 }), "{reason:?}");
        if let Some((code, verdict)) = case.last {
            expect_that!(rig.expect_refusal(request, code, verdict), ok(eq(&())), "{reason:?}");
        } else {
            let again = submissions.last().map(|(link, _)| *link);
            expect_that!(again, not(some(eq(link))), "{reason:?}");
        }
    }
}

/// Symptom: a caller gets two answers.
/// Sequence: the HTTP side hands in a request under a number that it used before.
/// Cause: a bug there; the entry must not run the second one under the first one's name.
#[gtest]
fn a_number_used_twice_is_a_violation() {
    let mut rig = whole_rig();
    let request = rig.ask(LODGE);
    rig.next_request = request.sequence;
    rig.ask(LODGE);
    expect_that!(rig.submissions(request).len(), eq(1));
    expect_that!(rig.violations().len(), eq(1));
    expect_that!(rig.callers[&request].finals(), eq(0));
}

#[gtest]
fn a_used_key_is_answered_with_what_is_known() {
    let mut rig = whole_rig();
    let request = rig.ask(Ask { key: Some("k"), ..READ });
    let (link, submit) = rig.submission(request).expect("it was submitted");
    let (attempt, verdict) = (submit.attempt, Verdict::Ran);
    rig.say(link, ToEntry::KeyUsed { attempt, earlier: None, verdict });
    expect_that!(rig.expect_refusal(request, KeyUsed, verdict), ok(eq(&())));
}

/// Symptom: a planned stop cuts answers.
/// Sequence: the process is told to stop while an answer runs.
/// Cause: nothing else would make it wait.
#[gtest]
fn drain_ends_after_the_last_answer() {
    let mut rig = whole_rig();
    let request = rig.ask(LODGE);
    let (link, submit) = rig.submission(request).expect("it was submitted");
    let drained = |rig: &Rig| rig.log.iter().filter(|a| **a == EntryAction::Drained).count();
    rig.event(EntryEvent::Drain);
    rig.event(EntryEvent::Drain);
    expect_that!(drained(&rig), eq(0));
    rig.head(link, submit.attempt);
    rig.end(link, submit.attempt, 0, 0);
    rig.wait(100);
    expect_that!(rig.expect_answer(request, ""), ok(eq(&())));
    expect_that!(drained(&rig), eq(1));
}

/// Symptom: requests fail at an instance that is being replaced, or its last answers are cut.
/// Sequence: the list names a successor while the predecessor still answers.
/// Cause: one backend server has two instances for a while.
#[gtest]
fn a_successor_gets_new_work_while_the_predecessor_finishes() {
    let mut rig = Rig::of(Mechanisms::ALL, &["s-1"]);
    let first = rig.ask(LODGE);
    let (old, submit) = rig.submission(first).expect("it was submitted");
    let mut successor = instance("s-1", InstanceState::Live);
    successor.id = InstanceId::new("i-s-1-next");
    rig.hosts.insert(successor.id.clone(), BackendServerId::new("s-1"));
    let leaving = instance("s-1", InstanceState::Leaving);
    rig.event(EntryEvent::Instances(vec![leaving, successor.clone()]));
    let second = rig.ask(LODGE);
    let (fresh, _) = rig.submission(second).expect("it was submitted");
    expect_that!(rig.links[&fresh], eq(&successor.id));
    rig.head(old, submit.attempt);
    rig.end(old, submit.attempt, 0, 0);
    expect_that!(rig.expect_answer(first, ""), ok(eq(&())));
    rig.wait(STEP_MS);
    expect_true!(rig.log.contains(&EntryAction::CloseLink { link: old }));
}

/// Symptom: requests reach a backend server that was not chosen.
/// Sequence: an instance hosts another backend server than the list says.
/// Cause: the list lags.
#[gtest]
fn a_link_to_another_backend_server_is_not_used() {
    let mut rig = Rig::of(Mechanisms::ALL, &["s-1"]);
    rig.hosts.insert(instance_of("s-1"), BackendServerId::new("s-2"));
    let request = rig.ask(LODGE);
    expect_that!(rig.submissions(request), is_empty());
    expect_true!(rig.log.contains(&EntryAction::CloseLink { link: LinkId(0) }));
}

#[gtest]
fn a_request_waits_briefly_for_a_link() {
    let mut rig = Rig::of(Mechanisms::ALL, &["s-1"]);
    rig.unreachable.insert(instance_of("s-1"));
    let request = rig.ask(LODGE);
    rig.wait(1_000);
    expect_that!(rig.callers[&request].finals(), eq(0));
    rig.wait(2_000);
    let seen = rig.expect_refusal(request, NoBackend, Verdict::NotRun);
    expect_that!(seen, ok(eq(&())));
}

/// Symptom: a backend server that does not answer keeps its share of requests.
/// Sequence: its agent reports it as down, later as up.
/// Cause: links and agent are fine; only the report shows it.
#[gtest]
fn circuits_follow_reports_and_are_audited() {
    let mut rig = Rig::of(Mechanisms::ALL, &["s-1", "s-2"]);
    let request = rig.ask(LODGE);
    let (down, submit) = rig.submission(request).expect("it was submitted");
    let report = load(rig.now_ms + 1, AgentState::BackendDown);
    rig.say(down, ToEntry::Accepted { attempt: submit.attempt, load: report });
    for _ in 0..4 {
        let request = rig.ask(LODGE);
        let (link, _) = rig.submission(request).expect("it was submitted");
        expect_that!(link, not(eq(down)));
    }
    rig.wait(3_000);
    let changes = rig.log.iter().filter_map(|action| match action {
        EntryAction::Audit(record) => Some(&record.change),
        _ => None,
    });
    let opened = changes.clone().filter(|one| matches!(one, Change::CircuitOpened { .. })).count();
    let closed = changes.filter(|one| matches!(one, Change::CircuitClosed { .. })).count();
    expect_that!((opened, closed), eq((1, 1)));
}

#[gtest]
fn acknowledgements_stay_behind_until_the_answer_is_whole() {
    let mut rig = whole_rig();
    let request = rig.ask(LODGE);
    let (link, submit) = rig.submission(request).expect("it was submitted");
    rig.head(link, submit.attempt);
    for index in 0..40 {
        rig.chunk(link, submit.attempt, index, "x");
    }
    rig.end(link, submit.attempt, 40, 40);
    let received = rig.sent().filter_map(|(_, message)| match message {
        ToAgent::Received { next_chunk, .. } => Some(*next_chunk),
        _ => None,
    });
    expect_that!(received.collect::<Vec<_>>(), elements_are![eq(&16), eq(&32), eq(&40)]);
}

#[gtest]
fn idle_links_cost_little_and_are_closed() {
    let mut rig = Rig::of(Mechanisms::ALL, &["s-1"]);
    let request = rig.ask(LODGE);
    let (link, submit) = rig.submission(request).expect("it was submitted");
    rig.head(link, submit.attempt);
    rig.end(link, submit.attempt, 0, 0);
    rig.wait(100_000);
    let heartbeats = rig.core.counters().heartbeats_sent;
    expect_that!(heartbeats, all![ge(9), le(11)]);
    expect_that!(rig.core.snapshot(Now::at(rig.now_ms)).links[0].usage, eq(LinkUsage::Active));
    rig.wait(25_000);
    expect_that!(rig.core.snapshot(Now::at(rig.now_ms)).links, is_empty());
}

/// Limits that refuse everything and record what they are told.
#[derive(Clone, Default)]
struct SpyLimits {
    seen: Arc<Mutex<Vec<String>>>,
    open: bool,
}

impl SpyLimits {
    fn note(&self, text: String) {
        self.seen.lock().expect("no other thread failed").push(text);
    }
}

impl TeamLimiter for SpyLimits {
    fn adopt(&mut self, _now: Now, _document: &Document) {}

    fn set_entry_count(&mut self, _now: Now, entries: u32) {
        self.note(format!("entries {entries}"));
    }

    fn admit(&mut self, now: Now, _team: &TeamId) -> Admission {
        if self.open { Admission::Within } else { Admission::Exceeded { retry_at: now.after(1) } }
    }

    fn due_reports(&mut self, _now: Now) -> Vec<DemandReport> {
        let demands = vec![TeamDemand { team: TeamId::new("clerks"), requests_per_s: 2.0 }];
        vec![DemandReport { to: BackendServerId::new("s-2"), demands }]
    }

    fn receive_totals(&mut self, _now: Now, from: &BackendServerId, totals: &[TeamTotal]) {
        self.note(format!("totals from {from}: {}", totals.len()));
    }
}

#[gtest]
fn demand_is_reported_and_totals_are_learnt() {
    let spy = SpyLimits { open: true, ..SpyLimits::default() };
    let policies = EntryPolicies { limits: Box::new(spy.clone()), ..EntryPolicies::baseline() };
    let mut rig = Rig::with(Mechanisms::ALL, policies, document(), &["s-1", "s-2"]);
    rig.wait(STEP_MS);
    let link = rig.last_sent(|message| matches!(message, ToAgent::Demand(_)));
    let link = link.expect("demand was reported");
    expect_that!(rig.links[&link], eq(&instance_of("s-2")));
    rig.say(link, ToEntry::Totals(vec![]));
    let seen = spy.seen.lock().expect("no other thread failed").clone();
    expect_that!(seen, elements_are![eq("entries 0"), eq("totals from s-2: 0")]);
}

const ENTRIES: u64 = 400;
const AGENTS: usize = 900;
const DOMAINS: usize = 7;

/// A document with one route over all agents of the size to design for.
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

/// Symptom: some agents get many times the entries of others, or one failure domain gets all.
/// Sequence: 400 entries choose their subsets of 900 agents, each by itself.
/// Cause: independent choices cluster unless they are hashed evenly.
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

/// The instances to which an entry opens links for a burst of requests.
fn opened_links(
    entry: u64,
    document: &Arc<Document>,
    list: &[hickorycross_core::Instance],
) -> indexmap::IndexSet<InstanceId> {
    let failure_domain = document.failure_domains[entry as usize % DOMAINS].id.clone();
    let incarnation = Incarnation(entry * 0x9e37_79b9 + 1);
    let identity = EntryIdentity { incarnation, failure_domain };
    let mut rig = Rig::bare(Mechanisms::ALL, EntryPolicies::baseline());
    rig.core = EntryCore::new(identity, EntryPolicies::baseline(), 1);
    rig.adopt(document.as_ref().clone());
    rig.event(EntryEvent::Instances(list.to_vec()));
    for _ in 0..9 {
        rig.ask(LODGE);
    }
    let links: Vec<LinkId> = rig.links.keys().copied().collect();
    links.iter().map(|link| rig.links[link].clone()).collect()
}

/// Symptom: a backend server gets no work after its agent's upgrade.
/// Sequence: the agent says that it leaves, finishes and ends; another incarnation starts on the
/// same instance, which the list has named as live all the while.
/// Cause: nothing is sent to an agent that leaves, so that no link finds its successor.
#[gtest]
fn an_agent_restarted_in_place_gets_work_again() {
    let mut rig = Rig::of(Mechanisms::ALL, &["s-1"]);
    let first = rig.ask(LODGE);
    let (old, submit) = rig.submission(first).expect("it was submitted");
    rig.head(old, submit.attempt);
    rig.end(old, submit.attempt, 0, 0);
    rig.say(old, ToEntry::Leaving);
    let instance = rig.links[&old].clone();
    rig.unreachable.insert(instance.clone());
    rig.event(EntryEvent::LinkClosed { link: old });
    rig.wait(3_000);
    rig.unreachable.swap_remove(&instance);
    rig.lives.insert(instance, Incarnation(200));
    rig.wait(10_000);
    let second = rig.ask(LODGE);
    let (link, again) = rig.submission(second).expect("it was submitted");
    expect_that!(link, not(eq(old)));
    expect_that!(again.agent, eq(Incarnation(200)));
}
