//! Tests the agent's replies in each state of an attempt, a key and a drain.

mod agent_harness;

use agent_harness::*;
use hickorycross_config::{BackendServerId, RouteId, TeamId};
use hickorycross_core::agent::{
    ADOPTION_SPREAD_MS, AgentAction, AgentEvent, CLOCK_SKEW_BOUND_MS, DEMAND_TTL_MS, Mechanisms,
    ORPHAN_TIMEOUT_MS, RESPONSE_RETENTION_MS,
};
use hickorycross_core::audit::Change;
use hickorycross_core::message::{
    AgentState, KeyDigest, RefusalReason, ResponseHead, RevokeOutcome, Submit, TeamDemand, ToAgent,
    ToEntry,
};
use hickorycross_core::{Incarnation, LinkId, UnixMs, Verdict};

fn harness() -> Harness {
    Harness::new(Mechanisms::default())
}

#[test]
fn response_is_forwarded_in_indexed_chunks_with_totals() {
    let mut harness = harness();
    assert!(accepted(&harness.submit(submit(1)), 1));
    assert_eq!(harness.starts(1), 1);
    let head = ResponseHead { status: 200, headers: Vec::new() };
    let actions =
        harness.handle(AgentEvent::BackendHead { attempt: attempt(1), head: head.clone() });
    assert_eq!(sent(&actions), [&ToEntry::Head { attempt: attempt(1), head }]);
    assert_eq!(chunks(&harness.chunk(1, "ab")), [0]);
    assert_eq!(chunks(&harness.chunk(1, "c")), [1]);
    assert_eq!(end_counts(&harness.end(1)), Some((2, 3)));
    assert!(harness.chunk(1, "late").is_empty());
    assert_eq!(harness.core.counters().late_backend_events, 1);
}

struct RefusalCase {
    name: &'static str,
    prepare: fn(&mut Harness),
    change: fn(&mut Submit),
    reason: RefusalReason,
}

const REFUSALS: &[RefusalCase] = &[
    RefusalCase {
        name: "route unknown",
        prepare: |_| {},
        change: |submit| submit.route = RouteId::new("nowhere"),
        reason: RefusalReason::UnknownRoute,
    },
    RefusalCase {
        name: "tier unknown",
        prepare: |_| {},
        change: |submit| submit.tier = "lead".into(),
        reason: RefusalReason::UnknownRoute,
    },
    RefusalCase {
        name: "route no longer served here",
        prepare: |harness| {
            let mut after = document();
            after.routes[0] = route("read", true, &["b1"]);
            harness.adopt(after);
        },
        change: |_| {},
        reason: RefusalReason::UnknownRoute,
    },
    RefusalCase {
        name: "deadline passed",
        prepare: |harness| harness.advance(10_000),
        change: |_| {},
        reason: RefusalReason::Expired,
    },
    RefusalCase {
        name: "leaving",
        prepare: |harness| drop(harness.handle(AgentEvent::Drain)),
        change: |_| {},
        reason: RefusalReason::Leaving,
    },
    RefusalCase {
        name: "backend server down",
        prepare: |harness| drop(harness.handle(AgentEvent::BackendHealth { healthy: false })),
        change: |_| {},
        reason: RefusalReason::BackendDown,
    },
];

#[test]
fn refused_submit_names_its_reason_and_never_starts() {
    for case in REFUSALS {
        let mut harness = harness();
        (case.prepare)(&mut harness);
        let mut submit = submit(1);
        (case.change)(&mut submit);
        let actions = harness.submit(submit);
        assert_eq!(refused(&actions, 1), Some(case.reason), "{}", case.name);
        assert_eq!(harness.starts(1), 0, "{}", case.name);
    }
}

struct RevokeCase {
    name: &'static str,
    prepare: fn(&mut Harness),
    outcome: RevokeOutcome,
    failed: Option<Verdict>,
    starts: usize,
}

