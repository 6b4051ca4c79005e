//! The agent's answers in each state of an attempt, a key and a drain.

mod agent_rig;

use agent_rig::*;
use hickorycross_config::{RouteId, TeamId};
use hickorycross_core::agent::{
    ADOPTION_SPREAD_MS, AgentAction, AgentEvent, CLOCK_SKEW_BOUND_MS, DEMAND_TTL_MS, Mechanisms,
    ORPHAN_TIMEOUT_MS, RESPONSE_RETENTION_MS,
};
use hickorycross_core::message::{
    AgentState, KeyDigest, RefusalReason, ResponseHead, RevokeOutcome, Submit, TeamDemand, ToAgent,
    ToEntry,
};
use hickorycross_core::{Incarnation, LinkId, UnixMs, Verdict};

fn rig() -> Rig {
    Rig::new(Mechanisms::default())
}

#[test]
fn an_answer_goes_back_in_numbered_pieces_with_its_counts() {
    let mut rig = rig();
    assert!(accepted(&rig.submit(submit(1)), 1));
    assert_eq!(rig.starts(1), 1);
    let head = ResponseHead { status: 200, headers: Vec::new() };
    let actions = rig.step(AgentEvent::BackendHead { attempt: attempt(1), head: head.clone() });
    assert_eq!(sent(&actions), [&ToEntry::Head { attempt: attempt(1), head }]);
    assert_eq!(chunks(&rig.chunk(1, "ab")), [0]);
    assert_eq!(chunks(&rig.chunk(1, "c")), [1]);
    assert_eq!(end_counts(&rig.end(1)), Some((2, 3)));
    assert!(rig.chunk(1, "late").is_empty());
    assert_eq!(rig.core.counters().late_backend_events, 1);
}

struct RefusalCase {
    name: &'static str,
    prepare: fn(&mut Rig),
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
        prepare: |rig| {
            let mut after = document();
            after.routes[0] = route("read", true, &["b1"]);
            rig.adopt(after);
        },
        change: |_| {},
        reason: RefusalReason::UnknownRoute,
    },
    RefusalCase {
        name: "deadline passed",
        prepare: |rig| rig.wait(10_000),
        change: |_| {},
        reason: RefusalReason::Expired,
    },
    RefusalCase {
        name: "leaving",
        prepare: |rig| drop(rig.step(AgentEvent::Drain)),
        change: |_| {},
        reason: RefusalReason::Leaving,
    },
    RefusalCase {
        name: "backend server down",
        prepare: |rig| drop(rig.step(AgentEvent::BackendHealth { healthy: false })),
        change: |_| {},
        reason: RefusalReason::BackendDown,
    },
];

#[test]
fn each_refusal_names_its_reason_and_nothing_starts() {
    for case in REFUSALS {
        let mut rig = rig();
        (case.prepare)(&mut rig);
        let mut submit = submit(1);
        (case.change)(&mut submit);
        let actions = rig.submit(submit);
        assert_eq!(refused(&actions, 1), Some(case.reason), "{}", case.name);
        assert_eq!(rig.starts(1), 0, "{}", case.name);
    }
}

struct RevokeCase {
    name: &'static str,
    prepare: fn(&mut Rig),
    outcome: RevokeOutcome,
    failed: Option<Verdict>,
    starts: usize,
}

const REVOKES: &[RevokeCase] = &[
    RevokeCase {
        name: "never seen",
        prepare: |_| {},
        outcome: RevokeOutcome::Tombstoned,
        failed: None,
        starts: 0,
    },
    RevokeCase {
        name: "queued",
        prepare: |rig| {
            rig.submit(submit(0));
            rig.submit(submit(1));
        },
        outcome: RevokeOutcome::Tombstoned,
        failed: None,
        starts: 0,
    },
    RevokeCase {
        name: "refused before",
        prepare: |rig| {
            rig.step(AgentEvent::BackendHealth { healthy: false });
            rig.submit(submit(1));
            rig.step(AgentEvent::BackendHealth { healthy: true });
        },
        outcome: RevokeOutcome::Tombstoned,
        failed: None,
        starts: 0,
    },
    RevokeCase {
        name: "running",
        prepare: |rig| drop(rig.submit(submit(1))),
        outcome: RevokeOutcome::Attached,
        failed: None,
        starts: 1,
    },
    RevokeCase {
        name: "failed before the backend server got a byte",
        prepare: |rig| {
            rig.submit(submit(1));
            rig.fail(1, Verdict::NotRun);
        },
        outcome: RevokeOutcome::Attached,
        failed: Some(Verdict::NotRun),
        starts: 1,
    },
    RevokeCase {
        name: "failed after a piece of the answer, whatever the program says",
        prepare: |rig| {
            rig.submit(submit(1));
            rig.chunk(1, "piece");
            rig.fail(1, Verdict::NotRun);
        },
        outcome: RevokeOutcome::Attached,
        failed: Some(Verdict::Ran),
        starts: 1,
    },
    RevokeCase {
        name: "whole, and no longer held",
        prepare: |rig| {
            rig.submit(Submit { deadline: UnixMs(START_MS + 90_000), ..submit(1) });
            rig.end(1);
            rig.wait(RESPONSE_RETENTION_MS);
            rig.tick();
        },
        outcome: RevokeOutcome::Attached,
        failed: Some(Verdict::Ran),
        starts: 1,
    },
];

