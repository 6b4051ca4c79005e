//! Puts a group's load reports together from those of its engines.

use crate::placement::report::LoadReport;
use crate::time::{Now, UnixMs};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Windows of steps that wait for engines which have not reported yet.
const MAX_OPEN_WINDOWS: usize = 8;

/// Load of the experts on one engine's ranks over a window of steps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankLoad {
    /// First rank that the engine hosts.
    pub first_rank: u16,
    /// Ranks that it hosts.
    pub rank_count: u16,
    /// First step of the window.
    pub first_step: u64,
    /// Last step of the window.
    pub last_step: u64,
    /// For each layer and expert, tokens that these ranks processed.
    pub layer_loads_tokens: Vec<Vec<u32>>,
}

/// Steps over which an agent sums up its engine's windows, at least.
///
/// Every engine of a group ends its windows at the same steps, but agents read them at different
/// moments. Were each to pass on the latest window that it finds, windows of distinct engines would
/// seldom be the same, and one would see no report of the group for minutes. Spans end at multiples
/// of this number of steps, whoever reads when.
pub const SPAN_STEPS: u64 = 200;

/// Sums up the windows of one engine into spans that all agents of the group cut alike.
#[derive(Debug, Default)]
pub struct SpanBuilder {
    open: Option<RankLoad>,
}

impl SpanBuilder {
    /// Takes the next window; gives the span that it completes.
    pub fn push(&mut self, window: RankLoad) -> Option<RankLoad> {
        let ends_span = window.first_step / SPAN_STEPS != (window.last_step + 1) / SPAN_STEPS;
        let is_next = self.open.as_ref().is_some_and(|open| {
            open.last_step + 1 == window.first_step && open.first_rank == window.first_rank
        });
        let span = match self.open.take().filter(|_| is_next) {
            Some(mut open) => {
                open.last_step = window.last_step;
                add_layers(&mut open.layer_loads_tokens, &window.layer_loads_tokens);
                open
            }
            None => window,
        };
        if ends_span {
            return Some(span);
        }
        self.open = Some(span);
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
struct OpenWindow {
    began: UnixMs,
    loads: IndexMap<u16, RankLoad>,
}

/// Collects the loads of one group's engines.
///
/// Engines end their windows at the same steps, since they step together. A window that lacks an
/// engine is never reported: its missing experts would look idle and be moved for nothing.
#[derive(Debug)]
pub struct LoadCollector {
    ranks: u16,
    open: IndexMap<Window, OpenWindow>,
}

impl LoadCollector {
    /// Begins for a group of so many ranks.
    #[must_use]
    pub fn new(ranks: u16) -> Self {
        Self { ranks, open: IndexMap::new() }
    }

    /// Takes one engine's load; gives the group's once the last engine of the window has reported.
    pub fn add(&mut self, now: Now, load: RankLoad) -> Option<LoadReport> {
        let window = Window { first_step: load.first_step, last_step: load.last_step };
        let open = self
            .open
            .entry(window)
            .or_insert_with(|| OpenWindow { began: now.unix_ms, loads: IndexMap::new() });
        open.loads.insert(load.first_rank, load);
        let covered: u32 = open.loads.values().map(|load| u32::from(load.rank_count)).sum();
        if covered < u32::from(self.ranks) {
            self.forget_oldest();
            return None;
        }
        let whole = self.open.shift_remove(&window)?;
        self.open.retain(|open, _| open.last_step > window.last_step);
        Some(whole.sum_up(window))
    }

    fn forget_oldest(&mut self) {
        if self.open.len() > MAX_OPEN_WINDOWS {
            self.open.shift_remove_index(0);
        }
    }
}

impl OpenWindow {
    fn sum_up(self, window: Window) -> LoadReport {
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
            ended_at: self.began,
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
