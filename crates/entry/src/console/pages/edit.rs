//! Pages on which a draft is filled in.
//!
//! Each page is one form that carries the whole draft; every button sends it, so that going to
//! another page saves this one.

use super::layout::{Chrome, Page};
use crate::console::draft::{Draft, value_at};
use crate::console::fields::{Field, KEY_HASHES, Kind, SECTIONS, Section, TEAMS};
use crate::console::place::{Go, Place};
use hickorycross_config::Fault;
use maud::{Markup, html};
use serde_json::Value;

/// Most ids that a line of help lists.
const MAX_LISTED_IDS: usize = 24;

/// A page of a draft, with a key that was just made.
pub(crate) fn edit(chrome: &Chrome, draft: &Draft, place: Place, key: Option<&str>) -> Page {
    let faults = draft.judge().err().unwrap_or_default();
    let title = title_of(draft, place);
    let body = html! {
        @if let Some(key) = key { (fresh_key(key)) }
        form method="post" action="/console/draft" {
            // The first button of a form is the one that the Enter key presses.
            button.first name="go" value=(Go::To(place)) { "Save" }
            (carried(chrome, draft))
            input type="hidden" name="here" value=(place);
            (steps(draft, Some(place), &faults))
            p.help { (place.section.about) }
            @if place.has_fields() {
                (fields(draft, place, &faults))
            } @else {
                (entries(draft, place.section, &faults))
            }
            (buttons(draft, place))
            (as_json(draft))
        }
    };
    chrome.page(&title, &body)
}

fn title_of(draft: &Draft, place: Place) -> String {
    if place.index.is_none() {
        return place.section.title.to_owned();
    }
    let id = draft.at(place)["id"].as_str().unwrap_or("without a name");
    format!("{} {id}", place.section.singular)
}

fn fresh_key(key: &str) -> Markup {
    html! {
        section.notice role="status" {
            h2 { "New API key" }
            p { "Copy it now: it is shown this once. The draft holds its SHA-256 alone." }
            p { code.key { (key) } }
        }
    }
}

/// What every form of a draft carries besides its own fields; [`as_json`] carries the draft.
pub(super) fn carried(chrome: &Chrome, draft: &Draft) -> Markup {
    html! {
        (chrome.form_token())
        input type="hidden" name="base_revision" value=(draft.base.revision);
        input type="hidden" name="base_digest" value=(draft.base.digest);
        input type="hidden" name="base_document" value=(draft.base_document);
    }
}

/// The draft itself, where it can be read, copied and edited.
pub(super) fn as_json(draft: &Draft) -> Markup {
    let text = serde_json::to_string_pretty(&draft.document).unwrap_or_default();
    html! {
        details {
            summary { "The draft as JSON" }
            label for="draft" { "Copy it to keep it; a change here counts as filled in." }
            textarea #draft name="draft" rows="16" spellcheck="false" { (text) }
        }
    }
}

/// Buttons to every part of the draft, with the count of faults in each.
pub(super) fn steps(draft: &Draft, here: Option<Place>, faults: &[Fault]) -> Markup {
    html! {
        nav.steps aria-label="Draft" {
            @for section in &SECTIONS {
                @let place = Place { section, index: None };
                @let count = faults.iter().filter(|fault| is_in(fault, section)).count();
                button name="go" value=(Go::To(place)) aria-current=[is_here(here, section)] {
                    (section.title)
                    @if section.is_list { " (" (draft.entries(section.key).len()) ")" }
                    @if count > 0 { span.fault { " " (count) " to mend" } }
                }
            }
            button name="go" value=(Go::Review) { "Review" }
        }
    }
}

fn is_here(here: Option<Place>, section: &Section) -> Option<&'static str> {
    here.is_some_and(|here| here.section.key == section.key).then_some("page")
}

/// Whether a fault belongs to a section; what belongs to no other belongs to the document's own.
fn is_in(fault: &Fault, section: &Section) -> bool {
    let head = fault.path.split(['.', '[']).next().unwrap_or_default();
    match section.key {
        "" => !SECTIONS.iter().any(|other| !other.key.is_empty() && other.key == head),
        key => key == head,
    }
}

