//! What the path over an entry and an agent adds to a direct call of the same backend server.
//!
//! `cargo run --release -p hickorycross-entry --example overhead`
//!
//! Direct calls and calls over the path alternate in blocks within one run, so that whatever else
//! the machine does meets both. The backend server is a few lines over TCP, to cost little.

use hdrhistogram::Histogram;
use hickorycross_agent::Agent;
use hickorycross_entry::Entry;
use hickorycross_entry::demo::{Stage, StageOptions};
use hickorycross_runtime::exposition::Exposition;
use hickorycross_runtime::logs;
use hickorycross_standins::Knobs;
use miette::IntoDiagnostic;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

const DOCUMENT: &str = include_str!("../../../examples/saraswati.json");
const KEY: &str = "example-key-spelling-school-1";
/// Callers at once.
const CALLERS: [usize; 3] = [1, 32, 256];
/// Calls of one block, over all callers.
const BLOCK_CALLS: usize = 2_560;
/// Blocks of each kind for each number of callers, after one of each that is not counted.
const BLOCKS: usize = 5;
const NETWORK: [u8; 2] = [81, 7];
const SIGNIFICANT_DIGITS: u8 = 3;
const READY_PAUSE: Duration = Duration::from_millis(50);
const REQUEST_BODY: &str = r#"{"word":"pustak"}"#;
/// A head and a body of 256 bytes.
const ANSWER_BODY_BYTES: usize = 256;

#[tokio::main]
async fn main() -> miette::Result<()> {
    // As the programs do. Without a logger of the process's own, Rocket installs one that prints
    // several lines for each request.
    logs::install("warn,audit=off,security=off").into_diagnostic()?;
    let backend = start_backend().await;
    let document = without_limits();
    let options = StageOptions {
        document,
        entries: 1,
        network: NETWORK,
        knobs: Knobs::default(),
        log_filter: "off".to_owned(),
        lock_step: None,
    };
    let mut stage = Stage::set_up(&options).await?;
    let mut agents = Vec::new();
    for settings in &mut stage.agents {
        settings.backend_url = format!("http://{backend}");
        agents.push(Agent::start(settings, Exposition::detached()).await?);
    }
    let _entry = Entry::start(&stage.entries[0], Exposition::detached()).await?;
    let client = reqwest::Client::builder().no_proxy().build().expect("a client");
    wait_until_ready(&client, stage.entries[0].operator_address).await;
    let direct = format!("http://{backend}/textbook/words");
    let path = format!("http://{}/textbook/words", stage.entries[0].caller_address);
    println!(
        "| callers | direct p50 us | direct p99 us | path p50 us | path p99 us | p50 ratio | p99 ratio | path calls/s | failed |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for callers in CALLERS {
        compare(&client, &direct, &path, callers).await;
    }
    Ok(())
}

/// Limits of teams would refuse most of the calls.
fn without_limits() -> String {
    let mut document =
        hickorycross_config::parse(DOCUMENT.as_bytes()).expect("the example is valid");
    for team in &mut document.teams {
        team.limit.requests_per_s = 1_000_000;
        team.limit.burst_requests = 1_000_000;
    }
    for server in &mut document.backend_servers {
        server.slots = 1_024;
        server.queue_slots = 1_024;
    }
    document.canonical_json()
}

async fn compare(client: &reqwest::Client, direct: &str, path: &str, callers: usize) {
    let mut of_direct = Block::new();
    let mut of_path = Block::new();
    for block in 0..=BLOCKS {
        let one = run(client, direct, callers).await;
        let other = run(client, path, callers).await;
        if block > 0 {
            of_direct.add(&one);
            of_path.add(&other);
        }
    }
    let [d50, d99] = of_direct.quantiles();
    let [p50, p99] = of_path.quantiles();
    println!(
        "| {callers} | {d50} | {d99} | {p50} | {p99} | {:.2} | {:.2} | {:.0} | {} |",
        p50 as f64 / d50 as f64,
        p99 as f64 / d99 as f64,
        of_path.times_us.len() as f64 / of_path.lasted_s,
        of_path.failed + of_direct.failed
    );
}

/// Calls of one kind.
struct Block {
    times_us: Histogram<u64>,
    failed: u64,
    lasted_s: f64,
}

impl Block {
    fn new() -> Self {
        let times_us = Histogram::new(SIGNIFICANT_DIGITS).expect("digits in range");
        Self { times_us, failed: 0, lasted_s: 0.0 }
    }

    fn add(&mut self, other: &Self) {
        self.times_us.add(&other.times_us).expect("histograms of one kind");
        self.failed += other.failed;
        self.lasted_s += other.lasted_s;
    }

    fn quantiles(&self) -> [u64; 2] {
        [0.5, 0.99].map(|quantile| self.times_us.value_at_quantile(quantile))
    }
}

async fn run(client: &reqwest::Client, url: &str, callers: usize) -> Block {
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        tasks.spawn(call_many(client.clone(), url.to_owned(), BLOCK_CALLS / callers));
    }
    let mut whole = Block::new();
    while let Some(block) = tasks.join_next().await {
        whole.add(&block.expect("a caller ends"));
    }
    whole.lasted_s = started.elapsed().as_secs_f64();
    whole
}

async fn call_many(client: reqwest::Client, url: String, calls: usize) -> Block {
    let mut block = Block::new();
    for _ in 0..calls {
        let started = Instant::now();
        let request = client.post(&url).bearer_auth(KEY).body(REQUEST_BODY);
        let is_whole = match request.send().await {
            Ok(answer) if answer.status().is_success() => {
                answer.bytes().await.is_ok_and(|bytes| bytes.len() == ANSWER_BODY_BYTES)
            }
            _ => false,
        };
        if is_whole {
            let _ = block.times_us.record(started.elapsed().as_micros() as u64);
        } else {
            block.failed += 1;
        }
    }
    block
}

async fn wait_until_ready(client: &reqwest::Client, operators: SocketAddr) {
    let url = format!("http://{operators}/health/ready");
    loop {
        let answer = client.get(&url).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return;
        }
        tokio::time::sleep(READY_PAUSE).await;
    }
}

async fn start_backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(answer_all(stream));
        }
    });
    address
}

/// Answers every request on a connection. Requests are small, and end with their head or with the
/// one body that callers send.
async fn answer_all(mut stream: TcpStream) {
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {ANSWER_BODY_BYTES}\r\n\r\n{}",
        "x".repeat(ANSWER_BODY_BYTES)
    );
    let mut read = Vec::new();
    let mut buffer = [0; 8192];
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        read.extend_from_slice(&buffer[..count]);
        let is_whole = if read.starts_with(b"GET") {
            read.ends_with(b"\r\n\r\n")
        } else {
            read.ends_with(REQUEST_BODY.as_bytes())
        };
        if is_whole {
            read.clear();
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