const REVOKES: &[RevokeCase] = &[
    RevokeCase {
        name: "unknown attempt",
        prepare: |_| {},
        outcome: RevokeOutcome::Tombstoned,
        failed: None,
        starts: 0,
    },
    RevokeCase {
        name: "queued",
        prepare: |harness| {
            harness.submit(submit(0));
            harness.submit(submit(1));
        },
        outcome: RevokeOutcome::Tombstoned,
        failed: None,
        starts: 0,
    },
    RevokeCase {
        name: "refused before",
        prepare: |harness| {
            harness.handle(AgentEvent::BackendHealth { healthy: false });
            harness.submit(submit(1));
            harness.handle(AgentEvent::BackendHealth { healthy: true });
        },
        outcome: RevokeOutcome::Tombstoned,
        failed: None,
        starts: 0,
    },
    RevokeCase {
        name: "running",
        prepare: |harness| drop(harness.submit(submit(1))),
        outcome: RevokeOutcome::Attached,
        failed: None,
        starts: 1,
    },
    RevokeCase {
        name: "failed before any byte reached the backend server",
        prepare: |harness| {
            harness.submit(submit(1));
            harness.fail(1, Verdict::NotRun);
        },
        outcome: RevokeOutcome::Attached,
        failed: Some(Verdict::NotRun),
        starts: 1,
    },
    RevokeCase {
        name: "failed after part of the response, although reported as not run",
        prepare: |harness| {
            harness.submit(submit(1));
            harness.chunk(1, "chunk");
            harness.fail(1, Verdict::NotRun);
        },
        outcome: RevokeOutcome::Attached,
        failed: Some(Verdict::Ran),
        starts: 1,
    },
    RevokeCase {
        name: "complete, and no longer retained",
        prepare: |harness| {
            harness.submit(Submit { deadline: UnixMs(START_MS + 90_000), ..submit(1) });
            harness.end(1);
            harness.advance(RESPONSE_RETENTION_MS);
            harness.tick();
        },
        outcome: RevokeOutcome::Attached,
        failed: Some(Verdict::Ran),
        starts: 1,
    },
];

#[test]
fn revocation_reports_what_is_known_and_late_copies_never_run() {
    for case in REVOKES {
        let mut harness = harness();
        (case.prepare)(&mut harness);
        let actions = harness.revoke(1, UnixMs(START_MS + 90_000));
        assert_eq!(revoked(&actions), Some(case.outcome), "{}", case.name);
        assert_eq!(failed(&actions), case.failed, "{}", case.name);
        harness.submit(Submit { deadline: UnixMs(START_MS + 90_000), ..submit(1) });
        harness.end(0);
        assert_eq!(harness.starts(1), case.starts, "{}", case.name);
    }
}

#[test]
fn messages_for_another_incarnation_are_rejected() {
    let mut harness = harness();
    let (agent, deadline) = (Incarnation(6), UnixMs(START_MS + 10_000));
    let message = ToAgent::Revoke { attempt: attempt(1), agent, deadline, next_chunk: 0 };
    assert_eq!(revoked(&harness.send_message(message)), Some(RevokeOutcome::UnknownIncarnation));
    let attach = ToAgent::Attach { attempt: attempt(1), agent, next_chunk: 0 };
    assert_eq!(failed(&harness.send_message(attach)), Some(Verdict::MayHaveRun));
}

// An attach may overtake its submit on another stream. Without a record the agent must not claim
// that the attempt did not run, since it still may.
#[test]
fn attach_without_record_reports_may_have_run() {
    let mut harness = harness();
    assert_eq!(failed(&harness.attach(LINK, 1, 0)), Some(Verdict::MayHaveRun));
    assert!(accepted(&harness.submit(submit(1)), 1));
}

// A cancelled request must not run when its cancellation overtakes its submit.
#[test]
fn cancellation_before_submit_refuses_the_submit() {
    let mut harness = harness();
    harness.send_message(ToAgent::Cancel { attempt: attempt(1) });
    assert_eq!(refused(&harness.submit(submit(1)), 1), Some(RefusalReason::Revoked));
}

