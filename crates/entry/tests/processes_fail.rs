//! Real processes that are killed, frozen, cut off and drained.

mod fleet;

use fleet::{Fleet, retitled, small_document, wait_for};
use futures_util::StreamExt;
use googletest::prelude::*;
use hickorycross_config::Digest;
use hickorycross_entry::demo::BackendStandIn;
use hickorycross_standins::relay::UdpRelay;
use hickorycross_standins::{Knobs, ServiceStandIn, expected_answer};
use serde_json::{Value, json};
use std::time::Duration;

const CHAT: &str = "/v1/chat/completions";
const VERDICT: &str = "x-hickorycross-verdict";

/// Answers of half a second: long enough to fail in their midst.
const UNHURRIED: Knobs = Knobs {
    slots: 32,
    first_piece_ms: 50,
    between_pieces_ms: 20,
    latency_permille: 1000,
    failure: hickorycross_standins::Failure::None,
    healthy: true,
};
const TOKENS: u32 = 25;

fn streamed(prompt: &str, tokens: u32) -> Value {
    json!({"model": "draft", "stream": true, "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}]})
}

fn content_of(events: &str) -> String {
    events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect()
}

fn services(fleet: &Fleet) -> impl Iterator<Item = (&String, &ServiceStandIn)> {
    fleet.stage.backends.iter().filter_map(|(name, backend)| match backend {
        BackendStandIn::Service(service) => Some((name, service)),
        BackendStandIn::Engine(_) => None,
    })
}

/// How often a body was lodged, over all services.
fn lodged(fleet: &Fleet, body: &Value) -> u32 {
    let digest = Digest::of(body.to_string().as_bytes());
    services(fleet).map(|(_, service)| service.lodged().get(&digest).copied().unwrap_or(0)).sum()
}

/// The backend server at which something runs, when it does.
async fn busy(fleet: &Fleet) -> String {
    let mut name = String::new();
    wait_for("a request that runs", async || {
        let running = |backend: &BackendStandIn| match backend {
            BackendStandIn::Engine(engine) => engine.running(),
            BackendStandIn::Service(service) => service.running(),
        };
        let busy = fleet.stage.backends.iter().find(|(_, backend)| running(backend) > 0);
        name = busy.map(|(name, _)| name.clone()).unwrap_or_default();
        !name.is_empty()
    })
    .await;
    name
}

/// How a caller sees the end of its request.
#[derive(Debug, PartialEq)]
enum Outcome {
    Whole,
    Refused(String),
    CutOff,
}

async fn outcome(answer: reqwest::Response) -> Outcome {
    let verdict = answer.headers().get(VERDICT).and_then(|value| value.to_str().ok());
    if let Some(verdict) = verdict {
        return Outcome::Refused(verdict.to_owned());
    }
    if answer.bytes().await.is_ok() { Outcome::Whole } else { Outcome::CutOff }
}

// Symptom: an application is lodged twice, or its caller waits in vain.
// Sequence: the agent is killed while the service runs a non-idempotent request; the entry loses
// the link, finds another incarnation or nobody, and cannot know whether the request ran.
// Cause: an entry that tries again, or says "not run", without proof.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_agent_leaves_a_lodging_in_doubt_and_never_twice() -> googletest::Result<()> {
    let mut fleet =
        Fleet::start(&small_document(), 1, Knobs { first_piece_ms: 600, ..UNHURRIED }).await;
    let body = json!({"case": 1});
    let asked = tokio::spawn(fleet.post(0, "clerks", "/cases/applications", &body).send());
    let name = busy(&fleet).await;
    fleet.agents.get_mut(&name).or_fail()?.kill();
    let answer = asked.await.or_fail()?.or_fail()?;
    expect_that!(outcome(answer).await, not(eq(&Outcome::Whole)));
    expect_that!(lodged(&fleet, &body), le(1));
    Ok(())
}

// Symptom: a caller's answer breaks off although other backend servers could give it.
// Sequence: the agent freezes before the answer's beginning; its acknowledgements stop; the entry
// opens a fresh link, which is not answered either, and gives the idempotent request to another.
// Cause: a link judged by the absence of errors instead of answers.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_agent_costs_an_idempotent_request_no_answer() -> googletest::Result<()> {
    let fleet =
        Fleet::start(&small_document(), 1, Knobs { first_piece_ms: 1500, ..UNHURRIED }).await;
    let asked = tokio::spawn(fleet.post(0, "clerks", CHAT, &streamed("frozen", 3)).send());
    let name = busy(&fleet).await;
    fleet.agents[&name].freeze();
    let answer = asked.await.or_fail()?.or_fail()?;
    expect_that!(answer.status().as_u16(), eq(200));
    let events = answer.text().await.or_fail()?;
    expect_that!(content_of(&events), eq(&expected_answer("draft", "frozen", 3)));
    fleet.agents[&name].thaw();
    Ok(())
}

