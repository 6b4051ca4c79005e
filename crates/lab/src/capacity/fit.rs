//! A straight line through measured points, with its spread.

use serde::Serialize;

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Sample {
    /// What was varied.
    pub x: f64,
    /// What was measured.
    pub y: f64,
    /// Counts the repeats of a point from 0.
    pub trial: u32,
}

/// What a series is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct SeriesName {
    /// The role.
    pub role: &'static str,
    /// What was measured, with its unit.
    pub measured: &'static str,
    /// What was varied.
    pub varied: &'static str,
}

/// A least-squares line and its spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Fit {
    /// Growth of what was measured for each one of what was varied.
    pub slope: f64,
    /// What is measured at zero.
    pub intercept: f64,
    /// Share of the variance that the line explains.
    pub r_squared: f64,
    /// Standard deviation of the points from the line, in the unit of what was measured.
    pub deviation: f64,
}

impl Fit {
    /// The line's value.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Points, their line, and its value at the design size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Series {
    /// What it is about.
    #[serde(flatten)]
    pub name: SeriesName,
    /// The points.
    pub samples: Vec<Sample>,
    /// The line.
    pub fit: Fit,
    /// What is varied, at the design size.
    pub design_x: f64,
    /// The line there. Measured directly where the largest point is the design size.
    pub design_y: f64,
}

impl Series {
    /// Fits points.
    #[must_use]
    pub fn new(name: SeriesName, samples: Vec<Sample>, design_x: f64) -> Self {
        let fit = fit(&samples);
        Self { name, samples, fit, design_x, design_y: fit.at(design_x) }
    }

    /// Measures each point `trials` times; all points once before any comes again, so that a busy
    /// moment of the machine does not fall on one point alone.
    pub(super) fn measure(
        name: SeriesName,
        points: &[u32],
        trials: u32,
        design_x: f64,
        mut measure: impl FnMut(u32) -> f64,
    ) -> Self {
        let rounds = (0..trials).flat_map(|trial| points.iter().map(move |point| (trial, *point)));
        let samples = rounds
            .map(|(trial, point)| Sample { x: f64::from(point), y: measure(point), trial })
            .collect();
        Self::new(name, samples, design_x)
    }
}

/// The least-squares line through points; all zero for fewer than two distinct ones.
#[must_use]
pub fn fit(samples: &[Sample]) -> Fit {
    let count = samples.len() as f64;
    let mean_x = samples.iter().map(|sample| sample.x).sum::<f64>() / count;
    let mean_y = samples.iter().map(|sample| sample.y).sum::<f64>() / count;
    let xx = samples.iter().map(|sample| (sample.x - mean_x).powi(2)).sum::<f64>();
    if samples.len() < 2 || xx == 0.0 {
        return Fit::default();
    }
    let xy = samples.iter().map(|sample| (sample.x - mean_x) * (sample.y - mean_y)).sum::<f64>();
    let yy = samples.iter().map(|sample| (sample.y - mean_y).powi(2)).sum::<f64>();
    let slope = xy / xx;
    let intercept = mean_y - slope * mean_x;
    let left = samples.iter().map(|sample| (sample.y - intercept - slope * sample.x).powi(2));
    let left = left.sum::<f64>();
    let r_squared = if yy == 0.0 { 1.0 } else { 1.0 - left / yy };
    Fit { slope, intercept, r_squared, deviation: (left / count).sqrt() }
}