// The response must be sent on the latest link to which the entry attached, not on the one that
// carried the submit, which may be silent and closes later.
#[test]
fn messages_follow_the_latest_attachment() {
    let mut harness = harness();
    harness.submit(submit(1));
    harness.handle(AgentEvent::LinkOpened { link: LinkId(2), entry: ENTRY });
    harness.attach(LinkId(2), 1, 0);
    harness.handle(AgentEvent::LinkClosed { link: LINK });
    harness.advance(ORPHAN_TIMEOUT_MS);
    assert!(!aborted(&harness.tick()));
    let actions = harness.chunk(1, "chunk");
    assert!(matches!(actions[..], [AgentAction::Send { link: LinkId(2), .. }]));
}

#[test]
fn cancelled_run_keeps_its_slot_until_the_backend_server_reports_its_end() {
    let mut harness = harness();
    harness.submit(submit(1));
    harness.submit(submit(2));
    assert!(aborted(&harness.send_message(ToAgent::Cancel { attempt: attempt(1) })));
    assert_eq!(harness.starts(2), 0);
    harness.fail(1, Verdict::MayHaveRun);
    assert_eq!(harness.starts(2), 1);
}

#[test]
fn full_queue_refusal_suggests_a_retry_time() {
    let mut harness = harness();
    harness.submit(submit(0));
    harness.advance(100);
    harness.end(0);
    for sequence in 1..=5 {
        harness.submit(submit(sequence));
    }
    let actions = harness.submit(submit(9));
    // Five starts of 100 ms each come first: the four queued attempts and the retry itself. Jitter
    // adds up to a quarter.
    let wait_ms = retry_at(&actions).flatten().expect("measured").since(harness.now.unix_ms);
    assert!((500..=625).contains(&wait_ms), "{wait_ms}");
}

#[test]
fn drain_completes_once_after_running_requests() {
    let mut harness = harness();
    harness.submit(submit(1));
    harness.chunk(1, "chunk");
    let leaving = harness.handle(AgentEvent::Drain);
    assert!(sent(&leaving).contains(&&ToEntry::Leaving));
    let opened = harness.handle(AgentEvent::LinkOpened { link: LinkId(2), entry: ENTRY });
    assert_eq!(sent(&opened), [&ToEntry::Leaving]);
    harness.end(1);
    harness.advance(RESPONSE_RETENTION_MS - 1);
    harness.tick();
    assert_eq!(drained(&harness.log), 0, "the response may still be fetched");
    harness.advance(1);
    harness.tick();
    harness.handle(AgentEvent::Drain);
    harness.tick();
    assert_eq!(drained(&harness.log), 1);
}

#[test]
fn an_idle_agent_drains_at_once() {
    assert_eq!(drained(&harness().handle(AgentEvent::Drain)), 1);
}

#[test]
fn load_reports_backend_health() {
    let mut harness = harness();
    harness.handle(AgentEvent::BackendHealth { healthy: false });
    let stamp = harness.core.snapshot(harness.now).stamp;
    let actions = harness.send_message(ToAgent::Heartbeat { nonce: 5, stamp });
    let [ToEntry::HeartbeatAck { nonce: 5, load, .. }] = sent(&actions)[..] else {
        panic!("{actions:?}")
    };
    assert_eq!(load.state, AgentState::BackendDown);
}

