//! Each mechanism of the agent against the failure it is meant for: the scenario must go well with
//! the mechanism and be seen to go wrong without it.

mod agent_rig;

use agent_rig::*;
use hickorycross_core::agent::{
    AgentAction, AgentEvent, CLOCK_SKEW_BOUND_MS, Mechanisms, ORPHAN_TIMEOUT_MS,
    RESPONSE_RETENTION_MS, RETAINED_BYTES_PER_RESPONSE,
};
use hickorycross_core::message::{RefusalReason, RevokeOutcome, Submit, ToAgent};
use hickorycross_core::{Incarnation, LinkId, UnixMs, Verdict};
use std::sync::Arc;

type Seen = Result<(), String>;

struct Case {
    mechanism: Mechanism,
    scenario: fn(Mechanisms) -> Seen,
}

macro_rules! cases {
    ($($field:ident => $scenario:ident,)+) => {
        &[$(Case {
            mechanism: Mechanism::new(stringify!($field), |mechanisms| mechanisms.$field = false),
            scenario: $scenario,
        }),+]
    };
}

const CASES: &[Case] = cases!(
    duplicate_detection => doubled,
    refusal_records => late_copy,
    tombstones => overtaken_submit,
    forgotten_watermark => forgotten,
    deadline_recheck => paused,
    expiry_sweep => expired_in_queue,
    incarnation_check => successor,
    owner_check => stranger,
    eviction => full_of_bronze,
    team_fairness => hogging_team,
    tier_floors => gold_flood,
    orphan_abort => dead_entry,
    retention => reattached,
    retention_cap => silent_reader,
    key_table => repeated_key,
    key_content_check => reused_key,
    key_home_check => foreign_key,
    key_recheck_at_start => twins,
    unknown_keys_after_start => restarted,
    key_home_changes => moved_home,
    conflicting_documents => rival_home,
    key_future_check => fast_clock,
    key_check_before_refusal => told_not_run,
    keep_keyed_runs => caller_left,
    refuse_queued_on_drain => drained_queue,
    refuse_queued_on_backend_down => backend_died,
    drain_waits_for_acknowledgement => unacknowledged_end,
    start_guard => faulty_recheck,
);

#[test]
fn each_mechanism_prevents_its_failure() {
    for Case { mechanism, scenario } in CASES {
        assert_eq!(scenario(Mechanisms::default()), Ok(()), "{} is on", mechanism.name);
        let seen = scenario(mechanism.without(Mechanisms::default()));
        assert!(seen.is_err(), "{} is off and nothing was seen", mechanism.name);
        println!("{}: {}", mechanism.name, seen.unwrap_err());
    }
}

fn check(holds: bool, otherwise: &str) -> Seen {
    if holds { Ok(()) } else { Err(otherwise.to_owned()) }
}

// Symptom: one request lodges two cases.
// Sequence: the submit is sent; the path doubles it; the copy comes while the first is running.
// Cause: a copy taken for a new attempt.
fn doubled(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    rig.submit(submit(1));
    let copy = rig.submit(submit(1));
    rig.end(1);
    rig.tick();
    check(accepted(&copy, 1) && rig.starts(1) == 1 && violations(&rig.log) == 0, "run again")
}

// Symptom: a request that was refused as not run, and was run elsewhere, runs here as well.
// Sequence: the queue is full; the submit is refused; a place frees; a late copy comes.
// Cause: the copy judged anew, although the refusal had promised that it will not run.
fn late_copy(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    for sequence in 0..5 {
        rig.submit(submit(sequence));
    }
    check(refused(&rig.submit(submit(9)), 9) == Some(RefusalReason::QueueFull), "taken")?;
    rig.end(0);
    let copy = rig.submit(submit(9));
    check(refused(&copy, 9) == Some(RefusalReason::QueueFull), "taken after its refusal")
}

// Symptom: a revoked request runs although its revocation was confirmed as not run.
// Sequence: the submit is held up; the entry revokes on a fresh link; the submit arrives.
// Cause: nothing remembered the revocation of an attempt that was never seen.
fn overtaken_submit(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    let outcome = revoked(&rig.revoke(1, submit(1).deadline));
    check(outcome == Some(RevokeOutcome::Tombstoned), "not confirmed")?;
    let late = rig.submit(submit(1));
    check(refused(&late, 1) == Some(RefusalReason::Revoked), "run after its revocation")
}

