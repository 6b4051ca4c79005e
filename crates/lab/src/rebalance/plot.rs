//! Plots of results as SVG.

use crate::rebalance::output::ExperimentResult;
use crate::rebalance::plan::{Experiment, PolicyKind};
use crate::rebalance::summary::SeedRun;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    BLACK, Cartesian2d, ChartBuilder, ChartContext, Circle, DrawingAreaErrorKind, IntoDrawingArea,
    LineSeries, PathElement, RGBColor, Rectangle, SVGBackend, Text, WHITE,
};
use plotters::style::{Color, IntoFont};
use std::io;
use std::path::Path;

/// Error of a plot.
pub type PlotError = DrawingAreaErrorKind<io::Error>;

type Chart<'a> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Width and height of a plot.
const SIZE_PIXELS: (u32, u32) = (860, 420);
/// Width and height of the plot of all experiments, whose names are long.
const WIDE_PIXELS: (u32, u32) = (2200, 420);
/// Size of captions.
const CAPTION_PIXELS: u32 = 16;
/// Size of labels of axes.
const LABEL_PIXELS: u32 = 40;
/// Width of a bar in a group that is one wide.
const BAR_WIDTH: f64 = 0.16;
/// Bytes in a gigabyte.
const GIGABYTE: f64 = 1e9;

const fn colour(policy: PolicyKind) -> RGBColor {
    match policy {
        PolicyKind::Static => RGBColor(130, 130, 130),
        PolicyKind::Periodic => RGBColor(204, 121, 167),
        PolicyKind::Threshold => RGBColor(230, 159, 0),
        PolicyKind::Weighted => RGBColor(0, 114, 178),
        PolicyKind::Bound => RGBColor(0, 158, 115),
    }
}

/// Plots mean skew over the bound's as bars, one group for each experiment, with the range over
/// seeds.
///
/// # Errors
///
/// Any error of the file.
pub fn plot_skew(path: &Path, results: &[ExperimentResult]) -> Result<(), PlotError> {
    let area = SVGBackend::new(path, WIDE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("mean step-time skew over the bound's", ("sans-serif", CAPTION_PIXELS))
        .margin(10)
        .x_label_area_size(LABEL_PIXELS)
        .y_label_area_size(LABEL_PIXELS)
        .build_cartesian_2d(-0.5..results.len() as f64 - 0.5, 0.0..3.5)?;
    let name = |at: &f64| results.get(at.round() as usize).map_or("", |r| &r.experiment).to_owned();
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(results.len())
        .x_label_formatter(&name)
        .x_label_style(("sans-serif", 9).into_font())
        .draw()?;
    for (index, policy) in PolicyKind::ALL.into_iter().enumerate() {
        draw_bars(&mut chart, results, policy, index)?;
    }
    draw_legend(&mut chart)?;
    area.present()
}

fn draw_bars(
    chart: &mut Chart<'_>,
    results: &[ExperimentResult],
    policy: PolicyKind,
    index: usize,
) -> Result<(), PlotError> {
    let left = BAR_WIDTH * (index as f64 - PolicyKind::ALL.len() as f64 / 2.0);
    let spreads = (0..).zip(results).filter_map(|(at, result)| {
        let found = result.policies.iter().find(|summary| summary.policy == policy)?;
        Some((f64::from(at) + left, found.skew_of_bound))
    });
    let spreads: Vec<_> = spreads.collect();
    let fill = colour(policy).filled();
    chart
        .draw_series(
            spreads
                .iter()
                .map(|(x, spread)| Rectangle::new([(*x, 0.0), (x + BAR_WIDTH, spread.mean)], fill)),
        )?
        .label(policy.as_str())
        .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], fill));
    chart.draw_series(spreads.iter().map(|(x, spread)| {
        let middle = x + BAR_WIDTH / 2.0;
        PathElement::new(vec![(middle, spread.min), (middle, spread.max)], BLACK)
    }))?;
    Ok(())
}

/// Plots the course of skew over one trace.
///
/// # Errors
///
/// Any error of the file.
pub fn plot_timeline(
    path: &Path,
    experiment: &Experiment,
    runs: &[&SeedRun],
) -> Result<(), PlotError> {
    let window_s = (u64::from(experiment.ticks_per_window) * experiment.report_s) as f64;
    let highest_us = runs.iter().flat_map(|run| &run.course_us).copied().fold(0.0, f64::max);
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let caption = format!("{}: step-time skew, one trace", experiment.name);
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", CAPTION_PIXELS))
        .margin(10)
        .x_label_area_size(LABEL_PIXELS)
        .y_label_area_size(LABEL_PIXELS + 10)
        .build_cartesian_2d(0.0..experiment.length_s as f64, 0.0..highest_us * 1.05)?;
    chart.configure_mesh().x_desc("seconds").y_desc("microseconds").draw()?;
    for run in runs {
        let points = (0..).zip(&run.course_us).map(|(at, us)| (f64::from(at) * window_s, *us));
        let style = colour(run.policy).stroke_width(1);
        chart
            .draw_series(LineSeries::new(points, style))?
            .label(run.policy.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 12, y)], style));
    }
    draw_legend(&mut chart)?;
    area.present()
}

/// Plots mean skew over the bound's against bytes moved, one point for each cost weight.
///
/// # Errors
///
/// Any error of the file.
pub fn plot_frontier(path: &Path, results: &[ExperimentResult]) -> Result<(), PlotError> {
    let points: Vec<_> = results
        .iter()
        .filter_map(|result| {
            let mut policies = result.policies.iter();
            let own = policies.find(|summary| summary.policy == PolicyKind::Weighted)?;
            Some(FrontierPoint {
                moved_gigabytes: own.moved_bytes.mean / GIGABYTE,
                skew_of_bound: own.skew_of_bound.mean,
                cost_weight: result.rebalance_cost_weight,
            })
        })
        .collect();
    let most = points.iter().map(|point| point.moved_gigabytes).fold(0.0, f64::max);
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("cost weight against a skew weight of 1 (labels)", ("sans-serif", CAPTION_PIXELS))
        .margin(10)
        .x_label_area_size(LABEL_PIXELS)
        .y_label_area_size(LABEL_PIXELS)
        .build_cartesian_2d(0.0..most * 1.1, 1.0..1.4)?;
    chart.configure_mesh().x_desc("gigabytes moved").y_desc("skew over the bound's").draw()?;
    let line = points.iter().map(FrontierPoint::at);
    chart.draw_series(LineSeries::new(line, colour(PolicyKind::Weighted)))?;
    let fill = colour(PolicyKind::Weighted).filled();
    chart.draw_series(points.iter().map(|point| Circle::new(point.at(), 3, fill)))?;
    chart.draw_series(points.iter().map(|point| {
        let (x, y) = point.at();
        Text::new(point.cost_weight.to_string(), (x, y + 0.02), ("sans-serif", 11))
    }))?;
    area.present()
}

/// What one cost weight brings.
#[derive(Clone, Copy, Debug)]
struct FrontierPoint {
    moved_gigabytes: f64,
    skew_of_bound: f64,
    cost_weight: f64,
}

impl FrontierPoint {
    fn at(&self) -> (f64, f64) {
        (self.moved_gigabytes, self.skew_of_bound)
    }
}

fn draw_legend(chart: &mut Chart<'_>) -> Result<(), PlotError> {
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()
}
