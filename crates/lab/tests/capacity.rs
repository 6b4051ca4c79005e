//! The means by which capacity is measured.

use googletest::prelude::*;
use hickorycross_lab::capacity::{FleetShape, Sample, document, fit, instances};

struct FitCase {
    name: &'static str,
    points: &'static [(f64, f64)],
    slope: f64,
    intercept: f64,
    r_squared: f64,
}

const FITS: [FitCase; 4] = [
    FitCase {
        name: "a line",
        points: &[(1.0, 5.0), (2.0, 7.0), (8.0, 19.0)],
        slope: 2.0,
        intercept: 3.0,
        r_squared: 1.0,
    },
    FitCase {
        name: "no growth",
        points: &[(1.0, 4.0), (8.0, 4.0)],
        slope: 0.0,
        intercept: 4.0,
        r_squared: 1.0,
    },
    FitCase {
        name: "repeats that differ",
        points: &[(0.0, 0.0), (0.0, 2.0), (2.0, 2.0), (2.0, 4.0)],
        slope: 1.0,
        intercept: 1.0,
        r_squared: 0.5,
    },
    FitCase {
        name: "one point has no line",
        points: &[(3.0, 3.0)],
        slope: 0.0,
        intercept: 0.0,
        r_squared: 0.0,
    },
];

#[gtest]
fn lines_are_fitted() {
    for case in &FITS {
        let points = case.points.iter();
        let samples: Vec<_> = points.map(|(x, y)| Sample { x: *x, y: *y, trial: 0 }).collect();
        let found = fit(&samples);
        expect_that!(found.slope, near(case.slope, 1e-9), "{}", case.name);
        expect_that!(found.intercept, near(case.intercept, 1e-9), "{}", case.name);
        expect_that!(found.r_squared, near(case.r_squared, 1e-9), "{}", case.name);
    }
}

#[gtest]
fn documents_of_all_sizes_validate() {
    for (backends, teams, groups) in [(1, 1, 1), (31, 10, 1), (899, 260, 29)] {
        let shape = FleetShape { backends, teams, groups, queue_slots: 256 };
        let text = document(shape).canonical_json();
        expect_that!(hickorycross_config::parse(text.as_bytes()), ok(anything()));
        expect_that!(instances(shape, 400).len(), eq(backends as usize + 400));
    }
}
