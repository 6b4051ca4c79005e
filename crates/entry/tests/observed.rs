//! Tests of the exported metrics against the tables in docs/METRICS.md.

mod fleet;

use fleet::{Fleet, SCHOOL_DOCUMENT};
use googletest::prelude::*;
use hickorycross_runtime::exposition::MetricName;
use hickorycross_standins::Knobs;
use std::path::Path;
use std::time::Duration;

/// Limit on polls, so that a failing test ends.
const MAX_POLLS: u32 = 200;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn names_and_kinds(metrics: &[MetricName]) -> Vec<String> {
    let mut names: Vec<_> =
        metrics.iter().map(|metric| format!("{} {}", metric.name, metric.kind.as_str())).collect();
    names.sort();
    names
}

/// Returns the names and kinds in the tables of docs/METRICS.md.
fn documented_metrics(prefix: &str) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let page = std::fs::read_to_string(path).expect("the page");
    let rows = page.lines().filter(|line| line.starts_with(&format!("| `{prefix}")));
    let cells = rows.map(|line| line.split('|').map(str::trim).collect::<Vec<_>>());
    let mut names: Vec<_> =
        cells.map(|cells| format!("{} {}", cells[1].trim_matches('`'), cells[2])).collect();
    names.sort();
    names
}

#[gtest]
fn documentation_lists_every_metric() {
    let entry = names_and_kinds(&hickorycross_entry::metric_names());
    let agent = names_and_kinds(&hickorycross_agent::metric_names());
    expect_that!(documented_metrics("hickorycross_entry_"), eq(&entry));
    expect_that!(documented_metrics("hickorycross_agent_"), eq(&agent));
}

/// Running processes export exactly the listed metrics once they have served a request.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn processes_export_listed_metrics() -> googletest::Result<()> {
    let fleet = Fleet::start(SCHOOL_DOCUMENT, 1, Knobs::default()).await;
    let request = fleet.post(0, "spelling-school-1", "/textbook/words", &"word");
    expect_that!(request.send().await.or_fail()?.status().as_u16(), eq(200));
    let entry = fleet.stage.entries[0].operator_address;
    let agent = fleet.stage.agents[0].operator_address;
    let listed = [
        (entry, names_and_kinds(&hickorycross_entry::metric_names())),
        (agent, names_and_kinds(&hickorycross_agent::metric_names())),
    ];
    for (address, listed) in listed {
        let url = format!("http://{address}/metrics");
        let exported = async || {
            let answer = fleet.client.get(&url).send().await.expect("an answer");
            exported_types(&answer.text().await.expect("a text"))
        };
        let mut polls = 0;
        while exported().await.len() < listed.len() && polls < MAX_POLLS {
            polls += 1;
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        expect_that!(exported().await, eq(&listed));
    }
    Ok(())
}

fn exported_types(text: &str) -> Vec<String> {
    let mut types: Vec<_> =
        text.lines().filter_map(|line| line.strip_prefix("# TYPE ")).map(str::to_owned).collect();
    types.sort();
    types
}