#[test]
fn demand_is_summed_over_entries_with_recent_reports() {
    let mut harness = harness();
    harness.handle(AgentEvent::LinkOpened { link: LinkId(2), entry: Incarnation(200) });
    let demand = |requests_per_s| {
        ToAgent::Demand(vec![TeamDemand { team: TeamId::new("hog"), requests_per_s }])
    };
    harness.send_message(demand(3.0));
    let both = harness.send_message_on(LinkId(2), demand(4.0));
    harness.advance(DEMAND_TTL_MS);
    let one = harness.send_message_on(LinkId(2), demand(f32::NAN));
    for (actions, requests_per_s, entries) in [(both, 7.0, 2), (one, 0.0, 1)] {
        let [ToEntry::Totals(totals)] = sent(&actions)[..] else { panic!("{actions:?}") };
        assert_eq!((totals[0].requests_per_s, totals[0].entries), (requests_per_s, entries));
    }
}

struct KeyCase {
    name: &'static str,
    /// Brings the agent into the state of the case and returns the key.
    prepare: fn(&mut Harness) -> KeyDigest,
    runs: bool,
}

const KEY_CASES: &[KeyCase] = &[
    KeyCase {
        name: "plain key, agent just started",
        prepare: |_| key_with_home(&document(), "create", "b0"),
        runs: false,
    },
    KeyCase {
        name: "plain key, key lifetime since the start has passed",
        prepare: |harness| {
            let memory_ms = u64::from(KEY_HORIZON_MS) + u64::from(MAX_DEADLINE_MS);
            harness.advance(ADOPTION_SPREAD_MS + memory_ms);
            key_with_home(&document(), "create", "b0")
        },
        runs: true,
    },
    KeyCase {
        name: "key created after the start, clock skew allowed for",
        prepare: |harness| {
            harness.advance(ADOPTION_SPREAD_MS + 2 * CLOCK_SKEW_BOUND_MS);
            timestamped_key_with_home(&document(), "create", "b0", harness.now.unix_ms.0)
        },
        runs: true,
    },
    KeyCase {
        name: "key created too close to the start",
        prepare: |harness| {
            harness.advance(ADOPTION_SPREAD_MS + 2 * CLOCK_SKEW_BOUND_MS);
            timestamped_key_with_home(&document(), "create", "b0", harness.now.unix_ms.0 - 1)
        },
        runs: false,
    },
    KeyCase {
        name: "document change that does not move the key",
        prepare: |harness| {
            harness.advance(KEYS_KNOWN_AFTER_MS);
            let mut after = document();
            after.routes[1] = route("create", false, &["b0", "b1", "b2"]);
            let key = keys_with_home(&document(), "create", "b0")
                .find(|key| keys_with_home(&after, "create", "b0").any(|other| other == *key));
            harness.adopt(after);
            key.expect("most keys stay")
        },
        runs: true,
    },
    KeyCase {
        name: "document changes that move the key away and back",
        prepare: |harness| {
            harness.advance(KEYS_KNOWN_AFTER_MS);
            let mut away = document();
            away.routes[1] = route("create", false, &["b1"]);
            harness.adopt(away);
            harness.advance(1_000);
            harness.adopt(document());
            key_with_home(&document(), "create", "b0")
        },
        runs: false,
    },
    KeyCase {
        name: "renamed route whose keys had another home",
        prepare: |harness| {
            let mut before = document();
            before.routes[1] = route("file", false, &["b1"]);
            harness.adopt(before);
            harness.advance(KEYS_KNOWN_AFTER_MS);
            harness.tick();
            harness.adopt(document());
            key_with_home(&document(), "create", "b0")
        },
        runs: false,
    },
    KeyCase {
        name: "document change that affects no route",
        prepare: |harness| {
            harness.advance(KEYS_KNOWN_AFTER_MS);
            let mut after = document();
            after.teams.pop();
            harness.adopt(after);
            key_with_home(&document(), "create", "b0")
        },
        runs: true,
    },
    KeyCase {
        name: "earlier run failed before any byte reached the backend server",
        prepare: |harness| {
            harness.advance(KEYS_KNOWN_AFTER_MS);
            let key = key_with_home(&document(), "create", "b0");
            harness.submit(keyed_submit(50, key, harness.now));
            harness.fail(50, Verdict::NotRun);
            key
        },
        runs: true,
    },
    KeyCase {
        name: "earlier run failed with an unknown outcome",
        prepare: |harness| {
            harness.advance(KEYS_KNOWN_AFTER_MS);
            let key = key_with_home(&document(), "create", "b0");
            harness.submit(keyed_submit(50, key, harness.now));
            harness.fail(50, Verdict::MayHaveRun);
            key
        },
        runs: false,
    },
    KeyCase {
        name: "key horizon has passed since the earlier run",
        prepare: |harness| {
            harness.advance(KEYS_KNOWN_AFTER_MS);
            let key = key_with_home(&document(), "create", "b0");
            harness.submit(keyed_submit(50, key, harness.now));
            harness.end(50);
            harness.advance(u64::from(KEY_HORIZON_MS));
            key
        },
        runs: true,
    },
];

