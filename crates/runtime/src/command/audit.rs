//! The command `audit`: prints the audit trail of a running process and checks it for gaps.

use super::Failure;
use super::fetch::get;
use super::status::{json_argument, url, url_argument};
use crate::trail::{self, TrailEntry, TrailFault};
use clap::{Arg, ArgMatches, Command, value_parser};
use hickorycross_core::audit::Actor;
use serde_json::Value;

/// Returns the command `audit`.
#[must_use]
pub fn audit_command() -> Command {
    Command::new("audit")
        .about("Show the audit trail of a running process and check it for gaps")
        .after_help(
            "The check of sequence and hashes covers all records that were read, before any \
             filter but --since. The first record's own hash is taken on trust.",
        )
        .arg(url_argument())
        .arg(
            Arg::new("since")
                .long("since")
                .value_name("SEQUENCE")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("First record to read"),
        )
        .arg(filter("kind", "KIND", "Only this kind, such as document_adopted"))
        .arg(filter("actor", "NAME", "Only changes by this operator, or by system or platform"))
        .arg(filter("text", "TEXT", "Only records that contain this text"))
        .arg(json_argument())
}

fn filter(name: &'static str, value: &'static str, about: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(about)
}

/// Prints the records that pass the filters, then reports a gap or an altered record among all that
/// were read.
///
/// # Errors
///
/// If the process cannot be reached, or the trail has a gap or an altered record.
pub fn audit(matches: &ArgMatches) -> Result<(), Failure> {
    let since = matches.get_one::<u64>("since").copied().unwrap_or(1);
    let entries: Vec<TrailEntry> = get(url(matches), &format!("/audit?since={since}"))?;
    let filter = Filter::of(matches);
    let selected = entries.iter().filter(|entry| filter.passes(entry));
    if matches.get_flag("json") {
        let selected: Vec<_> = selected.collect();
        println!("{}", serde_json::to_string_pretty(&selected).unwrap_or_default());
    } else {
        selected.for_each(|entry| println!("{}", readable(entry)));
    }
    report_dropped_records(since, &entries);
    check_result(trail::check(&entries))
}

/// Prints a note if the first requested records are no longer in memory. A process keeps a bounded
/// number of records, so this is not a gap.
fn report_dropped_records(since: u64, entries: &[TrailEntry]) {
    if let Some(first) = entries.first().filter(|first| first.sequence > since.max(1)) {
        let last = first.sequence - 1;
        eprintln!("records {since} to {last} are no longer kept; they stand in the log");
    }
}

fn check_result(fault: Option<TrailFault>) -> Result<(), Failure> {
    let report = match fault {
        None => return Ok(()),
        Some(TrailFault::Missing { expected, found }) => {
            miette::miette!("the trail has a gap: expected record {expected}, found {found}")
        }
        Some(TrailFault::Altered { sequence }) => {
            miette::miette!("record {sequence} was altered: its hash does not follow")
        }
    };
    Err(Failure::BrokenTrail(report))
}

struct Filter<'a> {
    kind: Option<&'a String>,
    actor: Option<&'a String>,
    text: Option<&'a String>,
}

impl<'a> Filter<'a> {
    fn of(matches: &'a ArgMatches) -> Self {
        Self {
            kind: matches.get_one("kind"),
            actor: matches.get_one("actor"),
            text: matches.get_one("text"),
        }
    }

    fn passes(&self, entry: &TrailEntry) -> bool {
        let change = serde_json::to_value(&entry.record.change).unwrap_or_default();
        let matches_field = |name: &str, wanted: Option<&String>| {
            wanted.is_none_or(|wanted| change[name].as_str() == Some(wanted))
        };
        let contains = self.text.is_none_or(|text| change.to_string().contains(text.as_str()));
        matches_field("kind", self.kind) && self.is_by(&entry.record.actor) && contains
    }
}

impl Filter<'_> {
    fn is_by(&self, actor: &Actor) -> bool {
        self.actor.is_none_or(|wanted| match actor {
            Actor::Operator(name) => name == wanted,
            Actor::System | Actor::Platform => actor.to_string() == *wanted,
        })
    }
}

fn readable(entry: &TrailEntry) -> String {
    let change = serde_json::to_value(&entry.record.change).unwrap_or_default();
    let kind = change["kind"].as_str().unwrap_or_default();
    let fields = change.as_object().into_iter().flatten().filter(|(name, _)| *name != "kind");
    let fields = fields.map(|(name, value)| format!(" {name}={}", json_text(value)));
    format!(
        "{:>6}  {}  revision {}  {}  {kind}{}",
        entry.sequence,
        timestamp(entry.record.at.0),
        entry.record.stamp.revision,
        entry.record.actor,
        fields.collect::<String>()
    )
}

/// Formats a value as JSON, which keeps text on one line.
fn json_text(value: &Value) -> String {
    value.to_string()
}

fn timestamp(unix_ms: u64) -> String {
    let timestamp =
        i64::try_from(unix_ms).ok().and_then(|ms| jiff::Timestamp::from_millisecond(ms).ok());
    timestamp.map_or_else(|| format!("{unix_ms} ms"), |timestamp| timestamp.to_string())
}
