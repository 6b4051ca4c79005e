//! The fleet at a glance, as this entry knows it.

use super::layout::{Chrome, Page, Shown, age};
use super::plot;
use super::rollout::Spread;
use crate::console::Console;
use crate::console_state::TimedSnapshot;
use hickorycross_config::{Document, FailureDomainId};
use hickorycross_core::audit::Change;
use hickorycross_core::entry::{BackendView, EntrySnapshot, LinkUsage, StandingView};
use hickorycross_core::{InstanceId, InstanceState, Role, UnixMs};
use hickorycross_runtime::fleet::{FleetSnapshot, Process};
use hickorycross_runtime::operators::{Status, StatusSource};
use hickorycross_runtime::trail::TrailEntry;
use indexmap::IndexMap;
use maud::{Markup, html};

/// Most records of one kind that a history shows.
const MAX_HISTORY: usize = 20;

/// The page of the fleet.
pub(crate) fn fleet(chrome: &Chrome, console: &Console) -> Page {
    let status = console.view.status();
    let fleet = console.observed.fleet().snapshot();
    let shown = console.observed.latest_snapshot();
    let in_force = console.observed.active_document();
    let trail = console.trail.since(0);
    let now = chrome.at();
    let spread = Spread::of(&fleet, status.stamp, &status.instance.0, now);
    let snapshot = shown.as_ref().map(|shown| &*shown.snapshot);
    let body = html! {
        p.help {
            "What this entry knows, with the age of each word. Other entries may know more: this "
            "one hears of agents it has links with."
        }
        @if !status.ready { p.fault role="status" { "This entry takes no requests yet." } }
        @if status.draining { p.fault role="status" { "This entry is leaving." } }
        @if let Some(refused) = status.refused {
            p.fault role="status" { "A newer document was refused: " (Shown(refused)) "." }
        }
        h2 { "Document in force" }
        (spread.table(now))
        h2 { "Instances" }
        (instances(&fleet, snapshot, &status, now))
        h2 { "Load" }
        (load(shown.as_ref(), in_force.as_ref().map(|one| &*one.document), now))
        h2 { "Step-time skew" }
        (skew(&fleet, in_force.as_ref().map(|one| &*one.document), now))
        h2 { "Rebalancing" }
        (history(&trail, now, |change| matches!(change, Change::MapChanged { .. })))
        h2 { "Silent links" }
        (silent_links(snapshot))
        (history(&trail, now, |change| matches!(change, Change::LinkSilent { .. })))
    };
    chrome.page("Fleet", &body)
}

fn instances(
    fleet: &FleetSnapshot,
    snapshot: Option<&EntrySnapshot>,
    own: &Status,
    now: UnixMs,
) -> Markup {
    let unlisted = FailureDomainId::new("no longer listed");
    let mut domains: IndexMap<&FailureDomainId, Vec<(&InstanceId, &Process)>> = IndexMap::new();
    for (instance, process) in &fleet.processes {
        let domain = process.listed.as_ref().map_or(&unlisted, |listed| &listed.failure_domain);
        domains.entry(domain).or_default().push((instance, process));
    }
    html! {
        @if domains.is_empty() { p { "No instance list has come yet." } }
        @for (domain, processes) in &domains {
            h3 { (domain) " (" (processes.len()) ")" }
            table {
                thead { tr {
                    th { "Instance" } th { "For" } th { "State" } th { "Document" } th { "Heard" }
                } }
                tbody { @for (instance, process) in processes {
                    tr {
                        td { (instance) }
                        td { (role_of(process)) }
                        td { (state_of(instance, process, snapshot)) }
                        td { @if **instance == own.instance { (Shown(own.stamp)) }
                            @else if let Some(report) = process.last_report { (Shown(report.stamp)) }
                            @else { "not known" } }
                        td { @if **instance == own.instance { "this process" }
                            @else if let Some(report) = process.last_report { (age(now, report.at)) }
                            @else { "never" } }
                    }
                } }
            }
        }
    }
}

fn role_of(process: &Process) -> String {
    match process.listed.as_ref().map(|listed| &listed.role) {
        Some(Role::Entry) => "entry".to_owned(),
        Some(Role::Agent { backend_server }) => format!("agent of {backend_server}"),
        None => "not known".to_owned(),
    }
}

