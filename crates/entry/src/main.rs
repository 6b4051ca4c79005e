//! The `hickorycross-entry` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    hickorycross_entry::run(std::env::args_os())
}
