//! Combines the loads reported by a group's engines into load reports of the whole group.
//!
//! Each agent sums the windows of its engine into spans with a [`SpanBuilder`]. The coordinator
//! merges the spans of all engines with a [`LoadCollector`].

use crate::placement::report::LoadReport;
use crate::time::{Now, UnixMs};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Maximum number of step windows kept while some of their engines have not reported yet.
const MAX_INCOMPLETE_WINDOWS: usize = 8;

/// The load of the experts on one engine's ranks over a window of steps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankLoad {
    /// First rank that the engine hosts.
    pub first_rank: u16,
    /// Number of consecutive ranks that the engine hosts.
    pub rank_count: u16,
    /// First step of the window.
    pub first_step: u64,
    /// Last step of the window.
    pub last_step: u64,
    /// For each layer and expert, the number of tokens that these ranks processed.
    pub layer_loads_tokens: Vec<Vec<u32>>,
}

/// Length in steps of the spans into which an agent sums its engine's windows.
///
/// A span ends with the window that reaches a multiple of this number, so its length can differ by
/// part of a window; the first span and the first one after a gap can be shorter. Every engine of a
/// group ends its windows at the same steps, but agents read them at different times. If each agent
/// forwarded the latest window that it finds, windows of different engines would rarely match, and
/// the group would go without a report for minutes. Span boundaries depend on step numbers only, so
/// the spans of all engines match.
pub const SPAN_STEPS: u64 = 200;

/// Sums the windows of one engine into spans with the same boundaries in all agents of a group.
///
/// A window that does not directly follow the one before it starts a new span.
#[derive(Debug, Default)]
pub struct SpanBuilder {
    incomplete: Option<RankLoad>,
}

impl SpanBuilder {
    /// Adds the next window and returns the span that it completes, if any.
    pub fn push(&mut self, window: RankLoad) -> Option<RankLoad> {
        let ends_span = window.first_step / SPAN_STEPS != (window.last_step + 1) / SPAN_STEPS;
        let is_next = self.incomplete.as_ref().is_some_and(|incomplete| {
            incomplete.last_step + 1 == window.first_step
                && incomplete.first_rank == window.first_rank
        });
        let span = match self.incomplete.take().filter(|_| is_next) {
            Some(mut incomplete) => {
                incomplete.last_step = window.last_step;
                add_layers(&mut incomplete.layer_loads_tokens, &window.layer_loads_tokens);
                incomplete
            }
            None => window,
        };
        if ends_span {
            return Some(span);
        }
        self.incomplete = Some(span);
        None
    }
}

fn add_layers(sums: &mut Vec<Vec<u32>>, layers: &[Vec<u32>]) {
    sums.resize_with(sums.len().max(layers.len()), Vec::new);
    for (sum, tokens) in sums.iter_mut().zip(layers) {
        sum.resize(sum.len().max(tokens.len()), 0);
        for (sum, tokens) in sum.iter_mut().zip(tokens) {
            *sum = sum.saturating_add(*tokens);
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Window {
    first_step: u64,
    last_step: u64,
}

#[derive(Debug)]
struct IncompleteWindow {
    first_received_at: UnixMs,
    loads: IndexMap<u16, RankLoad>,
}

/// Merges the loads of one group's engines into reports of the whole group.
///
/// Engines advance in lock-step, so their windows end at the same steps. A window that lacks an
/// engine is never reported: its experts would look idle and be moved needlessly.
#[derive(Debug)]
pub struct LoadCollector {
    ranks: u16,
    incomplete: IndexMap<Window, IncompleteWindow>,
}

impl LoadCollector {
    /// Creates a collector for a group of `ranks` ranks.
    #[must_use]
    pub fn new(ranks: u16) -> Self {
        Self { ranks, incomplete: IndexMap::new() }
    }

    /// Adds one engine's load and returns the group's report once all ranks of the window are
    /// covered.
    ///
    /// Windows that ended no later than the reported one are then dropped.
    pub fn add(&mut self, now: Now, load: RankLoad) -> Option<LoadReport> {
        let window = Window { first_step: load.first_step, last_step: load.last_step };
        let incomplete = self.incomplete.entry(window).or_insert_with(|| IncompleteWindow {
            first_received_at: now.unix_ms,
            loads: IndexMap::new(),
        });
        incomplete.loads.insert(load.first_rank, load);
        let covered: u32 = incomplete.loads.values().map(|load| u32::from(load.rank_count)).sum();
        if covered < u32::from(self.ranks) {
            self.drop_oldest();
            return None;
        }
        let complete = self.incomplete.shift_remove(&window)?;
        self.incomplete.retain(|incomplete, _| incomplete.last_step > window.last_step);
        Some(complete.into_report(window))
    }

    fn drop_oldest(&mut self) {
        if self.incomplete.len() > MAX_INCOMPLETE_WINDOWS {
            self.incomplete.shift_remove_index(0);
        }
    }
}

impl IncompleteWindow {
    fn into_report(self, window: Window) -> LoadReport {
        let mut sums: Vec<Vec<f32>> = Vec::new();
        for load in self.loads.values() {
            sums.resize_with(sums.len().max(load.layer_loads_tokens.len()), Vec::new);
            for (sum, tokens) in sums.iter_mut().zip(&load.layer_loads_tokens) {
                add(sum, tokens);
            }
        }
        LoadReport {
            first_step: window.first_step,
            last_step: window.last_step,
            ended_at: self.first_received_at,
            layer_loads_tokens: sums,
        }
    }
}

fn add(sum: &mut Vec<f32>, tokens: &[u32]) {
    sum.resize(sum.len().max(tokens.len()), 0.0);
    for (sum, tokens) in sum.iter_mut().zip(tokens) {
        *sum += *tokens as f32;
    }
}