#[test]
fn a_revocation_tells_what_is_known_and_a_late_copy_never_runs() {
    for case in REVOKES {
        let mut rig = rig();
        (case.prepare)(&mut rig);
        let actions = rig.revoke(1, UnixMs(START_MS + 90_000));
        assert_eq!(revoked(&actions), Some(case.outcome), "{}", case.name);
        assert_eq!(failed(&actions), case.failed, "{}", case.name);
        rig.submit(Submit { deadline: UnixMs(START_MS + 90_000), ..submit(1) });
        rig.end(0);
        assert_eq!(rig.starts(1), case.starts, "{}", case.name);
    }
}

#[test]
fn another_incarnation_is_told_apart() {
    let mut rig = rig();
    let (agent, deadline) = (Incarnation(6), UnixMs(START_MS + 10_000));
    let message = ToAgent::Revoke { attempt: attempt(1), agent, deadline, next_chunk: 0 };
    assert_eq!(revoked(&rig.tell(message)), Some(RevokeOutcome::UnknownIncarnation));
    let attach = ToAgent::Attach { attempt: attempt(1), agent, next_chunk: 0 };
    assert_eq!(failed(&rig.tell(attach)), Some(Verdict::MayHaveRun));
}

// Symptom: an entry takes a request for refused that runs later.
// Sequence: the attachment overtakes the submit on another stream.
// Cause: no record taken for proof. The answer must claim nothing.
#[test]
fn an_attachment_without_a_record_claims_nothing() {
    let mut rig = rig();
    assert_eq!(failed(&rig.attach(LINK, 1, 0)), Some(Verdict::MayHaveRun));
    assert!(accepted(&rig.submit(submit(1)), 1));
}

// Symptom: a cancelled request runs.
// Sequence: the cancellation overtakes the submit.
// Cause: a cancellation of an unseen attempt forgotten at once.
#[test]
fn a_cancellation_that_overtakes_the_submit_holds() {
    let mut rig = rig();
    rig.tell(ToAgent::Cancel { attempt: attempt(1) });
    assert_eq!(refused(&rig.submit(submit(1)), 1), Some(RefusalReason::Revoked));
}

// Symptom: an answer goes on to a link that is silent, and none reaches the caller.
// Sequence: a request runs; the entry attaches it on a second link; the first one closes later.
// Cause: messages sent where the submit came from.
#[test]
fn messages_follow_the_latest_attachment() {
    let mut rig = rig();
    rig.submit(submit(1));
    rig.step(AgentEvent::LinkOpened { link: LinkId(2), entry: ENTRY });
    rig.attach(LinkId(2), 1, 0);
    rig.step(AgentEvent::LinkClosed { link: LINK });
    rig.wait(ORPHAN_TIMEOUT_MS);
    assert!(!aborted(&rig.tick()));
    let actions = rig.chunk(1, "piece");
    assert!(matches!(actions[..], [AgentAction::Send { link: LinkId(2), .. }]));
}

#[test]
fn a_cancelled_run_keeps_its_slot_until_the_backend_server_let_go() {
    let mut rig = rig();
    rig.submit(submit(1));
    rig.submit(submit(2));
    assert!(aborted(&rig.tell(ToAgent::Cancel { attempt: attempt(1) })));
    assert_eq!(rig.starts(2), 0);
    rig.fail(1, Verdict::MayHaveRun);
    assert_eq!(rig.starts(2), 1);
}

