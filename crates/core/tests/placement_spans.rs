//! Loads of one group's engines are put together although their agents read them at different
//! moments.

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

// Symptom: a group never rebalances, although its load drifts.
// Sequence: three agents read their engines' windows half a second apart, several windows at once.
// Cause: each passed on the latest window that it found, and the three were seldom the same.
#[gtest]
fn spans_of_all_engines_coincide_whoever_reads_when() {
    let mut collector = LoadCollector::new(ENGINES);
    let mut reports = Vec::new();
    let mut builders: Vec<_> = (0..ENGINES).map(|_| SpanBuilder::default()).collect();
    let mut read: Vec<u64> = vec![0; usize::from(ENGINES)];
    for moment in 1..=60_u64 {
        let engine = usize::try_from(moment).expect("a number") % usize::from(ENGINES);
        for number in read[engine]..moment {
            let first_rank = u16::try_from(engine).expect("a rank");
            let span = builders[engine].push(window(first_rank, number));
            reports.extend(span.and_then(|span| collector.add(Now::at(moment), span)));
        }
        read[engine] = moment;
    }
    expect_that!(reports.len(), ge(4));
    for report in &reports[1..] {
        expect_that!(report.last_step - report.first_step + 1, eq(SPAN_STEPS));
        let windows = SPAN_STEPS as f32 / WINDOW_STEPS as f32;
        expect_that!(report.layer_loads_tokens, eq(&vec![vec![3.0 * windows, 3.0 * windows]]));
    }
}

// Symptom: experts look idle that are busy.
// Sequence: an agent misses windows and goes on with a later one.
// Cause: a span that spans a gap; it is begun anew instead, and never matches those of others.
#[gtest]
fn a_gap_begins_a_new_span() {
    let mut builder = SpanBuilder::default();
    expect_that!(builder.push(window(0, 0)), none());
    let spans: Vec<_> = (3..12).filter_map(|number| builder.push(window(0, number))).collect();
    expect_that!(spans.len(), eq(1));
    expect_that!(spans[0].first_step, eq(3 * WINDOW_STEPS + 1));
}
