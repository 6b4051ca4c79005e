//! Merging the loads of a group's engines whose agents read them at different times.

use googletest::prelude::*;
use hickorycross_core::Now;
use hickorycross_core::placement::{LoadCollector, RankLoad, SPAN_STEPS, SpanBuilder};

const WINDOW_STEPS: u64 = 20;
const ENGINES: u16 = 3;

fn window(first_rank: u16, number: u64) -> RankLoad {
    let first_step = number * WINDOW_STEPS + 1;
    RankLoad {
        first_rank,
        rank_count: 1,
        first_step,
        last_step: first_step + WINDOW_STEPS - 1,
        layer_loads_tokens: vec![vec![1, u32::from(first_rank)]],
    }
}

// Guards against a group that never rebalances although its load drifts. Three agents read their
// engines' windows half a second apart, several windows at once. If each forwarded the latest
// window that it finds, the three would rarely match.
#[gtest]
fn spans_of_all_engines_match_regardless_of_read_times() {
    let mut collector = LoadCollector::new(ENGINES);
    let mut reports = Vec::new();
    let mut builders: Vec<_> = (0..ENGINES).map(|_| SpanBuilder::default()).collect();
    let mut next_window: Vec<u64> = vec![0; usize::from(ENGINES)];
    for time in 1..=60_u64 {
        let engine = usize::try_from(time).expect("a number") % usize::from(ENGINES);
        for number in next_window[engine]..time {
            let first_rank = u16::try_from(engine).expect("a rank");
            let span = builders[engine].push(window(first_rank, number));
            reports.extend(span.and_then(|span| collector.add(Now::at(time), span)));
        }
        next_window[engine] = time;
    }
    expect_that!(reports.len(), ge(4));
    for report in &reports[1..] {
        expect_that!(report.last_step - report.first_step + 1, eq(SPAN_STEPS));
        let windows = SPAN_STEPS as f32 / WINDOW_STEPS as f32;
        expect_that!(report.layer_loads_tokens, eq(&vec![vec![3.0 * windows, 3.0 * windows]]));
    }
}

// Guards against busy experts that look idle because a span covers a gap. An agent misses windows
// and continues with a later one; the new span that it starts does not match those of other
// engines.
#[gtest]
fn gap_starts_a_new_span() {
    let mut builder = SpanBuilder::default();
    expect_that!(builder.push(window(0, 0)), none());
    let spans: Vec<_> = (3..12).filter_map(|number| builder.push(window(0, number))).collect();
    expect_that!(spans.len(), eq(1));
    expect_that!(spans[0].first_step, eq(3 * WINDOW_STEPS + 1));
}