fn state_of(
    instance: &InstanceId,
    process: &Process,
    snapshot: Option<&EntrySnapshot>,
) -> &'static str {
    let mut links = snapshot.into_iter().flat_map(|snapshot| &snapshot.links);
    if links.any(|link| link.instance == *instance && link.usage == LinkUsage::Suspect) {
        return "suspect: a link is silent";
    }
    match process.listed.as_ref().map(|listed| listed.state) {
        Some(InstanceState::Live) => "live",
        Some(InstanceState::Leaving) => "leaving",
        None => "gone from the list",
    }
}

fn load(shown: Option<&TimedSnapshot>, document: Option<&Document>, now: UnixMs) -> Markup {
    let Some(shown) = shown else { return html! { p { "No report yet." } } };
    let snapshot = &shown.snapshot;
    html! {
        p.help { "As of " (age(now, shown.at)) ". Requests in flight are this entry's own." }
        table {
            thead { tr { th { "Tier" } th { "In flight here" } th { "Waiting beside backend servers" } } }
            tbody { @for tier in document.into_iter().flat_map(|document| &document.tiers) {
                tr {
                    td { (tier.id) }
                    td { (snapshot.in_flight.get(&tier.id).copied().unwrap_or(0)) }
                    td { (waiting(snapshot, tier.rank)) }
                }
            } }
        }
        p { (snapshot.waiting) " of the requests in flight wait for a backend server." }
        table {
            thead { tr {
                th { "Backend server" } th { "Standing" } th { "Running" } th { "Waiting" }
                th { "Report" }
            } }
            tbody { @for backend in &snapshot.backends { (backend_row(backend, now)) } }
        }
    }
}

fn waiting(snapshot: &EntrySnapshot, rank: u8) -> u32 {
    let loads = snapshot.backends.iter().filter_map(|backend| backend.load.as_ref());
    let tiers = loads.flat_map(|load| &load.waiting).filter(|waiting| waiting.rank == rank);
    tiers.map(|waiting| waiting.requests).sum()
}

fn backend_row(backend: &BackendView, now: UnixMs) -> Markup {
    let standing = match backend.standing {
        StandingView::SharePermille(1000) => "full share".to_owned(),
        StandingView::SharePermille(permille) => format!("{permille} thousandths of its share"),
        StandingView::Open => "circuit open".to_owned(),
        StandingView::Probe => "being probed".to_owned(),
    };
    html! {
        tr {
            td { (backend.backend_server) }
            td { (standing) }
            @if let Some(load) = &backend.load {
                td { (load.running) " of " (load.slots) }
                td { (load.waiting.iter().map(|waiting| waiting.requests).sum::<u32>()) }
                td { (age(now, load.sampled)) }
            } @else {
                td { "-" } td { "-" } td { "no report" }
            }
        }
    }
}

fn skew(fleet: &FleetSnapshot, document: Option<&Document>, now: UnixMs) -> Markup {
    let groups = document.map_or(&[][..], |document| &document.model_groups);
    html! {
        @if groups.is_empty() { p { "The document has no model groups." } }
        @for group in groups {
            h3 { (group.id) }
            @match fleet.skew.get(&group.id).filter(|samples| !samples.is_empty()) {
                Some(samples) => {
                    (plot::skew(samples))
                    p.help { "Latest report " (age(now, samples[samples.len() - 1].at)) "." }
                }
                None => p { "No reports." },
            }
        }
    }
}

fn silent_links(snapshot: Option<&EntrySnapshot>) -> Markup {
    let links = snapshot.map_or(&[][..], |snapshot| &snapshot.links);
    let silent: Vec<String> = links
        .iter()
        .filter(|link| link.usage == LinkUsage::Suspect)
        .map(|link| link.instance.to_string())
        .collect();
    html! {
        @if silent.is_empty() { p { "No link is silent now." } }
        @else { p.fault { "Silent now: " (silent.join(", ")) "." } }
    }
}

fn history(trail: &[TrailEntry], now: UnixMs, is_wanted: fn(&Change) -> bool) -> Markup {
    let found: Vec<&TrailEntry> =
        trail.iter().rev().filter(|entry| is_wanted(&entry.record.change)).collect();
    html! {
        @if found.is_empty() { p { "None in the kept trail." } }
        @else {
            ul { @for entry in found.iter().take(MAX_HISTORY) {
                li { (age(now, entry.record.at)) ": " (worded(&entry.record.change)) }
            } }
        }
    }
}

fn worded(change: &Change) -> String {
    match change {
        Change::MapChanged { group, before, after, reason } => {
            format!("group {group}: map {before} -> {after}, {reason}")
        }
        Change::LinkSilent { backend_server, instance, .. } => {
            format!("link to {instance} of {backend_server} went silent and was replaced")
        }
        other => format!("{other:?}"),
    }
}