#[test]
fn a_full_queue_says_when_coming_back_makes_sense() {
    let mut rig = rig();
    rig.submit(submit(0));
    rig.wait(100);
    rig.end(0);
    for sequence in 1..=5 {
        rig.submit(submit(sequence));
    }
    let actions = rig.submit(submit(9));
    // Four wait and one more start must follow, 100 ms each, and a quarter of spread at most.
    let wait_ms = retry_at(&actions).flatten().expect("measured").since(rig.now.unix_ms);
    assert!((500..=625).contains(&wait_ms), "{wait_ms}");
}

#[test]
fn a_drain_ends_once_after_running_work() {
    let mut rig = rig();
    rig.submit(submit(1));
    rig.chunk(1, "piece");
    let leaving = rig.step(AgentEvent::Drain);
    assert!(sent(&leaving).contains(&&ToEntry::Leaving));
    let opened = rig.step(AgentEvent::LinkOpened { link: LinkId(2), entry: ENTRY });
    assert_eq!(sent(&opened), [&ToEntry::Leaving]);
    rig.end(1);
    rig.wait(RESPONSE_RETENTION_MS - 1);
    rig.tick();
    assert_eq!(drained(&rig.log), 0, "the answer may still be fetched");
    rig.wait(1);
    rig.tick();
    rig.step(AgentEvent::Drain);
    rig.tick();
    assert_eq!(drained(&rig.log), 1);
}

#[test]
fn an_idle_agent_drains_at_once() {
    assert_eq!(drained(&rig().step(AgentEvent::Drain)), 1);
}

#[test]
fn health_shows_in_the_load() {
    let mut rig = rig();
    rig.step(AgentEvent::BackendHealth { healthy: false });
    let stamp = rig.core.snapshot(rig.now).stamp;
    let actions = rig.tell(ToAgent::Heartbeat { nonce: 5, stamp });
    let [ToEntry::HeartbeatAck { nonce: 5, load, .. }] = sent(&actions)[..] else {
        panic!("{actions:?}")
    };
    assert_eq!(load.state, AgentState::BackendDown);
}

#[test]
fn demand_is_summed_over_entries_heard_lately() {
    let mut rig = rig();
    rig.step(AgentEvent::LinkOpened { link: LinkId(2), entry: Incarnation(200) });
    let demand = |requests_per_s| {
        ToAgent::Demand(vec![TeamDemand { team: TeamId::new("hog"), requests_per_s }])
    };
    rig.tell(demand(3.0));
    let both = rig.tell_on(LinkId(2), demand(4.0));
    rig.wait(DEMAND_TTL_MS);
    let one = rig.tell_on(LinkId(2), demand(f32::NAN));
    for (actions, requests_per_s, entries) in [(both, 7.0, 2), (one, 0.0, 1)] {
        let [ToEntry::Totals(totals)] = sent(&actions)[..] else { panic!("{actions:?}") };
        assert_eq!((totals[0].requests_per_s, totals[0].entries), (requests_per_s, entries));
    }
}

struct ProofCase {
    name: &'static str,
    /// Brings the agent to its state and returns the key.
    prepare: fn(&mut Rig) -> KeyDigest,
    runs: bool,
}

