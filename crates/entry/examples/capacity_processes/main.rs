//! Measures real processes in idle, at a change, at the start of all, and under load.
//!
//! `cargo build --release --workspace`, then
//! `cargo run --release -p hickorycross-entry --example capacity_processes -- --out docs/results/capacity`

mod fleet;
mod load;
mod process;
mod report;

use clap::{Arg, Command, value_parser};
use fleet::{Fleet, FleetSize, Spread};
use hickorycross_lab::capacity::{Series, write_csv};
use hickorycross_standins::Knobs;
use load::Load;
use miette::IntoDiagnostic;
use report::{Axis, Points};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::time::Duration;

const SIZES: [FleetSize; 4] = [
    FleetSize { entries: 2, agents: 8 },
    FleetSize { entries: 4, agents: 16 },
    FleetSize { entries: 8, agents: 32 },
    FleetSize { entries: 24, agents: 96 },
];
const LOADED: FleetSize = FleetSize { entries: 2, agents: 8 };
const IDLE: Duration = Duration::from_secs(15);
const SETTLE: Duration = Duration::from_secs(3);
/// New links look for the largest datagram of their path, and demand fades.
const QUIET: Duration = Duration::from_secs(15);
const RATES_PER_S: [u32; 4] = [5, 10, 20, 40];
const TOKENS: [u32; 4] = [8, 32, 64, 128];
const SPAN_MS: u64 = 8_000;
/// Requests that open the links of every entry.
const OPENING_REQUESTS_PER_ENTRY: u32 = 32;
const CHANGES: u32 = 2;
const PROCESSES: f64 = 1_300.0;
/// IP and UDP headers of a datagram, which the relays do not see.
const IP_UDP_BYTES: f64 = 28.0;

fn axis(role: &'static str) -> Axis {
    Axis { role, varied: "processes", design_x: PROCESSES }
}

/// What is written.
#[derive(Serialize)]
struct Report {
    load_average: [String; 2],
    series: Vec<Series>,
}

#[tokio::main]
async fn main() -> miette::Result<()> {
    let matches = command().get_matches();
    let before = load_average();
    let mut points = Points::default();
    let only = matches.get_one::<u32>("only").copied();
    for (trial, size) in SIZES.iter().enumerate() {
        if only.is_none_or(|only| only == size.processes()) {
            println!("trial {trial}: {size:?}, load {}", load_average());
            measure_idle(&mut points, *size).await?;
        }
    }
    if only.is_none() {
        measure_load(&mut points).await?;
    }
    let report = Report { load_average: [before, load_average()], series: points.into_series() };
    for series in &report.series {
        print_line(series);
    }
    match matches.get_one::<PathBuf>("out") {
        Some(out) => write(&report, out),
        None => Ok(()),
    }
}

