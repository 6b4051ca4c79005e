//! Where a document is in force.

use super::layout::{Chrome, Page, Shown, age};
use crate::console::Console;
use hickorycross_config::{Digest, Stamp};
use hickorycross_core::UnixMs;
use hickorycross_runtime::fleet::{FleetSnapshot, LastReport};
use hickorycross_runtime::operators::StatusSource;
use indexmap::IndexMap;
use maud::{Markup, html};

/// Processes that hold one document.
#[derive(Debug, Default)]
pub(super) struct Holders {
    pub(super) count: usize,
    oldest: Option<UnixMs>,
}

/// What the fleet holds, as heard.
#[derive(Debug, Default)]
pub(super) struct Spread {
    /// By document, highest revision first.
    pub(super) holders: IndexMap<Stamp, Holders>,
    /// Listed processes that this one has no word of.
    pub(super) unheard: usize,
}

impl Spread {
    pub(super) fn of(fleet: &FleetSnapshot, own: Stamp, own_instance: &str, now: UnixMs) -> Self {
        let mut spread = Self::default();
        spread.add(own, now);
        for (instance, process) in &fleet.processes {
            match process.last_report {
                _ if &*instance.0 == own_instance => {}
                Some(LastReport { stamp, at, .. }) => spread.add(stamp, at),
                None => spread.unheard += 1,
            }
        }
        spread.holders.sort_by(|one, _, other, _| other.revision.cmp(&one.revision));
        spread
    }

    fn add(&mut self, stamp: Stamp, at: UnixMs) {
        let row = self.holders.entry(stamp).or_default();
        row.count += 1;
        row.oldest = Some(row.oldest.map_or(at, |oldest| oldest.min(at)));
    }

    pub(super) fn table(&self, now: UnixMs) -> Markup {
        html! {
            table {
                thead { tr { th { "Document" } th { "Processes" } th { "Oldest word" } } }
                tbody {
                    @for (stamp, row) in &self.holders {
                        tr {
                            td { (Shown(*stamp)) }
                            td { (row.count) }
                            td { (row.oldest.map_or_else(String::new, |at| age(now, at))) }
                        }
                    }
                    @if self.unheard > 0 {
                        tr {
                            td { "not known: listed, but no word heard here" }
                            td { (self.unheard) }
                            td { "-" }
                        }
                    }
                }
            }
        }
    }
}

/// The page that follows a document by its digest.
pub(crate) fn rollout(chrome: &Chrome, console: &Console, digest: Digest) -> Page {
    let status = console.view.status();
    let fleet = console.observed.fleet().snapshot();
    let now = chrome.at();
    let spread = Spread::of(&fleet, status.stamp, &status.instance.0, now);
    let holders: usize = spread
        .holders
        .iter()
        .filter(|(stamp, _)| stamp.digest == digest)
        .map(|(_, row)| row.count)
        .sum();
    let total: usize = spread.holders.values().map(|row| row.count).sum();
    let body = html! {
        p { "Document " code { (digest) } "." }
        p role="status" {
            @if status.stamp.digest == digest {
                strong { "In force here" } " as revision " (status.stamp.revision) "."
            } @else {
                strong { "Not in force here." }
                " In force here is " (Shown(status.stamp)) "."
            }
            " Of " (total) " processes that this one knows of, " (holders) " hold it."
        }
        @if let Some(refused) = status.refused {
            p.fault { "A newer document was refused: " (Shown(refused)) ". The trail says why." }
        }
        (spread.table(now))
        p.help {
            "From what processes tell one another. A process may have changed since its last word, "
            "and an entry hears of agents it has links with, not of other entries."
        }
        p { a href={ "/console/rollout?digest=" (digest) } { "Look again" } }
    };
    chrome.page("In force", &body)
}
