//! The engine stand-in's model API and its failures.

use googletest::prelude::*;
use hickorycross_standins::{
    ATTEMPT_HEADER, CallState, EngineOptions, EngineStandIn, Failure, Knobs, PRIORITY_HEADER,
    expected_answer,
};
use serde_json::Value;
use std::time::Duration;

/// Wait for an answer that must not come.
const SILENCE: Duration = Duration::from_millis(300);
/// Bound on the wait for an answer that must come.
const PATIENCE: Duration = Duration::from_secs(30);

async fn engine(knobs: Knobs) -> EngineStandIn {
    let models = vec!["m".to_owned()];
    EngineStandIn::start(EngineOptions { models, knobs, ranks: None }).await.unwrap()
}

fn post(engine: &EngineStandIn, path: &str, body: &str, attempt: &str) -> reqwest::RequestBuilder {
    let url = format!("http://{}{path}", engine.address());
    reqwest::Client::new().post(url).header(ATTEMPT_HEADER, attempt).body(body.to_owned())
}

fn completion(prompt: &str, tokens: u32, stream: bool) -> String {
    format!(r#"{{"model":"m","prompt":"{prompt}","max_tokens":{tokens},"stream":{stream}}}"#)
}

/// The text of all events of a streamed answer; none without the last event.
fn text_of_events(body: &str, pointer: &str) -> Option<String> {
    let mut text = String::new();
    for event in body.split_terminator("\n\n") {
        let data = event.strip_prefix("data: ")?;
        if data == "[DONE]" {
            return Some(text);
        }
        let value: Value = serde_json::from_str(data).ok()?;
        text.push_str(value.pointer(pointer)?.as_str()?);
    }
    None
}

async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait).await.unwrap();
}

#[gtest]
#[tokio::test]
async fn answers_depend_on_the_request_alone() {
    struct Case {
        name: &'static str,
        path: &'static str,
        body: String,
        stream: bool,
        pointer: &'static str,
        text: String,
    }
    let chat = |stream: bool| {
        format!(
            r#"{{"model":"m","messages":[{{"role":"system","content":"a"}},
            {{"role":"user","content":"b"}}],"max_tokens":3,"stream":{stream}}}"#
        )
    };
    let cases = [
        Case {
            name: "whole completion",
            path: "/v1/completions",
            body: completion("p", 4, false),
            stream: false,
            pointer: "/choices/0/text",
            text: expected_answer("m", "p", 4),
        },
        Case {
            name: "streamed completion",
            path: "/v1/completions",
            body: completion("p", 4, true),
            stream: true,
            pointer: "/choices/0/text",
            text: expected_answer("m", "p", 4),
        },
        Case {
            name: "whole chat",
            path: "/v1/chat/completions",
            body: chat(false),
            stream: false,
            pointer: "/choices/0/message/content",
            text: expected_answer("m", "a\nb", 3),
        },
        Case {
            name: "streamed chat",
            path: "/v1/chat/completions",
            body: chat(true),
            stream: true,
            pointer: "/choices/0/delta/content",
            text: expected_answer("m", "a\nb", 3),
        },
        Case {
            name: "long stream",
            path: "/v1/completions",
            body: completion("q", 2_000, true),
            stream: true,
            pointer: "/choices/0/text",
            text: expected_answer("m", "q", 2_000),
        },
    ];
    let engine = engine(Knobs::default()).await;
    for case in cases {
        let response = post(&engine, case.path, &case.body, case.name).send().await.unwrap();
        expect_that!(response.status().as_u16(), eq(200), "{}", case.name);
        let body = response.text().await.unwrap();
        let text = if case.stream {
            text_of_events(&body, case.pointer)
        } else {
            let value: Value = serde_json::from_str(&body).unwrap();
            value.pointer(case.pointer).and_then(Value::as_str).map(str::to_owned)
        };
        expect_that!(text, some(eq(&case.text)), "{}", case.name);
    }
    expect_that!(engine.calls(), each(field!(&hickorycross_standins::Call.ran, eq(true))));
}

#[gtest]
#[tokio::test]
async fn other_calls() {
    struct Case {
        method: &'static str,
        path: &'static str,
        body: &'static str,
        healthy: bool,
        status: u16,
    }
    let cases = [
        Case { method: "GET", path: "/health", body: "", healthy: true, status: 200 },
        Case { method: "GET", path: "/health", body: "", healthy: false, status: 503 },
        Case { method: "GET", path: "/v1/models", body: "", healthy: true, status: 200 },
        Case { method: "POST", path: "/v1/completions", body: "{", healthy: true, status: 422 },
        Case { method: "GET", path: "/v1/completions", body: "", healthy: true, status: 404 },
    ];
    let engine = engine(Knobs::default()).await;
    for case in cases {
        engine.update(|knobs| knobs.healthy = case.healthy);
        let url = format!("http://{}{}", engine.address(), case.path);
        let method = reqwest::Method::from_bytes(case.method.as_bytes()).unwrap();
        let request = reqwest::Client::new().request(method, url).body(case.body);
        let status = request.send().await.unwrap().status().as_u16();
        expect_that!(status, eq(case.status), "{} {}", case.method, case.path);
    }
}

