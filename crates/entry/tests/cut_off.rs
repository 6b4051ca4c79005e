//! An answer that is cut off is never presented as whole, and one that nobody waits for is stopped.

mod local;

use googletest::prelude::*;
use hickorycross_entry::demo::Stage;
use hickorycross_standins::{CallState, EngineStandIn, Failure};
use local::{Local, wait_for};
use reqwest::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const COMPLETIONS: &str = "/v1/chat/completions";

fn prompt(tokens: u32, stream: bool) -> Value {
    json!({"model": "gujarati-line", "max_tokens": tokens, "stream": stream,
        "messages": [{"role": "user", "content": "a line"}]})
}

// Symptom: a caller takes a part of an answer for the whole.
// Sequence: the backend server announces a length, sends a piece and breaks off.
// Cause: the entry ends the caller's connection as if the body were whole.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_of_known_length_breaks_the_connection() -> googletest::Result<()> {
    let local = Local::whole(|_: &mut Stage| {}).await;
    local.services().for_each(|service| {
        service.update(|knobs| {
            knobs.failure = Failure::BreakAfter(2);
            knobs.between_pieces_ms = 20;
        });
    });
    let long = "x".repeat(8_000);
    let asked = local.request(Method::GET, "/textbook/words").header("x-long", long);
    let answer = asked.send().await.or_fail()?;
    expect_that!(answer.status().as_u16(), eq(200));
    let announced = answer.content_length();
    expect_that!(announced, some(gt(8_000)));
    expect_that!(answer.bytes().await.is_err(), eq(true));
    Ok(())
}

// Symptom: a teacher sees half a correction and takes it for whole.
// Sequence: the engine breaks off within a stream of events.
// Cause: a chunked body ends alike, whether it is whole or cut off.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_events_closes_with_an_error() -> googletest::Result<()> {
    let local = Local::whole(|_: &mut Stage| {}).await;
    local.engines().for_each(|engine| {
        engine.update(|knobs| {
            knobs.failure = Failure::BreakAfter(3);
            knobs.between_pieces_ms = 20;
        });
    });
    let asked = local.request(Method::POST, COMPLETIONS).json(&prompt(12, true));
    let answer = asked.send().await.or_fail()?;
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

// Symptom: a caller takes a part of an answer for the whole.
// Sequence: a backend server sends a chunked answer of no known length and breaks off.
// Cause: the entry passes such an answer on before it knows that it is whole.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_of_unknown_length_becomes_an_error() -> googletest::Result<()> {
    let backend = start_breaking_backend().await.or_fail()?;
    let lead_there = |stage: &mut Stage| {
        for agent in &mut stage.agents {
            agent.backend_url = format!("http://{backend}");
        }
    };
    let local = Local::whole(lead_there).await;
    let asked = local.request(Method::GET, "/textbook/words");
    let answer = asked.send().await.or_fail()?;
    expect_that!(answer.status().as_u16(), eq(502));
    let verdict = answer.headers().get("x-hickorycross-verdict").cloned().or_fail()?;
    expect_that!(verdict.to_str().or_fail()?, not(eq("not-run")));
    let body: Value = answer.json().await.or_fail()?;
    expect_that!(body["error"]["code"].as_str(), some(eq("interrupted")));
    Ok(())
}

/// A backend server that is well, and breaks off every answer after its first chunk.
async fn start_breaking_backend() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(break_off(stream));
        }
    });
    Ok(address)
}

async fn break_off(mut stream: TcpStream) -> std::io::Result<()> {
    let mut head = [0; 4096];
    let count = stream.read(&mut head).await?;
    if head[..count].starts_with(b"GET /health") {
        return stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
            .await;
    }
    stream
        .write_all(
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\
              transfer-encoding: chunked\r\n\r\n7\r\n{\"word\"\r\n",
        )
        .await
}

// Symptom: engines spend their slots on answers that nobody reads.
// Sequence: a caller goes away within a stream.
// Cause: its leaving is not told to the agent, or not to the backend server.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_its_work() -> googletest::Result<()> {
    let local = Local::whole(|_: &mut Stage| {}).await;
    local.engines().for_each(|engine| engine.update(|knobs| knobs.between_pieces_ms = 20));
    let asked = local.request(Method::POST, COMPLETIONS).json(&prompt(100_000, true));
    let mut answer = asked.send().await.or_fail()?;
    expect_that!(answer.chunk().await.or_fail()?, some(anything()));
    drop(answer);
    wait_for("the engine's work is cancelled", async || {
        let mut calls = local.engines().flat_map(EngineStandIn::calls);
        calls.any(|call| call.state == CallState::CallerGone)
    })
    .await;
    expect_that!(local.engines().map(EngineStandIn::running).sum::<u32>(), eq(0));
    Ok(())
}
