//! Resident memory of this process.

use std::hint::black_box;

const PAGE_BYTES: f64 = 4096.0;

/// Resident bytes; zero where the system does not say.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Bytes by which one value makes this process grow, over `copies` values that are all held in
/// `kept`: memory that was freed before would be used again and hide the growth.
pub(super) fn bytes_of<T>(copies: usize, kept: &mut Vec<T>, make: impl Fn(usize) -> T) -> f64 {
    kept.reserve(2 * copies);
    // The first copies fill what earlier work has freed.
    for copy in 0..copies {
        kept.push(black_box(make(copy)));
    }
    let before = resident_bytes();
    for copy in 0..copies {
        kept.push(black_box(make(copy)));
    }
    (resident_bytes() - before) / copies as f64
}

/// Holds measured values to the end of the process, so that no later series uses their memory.
pub(super) fn hold<T>(kept: Vec<T>) {
    std::mem::forget(kept);
}
