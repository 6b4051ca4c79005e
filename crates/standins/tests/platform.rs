//! The platform stand-in's calls and faults.

use googletest::prelude::*;
use hickorycross_core::{Instance, InstanceId, InstanceState, Role};
use hickorycross_standins::PlatformStandIn;
use serde::Deserialize;
use std::time::Duration;

/// Wait for an answer that must not come.
const SILENCE: Duration = Duration::from_millis(300);
/// Bound on the wait for an answer that must come.
const PATIENCE: Duration = Duration::from_secs(30);

#[derive(Debug, Deserialize, PartialEq)]
struct Config {
    revision: u64,
    document: String,
}

#[derive(Debug, Deserialize, PartialEq)]
struct Instances {
    revision: u64,
    instances: Vec<Instance>,
}

async fn get(platform: &PlatformStandIn, path: &str) -> reqwest::Result<reqwest::Response> {
    reqwest::get(format!("http://{}{path}", platform.address())).await
}

async fn status(platform: &PlatformStandIn, path: &str) -> u16 {
    get(platform, path).await.unwrap().status().as_u16()
}

async fn config(platform: &PlatformStandIn, path: &str) -> Config {
    get(platform, path).await.unwrap().json().await.unwrap()
}

async fn put(platform: &PlatformStandIn, query: &str, body: Vec<u8>) -> u16 {
    let url = format!("http://{}/v1/config{query}", platform.address());
    reqwest::Client::new().put(url).body(body).send().await.unwrap().status().as_u16()
}

fn instance(name: &str) -> Instance {
    Instance {
        id: InstanceId::new(name),
        role: Role::Entry,
        link_address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "domain-a".into(),
        state: InstanceState::Live,
    }
}

#[gtest]
#[tokio::test]
async fn reads_by_state() {
    struct Case {
        name: &'static str,
        published: &'static [&'static str],
        path: &'static str,
        status: u16,
        body: Option<(u64, &'static str)>,
    }
    let cases = [
        Case { name: "nothing", published: &[], path: "/v1/config", status: 404, body: None },
        Case {
            name: "exact bytes",
            published: &["{ \"a\" : \"\\u00e9é\" }\n"],
            path: "/v1/config",
            status: 200,
            body: Some((1, "{ \"a\" : \"\\u00e9é\" }\n")),
        },
        Case {
            name: "latest",
            published: &["a", "b"],
            path: "/v1/config",
            status: 200,
            body: Some((2, "b")),
        },
        Case {
            name: "watch behind",
            published: &["a", "b"],
            path: "/v1/config/watch?after=1&wait_ms=30000",
            status: 200,
            body: Some((2, "b")),
        },
        Case {
            name: "watch up to date",
            published: &["a", "b"],
            path: "/v1/config/watch?after=2&wait_ms=20",
            status: 204,
            body: None,
        },
        Case {
            name: "watch ahead",
            published: &["a"],
            path: "/v1/config/watch?after=7&wait_ms=0",
            status: 204,
            body: None,
        },
        Case { name: "other", published: &["a"], path: "/v1/other", status: 404, body: None },
    ];
    for case in cases {
        let platform = PlatformStandIn::start().await.unwrap();
        for document in case.published {
            platform.publish(document).unwrap();
        }
        let response = get(&platform, case.path).await.unwrap();
        expect_that!(response.status().as_u16(), eq(case.status), "{}", case.name);
        if let Some((revision, document)) = case.body {
            let read: Config = response.json().await.unwrap();
            let expected = Config { revision, document: document.to_owned() };
            expect_that!(read, eq(&expected), "{}", case.name);
        }
    }
}

#[gtest]
#[tokio::test]
async fn waiting_watch_hears_of_the_next_revision() {
    let platform = PlatformStandIn::start().await.unwrap();
    platform.publish("a").unwrap();
    let url = format!("http://{}/v1/config/watch?after=1&wait_ms=30000", platform.address());
    let watch = tokio::spawn(reqwest::get(url));
    while platform.read_counts().config_watch == 0 {
        tokio::task::yield_now().await;
    }
    platform.publish("b").unwrap();
    let read: Config = watch.await.unwrap().unwrap().json().await.unwrap();
    expect_that!(read, eq(&Config { revision: 2, document: "b".to_owned() }));
    expect_that!(platform.read_counts().accepted(), eq(1));
}

#[gtest]
#[tokio::test]
async fn puts_by_base_and_size() {
    struct Case {
        name: &'static str,
        query: &'static str,
        body: Vec<u8>,
        status: u16,
        revision: u64,
    }
    let cases = [
        Case { name: "no base", query: "", body: b"b".to_vec(), status: 200, revision: 2 },
        Case { name: "current", query: "?base=1", body: b"b".to_vec(), status: 200, revision: 2 },
        Case { name: "older", query: "?base=0", body: b"b".to_vec(), status: 409, revision: 1 },
        Case { name: "newer", query: "?base=9", body: b"b".to_vec(), status: 409, revision: 1 },
        Case { name: "not text", query: "", body: vec![0xff], status: 400, revision: 1 },
        Case { name: "largest", query: "", body: vec![b'x'; 1 << 20], status: 200, revision: 2 },
        Case {
            name: "too large",
            query: "",
            body: vec![b'x'; (1 << 20) + 1],
            status: 413,
            revision: 1,
        },
    ];
    for case in cases {
        let platform = PlatformStandIn::start().await.unwrap();
        platform.publish("a").unwrap();
        let status = put(&platform, case.query, case.body).await;
        expect_that!(status, eq(case.status), "{}", case.name);
        let read = config(&platform, "/v1/config").await;
        expect_that!(read.revision, eq(case.revision), "{}", case.name);
    }
}

