//! Points gathered over fleets, and their lines.

use hickorycross_lab::capacity::{Sample, Series, SeriesName};
use indexmap::IndexMap;

/// Points by series, in the order in which they were first met.
#[derive(Default)]
pub(crate) struct Points {
    by_name: IndexMap<(&'static str, &'static str, &'static str), (Vec<Sample>, f64)>,
}

/// What a point belongs to, and the design size of what is varied.
#[derive(Clone, Copy)]
pub(crate) struct Axis {
    pub(crate) role: &'static str,
    pub(crate) varied: &'static str,
    pub(crate) design_x: f64,
}

impl Points {
    pub(crate) fn add(&mut self, axis: Axis, measured: &'static str, x: f64, trial: u32, y: f64) {
        println!(
            "{:<9} {measured:<34} by {:<22} {x:>7.1} trial {trial} {y:>12.3}",
            axis.role, axis.varied
        );
        let key = (axis.role, measured, axis.varied);
        let (samples, _) = self.by_name.entry(key).or_insert((Vec::new(), axis.design_x));
        samples.push(Sample { x, y, trial });
    }

    pub(crate) fn into_series(self) -> Vec<Series> {
        let series = self.by_name.into_iter().map(|((role, measured, varied), (samples, x))| {
            Series::new(SeriesName { role, measured, varied }, samples, x)
        });
        series.collect()
    }
}