// Symptom: a request that ran is reported as not run.
// Sequence: it runs and ends; its record is forgotten; the entry, paused meanwhile, revokes it.
// Cause: no record taken for proof that it never came.
fn forgotten(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    rig.submit(submit(1));
    rig.end(1);
    rig.wait(10_000 + CLOCK_SKEW_BOUND_MS + RESPONSE_RETENTION_MS);
    rig.tick();
    check(rig.core.snapshot(rig.now).attempts == 0, "record kept for ever")?;
    let actions = rig.revoke(1, submit(1).deadline);
    check(failed(&actions) == Some(Verdict::MayHaveRun), "said to be not run")
}

// Symptom: a request starts after its deadline, when its caller has long been told otherwise.
// Sequence: it waits; the process is paused beyond the deadline; it wakes to an event that frees a
// slot, before any tick.
// Cause: the deadline checked on arrival and on ticks alone.
fn paused(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    rig.submit(submit(1));
    rig.submit(submit(2));
    rig.wait(10_000);
    let actions = rig.end(1);
    check(violations(&actions) == 0, "only the guard stopped the start")?;
    check(refused(&actions, 2) == Some(RefusalReason::Expired), "started after its deadline")
}

// Symptom: a caller waits for its refusal long after the deadline.
// Sequence: a request waits behind a long run; its deadline passes.
// Cause: queued work looked at only when a slot frees.
fn expired_in_queue(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    rig.submit(submit(1));
    rig.submit(submit(2));
    rig.wait(10_000);
    check(refused(&rig.tick(), 2) == Some(RefusalReason::Expired), "left waiting")
}

// Symptom: a request runs twice across a restart.
// Sequence: the agent restarts; a submit meant for its former life reaches the new one.
// Cause: the new life cannot know what the former one did with it.
fn successor(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    let actions = rig.submit(Submit { agent: Incarnation(6), ..submit(1) });
    check(refused(&actions, 1) == Some(RefusalReason::WrongIncarnation), "taken")
}

// Symptom: a request is aborted for which its caller still waits.
// Sequence: another entry sends a cancellation with this entry's attempt.
// Cause: attempts looked up without asking whose they are.
fn stranger(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    rig.submit(submit(1));
    rig.step(AgentEvent::LinkOpened { link: LinkId(2), entry: Incarnation(200) });
    let actions = rig.tell_on(LinkId(2), ToAgent::Cancel { attempt: attempt(1) });
    check(!aborted(&actions), "aborted by a stranger")
}

// Symptom: a paying tier is refused while cheaper work waits.
// Sequence: the queue fills with bronze; gold arrives.
// Cause: places given in order of arrival.
fn full_of_bronze(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    for sequence in 0..5 {
        rig.submit(Submit { tier: "bronze".into(), ..submit(sequence) });
    }
    let actions = rig.submit(submit(9));
    check(accepted(&actions, 9), "gold refused")?;
    check(refused(&actions, 4) == Some(RefusalReason::QueueFull), "no bronze handed back")
}

// Symptom: one team's requests expire while another team's are answered.
// Sequence: team hog keeps the queue full with early deadlines; team mouse sends one request.
// Cause: order by deadline alone, and places given in order of arrival.
fn hogging_team(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    for sequence in 0..5 {
        rig.submit(Submit { deadline: UnixMs(START_MS + 5_000), ..submit(sequence) });
    }
    let mouse = rig.submit(Submit { team: "mouse".into(), ..submit(9) });
    check(accepted(&mouse, 9), "kept out of the queue")?;
    rig.wait(10);
    rig.end(0);
    check(rig.starts(9) == 1, "left behind the other team's")
}

