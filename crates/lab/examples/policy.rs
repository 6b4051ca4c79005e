//! Measures the entry's policies against baselines.
//!
//! `cargo run --release -p hickorycross-lab --example policy -- --out docs/results/policy`

use clap::{Arg, Command, value_parser};
use hickorycross_lab::policy::{Effort, measure, print};
use miette::IntoDiagnostic;
use std::path::PathBuf;

fn main() -> miette::Result<()> {
    let matches = command().get_matches();
    let seeds = matches.get_one::<u64>("seeds").copied().unwrap_or(3);
    let only = matches.get_one::<String>("only").cloned().unwrap_or_default();
    let policy = matches.get_one::<String>("policy").cloned().unwrap_or_default();
    let measurement = measure(&Effort { seeds, only, policy });
    print!("{}", print(&measurement));
    if let Some(out) = matches.get_one::<PathBuf>("out") {
        hickorycross_lab::policy::write(&measurement, out).into_diagnostic()?;
    }
    Ok(())
}

fn command() -> Command {
    Command::new("policy")
        .about("Measures the entry's policies against baselines")
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .help("Seeds; every scenario runs once with each")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("3"),
        )
        .arg(
            Arg::new("only")
                .long("only")
                .help("Only scenarios whose name contains this text; `overshoot` for the limits"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .help("Only sets of policies whose name contains this text"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .help("Directory for JSON, CSV and SVG")
                .value_parser(value_parser!(PathBuf)),
        )
}
