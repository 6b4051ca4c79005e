//! What callers get for requests that break a rule: status, error body, verdict, request id.

mod local;
#[path = "local/raw.rs"]
mod raw;

use googletest::prelude::*;
use hickorycross_entry::demo::Stage;
use local::{KEY, Local, wait_for};
use raw::{Answer, exchange, read_answer};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const BODY_LIMIT_BYTES: u64 = 1000;
const BODY_TIMEOUT_MS: u64 = 300;
const PROMPT: &str = r#"{"model":"gujarati-line","max_tokens":1,"messages":[]}"#;

struct Case {
    name: &'static str,
    line: &'static str,
    headers: Vec<(&'static str, String)>,
    body: String,
    status: u16,
    code: &'static str,
    retry_after: bool,
}

impl Case {
    /// A request for a model that breaks no rule, but for what a case changes.
    fn new(name: &'static str, status: u16, code: &'static str) -> Self {
        Self {
            name,
            line: "POST /v1/chat/completions",
            headers: vec![("authorization", format!("Bearer {KEY}"))],
            body: PROMPT.to_owned(),
            status,
            code,
            retry_after: false,
        }
    }

    fn line(self, line: &'static str) -> Self {
        Self { line, ..self }
    }

    fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    fn without_key(self) -> Self {
        Self { headers: Vec::new(), ..self }
    }

    fn body(self, body: &str) -> Self {
        Self { body: body.to_owned(), ..self }
    }