/// The path of a fault within an entry; none for faults elsewhere.
fn path_within(fault: &Fault, place: Place) -> Option<&str> {
    if place.section.key.is_empty() {
        return is_in(fault, place.section).then_some(fault.path.as_str());
    }
    let rest = fault.path.strip_prefix(&place.path())?;
    if rest.is_empty() { Some(rest) } else { rest.strip_prefix('.') }
}

/// The page on which a fault is mended.
pub(super) fn place_of(fault: &Fault) -> Option<Place> {
    let section = SECTIONS.iter().rev().find(|section| is_in(fault, section))?;
    let rest = fault.path.strip_prefix(section.key).unwrap_or_default();
    let index = rest.strip_prefix('[').and_then(|rest| rest.split(']').next()?.parse().ok());
    Some(Place { section, index: index.filter(|_| section.is_list) })
}

fn entries(draft: &Draft, section: &'static Section, faults: &[Fault]) -> Markup {
    let list = Place { section, index: None };
    html! {
        @for fault in faults.iter().filter(|fault| path_within(fault, list) == Some("")) {
            (worded(fault))
        }
        table {
            thead { tr { th { "Name" } th { "To mend" } th { "" } } }
            tbody {
                @for (index, entry) in draft.entries(section.key).iter().enumerate() {
                    @let place = Place { section, index: Some(index) };
                    @let id = entry["id"].as_str().unwrap_or("without a name");
                    @let count =
                        faults.iter().filter(|fault| path_within(fault, place).is_some()).count();
                    tr {
                        td { (id) }
                        td { @if count > 0 { span.fault { (count) } } @else { "-" } }
                        td {
                            button name="go" value=(Go::To(place)) aria-label={ "Edit " (id) } {
                                "Edit"
                            }
                        }
                    }
                }
            }
        }
    }
}

fn fields(draft: &Draft, place: Place, faults: &[Fault]) -> Markup {
    let entry = draft.at(place);
    let own: Vec<(&str, &Fault)> =
        faults.iter().filter_map(|fault| Some((path_within(fault, place)?, fault))).collect();
    let is_placed = |path: &str| place.section.fields.iter().any(|field| field.owns(path));
    html! {
        @for (_, fault) in own.iter().filter(|(path, _)| !is_placed(path)) { (worded(fault)) }
        @for field in place.section.fields.iter().filter(|field| is_shown(entry, field)) {
            @let faults: Vec<&Fault> = own
                .iter()
                .filter(|(path, _)| field.owns(path))
                .map(|(_, fault)| *fault)
                .collect();
            (labelled(draft, entry, field, &faults))
        }
    }
}

/// Whether a field belongs to the variant that was chosen, or to none.
fn is_shown(entry: &Value, field: &Field) -> bool {
    let mut keys = field.path.splitn(3, '.');
    match (keys.next(), keys.next(), keys.next()) {
        (Some(key), Some(variant), Some(_)) => entry[key].get(variant).is_some(),
        _ => true,
    }
}

fn labelled(draft: &Draft, entry: &Value, field: &Field, faults: &[&Fault]) -> Markup {
    let help_id = format!("{}-help", field.path);
    html! {
        div.field.faulty[!faults.is_empty()] {
            @if field.kind == Kind::Flag {
                label { (input(draft, entry, field, &help_id, faults)) " " (field.label) }
            } @else {
                label for=(field.path) { (field.label) }
                (input(draft, entry, field, &help_id, faults))
            }
            div id=(help_id) {
                @if !field.help.is_empty() { p.help { (field.help) } }
                @if field.kind == Kind::Lines { (known_ids(draft, field)) }
                @for fault in faults { (worded(fault)) }
            }
        }
    }
}