#[test]
fn a_non_idempotent_key_runs_only_when_no_earlier_run_is_possible() {
    for case in KEY_CASES {
        let mut harness = harness();
        let key = (case.prepare)(&mut harness);
        let actions = harness.submit(keyed_submit(1, key, harness.now));
        assert_eq!(harness.starts(1) == 1, case.runs, "{}", case.name);
        let expected = (!case.runs).then_some(Verdict::MayHaveRun);
        assert_eq!(key_used(&actions), expected, "{}", case.name);
    }
}

#[test]
fn idempotent_key_runs_again_when_its_response_is_lost() {
    let mut harness = harness();
    let key = key_with_home(&document(), "read", "b0");
    harness.submit(Submit { key: Some(key), ..submit(1) });
    harness.fail(1, Verdict::MayHaveRun);
    harness.submit(Submit { key: Some(key), ..submit(2) });
    assert_eq!((harness.starts(1), harness.starts(2)), (1, 1));
}

#[test]
fn only_uuid_version_7_keys_carry_a_creation_time() {
    let created = |key: &str| KeyDigest::of(&TeamId::new("hog"), key).created();
    assert_eq!(created("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), Some(UnixMs(0x017F_22E2_79B0)));
    for plain in [
        "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
        "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
        "017f22e279b07cc398c4dc0c0c07398f",
        "017f22e2-79b0-7cc3-98c4-dc0c0c07398é",
        "order 17",
        "",
    ] {
        assert_eq!(created(plain), None, "{plain}");
    }
    let of = |team: &str, key: &str| KeyDigest::of(&TeamId::new(team), key);
    assert_ne!(of("hog", "k"), of("mouse", "k"));
    assert_ne!(of("ab", "c"), of("a", "bc"));
}

// Guards against an agent that refuses keys without a record of whom it awaits.
#[test]
fn former_homes_that_are_awaited_and_released_are_audited() {
    let mut before = document();
    before.routes[1] = route("create", false, &["b1", "b2"]);
    let mut harness = Harness::with_document(Mechanisms::default(), before);
    harness.unreachable = &["b2"];
    let moved = harness.adopt(document());
    let silent = harness.tick();
    harness.unreachable = &[];
    harness.advance(1_000);
    let heard = harness.tick();
    let awaited = vec![BackendServerId::new("b1"), BackendServerId::new("b2")];
    assert_eq!(audited_former_homes(&moved), [Some(awaited)]);
    assert_eq!(audited_former_homes(&silent), []);
    assert_eq!(audited_former_homes(&heard), [None]);
}

/// Returns the former homes of each record that they are awaited, and none for their release.
fn audited_former_homes(actions: &[AgentAction]) -> Vec<Option<Vec<BackendServerId>>> {
    let changes = actions.iter().filter_map(|action| match action {
        AgentAction::Audit(record) => Some(&record.change),
        _ => None,
    });
    let former_homes = changes.filter_map(|change| match change {
        Change::FormerHomesAwaited { backend_servers, .. } => Some(Some(backend_servers.clone())),
        Change::FormerHomesReleased { .. } => Some(None),
        _ => None,
    });
    former_homes.collect()
}
