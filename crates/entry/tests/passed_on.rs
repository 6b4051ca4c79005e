//! What of a caller's request reaches the backend server.

mod local;
#[path = "local/raw.rs"]
mod raw;

use googletest::prelude::*;
use hickorycross_entry::demo::Stage;
use local::{KEY, Local};
use raw::exchange;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

type Lines = Arc<Mutex<Vec<String>>>;

async fn echo(local: &Local, line: &str, headers: &str, body: &str) -> Value {
    let request = format!(
        "{line} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n\
         {headers}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(local.callers(), request.as_bytes()).await.json()
}

fn header<'a>(echo: &'a Value, name: &str) -> Vec<&'a str> {
    let headers = echo["headers"].as_array().into_iter().flatten();
    headers
        .filter(|header| header["name"] == name)
        .filter_map(|header| header["value"].as_str())
        .collect()
}

// Symptom: a caller without a paid tier is served first.
// Sequence: it sends the header that tells an engine the priority.
// Cause: callers' headers of the system's own names passed on beside the agent's.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn own_headers_and_those_of_the_connection_stay_behind() {
    let local = Local::whole(|_: &mut Stage| {}).await;
    let headers = "x-hickorycross-priority: 0\r\nx-hickorycross-attempt: forged\r\n\
                   x-private: 1\r\nconnection: x-private\r\nx-passed: yes\r\n";
    let echo = echo(&local, "POST /textbook/words?q=%41", headers, "a").await;
    expect_that!(header(&echo, "x-hickorycross-attempt"), len(eq(1)));
    expect_that!(header(&echo, "x-hickorycross-attempt"), not(contains(eq(&"forged"))));
    expect_that!(header(&echo, "x-hickorycross-priority"), len(eq(1)));
    expect_that!(header(&echo, "x-private"), len(eq(0)));
    expect_that!(header(&echo, "authorization"), len(eq(0)));
    expect_that!(header(&echo, "x-passed"), elements_are![eq(&"yes")]);
    expect_that!(echo["path"].as_str(), some(eq("/textbook/words?q=%41")));
}

/// A plain service that keeps the first line of each request. The stand-ins are built on Rocket,
/// which would itself read `_method`.
async fn start_recorder() -> (SocketAddr, Lines) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let lines = Lines::default();
    let kept = Arc::clone(&lines);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(record(stream, Arc::clone(&kept)));
        }
    });
    (address, lines)
}

async fn record(mut stream: TcpStream, lines: Lines) -> std::io::Result<()> {
    let mut head = [0; 4096];
    let count = stream.read(&mut head).await?;
    let head = String::from_utf8_lossy(&head[..count]).into_owned();
    let line = head.lines().next().unwrap_or_default().to_owned();
    lines.lock().expect("no test panics here").push(line);
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n").await
}

// Symptom: a form that is posted arrives as another method.
// Sequence: a caller posts a form whose first field is called `_method`.
// Cause: Rocket reads that field as the method of the request.
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
    let lead_there = move |stage: &mut Stage| {
        for agent in &mut stage.agents {
            agent.backend_url = format!("http://{recorder}");
        }
    };
    let local = Local::whole(lead_there).await;
    let form = "content-type: application/x-www-form-urlencoded\r\n";
    for case in cases {
        let _ = echo(&local, case.line, form, case.body).await;
        let sent = format!("{} HTTP/1.1", case.line);
        let lines = lines.lock().expect("no test panics here").clone();
        expect_that!(lines, contains(eq(&sent)), "{}", case.body);
    }
}