fn input(draft: &Draft, entry: &Value, field: &Field, help_id: &str, faults: &[&Fault]) -> Markup {
    let value = value_at(entry, field.path);
    let invalid = (!faults.is_empty()).then_some("true");
    match field.kind {
        Kind::Flag => html! {
            input type="checkbox" id=(field.path) name=(field.path) value="yes"
                checked[value == Some(&Value::Bool(true))] aria-describedby=(help_id);
        },
        Kind::Text | Kind::Number => html! {
            input id=(field.path) name=(field.path) value=(text_of(value)) autocomplete="off"
                inputmode=[(field.kind == Kind::Number).then_some("decimal")]
                aria-invalid=[invalid] aria-describedby=(help_id);
        },
        Kind::Lines => html! {
            textarea id=(field.path) name=(field.path) rows="4" spellcheck="false"
                aria-invalid=[invalid] aria-describedby=(help_id) { (lines_of(value)) }
        },
        Kind::Choice(choices) => select(field, choices, &text_of(value), help_id, invalid),
        Kind::Variant(choices) => {
            let chosen = choices.iter().find(|choice| entry[field.path].get(**choice).is_some());
            select(field, choices, chosen.unwrap_or(&""), help_id, invalid)
        }
        Kind::IdOf(list) => {
            let ids: Vec<&str> =
                draft.entries(list).iter().filter_map(|entry| entry["id"].as_str()).collect();
            select(field, &ids, &text_of(value), help_id, invalid)
        }
    }
}

/// A value that is none of the choices stays visible, so that its fault makes sense.
fn select(
    field: &Field,
    choices: &[&str],
    chosen: &str,
    help_id: &str,
    invalid: Option<&str>,
) -> Markup {
    html! {
        select id=(field.path) name=(field.path) aria-invalid=[invalid]
            aria-describedby=(help_id)
        {
            @if !choices.contains(&chosen) {
                option value=(chosen) selected {
                    @if chosen.is_empty() { "Choose" } @else { (chosen) " (unknown)" }
                }
            }
            @for choice in choices {
                option value=(choice) selected[*choice == chosen] { (choice) }
            }
        }
    }
}

fn text_of(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

fn lines_of(value: Option<&Value>) -> String {
    let items = value.and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
    items.iter().map(|item| text_of(Some(item))).collect::<Vec<_>>().join("\n")
}

fn known_ids(draft: &Draft, field: &Field) -> Markup {
    let is_of_servers = field.path.ends_with("backend_servers");
    let kind = if field.path.starts_with("target.") { "service" } else { "engine" };
    let servers = draft.entries("backend_servers").iter();
    let ids: Vec<&str> =
        servers.filter(|one| one["kind"] == kind).filter_map(|one| one["id"].as_str()).collect();
    html! {
        @if is_of_servers && !ids.is_empty() {
            p.help {
                "There are " (ids.len()) ": " (ids[..ids.len().min(MAX_LISTED_IDS)].join(", "))
                @if ids.len() > MAX_LISTED_IDS { ", and more" }
            }
        }
    }
}

/// A fault beside its field.
fn worded(fault: &Fault) -> Markup {
    html! { p.fault { "Found " (fault.value) "; allowed is " (fault.allowed) "." } }
}

fn buttons(draft: &Draft, place: Place) -> Markup {
    let section = place.section;
    let list = Place { section, index: None };
    let has_keys = draft.at(place).get(KEY_HASHES).is_none_or(Value::is_array);
    html! {
        p.buttons {
            @if place.has_fields() {
                button name="go" value=(Go::To(place)) { "Save" }
            }
            @if section.is_list {
                @if place.index.is_some() {
                    @if section.key == TEAMS && has_keys {
                        button name="go" value=(Go::MakeKey(place)) { "Make an API key" }
                    }
                    button name="go" value=(Go::To(list)) { "Save and back to the list" }
                    button name="go" value=(Go::Remove(place)) {
                        "Remove this " (section.singular)
                    }
                }
                button name="go" value=(Go::Add(section)) { "Add a " (section.singular) }
            }
            button name="go" value=(Go::Review) { "Review the draft" }
        }
    }
}
