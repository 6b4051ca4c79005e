//! Tests of which parts of a caller's request are forwarded to the backend server.

mod local;
#[path = "local/raw.rs"]
mod raw;

use googletest::prelude::*;
use hickorycross_entry::demo::Stage;
use local::{API_KEY, LocalFleet};
use raw::exchange;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

type RequestLines = Arc<Mutex<Vec<String>>>;

async fn send_and_parse_echo(local: &LocalFleet, line: &str, headers: &str, body: &str) -> Value {
    let request = format!(
        "{line} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {API_KEY}\r\nconnection: close\r\n\
         {headers}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(local.caller_address(), request.as_bytes()).await.json()
}

fn header_values<'a>(echo: &'a Value, name: &str) -> Vec<&'a str> {
    let headers = echo["headers"].as_array().into_iter().flatten();
    headers
        .filter(|header| header["name"] == name)
        .filter_map(|header| header["value"].as_str())
        .collect()
}

// Guards against a caller raising its own priority: if reserved headers of callers were forwarded
// beside the agent's, a caller could send the header that tells an engine the priority.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn reserved_and_hop_by_hop_headers_are_not_forwarded() {
    let local = LocalFleet::start(|_: &mut Stage| {}).await;
    let headers = "x-hickorycross-priority: 0\r\nx-hickorycross-attempt: forged\r\n\
                   x-private: 1\r\nconnection: x-private\r\nx-passed: yes\r\n";
    let echo = send_and_parse_echo(&local, "POST /textbook/words?q=%41", headers, "a").await;
    expect_that!(header_values(&echo, "x-hickorycross-attempt"), len(eq(1)));
    expect_that!(header_values(&echo, "x-hickorycross-attempt"), not(contains(eq(&"forged"))));
    expect_that!(header_values(&echo, "x-hickorycross-priority"), len(eq(1)));
    expect_that!(header_values(&echo, "x-private"), len(eq(0)));
    expect_that!(header_values(&echo, "authorization"), len(eq(0)));
    expect_that!(header_values(&echo, "x-passed"), elements_are![eq(&"yes")]);
    expect_that!(echo["path"].as_str(), some(eq("/textbook/words?q=%41")));
}

/// Starts a service that records the first line of each request. The stand-ins can't be used here,
/// because they are built on Rocket, which interprets `_method` itself.
async fn start_recorder() -> (SocketAddr, RequestLines) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let lines = RequestLines::default();
    let recorded = Arc::clone(&lines);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(record_request(stream, Arc::clone(&recorded)));
        }
    });
    (address, lines)
}

async fn record_request(mut stream: TcpStream, lines: RequestLines) -> std::io::Result<()> {
    let mut head = [0; 4096];
    let count = stream.read(&mut head).await?;
    let head = String::from_utf8_lossy(&head[..count]).into_owned();
    let line = head.lines().next().unwrap_or_default().to_owned();
    lines.lock().expect("no test panics here").push(line);
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n").await
}

// Guards against a posted form reaching the backend server with another method: Rocket takes the
// value of a form's first field as the method if the field is named `_method`.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_form_does_not_change_the_method() {
    struct Case {
        line: &'static str,
        body: &'static str,
    }
    let cases = [
        Case { line: "POST /textbook/1", body: "_method=delete&word=a" },
        Case { line: "POST /textbook/2", body: "_method=put&word=abcd" },
        Case { line: "POST /textbook/3", body: "word=a&_method=put" },
        Case { line: "PUT /textbook/4", body: "word=a&_method=get" },
        Case { line: "DELETE /textbook/5", body: "word=abcdefghij" },
    ];
    let (recorder, lines) = start_recorder().await;
    let use_recorder = move |stage: &mut Stage| {
        for agent in &mut stage.agents {
            agent.backend_url = format!("http://{recorder}");
        }
    };
    let local = LocalFleet::start(use_recorder).await;
    let form = "content-type: application/x-www-form-urlencoded\r\n";
    for case in cases {
        let _ = send_and_parse_echo(&local, case.line, form, case.body).await;
        let sent = format!("{} HTTP/1.1", case.line);
        let lines = lines.lock().expect("no test panics here").clone();
        expect_that!(lines, contains(eq(&sent)), "{}", case.body);
    }
}
