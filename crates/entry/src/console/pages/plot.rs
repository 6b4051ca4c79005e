//! A small plot of step-time skew, drawn as SVG in the page.

use hickorycross_runtime::fleet::SkewSample;
use maud::{Markup, html};
use std::collections::VecDeque;
use std::fmt::Write as _;

/// Size of a plot in its own units.
const WIDTH: f64 = 240.0;
const HEIGHT: f64 = 48.0;

/// Skew over time; the upper edge is the largest sample.
pub(super) fn skew(samples: &VecDeque<SkewSample>) -> Markup {
    let largest_us = samples.iter().map(|sample| sample.skew_us).max().unwrap_or(0);
    let latest_us = samples.back().map_or(0, |sample| sample.skew_us);
    let label = format!("Skew: latest {latest_us} µs, largest {largest_us} µs");
    html! {
        svg role="img" aria-label=(label) viewBox={ "0 0 " (WIDTH) " " (HEIGHT) }
            width=(WIDTH) height=(HEIGHT)
        {
            title { (label) }
            polyline points=(points(samples, largest_us)) fill="none" stroke="currentColor"
                stroke-width="1.5" {}
        }
        p.help { (label) }
    }
}

fn points(samples: &VecDeque<SkewSample>, largest_us: u64) -> String {
    let first = samples.front().map_or(0, |sample| sample.at.0);
    let last = samples.back().map_or(0, |sample| sample.at.0);
    let span = last.saturating_sub(first).max(1) as f64;
    let mut points = String::new();
    for sample in samples {
        let x = sample.at.0.saturating_sub(first) as f64 / span * WIDTH;
        let y = HEIGHT - sample.skew_us as f64 / largest_us.max(1) as f64 * HEIGHT;
        let _ = write!(points, "{x:.1},{y:.1} ");
    }
    points
}