// Symptom: a lower tier gets nothing for as long as a higher one is busy.
// Sequence: gold keeps the queue full; silver, with a floor of 100 in 1000, offers work.
// Cause: order and eviction by rank alone.
fn gold_flood(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    let mut running = 0;
    rig.submit(submit(0));
    for round in 1..=200 {
        for tier in ["gold", "gold", "silver"] {
            let sequence = round * 10 + u64::from(tier == "silver");
            rig.submit(Submit { tier: tier.into(), ..submit(sequence) });
        }
        rig.wait(10);
        let next = started(&rig.end(running));
        running = next.first().ok_or("nothing started")?.request.sequence;
    }
    let silver = started(&rig.log).iter().filter(|id| id.request.sequence % 10 == 1).count();
    check((18..=22).contains(&silver), &format!("{silver} of 200 starts were silver"))
}

// Symptom: load without callers after an entry died.
// Sequence: a request runs; its entry dies, the link closes; nobody attaches.
// Cause: nothing bounds how long a run goes on without a reader.
fn dead_entry(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    rig.submit(submit(1));
    rig.step(AgentEvent::LinkClosed { link: LINK });
    rig.wait(ORPHAN_TIMEOUT_MS - 1);
    check(!aborted(&rig.tick()), "aborted while its entry may come back")?;
    rig.wait(1);
    check(aborted(&rig.tick()), "runs on for nobody")
}

// Symptom: an answer is lost with its link, although the run went well.
// Sequence: one chunk is acknowledged, two are under way when the link closes; the run ends; the
// entry attaches on a fresh link.
// Cause: chunks dropped once sent.
fn reattached(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    rig.submit(submit(1));
    for piece in ["one", "two", "three"] {
        rig.chunk(1, piece);
    }
    rig.received(1, 1);
    rig.step(AgentEvent::LinkClosed { link: LINK });
    rig.end(1);
    rig.step(AgentEvent::LinkOpened { link: LinkId(2), entry: ENTRY });
    let actions = rig.attach(LinkId(2), 1, 1);
    check(chunks(&actions) == [1, 2] && end_counts(&actions) == Some((3, 11)), "answer lost")
}

// Symptom: the process is killed for its memory, with every run in it.
// Sequence: an entry stops acknowledging; its answer goes on.
// Cause: nothing bounds what is held for it.
fn silent_reader(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    rig.submit(submit(1));
    let piece = vec![0_u8; 1 << 20];
    let pieces = 3 * RETAINED_BYTES_PER_RESPONSE / piece.len() as u64;
    for _ in 0..pieces {
        rig.chunk(1, piece.clone());
    }
    let held = rig.core.snapshot(rig.now).retained_bytes;
    check(held <= RETAINED_BYTES_PER_RESPONSE, &format!("{held} bytes held"))?;
    check(failed(&rig.attach(LINK, 1, 0)) == Some(Verdict::Ran), "attached with a gap")
}

// Symptom: a caller that repeats its key lodges two cases.
// Sequence: the answer is whole but lost on its way; the caller repeats the request.
// Cause: the key not remembered.
fn repeated_key(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::warm(mechanisms);
    let key = key_at(&document(), "lodge", "b0");
    rig.submit(lodge(1, key, rig.now));
    rig.chunk(1, "case 42");
    rig.end(1);
    rig.received(1, 2);
    rig.wait(u64::from(KEY_HORIZON_MS) - 1);
    rig.tick();
    let repeat = rig.submit(lodge(2, key, rig.now));
    check(rig.starts(2) == 0 && violations(&rig.log) == 0, "run again")?;
    check(chunks(&repeat) == [0] && end_counts(&repeat) == Some((1, 7)), "answer not repeated")
}

// Symptom: a caller gets the answer to another request.
// Sequence: it uses one key for two requests.
// Cause: the key looked up without comparing the request.
fn reused_key(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::warm(mechanisms);
    let key = key_at(&document(), "lodge", "b0");
    rig.submit(lodge(1, key, rig.now));
    let other = rig.submit(Submit { content: 2, ..lodge(2, key, rig.now) });
    check(refused(&other, 2) == Some(RefusalReason::KeyConflict), "taken for the same request")
}

// Symptom: a repeated key runs at two backend servers.
// Sequence: an entry on an older revision takes this agent for the key's home.
// Cause: the home not checked under the agent's own revision.
fn foreign_key(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::warm(mechanisms);
    let key = key_at(&document(), "lodge", "b1");
    let actions = rig.submit(lodge(1, key, rig.now));
    check(refused(&actions, 1) == Some(RefusalReason::NotKeyHome), "taken")
}

