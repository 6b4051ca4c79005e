//! Entry point of the `hickorycross-agent` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    hickorycross_agent::run(std::env::args_os())
}
