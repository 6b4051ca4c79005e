//! Results for people.

use super::measure::Measurement;
use std::fmt::Write;

/// One line for each series and message.
#[must_use]
pub fn print(measurement: &Measurement) -> String {
    let mut text = String::new();
    let [before, after] = measurement.load_average;
    let _ = writeln!(text, "load {before} to {after} on {} processors", measurement.processors);
    for series in &measurement.series {
        let (name, fit) = (series.name, series.fit);
        let _ = writeln!(
            text,
            "{:<12} {:<30} by {:<32} slope {:>12.4} at zero {:>12.2} R2 {:>6.3} deviation {:>10.2} \
             at {:>5} {:>12.1}",
            name.role,
            name.measured,
            name.varied,
            fit.slope,
            fit.intercept,
            fit.r_squared,
            fit.deviation,
            series.design_x,
            series.design_y,
        );
    }
    for frame in &measurement.frames {
        let _ = writeln!(text, "{:<40} {:>8} bytes", frame.frame, frame.bytes);
    }
    text
}