// Symptom: two copies of a request, sent at once by an impatient caller, both run.
// Sequence: both wait in the queue before either has used the key.
// Cause: the key looked at on arrival alone.
fn twins(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::warm(mechanisms);
    let mut keys = keys_at(&document(), "lodge", "b0").collect::<Vec<_>>().into_iter();
    let (busy, key) = (keys.next().ok_or("no key")?, keys.next().ok_or("no key")?);
    rig.submit(lodge(1, busy, rig.now));
    rig.submit(lodge(2, key, rig.now));
    rig.submit(lodge(3, key, rig.now));
    rig.end(1);
    rig.chunk(2, "case 43");
    rig.end(2);
    check(rig.starts(2) + rig.starts(3) == 1 && violations(&rig.log) == 0, "both started")?;
    check(rig.core.counters().key_replays == 1, "the second got no answer")
}

// Symptom: a repeated key runs twice across a restart.
// Sequence: the former life of the agent ran the request and died; the caller repeats it.
// Cause: an empty table taken for proof that the key is unused.
fn restarted(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    rig.wait(u64::from(KEY_HORIZON_MS) - 1);
    rig.tick();
    let key = key_at(&document(), "lodge", "b0");
    let actions = rig.submit(lodge(1, key, rig.now));
    check(key_used(&actions) == Some(Verdict::MayHaveRun) && rig.starts(1) == 0, "run")
}

// Symptom: a repeated key runs twice across a change of the document.
// Sequence: the key ran at b2; the document replaces b2 by b0; the caller repeats the request.
// Cause: the new home takes its empty table for proof.
fn moved_home(mechanisms: Mechanisms) -> Seen {
    let mut before = document();
    before.routes[1] = route("lodge", false, &["b1", "b2"]);
    let key = key_at(&before, "lodge", "b2");
    let mut rig = Rig::with_document(mechanisms, before);
    rig.wait(WARM_MS);
    rig.tick();
    let mut after = document();
    after.routes[1] = route("lodge", false, &["b0"]);
    rig.adopt(after);
    let actions = rig.submit(lodge(1, key, rig.now));
    check(key_used(&actions) == Some(Verdict::MayHaveRun) && rig.starts(1) == 0, "run")
}

// Symptom: a key that tells its moment of creation runs at two agents, seconds apart.
// Sequence: the platform publishes another content of the revision in force; an agent restarts and
// takes it, while the others keep what they hold; a key runs at its home by the old content; the
// next document leaves its home where the new content has it, and a caller repeats the key there.
// Cause: the restarted agent knew no other content of the revision, and so no other home.
fn rival_home(mechanisms: Mechanisms) -> Seen {
    let mut held_elsewhere = document();
    held_elsewhere.routes[1] = route("lodge", false, &["b1", "b2"]);
    let mut rig = Rig::warm(mechanisms);
    rig.step(AgentEvent::ConflictingDocument { document: Arc::new(held_elsewhere) });
    let key = stamped_key_at(&document(), "lodge", "b0", rig.now.unix_ms.0);
    let before = rig.submit(lodge(1, key, rig.now));
    let mut after = document();
    after.title = "a newer revision".to_owned();
    rig.adopt(after);
    let after = rig.submit(lodge(2, key, rig.now));
    let unknown = |actions: &[AgentAction]| key_used(actions) == Some(Verdict::MayHaveRun);
    check(unknown(&before) && unknown(&after), "run")
}

// Symptom: a repeated key runs twice across a restart although the key says when it was made.
// Sequence: the caller's clock runs a minute ahead; the request runs; the agent restarts; the
// repeat's key looks younger than the restart.
// Cause: the first run happened before the moment that the key names.
fn fast_clock(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::warm(mechanisms);
    let made = rig.now.unix_ms.0 + 60_000;
    let key = stamped_key_at(&document(), "lodge", "b0", made);
    let first = rig.submit(lodge(1, key, rig.now));
    check(refused(&first, 1) == Some(RefusalReason::KeyNotYetValid), "run before its moment")
}

