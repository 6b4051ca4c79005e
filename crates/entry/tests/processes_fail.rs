//! Tests with real processes that are killed, suspended, disconnected and drained.

mod fleet;

use fleet::{Fleet, small_document, wait_for, with_title};
use futures_util::StreamExt;
use googletest::prelude::*;
use hickorycross_config::Digest;
use hickorycross_entry::demo::BackendStandIn;
use hickorycross_standins::relay::UdpRelay;
use hickorycross_standins::{Knobs, ServiceStandIn, expected_answer};
use serde_json::{Value, json};
use std::time::Duration;

const CHAT_PATH: &str = "/v1/chat/completions";
const VERDICT_HEADER: &str = "x-hickorycross-verdict";

/// Answers take half a second, long enough to interrupt them.
const SLOW_ANSWERS: Knobs = Knobs {
    slots: 32,
    first_piece_ms: 50,
    between_pieces_ms: 20,
    latency_permille: 1000,
    failure: hickorycross_standins::Failure::None,
    healthy: true,
};
const TOKENS: u32 = 25;

fn streaming_request(prompt: &str, tokens: u32) -> Value {
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

/// Returns how often a body was lodged, summed over all services.
fn lodged_count(fleet: &Fleet, body: &Value) -> u32 {
    let digest = Digest::of(body.to_string().as_bytes());
    services(fleet).map(|(_, service)| service.lodged().get(&digest).copied().unwrap_or(0)).sum()
}

/// Waits until a backend server runs a request, and returns its name.
async fn wait_for_busy_backend(fleet: &Fleet) -> String {
    let mut name = String::new();
    wait_for("a running request", async || {
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

/// The end of a request, as its caller observes it.
#[derive(Debug, PartialEq)]
enum Outcome {
    Complete,
    Refused(String),
    CutOff,
}

async fn outcome_of(answer: reqwest::Response) -> Outcome {
    let verdict = answer.headers().get(VERDICT_HEADER).and_then(|value| value.to_str().ok());
    if let Some(verdict) = verdict {
        return Outcome::Refused(verdict.to_owned());
    }
    if answer.bytes().await.is_ok() { Outcome::Complete } else { Outcome::CutOff }
}

// Guards against an application that is lodged twice, and a caller that gets no answer. The agent
// is killed while the service runs a non-idempotent request. The entry loses the link, finds
// another incarnation or none, and cannot know whether the request ran; without proof, it must
// neither retry nor report "not run".
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_agent_leaves_a_lodging_in_doubt_and_never_twice() -> googletest::Result<()> {
    let mut fleet =
        Fleet::start(&small_document(), 1, Knobs { first_piece_ms: 600, ..SLOW_ANSWERS }).await;
    let body = json!({"case": 1});
    let asked = tokio::spawn(fleet.post(0, "clerks", "/cases/applications", &body).send());
    let name = wait_for_busy_backend(&fleet).await;
    fleet.agents.get_mut(&name).or_fail()?.kill();
    let answer = asked.await.or_fail()?.or_fail()?;
    expect_that!(outcome_of(answer).await, not(eq(&Outcome::Complete)));
    expect_that!(lodged_count(&fleet, &body), le(1));
    Ok(())
}

// Guards against an answer that fails although other backend servers could give it, because a link
// counts as healthy until it reports an error. The agent is suspended before the answer begins and
// stops acknowledging; a new link isn't answered either, so the entry sends the idempotent request
// to another agent.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_agent_costs_an_idempotent_request_no_answer() -> googletest::Result<()> {
    let fleet =
        Fleet::start(&small_document(), 1, Knobs { first_piece_ms: 1500, ..SLOW_ANSWERS }).await;
    let asked =
        tokio::spawn(fleet.post(0, "clerks", CHAT_PATH, &streaming_request("frozen", 3)).send());
    let name = wait_for_busy_backend(&fleet).await;
    fleet.agents[&name].suspend();
    let answer = asked.await.or_fail()?.or_fail()?;
    expect_that!(answer.status().as_u16(), eq(200));
    let events = answer.text().await.or_fail()?;
    expect_that!(content_of(&events), eq(&expected_answer("draft", "frozen", 3)));
    fleet.agents[&name].resume();
    Ok(())
}

// Guards against answers that hang until their deadline although all processes are healthy. During
// streams, a device between entry and agent loses its connection state and drops the packets of
// open connections, which then never report an error; new connections work.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn silent_links_cost_no_answer() -> googletest::Result<()> {
    let fleet = Fleet::start(&small_document(), 1, SLOW_ANSWERS).await;
    let asked: Vec<_> = (0..8)
        .map(|number| {
            let request = fleet.post(
                0,
                "clerks",
                CHAT_PATH,
                &streaming_request(&number.to_string(), 3 * TOKENS),
            );
            tokio::spawn(async move { request.send().await?.text().await })
        })
        .collect();
    wait_for_busy_backend(&fleet).await;
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

// Guards against a return to the limits and backend servers of an earlier document, because a
// process adopts whatever it reads last. Revision 2 is active; the platform's service is restored
// from a backup and offers revision 1, then revision 2 with other content, while a new entry
// starts.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_document_never_reverts() -> googletest::Result<()> {
    let document = small_document();
    let mut fleet = Fleet::start(&document, 2, Knobs::default()).await;
    let first = fleet.status(fleet.operator_addresses()[0]).await.or_fail()?.stamp.revision;
    let second = fleet.stage.platform.publish(&with_title(&document, "second")).or_fail()?;
    expect_that!(second, gt(first));
    for address in fleet.operator_addresses() {
        fleet.wait_for_revision(address, second).await;
    }
    fleet.stage.platform.publish_at(first, &document);
    let entry = fleet.stage.entries[1].clone();
    fleet.entries[1].kill();
    fleet.entries[1] = fleet::Process::spawn(fleet::entry_program(), &entry.instance, &entry);
    fleet.wait_until_ready(entry.operator_address).await;
    fleet.stage.platform.publish_at(second, &with_title(&document, "another second"));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let digest = Digest::of(with_title(&document, "second").as_bytes());
    for address in fleet.operator_addresses() {
        let stamp = fleet.status(address).await.or_fail()?.stamp;
        expect_that!(stamp.revision, eq(second), "{address}");
        expect_that!(stamp.digest, eq(digest), "{address}");
    }
    Ok(())
}

// Guards against deployments that cut answers off: an agent and then an entry are asked to stop
// during a long answer, and a process exits before it has sent its last answer.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn planned_stops_cut_nothing() -> googletest::Result<()> {
    let mut fleet = Fleet::start(&small_document(), 2, SLOW_ANSWERS).await;
    let request = fleet.post(0, "clerks", CHAT_PATH, &streaming_request("long", 5 * TOKENS)).send();
    let mut pieces = request.await.or_fail()?.bytes_stream();
    let mut events = pieces.next().await.or_fail()?.or_fail()?.to_vec();
    let name = wait_for_busy_backend(&fleet).await;
    fleet.agents[&name].terminate();
    fleet.entries[0].terminate();
    while let Some(piece) = pieces.next().await {
        events.extend_from_slice(&piece.or_fail()?);
    }
    let events = String::from_utf8(events).or_fail()?;
    expect_that!(content_of(&events), eq(&expected_answer("draft", "long", 5 * TOKENS)));
    expect_that!(events.trim_end(), ends_with("data: [DONE]"));
    let agent = fleet.agents.get_mut(&name).or_fail()?;
    wait_for("the agent to exit", async || agent.exit_status().is_some()).await;
    expect_that!(agent.exit_status().or_fail()?.code(), some(eq(0)));
    let entry = &mut fleet.entries[0];
    wait_for("the entry to exit", async || entry.exit_status().is_some()).await;
    expect_that!(entry.exit_status().or_fail()?.code(), some(eq(0)));
    for number in 0..10 {
        let asked = fleet.post(1, "clerks", CHAT_PATH, &streaming_request(&number.to_string(), 2));
        expect_that!(asked.send().await.or_fail()?.status().as_u16(), eq(200));
    }
    Ok(())
}

// Guards against two agents that send orders to one backend server: a supervisor starts a second
// agent while the first still runs, and there is no exclusive resource that only one of them can
// hold.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_second_agent_does_not_start() -> googletest::Result<()> {
    let fleet = Fleet::start(&small_document(), 0, Knobs::default()).await;
    let settings = &fleet.stage.agents[0];
    let mut second = fleet::Process::spawn(&fleet::agent_program(), &settings.instance, settings);
    wait_for("the second agent to exit", async || second.exit_status().is_some()).await;
    expect_that!(second.exit_status().or_fail()?.code(), some(eq(1)));
    Ok(())
}

