//! What a draft changes, what stands in its way, and what has changed under it.

use super::edit::{as_json, carried, place_of, steps};
use super::layout::{Chrome, Page, Shown};
use crate::console::draft::Draft;
use crate::console::place::Go;
use crate::console_state::ActiveDocument;
use hickorycross_config::{
    Balance, Change, Document, Edit, Fault, SCHEMA_VERSION, Stamp, diff, warnings,
};
use maud::{Markup, html};

/// The review of a draft.
pub(crate) fn review(chrome: &Chrome, draft: &Draft, in_force: Option<&ActiveDocument>) -> Page {
    let judged = draft.judge();
    let faults = judged.as_ref().err().map_or(&[][..], Vec::as_slice);
    let body = html! {
        form method="post" action="/console/draft" {
            button.first name="go" value=(Go::Review) { "Review again" }
            (carried(chrome, draft))
            (steps(draft, None, faults))
            @match &judged {
                Err(faults) => (faulty(faults)),
                Ok(document) => (valid(draft, document, in_force)),
            }
            (as_json(draft))
        }
    };
    chrome.page("Review", &body)
}

fn faulty(faults: &[Fault]) -> Markup {
    html! {
        h2 { "To mend: " (faults.len()) }
        p { "The draft cannot be published yet." }
        ul.faults {
            @for fault in faults {
                li {
                    code { (fault.path) } ": found " (fault.value) ", allowed is "
                    (fault.allowed) ". "
                    @if let Some(place) = place_of(fault) {
                        button name="go" value=(Go::To(place))
                            aria-label={ "Mend " (fault.path) } { "Mend" }
                    }
                }
            }
        }
    }
}

fn valid(draft: &Draft, document: &Document, in_force: Option<&ActiveDocument>) -> Markup {
    let nothing = empty();
    let held = in_force.map_or(&nothing, |one| &*one.document);
    let stamp = in_force.map_or(Stamp::NONE, |one| one.stamp);
    if stamp.revision == draft.base.revision {
        return changes(held, document, stamp);
    }
    conflict(draft, document, held, stamp)
}

fn changes(held: &Document, document: &Document, stamp: Stamp) -> Markup {
    let changes = diff(held, document);
    let warnings = warnings(held, document);
    html! {
        p { "Compared with the document in force: " (Shown(stamp)) "." }
        @if !warnings.is_empty() {
            section.notice {
                h2 { "Warnings: " (warnings.len()) }
                ul { @for warning in &warnings { li { (warning) } } }
            }
        }
        h2 { "Changes: " (changes.len()) }
        (listed(&changes, &[]))
        @if changes.is_empty() {
            p { "Nothing would change; there is nothing to publish." }
        } @else {
            p.buttons { button name="go" value=(Go::HandOut) { "Give out the document" } }
        }
    }
}

fn conflict(draft: &Draft, document: &Document, held: &Document, stamp: Stamp) -> Markup {
    let base: Document =
        serde_json::from_value(draft.base_document.clone()).unwrap_or_else(|_| empty());
    let theirs = diff(&base, held);
    let mine = diff(&base, document);
    html! {
        section.notice role="alert" {
            h2 { "The document in force has changed" }
            p {
                "This draft began from " (Shown(draft.base)) "; in force is " (Shown(stamp))
                ". It is not given out: it would undo what was changed meanwhile."
            }
        }
        h2 { "Changed meanwhile: " (theirs.len()) }
        (listed(&theirs, &mine))
        h2 { "Changed by this draft: " (mine.len()) }
        (listed(&mine, &theirs))
        p {
            "Carrying over applies this draft's changes to the document in force. Where both "
            "changed one field, the draft's value is taken; the next page shows all of it."
        }
        p.buttons {
            button name="go" value=(Go::Rebase) {
                "Carry this draft over to revision " (stamp.revision)
            }
        }
    }
}

fn listed(changes: &[Change], others: &[Change]) -> Markup {
    html! {
        ul.changes {
            @for change in changes {
                li {
                    (change)
                    @if others.iter().any(|other| is_same_field(change, other)) {
                        strong.fault { " changed on both sides" }
                    }
                }
            }
        }
    }
}

/// Whether two changes touch one field of one entity; the whole entity touches all of its fields.
fn is_same_field(one: &Change, other: &Change) -> bool {
    one.entity == other.entity
        && match (field_of(&one.edit), field_of(&other.edit)) {
            (Some(one), Some(other)) => one == other,
            _ => true,
        }
}

fn field_of(edit: &Edit) -> Option<&str> {
    match edit {
        Edit::Added | Edit::Removed => None,
        Edit::Field { field, .. }
        | Edit::ItemAdded { field, .. }
        | Edit::ItemRemoved { field, .. }
        | Edit::Reordered { field } => Some(field),
    }
}

/// What a first document is compared with.
fn empty() -> Document {
    Document {
        schema_version: SCHEMA_VERSION,
        title: String::new(),
        failure_domains: Vec::new(),
        tiers: Vec::new(),
        teams: Vec::new(),
        backend_servers: Vec::new(),
        model_groups: Vec::new(),
        routes: Vec::new(),
        balance: Balance {
            skew_weight: 0.0,
            rebalance_cost_weight: 0.0,
            weight_store_bytes_per_s: 0,
        },
    }
}
