//! What operators see: metrics, and one line of log for each event.

mod fleet;

use fleet::{Fleet, SCHOOL};
use googletest::prelude::*;
use hickorycross_runtime::exposition::MetricName;
use hickorycross_standins::Knobs;
use std::path::Path;
use std::time::Duration;

/// The bound only ends a test that would hang.
const TRIES: u32 = 200;
const PAUSE: Duration = Duration::from_millis(50);

fn names(metrics: &[MetricName]) -> Vec<String> {
    let mut names: Vec<_> =
        metrics.iter().map(|metric| format!("{} {}", metric.name, metric.kind.as_str())).collect();
    names.sort();
    names
}

/// Names and kinds in the tables of the page.
fn page(prefix: &str) -> Vec<String> {
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
fn the_page_lists_every_metric() {
    let entry = names(&hickorycross_entry::metric_names());
    let agent = names(&hickorycross_agent::metric_names());
    expect_that!(page("hickorycross_entry_"), eq(&entry));
    expect_that!(page("hickorycross_agent_"), eq(&agent));
}

/// What running processes show is listed, and what is listed is shown once there was a request.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn processes_show_what_is_listed() -> googletest::Result<()> {
    let fleet = Fleet::start(SCHOOL, 1, Knobs::default()).await;
    let asked = fleet.post(0, "spelling-school-1", "/textbook/words", &"word");
    expect_that!(asked.send().await.or_fail()?.status().as_u16(), eq(200));
    let entry = fleet.stage.entries[0].operator_address;
    let agent = fleet.stage.agents[0].operator_address;
    let listed = [
        (entry, names(&hickorycross_entry::metric_names())),
        (agent, names(&hickorycross_agent::metric_names())),
    ];
    for (address, listed) in listed {
        let url = format!("http://{address}/metrics");
        let shown = async || {
            let answer = fleet.client.get(&url).send().await.expect("an answer");
            types(&answer.text().await.expect("a text"))
        };
        let mut tries = 0;
        while shown().await.len() < listed.len() && tries < TRIES {
            tries += 1;
            tokio::time::sleep(PAUSE).await;
        }
        expect_that!(shown().await, eq(&listed));
    }
    Ok(())
}

fn types(text: &str) -> Vec<String> {
    let mut types: Vec<_> =
        text.lines().filter_map(|line| line.strip_prefix("# TYPE ")).map(str::to_owned).collect();
    types.sort();
    types
}
