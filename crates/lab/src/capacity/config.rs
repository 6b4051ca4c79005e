//! What a change of the document costs each process, by the size of the document.

use super::cpu::cpu_ns_of;
use super::document::{FleetShape, document};
use super::fit::{Series, SeriesName};
use super::measure::Effort;
use super::memory::{bytes_of, hold};
use hickorycross_core::Now;
use hickorycross_core::adoption::{Exchange, Published};
use std::hint::black_box;

const BACKENDS: [u32; 5] = [31, 62, 124, 310, 899];
const COPIES: usize = 24;

const fn name(measured: &'static str) -> SeriesName {
    SeriesName { role: "every", measured, varied: "backends_with_teams_and_groups" }
}

/// A document whose teams and groups grow with its backend servers, as at the design size.
pub(super) fn scaled(effort: Effort, backends: u32) -> FleetShape {
    let design = effort.design;
    let teams = (backends * design.teams / design.backends).max(1);
    FleetShape { backends, teams, groups: (backends / 31).max(1), queue_slots: 256 }
}

/// The document's bytes as operators publish them.
pub(super) fn published(effort: Effort, backends: u32, revision: u64) -> Published {
    let text = document(scaled(effort, backends)).canonical_json();
    Published { revision, bytes: text.into_bytes().into() }
}

/// All series of a change.
pub(super) fn config_series(effort: Effort) -> Vec<Series> {
    let design_x = f64::from(effort.design.backends);
    let adopt = Series::measure(name("adopt_us"), &BACKENDS, effort.trials, design_x, |x| {
        let offer = published(effort, x, 1);
        let mut exchange = Exchange::default();
        cpu_ns_of(|| {
            black_box(exchange.offer(Now::at(0), &offer));
        }) / 1e3
    });
    let size = Series::measure(name("document_bytes"), &BACKENDS, 1, design_x, |x| {
        published(effort, x, 1).bytes.len() as f64
    });
    let compact = Series::measure(name("document_bytes_compact"), &BACKENDS, 1, design_x, |x| {
        let compact = serde_json::to_vec(&document(scaled(effort, x)));
        compact.map_or(f64::NAN, |bytes| bytes.len() as f64)
    });
    vec![adopt, size, compact]
}

/// Memory of a document that is in force, parsed and as published.
pub(super) fn config_memory(effort: Effort) -> Vec<Series> {
    let mut kept = Vec::new();
    let design_x = f64::from(effort.design.backends);
    let memory = Series::measure(name("memory_bytes"), &BACKENDS, effort.trials, design_x, |x| {
        bytes_of(COPIES, &mut kept, |_| {
            let mut exchange = Exchange::default();
            exchange.offer(Now::at(0), &published(effort, x, 1));
            exchange
        })
    });
    hold(kept);
    vec![memory]
}
