//! Starts the agent.

use std::process::ExitCode;

fn main() -> ExitCode {
    hickorycross_agent::run(std::env::args_os())
}