#[gtest]
#[tokio::test]
async fn failures_are_seen_and_recorded() {
    // Symptom: a caller gets an error, a part of an answer or nothing.
    // Sequence: one request to an engine that fails in one way.
    // Cause: the engine refuses, stalls, dies or breaks off while it answers.
    enum Seen {
        Status(u16),
        Broken,
        Nothing,
    }
    struct Case {
        name: &'static str,
        failure: Failure,
        stream: bool,
        seen: Seen,
        ran: bool,
        state: CallState,
    }
    let cases = [
        Case {
            name: "fail fast",
            failure: Failure::FailFast,
            stream: true,
            seen: Seen::Status(500),
            ran: false,
            state: CallState::Failed,
        },
        Case {
            name: "break mid-stream",
            failure: Failure::BreakAfter(3),
            stream: true,
            seen: Seen::Broken,
            ran: true,
            state: CallState::Broken,
        },
        Case {
            name: "break before the whole answer",
            failure: Failure::BreakAfter(0),
            stream: false,
            seen: Seen::Broken,
            ran: true,
            state: CallState::Broken,
        },
        Case {
            name: "stall a stream",
            failure: Failure::Stall,
            stream: true,
            seen: Seen::Nothing,
            ran: true,
            state: CallState::CallerGone,
        },
        Case {
            name: "stall a whole answer",
            failure: Failure::Stall,
            stream: false,
            seen: Seen::Nothing,
            ran: true,
            state: CallState::CallerGone,
        },
    ];
    for case in cases {
        let engine = engine(Knobs { failure: case.failure, ..Knobs::default() }).await;
        let body = completion("p", 8, case.stream);
        let request = post(&engine, "/v1/completions", &body, "a").send();
        let answer = async {
            let response = request.await?;
            let status = response.status().as_u16();
            response.text().await.map(|text| (status, text))
        };
        let bound = if matches!(case.seen, Seen::Nothing) { SILENCE } else { PATIENCE };
        let answer = tokio::time::timeout(bound, answer).await;
        match (case.seen, answer) {
            (Seen::Status(status), Ok(Ok((seen, _)))) => {
                expect_that!(seen, eq(status), "{}", case.name);
            }
            (Seen::Broken, Ok(Err(_))) | (Seen::Nothing, Err(_)) => {}
            (_, answer) => panic!("{}: {answer:?}", case.name),
        }
        wait_until(|| engine.calls()[0].state == case.state).await;
        expect_that!(engine.calls()[0].ran, eq(case.ran), "{}", case.name);
        expect_that!(engine.calls()[0].attempt, some(eq("a")), "{}", case.name);
        wait_until(|| engine.running() == 0).await;
    }
}

#[gtest]
#[tokio::test]
async fn slots_go_by_priority_then_arrival() {
    let knobs = Knobs { slots: 1, failure: Failure::Stall, ..Knobs::default() };
    let engine = engine(knobs).await;
    let mut answers = Vec::new();
    let arrivals = [("first", 5), ("late", 9), ("b", 1), ("c", 1), ("a", 0)];
    for (count, (attempt, priority)) in arrivals.into_iter().enumerate() {
        let request = post(&engine, "/v1/completions", &completion("p", 200, true), attempt)
            .header(PRIORITY_HEADER, priority);
        answers.push(tokio::spawn(async move { request.send().await?.text().await }));
        wait_until(|| engine.calls().len() == count + 1).await;
    }
    wait_until(|| engine.running() == 1).await;
    let observer = engine.calls();
    expect_that!(observer.iter().filter(|call| call.ran).count(), eq(1));
    engine.update(|knobs| knobs.failure = Failure::None);
    for answer in answers {
        answer.await.unwrap().unwrap();
    }
    expect_that!(
        engine.start_order(),
        elements_are![eq("first"), eq("a"), eq("b"), eq("c"), eq("late")]
    );
}

#[gtest]
#[tokio::test]
async fn runs_are_counted_by_attempt() {
    let engine = engine(Knobs::default()).await;
    for attempt in ["a", "b", "a"] {
        let body = completion("p", 1, false);
        post(&engine, "/v1/completions", &body, attempt).send().await.unwrap();
    }
    let runs = engine.runs_by_attempt();
    expect_that!(runs.get("a"), some(eq(&2)));
    expect_that!(runs.get("b"), some(eq(&1)));
}

#[gtest]
#[tokio::test]
async fn dead_engine_refuses_connections_until_it_is_back() {
    let engine = engine(Knobs::default()).await;
    engine.refuse().await;
    let body = completion("p", 1, false);
    let error = post(&engine, "/v1/completions", &body, "a").send().await.unwrap_err();
    expect_that!(error.is_connect(), eq(true));
    engine.heal().await;
    let response = post(&engine, "/v1/completions", &body, "a").send().await.unwrap();
    expect_that!(response.status().as_u16(), eq(200));
    expect_that!(engine.calls().len(), eq(1));
}
