//! The service stand-in's calls, lodgings and failures.

use googletest::prelude::*;
use hickorycross_config::Digest;
use hickorycross_standins::{
    ATTEMPT_HEADER, CallState, Failure, IDEMPOTENCY_HEADER, Knobs, ServiceStandIn,
};
use serde_json::Value;

fn request(service: &ServiceStandIn, method: &str, path: &str) -> reqwest::RequestBuilder {
    let url = format!("http://{}{path}", service.address());
    let method = reqwest::Method::from_bytes(method.as_bytes()).unwrap();
    reqwest::Client::new().request(method, url)
}

#[gtest]
#[tokio::test]
async fn echoes_any_call() {
    struct Case {
        method: &'static str,
        path: &'static str,
        body: Vec<u8>,
    }
    let cases = [
        Case { method: "GET", path: "/other", body: Vec::new() },
        Case { method: "POST", path: "/a/b%20c?d=e&f", body: b"body".to_vec() },
        Case { method: "PUT", path: "/", body: vec![0xff; 100_000] },
        Case { method: "DELETE", path: "/cases/7", body: Vec::new() },
        Case { method: "PATCH", path: "/cases/applications", body: b"x".to_vec() },
        Case { method: "OPTIONS", path: "/x", body: Vec::new() },
    ];
    let service = ServiceStandIn::start(Knobs::default()).await.unwrap();
    for case in cases {
        let call = request(&service, case.method, case.path)
            .header("x-own", "Value")
            .body(case.body.clone());
        let echo: Value = call.send().await.unwrap().json().await.unwrap();
        expect_that!(echo["method"].as_str(), some(eq(case.method)));
        expect_that!(echo["path"].as_str(), some(eq(case.path)));
        expect_that!(echo["body_bytes"].as_u64(), some(eq(case.body.len() as u64)));
        let digest = Digest::of(&case.body).to_string();
        expect_that!(echo["body_digest"].as_str(), some(eq(digest.as_str())));
        let headers = echo["headers"].as_array().unwrap();
        let own = headers.iter().any(|h| h["name"] == "x-own" && h["value"] == "Value");
        expect_that!(own, eq(true), "{} {}", case.method, case.path);
    }
}

#[gtest]
#[tokio::test]
async fn lodgings_are_counted_even_without_an_answer() {
    // Symptom: the utility gets one application twice.
    // Sequence: an application is lodged, its answer is lost, the caller's request is repeated.
    // Cause: somebody took a broken connection for proof that the request had not run.
    struct Case {
        name: &'static str,
        failure: Failure,
        status: Option<u16>,
        times: u32,
    }
    let cases = [
        Case { name: "refused", failure: Failure::FailFast, status: Some(500), times: 0 },
        Case { name: "answer lost", failure: Failure::BreakAfter(0), status: None, times: 1 },
        Case { name: "repeated", failure: Failure::None, status: Some(201), times: 2 },
    ];
    let service = ServiceStandIn::start(Knobs::default()).await.unwrap();
    let digest = Digest::of(b"application");
    for case in cases {
        service.update(|knobs| knobs.failure = case.failure);
        let call = request(&service, "POST", "/cases/applications")
            .header(ATTEMPT_HEADER, case.name)
            .header(IDEMPOTENCY_HEADER, "key")
            .body("application");
        let answer = async {
            let response = call.send().await?;
            let status = response.status().as_u16();
            response.bytes().await.map(|_| status)
        };
        expect_that!(answer.await.ok(), eq(case.status), "{}", case.name);
        let lodged = service.lodged().get(&digest).copied().unwrap_or(0);
        expect_that!(lodged, eq(case.times), "{}", case.name);
        let call = service.calls().pop().unwrap();
        expect_that!(call.attempt, some(eq(case.name)));
        expect_that!(call.idempotency_key, some(eq("key")));
        expect_that!(call.ran, eq(case.failure != Failure::FailFast), "{}", case.name);
    }
    expect_that!(service.runs_by_key().get("key"), some(eq(&2)));
    expect_that!(service.runs_by_attempt().get("answer lost"), some(eq(&1)));
    expect_that!(service.runs_by_attempt().get("refused"), none());
    let path = format!("/cases/{digest}");
    let status = request(&service, "GET", &path).send().await.unwrap().status();
    expect_that!(status.as_u16(), eq(200));
    let status = request(&service, "GET", "/cases/none").send().await.unwrap().status();
    expect_that!(status.as_u16(), eq(404));
}

#[gtest]
#[tokio::test]
async fn answer_broken_in_the_middle_is_an_error() {
    // Symptom: a caller takes the first part of an answer for the whole.
    // Sequence: the service sends two pieces of a longer answer and dies.
    // Cause: an answer that ends early looks like one that ends.
    let knobs = Knobs { failure: Failure::BreakAfter(2), ..Knobs::default() };
    let service = ServiceStandIn::start(knobs).await.unwrap();
    let response =
        request(&service, "GET", "/x").header("x-long", "x".repeat(4_000)).send().await.unwrap();
    expect_that!(response.status().as_u16(), eq(200));
    expect_that!(response.bytes().await.is_err(), eq(true));
    expect_that!(service.calls()[0].state, eq(CallState::Broken));
}
