//! The command `status`: prints the state of a running process.

use super::Failure;
use super::fetch::get;
use crate::operators::Status;
use clap::{Arg, ArgAction, ArgMatches, Command};
use hickorycross_config::Stamp;

/// Returns the command `status`.
#[must_use]
pub fn status_command() -> Command {
    Command::new("status")
        .about("Show the state of a running process")
        .arg(url_argument())
        .arg(json_argument())
}

pub(super) fn url_argument() -> Arg {
    Arg::new("url")
        .required(true)
        .value_name("URL")
        .help("Operators' address of the process, such as http://10.0.0.7:7401")
}

pub(super) fn json_argument() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON")
}

pub(super) fn url(matches: &ArgMatches) -> &str {
    matches.get_one::<String>("url").map_or("", String::as_str)
}

/// Prints the state of the process, as text or as JSON.
///
/// # Errors
///
/// If the process cannot be reached.
pub fn status(matches: &ArgMatches) -> Result<(), Failure> {
    let status: Status = get(url(matches), "/status")?;
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&status).unwrap_or_default());
    } else {
        print!("{}", readable(&status));
    }
    Ok(())
}

fn readable(status: &Status) -> String {
    let state = match (status.ready, status.draining) {
        (_, true) => "draining: takes nothing new",
        (true, false) => "ready",
        (false, false) => "not ready: waits for its first configuration",
    };
    let refused = status.refused.map_or_else(String::new, |stamp| {
        format!("refused      {} (newer, has faults)\n", stamp_text(stamp))
    });
    let detail = match &status.detail {
        serde_json::Value::Null => String::new(),
        detail => format!("detail\n{}\n", indented(detail)),
    };
    format!(
        "program      {} {}\ninstance     {}\nincarnation  {}\nstate        {state}\n\
         document     {}\n{refused}wall clock   {} ms ahead of the clock of deadlines\n{detail}",
        status.program,
        status.version,
        status.instance,
        status.incarnation,
        stamp_text(status.stamp),
        status.wall_offset_ms,
    )
}

fn stamp_text(stamp: Stamp) -> String {
    if stamp == Stamp::NONE {
        return "none".to_owned();
    }
    format!("revision {}, digest {}", stamp.revision, stamp.digest)
}

fn indented(value: &serde_json::Value) -> String {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    text.lines().map(|line| format!("  {line}")).collect::<Vec<_>>().join("\n")
}
