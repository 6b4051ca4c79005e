//! Streamed requests at a steady rate, and what they cost each process.

use crate::fleet::Fleet;
use hickorycross_lab::capacity::FleetShape;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// One load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Requests a second over all entries.
    pub(crate) requests_per_s: u32,
    /// Tokens of each answer.
    pub(crate) tokens: u32,
    /// How long; the run turns it into a deadline.
    pub(crate) span_ms: u64,
}

/// What a load cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    pub(crate) requests: f64,
    pub(crate) failed: u64,
    pub(crate) entries_cpu_s: f64,
    pub(crate) agents_cpu_s: f64,
    pub(crate) link_bytes: f64,
}

/// Runs a load and waits for its last answer.
pub(crate) async fn run(fleet: &Fleet, load: Load) -> Cost {
    let before = totals(fleet);
    let failed = Arc::new(AtomicU64::new(0));
    let mut tasks = Vec::new();
    let mut pace = interval(Duration::from_secs(1) / load.requests_per_s.max(1));
    pace.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let end = Instant::now() + Duration::from_millis(load.span_ms);
    let mut number = 0_u32;
    while Instant::now() < end {
        pace.tick().await;
        let request = request(fleet, number, load.tokens);
        let failed = failed.clone();
        tasks.push(tokio::spawn(async move {
            if !is_whole(request).await {
                failed.fetch_add(1, Ordering::Relaxed);
            }
        }));
        number += 1;
    }
    for task in tasks {
        let _ = task.await;
    }
    let after = totals(fleet);
    Cost {
        requests: f64::from(number),
        failed: failed.load(Ordering::Relaxed),
        entries_cpu_s: after.0 - before.0,
        agents_cpu_s: after.1 - before.1,
        link_bytes: after.2 - before.2,
    }
}

fn totals(fleet: &Fleet) -> (f64, f64, f64) {
    let entries = Fleet::usage(&fleet.entries).cpu_s * fleet.entries.len() as f64;
    let agents = Fleet::usage(&fleet.agents).cpu_s * fleet.agents.len() as f64;
    (entries, agents, fleet.link_traffic().1)
}

fn request(fleet: &Fleet, number: u32, tokens: u32) -> reqwest::RequestBuilder {
    let entry = number as usize % fleet.stage.entries.len();
    let address = fleet.stage.entries[entry].caller_address;
    let groups = fleet.size.shape().groups;
    let body = json!({
        "model": FleetShape::model(number % groups),
        "max_tokens": tokens,
        "stream": true,
        "messages": [{"role": "user", "content": format!("question {number}")}],
    });
    fleet
        .client
        .post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(FleetShape::key(number % fleet.size.shape().teams))
        .json(&body)
}

async fn is_whole(request: reqwest::RequestBuilder) -> bool {
    let Ok(answer) = request.send().await else { return false };
    let Ok(text) = answer.text().await else { return false };
    text.trim_end().ends_with("data: [DONE]")
}