const PROOFS: &[ProofCase] = &[
    ProofCase {
        name: "plain key, fresh agent",
        prepare: |_| key_at(&document(), "lodge", "b0"),
        runs: false,
    },
    ProofCase {
        name: "plain key, horizon over",
        prepare: |rig| {
            let memory_ms = u64::from(KEY_HORIZON_MS) + u64::from(MAX_DEADLINE_MS);
            rig.wait(ADOPTION_SPREAD_MS + memory_ms);
            key_at(&document(), "lodge", "b0")
        },
        runs: true,
    },
    ProofCase {
        name: "key made safely after the start",
        prepare: |rig| {
            rig.wait(ADOPTION_SPREAD_MS + 2 * CLOCK_SKEW_BOUND_MS);
            stamped_key_at(&document(), "lodge", "b0", rig.now.unix_ms.0)
        },
        runs: true,
    },
    ProofCase {
        name: "key made too close to the start",
        prepare: |rig| {
            rig.wait(ADOPTION_SPREAD_MS + 2 * CLOCK_SKEW_BOUND_MS);
            stamped_key_at(&document(), "lodge", "b0", rig.now.unix_ms.0 - 1)
        },
        runs: false,
    },
    ProofCase {
        name: "a change that leaves the key at home",
        prepare: |rig| {
            rig.wait(WARM_MS);
            let mut after = document();
            after.routes[1] = route("lodge", false, &["b0", "b1", "b2"]);
            let key = keys_at(&document(), "lodge", "b0")
                .find(|key| keys_at(&after, "lodge", "b0").any(|other| other == *key));
            rig.adopt(after);
            key.expect("most keys stay")
        },
        runs: true,
    },
    ProofCase {
        name: "away and back",
        prepare: |rig| {
            rig.wait(WARM_MS);
            let mut away = document();
            away.routes[1] = route("lodge", false, &["b1"]);
            rig.adopt(away);
            rig.wait(1_000);
            rig.adopt(document());
            key_at(&document(), "lodge", "b0")
        },
        runs: false,
    },
    ProofCase {
        name: "a renamed route whose requests had another home",
        prepare: |rig| {
            let mut before = document();
            before.routes[1] = route("file", false, &["b1"]);
            rig.adopt(before);
            rig.wait(WARM_MS);
            rig.tick();
            rig.adopt(document());
            key_at(&document(), "lodge", "b0")
        },
        runs: false,
    },
    ProofCase {
        name: "a change that concerns no route",
        prepare: |rig| {
            rig.wait(WARM_MS);
            let mut after = document();
            after.teams.pop();
            rig.adopt(after);
            key_at(&document(), "lodge", "b0")
        },
        runs: true,
    },
    ProofCase {
        name: "its run failed before the backend server got a byte",
        prepare: |rig| {
            rig.wait(WARM_MS);
            let key = key_at(&document(), "lodge", "b0");
            rig.submit(lodge(50, key, rig.now));
            rig.fail(50, Verdict::NotRun);
            key
        },
        runs: true,
    },
    ProofCase {
        name: "its run failed with an unknown outcome",
        prepare: |rig| {
            rig.wait(WARM_MS);
            let key = key_at(&document(), "lodge", "b0");
            rig.submit(lodge(50, key, rig.now));
            rig.fail(50, Verdict::MayHaveRun);
            key
        },
        runs: false,
    },
    ProofCase {
        name: "its horizon is over",
        prepare: |rig| {
            rig.wait(WARM_MS);
            let key = key_at(&document(), "lodge", "b0");
            rig.submit(lodge(50, key, rig.now));
            rig.end(50);
            rig.wait(u64::from(KEY_HORIZON_MS));
            key
        },
        runs: true,
    },
];

#[test]
fn a_non_idempotent_key_runs_only_when_no_earlier_run_is_possible() {
    for case in PROOFS {
        let mut rig = rig();
        let key = (case.prepare)(&mut rig);
        let actions = rig.submit(lodge(1, key, rig.now));
        assert_eq!(rig.starts(1) == 1, case.runs, "{}", case.name);
        let expected = (!case.runs).then_some(Verdict::MayHaveRun);
        assert_eq!(key_used(&actions), expected, "{}", case.name);
    }
}

#[test]
fn an_idempotent_key_runs_again_when_its_answer_is_lost() {
    let mut rig = rig();
    let key = key_at(&document(), "read", "b0");
    rig.submit(Submit { key: Some(key), ..submit(1) });
    rig.fail(1, Verdict::MayHaveRun);
    rig.submit(Submit { key: Some(key), ..submit(2) });
    assert_eq!((rig.starts(1), rig.starts(2)), (1, 1));
}

#[test]
fn a_key_says_when_it_was_made_only_as_a_uuid_of_version_7() {
    let made = |key: &str| KeyDigest::of(&TeamId::new("hog"), key).created();
    assert_eq!(made("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"), Some(UnixMs(0x017F_22E2_79B0)));
    for plain in [
        "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
        "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
        "017f22e279b07cc398c4dc0c0c07398f",
        "017f22e2-79b0-7cc3-98c4-dc0c0c07398é",
        "order 17",
        "",
    ] {
        assert_eq!(made(plain), None, "{plain}");
    }
    let of = |team: &str, key: &str| KeyDigest::of(&TeamId::new(team), key);
    assert_ne!(of("hog", "k"), of("mouse", "k"));
    assert_ne!(of("ab", "c"), of("a", "bc"));
}
