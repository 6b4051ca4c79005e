//! Measures the CPU time per line of the decision log, in the calling and the writer thread.
//!
//! `cargo run --release -p hickorycross-direct --example log_cost > /dev/null` prints the result to
//! standard error. With a pipe or a file as output the kernel needs additional time.

use hickorycross_direct::DecisionLog;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

const LINES: u32 = 200_000;
/// Lines between two pauses, fewer than the log can queue.
const BATCH_LINES: u32 = 500;
/// Lines of one request that succeeds at the first attempt: `attempt` and `final`.
const LINES_PER_REQUEST: f64 = 2.0;

fn cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ProcessCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs() as u32)
}

fn main() -> std::io::Result<()> {
    let log = DecisionLog::start()?;
    let before = cpu_time();
    for number in 0..LINES {
        let line = DecisionLog::fields("attempt")
            .with("request", format_args!("{number:016x}"))
            .with("backend_server", "10.1.0.26:8520")
            .with("incarnation", "i-492c3cd6c9")
            .with("connection", "reused")
            .with("load", 7)
            .with("others", 62)
            .with("left_ms", 7_412)
            .with("second_sends_spent", 3);
        log.note(line);
        if number % BATCH_LINES == 0 {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    let spent = cpu_time() - before;
    let per_line_us = spent.as_secs_f64() * 1e6 / f64::from(LINES);
    eprintln!(
        "{per_line_us:.2} us per line, {:.2} us per request, {} lines dropped",
        per_line_us * LINES_PER_REQUEST,
        log.dropped()
    );
    Ok(())
}