// Symptom: answers hang until their deadline beside healthy processes.
// Sequence: in the midst of streams something between entry and agent forgets the open
// connections and swallows what they carry; new connections work.
// Cause: waiting on a connection that will never report an error.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn silent_links_cost_no_answer() -> googletest::Result<()> {
    let fleet = Fleet::start(&small_document(), 1, UNHURRIED).await;
    let asked: Vec<_> = (0..8)
        .map(|number| {
            let request = fleet.post(0, "clerks", CHAT, &streamed(&number.to_string(), 3 * TOKENS));
            tokio::spawn(async move { request.send().await?.text().await })
        })
        .collect();
    busy(&fleet).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.relays.values().for_each(UdpRelay::swallow_open_flows);
    for (number, answer) in asked.into_iter().enumerate() {
        let events = answer.await.or_fail()?.or_fail()?;
        let expected = expected_answer("draft", &number.to_string(), 3 * TOKENS);
        expect_that!(content_of(&events), eq(&expected), "request {number}");
        expect_that!(events.trim_end(), ends_with("data: [DONE]"));
    }
    Ok(())
}

// Symptom: limits and backend servers of an earlier document come back.
// Sequence: revision 2 is in force; the platform's service is restored from a backup and offers
// revision 1, then the same revision 2 with another content; a new entry starts beside it.
// Cause: a process that takes whatever it reads last.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_document_never_reverts() -> googletest::Result<()> {
    let document = small_document();
    let mut fleet = Fleet::start(&document, 2, Knobs::default()).await;
    let first = fleet.status(fleet.operator_addresses()[0]).await.or_fail()?.stamp.revision;
    let second = fleet.stage.platform.publish(&retitled(&document, "second")).or_fail()?;
    expect_that!(second, gt(first));
    for address in fleet.operator_addresses() {
        fleet.wait_for_revision(address, second).await;
    }
    fleet.stage.platform.publish_at(first, &document);
    let entry = fleet.stage.entries[1].clone();
    fleet.entries[1].kill();
    fleet.entries[1] = fleet::Process::spawn(fleet::entry_program(), &entry.instance, &entry);
    fleet.wait_until_ready(entry.operator_address).await;
    fleet.stage.platform.publish_at(second, &retitled(&document, "another second"));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let digest = Digest::of(retitled(&document, "second").as_bytes());
    for address in fleet.operator_addresses() {
        let stamp = fleet.status(address).await.or_fail()?.stamp;
        expect_that!(stamp.revision, eq(second), "{address}");
        expect_that!(stamp.digest, eq(digest), "{address}");
    }
    Ok(())
}

// Symptom: a deployment cuts answers off.
// Sequence: an agent and then an entry are asked to stop while each has a long answer in progress.
// Cause: a process that ends before its last answer is out.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn planned_stops_cut_nothing() -> googletest::Result<()> {
    let mut fleet = Fleet::start(&small_document(), 2, UNHURRIED).await;
    let request = fleet.post(0, "clerks", CHAT, &streamed("long", 5 * TOKENS)).send();
    let mut pieces = request.await.or_fail()?.bytes_stream();
    let mut events = pieces.next().await.or_fail()?.or_fail()?.to_vec();
    let name = busy(&fleet).await;
    fleet.agents[&name].terminate();
    fleet.entries[0].terminate();
    while let Some(piece) = pieces.next().await {
        events.extend_from_slice(&piece.or_fail()?);
    }
    let events = String::from_utf8(events).or_fail()?;
    expect_that!(content_of(&events), eq(&expected_answer("draft", "long", 5 * TOKENS)));
    expect_that!(events.trim_end(), ends_with("data: [DONE]"));
    let agent = fleet.agents.get_mut(&name).or_fail()?;
    wait_for("the agent's end", async || agent.ended().is_some()).await;
    expect_that!(agent.ended().or_fail()?.code(), some(eq(0)));
    let entry = &mut fleet.entries[0];
    wait_for("the entry's end", async || entry.ended().is_some()).await;
    expect_that!(entry.ended().or_fail()?.code(), some(eq(0)));
    for number in 0..10 {
        let asked = fleet.post(1, "clerks", CHAT, &streamed(&number.to_string(), 2));
        expect_that!(asked.send().await.or_fail()?.status().as_u16(), eq(200));
    }
    Ok(())
}

