//! Measures what each role costs, by the size of the fleet, in virtual time and one thread.
//!
//! `cargo run --release -p hickorycross-lab --example capacity -- --out docs/results/capacity`

use clap::{Arg, Command, value_parser};
use hickorycross_lab::capacity::{DesignSize, Effort, measure, print, write};
use miette::IntoDiagnostic;
use std::path::PathBuf;

fn main() -> miette::Result<()> {
    let matches = command().get_matches();
    let trials = matches.get_one::<u32>("trials").copied().unwrap_or(5);
    let measurement = measure(Effort { trials, design: DesignSize::PLAN });
    print!("{}", print(&measurement));
    if let Some(out) = matches.get_one::<PathBuf>("out") {
        write(&measurement, out).into_diagnostic()?;
    }
    Ok(())
}

fn command() -> Command {
    Command::new("capacity")
        .about("Measures processor time, memory and bytes of each role by the size of the fleet")
        .arg(
            Arg::new("trials")
                .long("trials")
                .help("Repeats of each point")
                .value_parser(value_parser!(u32).range(1..))
                .default_value("5"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .help("Directory for JSON and CSV")
                .value_parser(value_parser!(PathBuf)),
        )
}