    fn bytes(&self) -> Vec<u8> {
        let headers = self.headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
        format!(
            "{} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n{}content-length: {}\r\n\r\n{}",
            self.line,
            headers.collect::<String>(),
            self.body.len(),
            self.body
        )
        .into_bytes()
    }
}

fn cases() -> Vec<Case> {
    let path = |name, line| Case::new(name, 400, "bad_request").line(line).body("{}");
    vec![
        Case::new("no key", 401, "unknown_key").without_key(),
        Case::new("wrong key", 401, "unknown_key").header("authorization", "Bearer guess"),
        Case::new("another scheme", 401, "unknown_key").header("authorization", "Basic Zm9v"),
        Case::new("no key for the model list", 401, "unknown_key")
            .line("GET /v1/models")
            .without_key(),
        Case::new("unknown model", 404, "unknown_model").body(r#"{"model":"none"}"#),
        Case::new("unknown path", 404, "unknown_path").line("POST /nowhere"),
        Case::new("broken JSON", 400, "bad_request").body(r#"{"model":"gujarati-line""#),
        Case::new("no model", 400, "bad_request").body("{}"),
        Case::new("model is no text", 400, "bad_request").body(r#"{"model":7}"#),
        Case::new("expired deadline", 504, "deadline_passed")
            .header("x-hickorycross-deadline-unix-ms", "1000"),
        Case::new("malformed deadline", 400, "bad_request")
            .header("x-hickorycross-deadline-unix-ms", "soon"),
        Case::new("negative deadline", 400, "bad_request")
            .header("x-hickorycross-deadline-unix-ms", "-1"),
        Case::new("empty idempotency key", 400, "bad_request").header("idempotency-key", ""),
        Case::new("over-long idempotency key", 400, "bad_request")
            .header("idempotency-key", &"k".repeat(257)),
        Case::new("malformed mark", 400, "bad_request")
            .header("x-hickorycross-non-idempotent", "maybe"),
        Case::new("oversize body", 413, "bad_request").body(&"x".repeat(1001)),
        Case::new("unserved method", 405, "bad_request").line("TRACE /v1/models").body(""),
        Case::new("unknown method", 400, "bad_request").line("FETCH /v1/models").body(""),
        path("parent segment", "POST /textbook/x/../hand-ins/7"),
        path("own segment", "POST /textbook/./hand-ins/7"),
        path("empty segment", "POST /textbook//hand-ins/7"),
        path("encoded letter", "POST /textbook/%68and-ins/7"),
        path("encoded dots", "POST /textbook/x/%2e%2e/hand-ins/7"),
        path("encoded slash before dots", "POST /textbook/x%2F..%2Fhand-ins/7"),
        path("percent without digits", "POST /textbook/%zz"),
    ]
}

fn bounded(stage: &mut Stage) {
    stage.entries[0].body_limit_bytes = BODY_LIMIT_BYTES;
    stage.entries[0].body_timeout_ms = BODY_TIMEOUT_MS;
}

/// Checks what every refusal has.
fn expect_refusal(name: &str, answer: &Answer, status: u16, code: &str, retry_after: bool) {
    let json = answer.json();
    let error = &json["error"];
    expect_that!(answer.status, eq(status), "{name}: {answer:?}");
    expect_that!(error["code"].as_str(), some(eq(code)), "{name}");
    expect_that!(error["message"].as_str(), some(not(eq(""))), "{name}");
    expect_that!(error["verdict"].as_str(), some(eq("not_run")), "{name}");
    expect_that!(answer.header("x-hickorycross-verdict"), some(eq("not-run")), "{name}");
    let request = answer.header("x-hickorycross-request");
    expect_that!(request, some(not(eq(""))), "{name}");
    expect_that!(error["request"].as_str(), eq(request), "{name}");
    expect_that!(answer.header("retry-after").is_some(), eq(retry_after), "{name}");
    expect_that!(answer.header("content-type"), some(eq("application/json")), "{name}");
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn every_refusal_says_what_is_wrong() {
    let local = Local::entry_alone(bounded).await;
    for case in cases() {
        let answer = exchange(local.callers(), &case.bytes()).await;
        expect_refusal(case.name, &answer, case.status, case.code, case.retry_after);
        expect_that!(answer.header("allow").is_some(), eq(case.status == 405), "{}", case.name);
    }
    expect_that!(local.engines().map(|engine| engine.calls().len()).sum::<usize>(), eq(0));
    expect_that!(local.services().map(|service| service.calls().len()).sum::<usize>(), eq(0));
}

// Symptom: a caller holds a connection and a place at the entry for ever.
// Sequence: it announces a body, sends a part, and stops.
// Cause: a body without a bound on its time.
//
// Rocket itself waits for the first 14 bytes of a body, without a bound and before it calls any
// code of ours; docs/CALLERS.md names that limit.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_body_is_given_up() {
    let local = Local::entry_alone(bounded).await;
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\ncontent-length: 40\r\n\r\n{}",
        " ".repeat(20)
    );
    let answer = exchange(local.callers(), head.as_bytes()).await;
    expect_refusal("slow body", &answer, 408, "deadline_passed", false);
}

/// Begins a request whose body lacks its last byte.
async fn hold_the_place(local: &Local) -> TcpStream {
    let mut holder = TcpStream::connect(local.callers()).await.expect("a connection");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\ncontent-length: 22\r\n\r\n{{{}",
        " ".repeat(20)
    );
    holder.write_all(head.as_bytes()).await.expect("bytes sent");
    holder
}

// Symptom: an entry takes ever more requests and runs out of memory.
// Sequence: more callers than it can hold send at once.
// Cause: no bound on open requests; streams that are still being answered not counted.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn too_many_open_requests_are_refused() {
    let local = Local::entry_alone(|stage: &mut Stage| stage.entries[0].open_requests = 1).await;
    let mut holder = hold_the_place(&local).await;
    let model_list = Case::new("full", 503, "overloaded").line("GET /v1/models").body("");
    wait_for("the entry is full", async || {
        if exchange(local.callers(), &model_list.bytes()).await.status == 503 {
            return true;
        }
        // The probe took the only place itself: whoever was to hold it has been refused.
        if holder.try_read(&mut [0]).is_ok() {
            holder = hold_the_place(&local).await;
        }
        false
    })
    .await;
    let answer = exchange(local.callers(), &model_list.bytes()).await;
    expect_refusal("full", &answer, 503, "overloaded", true);

    holder.write_all(b"}").await.expect("bytes sent");
    expect_that!(read_answer(&mut holder).await.status, eq(400));
    wait_for("there is room again", async || {
        exchange(local.callers(), &model_list.bytes()).await.status == 200
    })
    .await;
}

/// The HTTP library refuses these before Rocket sees them, without a body.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn heads_that_are_too_large_are_refused() {
    let local = Local::entry_alone(bounded).await;
    let many = "x-many: 1\r\n".repeat(200);
    let request = format!("GET /v1/models HTTP/1.1\r\nhost: entry\r\n{many}\r\n");
    expect_that!(exchange(local.callers(), request.as_bytes()).await.status, eq(431));
    let long = "x".repeat(1 << 20);
    let request = format!("GET /v1/models HTTP/1.1\r\nhost: entry\r\nx-long: {long}\r\n\r\n");
    expect_that!(exchange(local.callers(), request.as_bytes()).await.status, eq(431));
}

/// An entry that has not adopted a document refuses, and says when to come back.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_a_document_refuses() {
    let local = Local::entry_alone(bounded).await;
    let mut settings = local.stage.entries[1].clone();
    // Nothing listens there.
    settings.platform_url = format!("http://{}", settings.caller_address);
    let _second = local::start_entry(&settings).await;
    let case = Case::new("no document", 503, "not_ready");
    let answer = exchange(settings.caller_address, &case.bytes()).await;
    expect_refusal(case.name, &answer, 503, "not_ready", true);
}