// Guards against an outage of the platform that stops the fleet: the configuration service and the
// instance list don't answer for a while, and requests depend on them.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_platform_is_away() -> googletest::Result<()> {
    let document = small_document();
    let fleet = Fleet::start(&document, 1, Knobs::default()).await;
    fleet.stage.platform.silence().await;
    for number in 0..20 {
        let asked = fleet.post(0, "clerks", CHAT_PATH, &streaming_request(&number.to_string(), 2));
        expect_that!(asked.send().await.or_fail()?.status().as_u16(), eq(200));
    }
    fleet.stage.platform.heal().await;
    let revision = fleet.stage.platform.publish(&with_title(&document, "after")).or_fail()?;
    for address in fleet.operator_addresses() {
        fleet.wait_for_revision(address, revision).await;
    }
    Ok(())
}

// Guards against a leaked slot, by which an idle agent refuses requests with a full queue and never
// finishes draining. A caller disconnects during a stream, the entry cancels, and the agent aborts
// its call to the backend server; if the aborted call does not report its end, its slot stays
// taken.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_gives_its_slot_back() -> googletest::Result<()> {
    let mut fleet = Fleet::start(&small_document(), 1, SLOW_ANSWERS).await;
    let request =
        fleet.post(0, "clerks", CHAT_PATH, &streaming_request("left", 100 * TOKENS)).send();
    let mut pieces = request.await.or_fail()?.bytes_stream();
    pieces.next().await.or_fail()?.or_fail()?;
    let name = wait_for_busy_backend(&fleet).await;
    drop(pieces);
    let agent = fleet.agents.get_mut(&name).or_fail()?;
    agent.terminate();
    wait_for("the agent to exit", async || agent.exit_status().is_some()).await;
    expect_that!(agent.exit_status().or_fail()?.code(), some(eq(0)));
    Ok(())
}