fn command() -> Command {
    Command::new("capacity_processes")
        .about("Measures real processes in idle, at a change, at the start of all, under load")
        .arg(
            Arg::new("only")
                .long("only")
                .help("Only the fleet of this many processes, without load")
                .value_parser(value_parser!(u32)),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .help("Directory for JSON and CSV")
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Start of all, changes and idle without links, then changes and idle with links.
async fn measure_idle(points: &mut Points, size: FleetSize) -> miette::Result<()> {
    let x = f64::from(size.processes());
    let (fleet, start) = Fleet::start(size, Knobs::default()).await?;
    let platform = axis("platform");
    points.add(platform, "start_reads", x, 0, start.reads as f64);
    points.add(platform, "start_peak_reads_per_s", x, 0, start.peak_reads_per_s as f64);
    points.add(platform, "start_refused", x, 0, start.refused as f64);
    points.add(axis("every"), "start_ready_s", x, 0, start.ready_s);
    tokio::time::sleep(SETTLE).await;
    for trial in 0..CHANGES {
        let before = fleet.stage.platform.read_counts().accepted();
        let spread = fleet.change(&format!("without links {trial}")).await?;
        let reads = fleet.stage.platform.read_counts().accepted() - before;
        add_spread(points, x, trial, &spread, ["change_cold_ms_median", "change_cold_ms_max"]);
        points.add(axis("every"), "change_cold_missing", x, trial, spread.missing as f64);
        points.add(platform, "change_cold_reads", x, trial, reads as f64);
    }
    idle(points, &fleet, x, ["idle_cold_cpu_permille", "idle_cold_reads_per_s"]).await;
    // Every process opened a few links at its start and closed them again.
    let start_links = fleet.links();
    open_links(&fleet).await;
    tokio::time::sleep(QUIET).await;
    let links = (fleet.links() - start_links) as f64;
    points.add(axis("entry"), "links_per_entry", x, 0, links / f64::from(size.entries));
    let before = fleet.link_traffic();
    idle(points, &fleet, x, ["idle_linked_cpu_permille", "idle_linked_reads_per_s"]).await;
    let after = fleet.link_traffic();
    let wire = after.1 - before.1 + IP_UDP_BYTES * (after.0 - before.0);
    let bytes_per_s = wire / IDLE.as_secs_f64();
    points.add(axis("link"), "idle_bytes_per_s", x, 0, bytes_per_s / links);
    let per_entry = bytes_per_s / f64::from(size.entries);
    points.add(axis("entry"), "idle_link_bytes_per_s", x, 0, per_entry);
    for trial in 0..CHANGES {
        let before = fleet.link_traffic();
        let spread = fleet.change(&format!("with links {trial}")).await?;
        let after = fleet.link_traffic();
        let wire = after.1 - before.1 + IP_UDP_BYTES * (after.0 - before.0);
        add_spread(points, x, trial, &spread, ["change_linked_ms_median", "change_linked_ms_max"]);
        points.add(axis("every"), "change_linked_missing", x, trial, spread.missing as f64);
        points.add(axis("every"), "change_link_bytes_per_process", x, trial, 2.0 * wire / x);
    }
    Ok(())
}

fn add_spread(points: &mut Points, x: f64, trial: u32, spread: &Spread, names: [&'static str; 2]) {
    let adopted = &spread.adopted_ms;
    let median = adopted.get(adopted.len() / 2).copied().unwrap_or(f64::NAN);
    let last = adopted.last().copied().unwrap_or(f64::NAN);
    points.add(axis("every"), names[0], x, trial, median);
    points.add(axis("every"), names[1], x, trial, last);
}

/// Processor time, memory and platform reads of a quiet fleet.
async fn idle(points: &mut Points, fleet: &Fleet, x: f64, names: [&'static str; 2]) {
    let entries = Fleet::usage(&fleet.entries).cpu_s;
    let agents = Fleet::usage(&fleet.agents).cpu_s;
    let reads = fleet.stage.platform.read_counts().accepted();
    tokio::time::sleep(IDLE).await;
    let seconds = IDLE.as_secs_f64();
    let reads = fleet.stage.platform.read_counts().accepted() - reads;
    points.add(axis("platform"), names[1], x, 0, reads as f64 / seconds);
    for (role, processes, before) in
        [("entry", &fleet.entries, entries), ("agent", &fleet.agents, agents)]
    {
        let usage = Fleet::usage(processes);
        let permille = (usage.cpu_s - before) / seconds * 1e3;
        points.add(axis(role), names[0], x, 0, permille);
        points.add(axis(role), "resident_mb", x, 0, usage.resident_bytes / 1e6);
        points.add(axis(role), "peak_resident_mb", x, 0, usage.peak_resident_bytes / 1e6);
    }
}

async fn open_links(fleet: &Fleet) {
    let per_s = 10 * u32::from(fleet.size.entries);
    let requests = OPENING_REQUESTS_PER_ENTRY * u32::from(fleet.size.entries);
    let span_ms = u64::from(1_000 * requests / per_s);
    let cost = load::run(fleet, Load { requests_per_s: per_s, tokens: 4, span_ms }).await;
    println!("opened links with {} requests, {} failed", cost.requests, cost.failed);
}

/// Processor time and link bytes of each request and each token.
async fn measure_load(points: &mut Points) -> miette::Result<()> {
    let knobs = Knobs { first_piece_ms: 20, between_pieces_ms: 10, ..Knobs::default() };
    let (fleet, _) = Fleet::start(LOADED, knobs).await?;
    open_links(&fleet).await;
    for trial in 0..2 {
        for requests_per_s in RATES_PER_S {
            let load = Load { requests_per_s, tokens: 8, span_ms: SPAN_MS };
            let varied = "requests_per_s";
            // Per process the requests are a share of all.
            add_cost(points, &fleet, load, trial, varied, f64::from(requests_per_s)).await;
        }
        for tokens in TOKENS {
            let load = Load { requests_per_s: 20, tokens, span_ms: SPAN_MS };
            add_cost(points, &fleet, load, trial, "tokens_per_request", f64::from(tokens)).await;
        }
    }
    Ok(())
}

async fn add_cost(
    points: &mut Points,
    fleet: &Fleet,
    load: Load,
    trial: u32,
    varied: &'static str,
    x: f64,
) {
    let cost = load::run(fleet, load).await;
    let axis = |role| Axis { role, varied, design_x: if x < 0.0 { 0.0 } else { 206.0 } };
    let per_request_us = 1e6 / cost.requests.max(1.0);
    points.add(axis("entry"), "cpu_us_per_request", x, trial, cost.entries_cpu_s * per_request_us);
    points.add(axis("agent"), "cpu_us_per_request", x, trial, cost.agents_cpu_s * per_request_us);
    let bytes = cost.link_bytes / cost.requests.max(1.0);
    points.add(axis("link"), "bytes_per_request", x, trial, bytes);
    points.add(axis("every"), "failed_requests", x, trial, cost.failed as f64);
}

fn print_line(series: &Series) {
    let (name, fit) = (series.name, series.fit);
    println!(
        "{:<9} {:<34} by {:<22} slope {:>11.4} at zero {:>11.3} R2 {:>6.3} deviation {:>9.3}",
        name.role,
        name.measured,
        name.varied,
        fit.slope,
        fit.intercept,
        fit.r_squared,
        fit.deviation
    );
}

fn write(report: &Report, directory: &Path) -> miette::Result<()> {
    std::fs::create_dir_all(directory).into_diagnostic()?;
    let json = serde_json::to_vec_pretty(report).into_diagnostic()?;
    std::fs::write(directory.join("processes.json"), json).into_diagnostic()?;
    write_csv(&report.series, &directory.join("processes.csv")).into_diagnostic()
}

fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().take(3).collect::<Vec<_>>().join(" ")
}
