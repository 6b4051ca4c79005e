//! Grouped bars as SVG.

use indexmap::IndexMap;
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoSegmentedCoord, Palette, Palette99, Rectangle,
    SVGBackend, SegmentValue, WHITE,
};
use std::io;

/// Width of a picture in pixels.
const WIDTH: u32 = 1400;

/// Height of a picture in pixels.
const HEIGHT: u32 = 420;

/// Groups of bars.
#[derive(Clone, Debug)]
pub(crate) struct Bars {
    title: String,
    groups: IndexMap<String, IndexMap<String, f64>>,
}

impl Bars {
    /// No bars yet.
    pub(crate) fn new(title: &str) -> Self {
        Self { title: title.to_owned(), groups: IndexMap::new() }
    }

    /// Adds a bar to a group.
    pub(crate) fn add(&mut self, group: &str, series: &str, value: f64) {
        self.groups.entry(group.to_owned()).or_default().insert(series.to_owned(), value);
    }

    fn series(&self) -> Vec<&str> {
        let first = self.groups.values().next();
        first.map_or(Vec::new(), |bars| bars.keys().map(String::as_str).collect())
    }

    fn highest(&self) -> f64 {
        self.groups.values().flat_map(IndexMap::values).copied().fold(1.0, f64::max)
    }
}

/// Draws the bars.
///
/// # Errors
///
/// When the drawing library fails.
pub(crate) fn draw(bars: &Bars) -> io::Result<String> {
    let mut text = String::new();
    draw_into(bars, &mut text).map_err(|error| io::Error::other(error.to_string()))?;
    Ok(text)
}

fn draw_into(bars: &Bars, text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(text, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let columns = columns(bars);
    let names: Vec<String> = bars.groups.keys().cloned().collect();
    let width = bars.series().len() + 1;
    let mut chart = ChartBuilder::on(&root)
        .caption(&bars.title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((0..columns.max(1)).into_segmented(), 0.0..bars.highest() * 1.05)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(columns.max(1))
        .x_label_formatter(&|value| label(&names, width, value))
        .draw()?;
    for (place, name) in bars.series().into_iter().enumerate() {
        let color = Palette99::pick(place).mix(0.9);
        let drawn = bars.groups.values().enumerate().map(|(group, values)| {
            let left = group * width + place;
            let value = values.get(name).copied().unwrap_or(0.0);
            let from = (SegmentValue::Exact(left), 0.0);
            Rectangle::new([from, (SegmentValue::Exact(left + 1), value)], color.filled())
        });
        chart
            .draw_series(drawn)?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 10, y + 4)], color.filled()));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(WHITE).draw()?;
    root.present()?;
    Ok(())
}

fn columns(bars: &Bars) -> usize {
    bars.groups.len() * (bars.series().len() + 1)
}

/// Names a group under its middle bar.
fn label(names: &[String], width: usize, value: &SegmentValue<usize>) -> String {
    let SegmentValue::CenterOf(column) = value else {
        return String::new();
    };
    let middle = column % width == width / 2;
    names.get(column / width).filter(|_| middle).cloned().unwrap_or_default()
}
