//! End-to-end test with separate processes: requests pass from a caller through entry and agent to
//! a backend server, and the answers return.

mod fleet;

use fleet::{Fleet, SCHOOL_DOCUMENT};
use googletest::prelude::*;
use hickorycross_standins::{Knobs, expected_answer};
use serde_json::{Value, json};

const TEAM: &str = "spelling-school-1";

fn content_of(events: &str) -> String {
    events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
        .collect()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn answers_come_back_whole() -> googletest::Result<()> {
    let fleet = Fleet::start(SCHOOL_DOCUMENT, 2, Knobs::default()).await;
    for entry in 0..2 {
        let prompt = format!("line {entry}");
        let body = json!({"model": "gujarati-line", "max_tokens": 12,
            "messages": [{"role": "user", "content": prompt}]});
        let asked = fleet.post(entry, TEAM, "/v1/chat/completions", &body);
        let whole: Value = asked.send().await.or_fail()?.json().await.or_fail()?;
        let expected = expected_answer("gujarati-line", &prompt, 12);
        expect_that!(whole["choices"][0]["message"]["content"].as_str(), some(eq(&*expected)));

        let mut streamed = body.clone();
        streamed["stream"] = json!(true);
        let asked = fleet.post(entry, TEAM, "/v1/chat/completions", &streamed);
        let events = asked.send().await.or_fail()?.text().await.or_fail()?;
        expect_that!(content_of(&events), eq(&expected));
        expect_that!(events.trim_end(), ends_with("data: [DONE]"));

        let essay = json!({"essay": prompt});
        let asked = fleet.post(entry, TEAM, "/textbook/hand-ins/7?class=4", &essay);
        let lodged = asked.send().await.or_fail()?;
        expect_that!(lodged.status().as_u16(), eq(200));
    }
    Ok(())
}