// Symptom: a caller is told that its request was not run and lodges it again under a new key.
// Sequence: its first try was cut off and may have run; the backend server is marked as down; it
// repeats the key. A second caller's repeat waits beside its running first try when the agent
// drains.
// Cause: the state of the agent looked at before the key.
fn told_not_run(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::warm(mechanisms);
    let mut keys = keys_at(&document(), "lodge", "b0").collect::<Vec<_>>().into_iter();
    let (cut_off, twin) = (keys.next().ok_or("no key")?, keys.next().ok_or("no key")?);
    rig.submit(lodge(1, cut_off, rig.now));
    rig.submit(lodge(2, twin, rig.now));
    rig.submit(lodge(3, twin, rig.now));
    rig.fail(1, Verdict::MayHaveRun);
    let drained = rig.step(AgentEvent::Drain);
    check(key_used(&drained) == Some(Verdict::MayHaveRun), "the twin was told not run")?;
    let repeat = rig.submit(lodge(4, cut_off, rig.now));
    check(key_used(&repeat) == Some(Verdict::MayHaveRun), "told not run")
}

// Symptom: a case is half lodged, and the repeat of its key cannot tell.
// Sequence: the caller's connection breaks; its entry cancels; the caller repeats the request.
// Cause: the run aborted although its key makes its answer reachable.
fn caller_left(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::warm(mechanisms);
    let key = key_at(&document(), "lodge", "b0");
    rig.submit(lodge(1, key, rig.now));
    let cancelled = rig.tell(ToAgent::Cancel { attempt: attempt(1) });
    check(!aborted(&cancelled), "aborted")?;
    rig.submit(lodge(2, key, rig.now));
    let end = rig.end(1);
    check(end_counts(&end) == Some((0, 0)) && rig.starts(2) == 0, "repeat not answered")
}

// Symptom: a planned stop cuts requests that waited.
// Sequence: a request waits; the agent drains.
// Cause: queued work neither started nor handed back.
fn drained_queue(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    rig.submit(submit(1));
    rig.submit(submit(2));
    let actions = rig.step(AgentEvent::Drain);
    check(refused(&actions, 2) == Some(RefusalReason::Leaving), "kept")
}

// Symptom: requests wait for a backend server that is down until they expire.
// Sequence: one runs, one waits; the health check fails.
// Cause: queued work kept although another backend server could take it.
fn backend_died(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    rig.submit(submit(1));
    rig.submit(submit(2));
    let actions = rig.step(AgentEvent::BackendHealth { healthy: false });
    check(refused(&actions, 2) == Some(RefusalReason::BackendDown), "kept")?;
    check(failed(&rig.fail(1, Verdict::MayHaveRun)) == Some(Verdict::MayHaveRun), "run forgotten")
}

// Symptom: a planned stop cuts an answer short just before its end.
// Sequence: the agent drains while a request runs; the run ends; the link had gone silent, so the
// entry has to fetch the end on a fresh one.
// Cause: the agent stops once nothing runs, with an answer that nobody acknowledged.
fn unacknowledged_end(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(mechanisms);
    rig.submit(submit(1));
    rig.step(AgentEvent::Drain);
    rig.chunk(1, "case 44");
    check(drained(&rig.end(1)) == 0, "stopped before the acknowledgement")?;
    check(
        drained(&rig.received(1, 1)) == 0,
        "stopped on an acknowledgement that may have crossed",
    )?;
    check(drained(&rig.received(1, 2)) == 1, "not stopped after the acknowledgement")
}

// Symptom: a request starts after its deadline, and nothing in the process notices.
// Sequence: as in `paused`, with the check before the start broken.
// Cause: one check alone stands between a fault of ours and the invariant.
fn faulty_recheck(mechanisms: Mechanisms) -> Seen {
    let mut rig = Rig::new(Mechanisms { deadline_recheck: false, ..mechanisms });
    rig.submit(submit(1));
    rig.submit(submit(2));
    rig.wait(10_000);
    let actions = rig.end(1);
    check(rig.starts(2) == 0 && violations(&actions) == 1, "started unnoticed")
}
