//! `demo`: a whole fleet in one process, on loopback.

mod stage;

use crate::console::OperatorCredential;
use crate::program::Entry;
use clap::{Arg, ArgMatches, Command, value_parser};
use hickorycross_agent::Agent;
use hickorycross_runtime::exposition::Exposition;
use hickorycross_runtime::logs;
use hickorycross_runtime::signals::StopSignals;
use hickorycross_standins::Knobs;
use miette::IntoDiagnostic;
use std::path::PathBuf;

pub use stage::{BackendStandIn, LockStep, Stage, StageError, StageOptions};

/// The document that the demo shows unless told otherwise.
const DOCUMENT: &str = include_str!("../../../../examples/saraswati.json");
/// Entries of the demo: one in each failure domain.
const ENTRIES: u8 = 3;
/// Loopback addresses of the demo: 127.77.0.0/24.
const NETWORK: [u8; 2] = [77, 0];
/// Who may sign in to the demo's console; the password is drawn at each start.
const OPERATOR: &str = "demo";
/// Pace of the demo's stand-ins.
const FIRST_PIECE_MS: u64 = 60;
const BETWEEN_PIECES_MS: u64 = 20;

/// Steps of the demo's groups: slow enough for a laptop.
const LOCK_STEP: LockStep =
    LockStep { even_step_us: 40_000, window_steps: 25, expert_load_us: 1_000 };

/// The command.
pub(crate) fn command() -> Command {
    Command::new("demo")
        .about("Run a whole fleet in this process, on loopback, until Ctrl-C")
        .arg(
            Arg::new("document")
                .long("document")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("The document to run [default: the school spelling example]"),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FILTER")
                .default_value("warn,audit=off,security=error")
                .help("Log levels, in the form of RUST_LOG"),
        )
}

/// Runs the demo until a signal.
///
/// # Errors
///
/// When the document has faults or an address is taken.
pub(crate) fn run(matches: &ArgMatches) -> miette::Result<()> {
    let log_filter = matches.get_one::<String>("log").cloned().unwrap_or_default();
    logs::install(&log_filter).into_diagnostic()?;
    let document = match matches.get_one::<PathBuf>("document") {
        Some(path) => std::fs::read_to_string(path).into_diagnostic()?,
        None => DOCUMENT.to_owned(),
    };
    let knobs = Knobs {
        first_piece_ms: FIRST_PIECE_MS,
        between_pieces_ms: BETWEEN_PIECES_MS,
        ..Knobs::default()
    };
    let options = StageOptions {
        document,
        entries: ENTRIES,
        network: NETWORK,
        knobs,
        lock_step: Some(LOCK_STEP),
        log_filter,
    };
    let runtime = tokio::runtime::Runtime::new().into_diagnostic()?;
    runtime.block_on(serve(&options))
}

async fn serve(options: &StageOptions) -> miette::Result<()> {
    let mut signals = StopSignals::install().into_diagnostic()?;
    let exposition = Exposition::install().into_diagnostic()?;
    let mut stage = Stage::set_up(options).await?;
    let password = format!("{:016x}", rand::random::<u64>());
    let operator = OperatorCredential::new(OPERATOR, &password).into_diagnostic()?;
    for settings in &mut stage.entries {
        settings.operators.push(operator.clone());
    }
    let mut agents = Vec::new();
    for settings in &stage.agents {
        agents.push(Agent::start(settings, exposition.clone()).await?);
    }
    let mut entries = Vec::new();
    for settings in &stage.entries {
        entries.push(Entry::start(settings, exposition.clone()).await?);
    }
    print_welcome(&stage, &password);
    signals.next().await;
    Ok(())
}

fn print_welcome(stage: &Stage, password: &str) {
    let Some(entry) = stage.entries.first() else {
        return;
    };
    println!("A fleet of {} agents and {} entries runs.", stage.agents.len(), stage.entries.len());
    println!("Ask for a correction (the key is public, see examples/README.md):\n");
    println!(
        "  curl -N http://{}/v1/chat/completions -H 'authorization: Bearer \
         example-key-spelling-school-1' -H 'content-type: application/json' -d \
         '{{\"model\":\"gujarati-line\",\"stream\":true,\"max_tokens\":8,\"messages\":[{{\"role\":\
         \"user\",\"content\":\"kem chho\"}}]}}'\n",
        entry.caller_address
    );
    println!("Operators: http://{}/status", entry.operator_address);
    println!(
        "Console: http://{}/console, name {OPERATOR}, password {password}",
        entry.operator_address
    );
    println!("Platform stand-in: http://{}/v1/config", stage.platform.address());
    println!("Ctrl-C ends it.");
}