// Guards against 503 responses although all agents are ready. An agent is drained and restarted on
// its instance, which stays in the platform's list; then the route's only other backend server
// stops. An entry that sends nothing to an agent that has left never discovers its successor.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_upgraded_in_place_receives_requests_again() -> googletest::Result<()> {
    let mut fleet = Fleet::start(&small_document(), 1, Knobs::default()).await;
    for number in 0..4 {
        let asked = fleet.post(0, "clerks", "/cases/applications", &json!({"case": number}));
        expect_that!(asked.send().await.or_fail()?.status().is_success(), eq(true));
    }
    let settings =
        fleet.stage.agents.iter().find(|agent| agent.backend_server.as_str() == "cases-1");
    let settings = settings.or_fail()?.clone();
    let agent = fleet.agents.get_mut("cases-1").or_fail()?;
    agent.terminate();
    wait_for("the agent to exit", async || agent.exit_status().is_some()).await;
    *agent = fleet::Process::spawn(&fleet::agent_program(), &settings.instance, &settings);
    fleet.wait_until_ready(settings.operator_address).await;
    fleet.agents.get_mut("cases-2").or_fail()?.terminate();
    wait_for("a request to the restarted agent", async || {
        let asked = fleet.post(0, "clerks", "/cases/applications", &json!({"case": "next"}));
        asked.send().await.is_ok_and(|answer| answer.status().is_success())
    })
    .await;
    Ok(())
}