// Symptom: two agents give orders to one backend server.
// Sequence: a supervisor starts a second agent while the first still runs.
// Cause: nothing that both cannot hold.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_second_agent_does_not_start() -> googletest::Result<()> {
    let fleet = Fleet::start(&small_document(), 0, Knobs::default()).await;
    let settings = &fleet.stage.agents[0];
    let mut second = fleet::Process::spawn(&fleet::agent_program(), &settings.instance, settings);
    wait_for("the second agent's end", async || second.ended().is_some()).await;
    expect_that!(second.ended().or_fail()?.code(), some(eq(1)));
    Ok(())
}

// Symptom: a platform that is away takes the fleet with it.
// Sequence: the configuration service and the instance list answer nothing for a while.
// Cause: serving that needs the platform in the path of a request.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_platform_is_away() -> googletest::Result<()> {
    let document = small_document();
    let fleet = Fleet::start(&document, 1, Knobs::default()).await;
    fleet.stage.platform.silence().await;
    for number in 0..20 {
        let asked = fleet.post(0, "clerks", CHAT, &streamed(&number.to_string(), 2));
        expect_that!(asked.send().await.or_fail()?.status().as_u16(), eq(200));
    }
    fleet.stage.platform.heal().await;
    let revision = fleet.stage.platform.publish(&retitled(&document, "after")).or_fail()?;
    for address in fleet.operator_addresses() {
        fleet.wait_for_revision(address, revision).await;
    }
    Ok(())
}

// Symptom: an agent that runs nothing refuses work for a full queue, and its planned stop never
// ends.
// Sequence: a caller leaves in the midst of a stream; the entry cancels; the agent breaks the call
// to its backend server off; the agent is asked to stop.
// Cause: the broken call reported no end, so that its slot stayed taken for ever.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_gives_its_slot_back() -> googletest::Result<()> {
    let mut fleet = Fleet::start(&small_document(), 1, UNHURRIED).await;
    let request = fleet.post(0, "clerks", CHAT, &streamed("left", 100 * TOKENS)).send();
    let mut pieces = request.await.or_fail()?.bytes_stream();
    pieces.next().await.or_fail()?.or_fail()?;
    let name = busy(&fleet).await;
    drop(pieces);
    let agent = fleet.agents.get_mut(&name).or_fail()?;
    agent.terminate();
    wait_for("the agent's end", async || agent.ended().is_some()).await;
    expect_that!(agent.ended().or_fail()?.code(), some(eq(0)));
    Ok(())
}

// Symptom: callers get 503 although every agent is ready.
// Sequence: an agent is drained and started again on its instance, which the list names all the
// while; then the only other backend server of the route goes away.
// Cause: an entry that sends nothing to an agent that left, and so never meets its successor.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_upgraded_in_place_gets_work_again() -> googletest::Result<()> {
    let mut fleet = Fleet::start(&small_document(), 1, Knobs::default()).await;
    for number in 0..4 {
        let asked = fleet.post(0, "clerks", "/cases/applications", &json!({"case": number}));
        expect_that!(asked.send().await.or_fail()?.status().is_success(), eq(true));
    }
    let settings = fleet.stage.agents.iter().find(|one| one.backend_server.as_str() == "cases-1");
    let settings = settings.or_fail()?.clone();
    let agent = fleet.agents.get_mut("cases-1").or_fail()?;
    agent.terminate();
    wait_for("the agent's end", async || agent.ended().is_some()).await;
    *agent = fleet::Process::spawn(&fleet::agent_program(), &settings.instance, &settings);
    fleet.wait_until_ready(settings.operator_address).await;
    fleet.agents.get_mut("cases-2").or_fail()?.terminate();
    wait_for("work for the successor", async || {
        let asked = fleet.post(0, "clerks", "/cases/applications", &json!({"case": "next"}));
        asked.send().await.is_ok_and(|answer| answer.status().is_success())
    })
    .await;
    Ok(())
}
