//! The audit trail with filters, and whether it is whole.

use super::layout::{Chrome, Page, Shown, clock};
use hickorycross_config::Digest;
use hickorycross_core::UnixMs;
use hickorycross_core::audit::Change;
use hickorycross_runtime::trail::{self, Trail, TrailEntry, TrailFault};
use maud::{Markup, html};
use serde_json::Value;

/// Most records on a page; the newest are shown.
const MAX_SHOWN: usize = 500;

/// Which records are shown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AuditFilter<'a> {
    /// Only this kind.
    pub(crate) kind: Option<&'a str>,
    /// Only records that contain this text.
    pub(crate) text: Option<&'a str>,
    /// Only records from this moment on.
    pub(crate) since: Option<UnixMs>,
}

/// The page of the trail.
pub(crate) fn audit(chrome: &Chrome, trail: &Trail, filter: &AuditFilter<'_>) -> Page {
    let entries = trail.since(0);
    let mut kinds: Vec<String> =
        entries.iter().map(|entry| kind_of(&entry.record.change)).collect();
    kinds.sort_unstable();
    kinds.dedup();
    let found: Vec<&TrailEntry> =
        entries.iter().rev().filter(|entry| is_wanted(entry, filter)).collect();
    let body = html! {
        (wholeness(&entries))
        (filters(filter, &kinds))
        p { (found.len()) " of " (entries.len()) " kept records."
            @if found.len() > MAX_SHOWN { " The newest " (MAX_SHOWN) " are shown." } }
        table {
            thead {
                tr {
                    th { "No." } th { "Time (UTC)" } th { "Who" } th { "What" }
                    th { "Before" } th { "After" } th { "In force then" }
                }
            }
            tbody { @for entry in found.iter().take(MAX_SHOWN) { (row(entry)) } }
        }
        p { a href="/audit" { "All kept records as JSON" } }
    };
    chrome.page("Audit trail", &body)
}

fn wholeness(entries: &[TrailEntry]) -> Markup {
    let first = entries.first().map_or(1, |entry| entry.sequence);
    html! {
        @match trail::check(entries) {
            None => p { "The kept records follow one another without a gap." },
            Some(TrailFault::Missing { expected, found }) => p.fault role="alert" {
                "Records are missing: after " (expected - 1) " comes " (found) "."
            },
            Some(TrailFault::Altered { sequence }) => p.fault role="alert" {
                "Record " (sequence) " does not match its hash."
            },
        }
        @if first > 1 {
            p.help { "Records before " (first) " are no longer kept here; the log has them." }
        }
    }
}

fn filters(filter: &AuditFilter<'_>, kinds: &[String]) -> Markup {
    html! {
        form.filters method="get" action="/console/audit" {
            label for="kind" { "Kind" }
            select #kind name="kind" {
                option value="" { "all" }
                @for kind in kinds {
                    option value=(kind) selected[filter.kind == Some(kind)] { (kind) }
                }
            }
            label for="text" { "Contains" }
            input #text name="text" value=(filter.text.unwrap_or_default());
            label for="since" { "From (UTC)" }
            input #since name="since" placeholder="2026-01-31T08:00:00Z"
                value=(filter.since.map_or_else(String::new, clock));
            button { "Show" }
        }
    }
}

fn row(entry: &TrailEntry) -> Markup {
    let record = &entry.record;
    let sides = Sides::of(&record.change);
    html! {
        tr {
            td { (entry.sequence) }
            td { (clock(record.at)) }
            td { (record.actor.to_string()) }
            td { (kind_of(&record.change).replace('_', " ")) @if !sides.about.is_empty() { ": " (sides.about) } }
            td { (sides.before) }
            td { (sides.after) }
            td { (Shown(record.stamp)) }
        }
    }
}

fn kind_of(change: &Change) -> String {
    let json = serde_json::to_value(change).unwrap_or_default();
    json["kind"].as_str().unwrap_or_default().to_owned()
}

fn is_wanted(entry: &TrailEntry, filter: &AuditFilter<'_>) -> bool {
    let record = &entry.record;
    let text = || serde_json::to_string(record).unwrap_or_default();
    filter.since.is_none_or(|since| record.at >= since)
        && filter.kind.is_none_or(|kind| kind_of(&record.change) == kind)
        && filter.text.is_none_or(|wanted| text().contains(wanted))
}

/// What a change is about, what was before and what is after it.
#[derive(Debug, Default)]
struct Sides {
    about: String,
    before: String,
    after: String,
}

impl Sides {
    fn of(change: &Change) -> Self {
        let mut sides = Self::default();
        let mut about = Vec::new();
        let json = serde_json::to_value(change).unwrap_or_default();
        for (key, value) in json.as_object().into_iter().flatten() {
            match key.as_str() {
                "kind" => {}
                "before" | "base" => sides.before = worded(value),
                "after" => sides.after = worded(value),
                "digest" => sides.after = hex(value),
                _ => about.push(format!("{} {}", key.replace('_', " "), worded(value))),
            }
        }
        sides.about = about.join(", ");
        sides
    }
}

fn worded(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Object(members) if members.contains_key("revision") => {
            format!("revision {} ({})", members["revision"], hex(&members["digest"]))
        }
        other => other.to_string(),
    }
}

/// A digest as the other pages write it.
fn hex(value: &Value) -> String {
    Digest(value.as_u64().unwrap_or_default()).to_string()
}