#[gtest]
#[tokio::test]
async fn instance_list_follows_its_own_revisions() {
    let platform = PlatformStandIn::start().await.unwrap();
    let empty: Instances = get(&platform, "/v1/instances").await.unwrap().json().await.unwrap();
    expect_that!(empty, eq(&Instances { revision: 0, instances: Vec::new() }));
    let list = vec![instance("entry-1"), instance("entry-2")];
    expect_that!(platform.set_instances(list.clone()), eq(1));
    let path = "/v1/instances/watch?after=0&wait_ms=30000";
    let read: Instances = get(&platform, path).await.unwrap().json().await.unwrap();
    expect_that!(read, eq(&Instances { revision: 1, instances: list }));
    let path = "/v1/instances/watch?after=1&wait_ms=10";
    expect_that!(status(&platform, path).await, eq(204));
}

#[gtest]
#[tokio::test]
async fn lagging_list_is_seen_later() {
    let platform = PlatformStandIn::start().await.unwrap();
    platform.set_list_lag_ms(60_000);
    platform.set_instances(vec![instance("entry-1")]);
    let path = "/v1/instances/watch?after=0&wait_ms=0";
    expect_that!(status(&platform, path).await, eq(204));
    platform.set_list_lag_ms(10);
    platform.set_instances(vec![instance("entry-2")]);
    let path = "/v1/instances/watch?after=0&wait_ms=30000";
    let read: Instances = get(&platform, path).await.unwrap().json().await.unwrap();
    let expected = Instances { revision: 2, instances: vec![instance("entry-2")] };
    expect_that!(read, eq(&expected));
}

#[gtest]
#[tokio::test]
async fn faults_by_control() {
    // Symptom: readers see old values, errors or nothing.
    // Sequence: revisions are published, then the platform fails in one way, then it heals.
    // Cause: the configuration service is down, stale, slow or silent.
    enum Seen {
        Status(u16),
        Revision(u64),
        Refused,
        Nothing,
    }
    struct Case {
        name: &'static str,
        fault: &'static str,
        seen: Seen,
    }
    let cases = [
        Case { name: "unavailable", fault: "unavailable", seen: Seen::Status(503) },
        Case { name: "frozen", fault: "freeze", seen: Seen::Revision(2) },
        Case { name: "frozen at an older one", fault: "freeze_at", seen: Seen::Revision(1) },
        Case { name: "slow", fault: "slow", seen: Seen::Nothing },
        Case { name: "refusing", fault: "refuse", seen: Seen::Refused },
        Case { name: "silent", fault: "silence", seen: Seen::Nothing },
    ];
    for case in cases {
        let platform = PlatformStandIn::start().await.unwrap();
        platform.publish("a").unwrap();
        platform.publish("b").unwrap();
        match case.fault {
            "unavailable" => platform.set_unavailable(true),
            "freeze" => platform.freeze(),
            "freeze_at" => assert!(platform.freeze_at(1)),
            "slow" => platform.set_slow_ms(60_000),
            "refuse" => platform.refuse().await,
            _ => platform.silence().await,
        }
        platform.publish("c").unwrap();
        let bound = if matches!(case.seen, Seen::Nothing) { SILENCE } else { PATIENCE };
        let read = tokio::time::timeout(bound, get(&platform, "/v1/config")).await;
        match (case.seen, read) {
            (Seen::Status(status), Ok(Ok(response))) => {
                expect_that!(response.status().as_u16(), eq(status), "{}", case.name);
            }
            (Seen::Revision(revision), Ok(Ok(response))) => {
                let read: Config = response.json().await.unwrap();
                expect_that!(read.revision, eq(revision), "{}", case.name);
            }
            (Seen::Refused, Ok(Err(error))) => {
                expect_that!(error.is_connect(), eq(true), "{}", case.name);
            }
            (Seen::Nothing, Err(_)) => {}
            (_, read) => panic!("{}: {read:?}", case.name),
        }
        platform.heal().await;
        expect_that!(config(&platform, "/v1/config").await.revision, eq(3), "{}", case.name);
    }
}

#[gtest]
#[tokio::test]
async fn operators_can_break_the_order_of_revisions() {
    // Symptom: a reader gets a lower revision, or other content under the same one.
    // Sequence: two operators publish at once, or the platform is restored from a copy.
    // Cause: the platform breaks its promise of growing revisions.
    let platform = PlatformStandIn::start().await.unwrap();
    let steps = [(5, "a"), (5, "b"), (3, "c"), (9, "d")];
    for (revision, document) in steps {
        platform.publish_at(revision, document);
        let expected = Config { revision, document: document.to_owned() };
        expect_that!(config(&platform, "/v1/config").await, eq(&expected));
    }
}

#[gtest]
#[tokio::test]
async fn reads_over_the_rate_are_refused_and_counted() {
    let platform = PlatformStandIn::start().await.unwrap();
    platform.publish("a").unwrap();
    platform.set_reads_per_s(3);
    let mut refused = 0;
    for _ in 0..60 {
        let response = get(&platform, "/v1/config").await.unwrap();
        if response.status().as_u16() == 429 {
            refused += 1;
            expect_that!(response.headers()["retry-after"].to_str().unwrap(), eq("1"));
        }
    }
    let counts = platform.read_counts();
    expect_that!(refused, gt(0));
    expect_that!(counts.refused, eq(refused));
    expect_that!(counts.config, eq(60 - refused));
}
