//! Tests of interrupted answers: callers can detect that an answer was cut off, and an answer is
//! cancelled when its caller disconnects.

mod local;

use googletest::prelude::*;
use hickorycross_entry::demo::Stage;
use hickorycross_standins::{CallState, EngineStandIn, Failure};
use local::{LocalFleet, wait_for};
use reqwest::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const COMPLETIONS: &str = "/v1/chat/completions";

fn chat_request(tokens: u32, stream: bool) -> Value {
    json!({"model": "gujarati-line", "max_tokens": tokens, "stream": stream,
        "messages": [{"role": "user", "content": "a line"}]})
}

// Guards against a truncated answer that looks complete: the backend server announces a length and
// fails after a part of the body, and the entry ends the caller's response as if it were complete.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_answer_of_known_length_closes_the_connection() -> googletest::Result<()> {
    let local = LocalFleet::start(|_: &mut Stage| {}).await;
    local.services().for_each(|service| {
        service.update(|knobs| {
            knobs.failure = Failure::BreakAfter(2);
            knobs.between_pieces_ms = 20;
        });
    });
    let long = "x".repeat(8_000);
    let request = local.request(Method::GET, "/textbook/words").header("x-long", long);
    let answer = request.send().await.or_fail()?;
    expect_that!(answer.status().as_u16(), eq(200));
    let announced = answer.content_length();
    expect_that!(announced, some(gt(8_000)));
    expect_that!(answer.bytes().await.is_err(), eq(true));
    Ok(())
}

// Guards against a truncated event stream that looks complete: the engine fails during the stream,
// and the end of a chunked body does not show whether the stream was cut off.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_event_stream_ends_with_an_error_event() -> googletest::Result<()> {
    let local = LocalFleet::start(|_: &mut Stage| {}).await;
    local.engines().for_each(|engine| {
        engine.update(|knobs| {
            knobs.failure = Failure::BreakAfter(3);
            knobs.between_pieces_ms = 20;
        });
    });
    let request = local.request(Method::POST, COMPLETIONS).json(&chat_request(12, true));
    let answer = request.send().await.or_fail()?;
    expect_that!(answer.status().as_u16(), eq(200));
    let events = answer.text().await.or_fail()?;
    expect_that!(events, contains_substring("\n\nevent: error\ndata: {\"error\":{"));
    expect_that!(events, not(contains_substring("[DONE]")));
    let error = events.rsplit("data: ").next().unwrap_or_default();
    let error: Value = serde_json::from_str(error.trim()).or_fail()?;
    expect_that!(error["error"]["code"].as_str(), some(eq("interrupted")));
    expect_that!(error["error"]["verdict"].as_str(), some(not(eq("not_run"))));
    Ok(())
}

/// An answer that ends after its first chunk.
const FIRST_CHUNK: &str = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
                           transfer-encoding: chunked\r\n\r\n7\r\n{\"word\"\r\n";

// Guards against a truncated chunked answer that looks complete: the backend server announces no
// length and fails, and the entry forwards the answer before it has received all of it.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_answer_of_unknown_length_is_refused() -> googletest::Result<()> {
    let backend = start_backend(FIRST_CHUNK.to_owned()).await.or_fail()?;
    let local = LocalFleet::start(|stage: &mut Stage| use_backend(stage, backend)).await;
    let request = local.request(Method::GET, "/textbook/words");
    let answer = request.send().await.or_fail()?;
    expect_that!(answer.status().as_u16(), eq(502));
    let verdict = answer.headers().get("x-hickorycross-verdict").cloned().or_fail()?;
    expect_that!(verdict.to_str().or_fail()?, not(eq("not-run")));
    let body: Value = answer.json().await.or_fail()?;
    expect_that!(body["error"]["code"].as_str(), some(eq("interrupted")));
    Ok(())
}

/// An answer in chunks whose head is malformed where it tells the length, so that the HTTP library
/// reads other bytes than the body.
const MALFORMED_HEADS: &[&str] = &[
    "transfer-encoding: chunke",
    "transfer-encoding: gzip, chunked",
    "transfer-encoding: chunked\r\ncontent-length: 3",
];

// Guards against an answer with a malformed head that reaches its caller with other bytes than those
// of its body, or cut off.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_a_malformed_length_is_refused() -> googletest::Result<()> {
    for head in MALFORMED_HEADS {
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n{head}\r\n\r\n\
             10\r\n{{\"word\":\"whole\"}}\r\n0\r\n\r\n"
        );
        let backend = start_backend(answer).await.or_fail()?;
        let local = LocalFleet::start(|stage: &mut Stage| use_backend(stage, backend)).await;
        let request = local.request(Method::GET, "/textbook/words");
        let answer = request.send().await.or_fail()?;
        expect_that!(answer.status().as_u16(), eq(502), "{head}");
        let verdict = answer.headers().get("x-hickorycross-verdict");
        let verdict = verdict.and_then(|verdict| verdict.to_str().ok());
        expect_that!(verdict, some(not(eq("not-run"))), "{head}");
    }
    Ok(())
}

fn use_backend(stage: &mut Stage, backend: SocketAddr) {
    for agent in &mut stage.agents {
        agent.backend_url = format!("http://{backend}");
    }
}

/// Starts a backend server that is healthy, sends this answer to every other request and closes the
/// connection.
async fn start_backend(answer: String) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_answer(stream, answer.clone()));
        }
    });
    Ok(address)
}

async fn send_answer(mut stream: TcpStream, answer: String) -> std::io::Result<()> {
    let mut head = [0; 4096];
    let count = stream.read(&mut head).await?;
    let healthy = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    let is_health_check = head[..count].starts_with(b"GET /health");
    let answer = if is_health_check { healthy } else { &answer };
    stream.write_all(answer.as_bytes()).await
}

// Guards against engines that spend their slots on answers without a reader: a caller disconnects
// during a stream, and the cancellation does not reach the agent or the backend server.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_cancels_its_request() -> googletest::Result<()> {
    let local = LocalFleet::start(|_: &mut Stage| {}).await;
    local.engines().for_each(|engine| engine.update(|knobs| knobs.between_pieces_ms = 20));
    let request = local.request(Method::POST, COMPLETIONS).json(&chat_request(100_000, true));
    let mut answer = request.send().await.or_fail()?;
    expect_that!(answer.chunk().await.or_fail()?, some(anything()));
    drop(answer);
    wait_for("the engine's request to be cancelled", async || {
        let mut calls = local.engines().flat_map(EngineStandIn::calls);
        calls.any(|call| call.state == CallState::CallerGone)
    })
    .await;
    expect_that!(local.engines().map(EngineStandIn::running).sum::<u32>(), eq(0));
    Ok(())
}
