//! Processor time of this thread. Other programs on a busy machine lengthen wall time, not this.

use rustix::time::{ClockId, clock_gettime};

const NS_PER_S: f64 = 1e9;

/// Processor time that this thread has used, in nanoseconds.
fn thread_cpu_ns() -> f64 {
    let used = clock_gettime(ClockId::ThreadCPUTime);
    used.tv_sec as f64 * NS_PER_S + used.tv_nsec as f64
}

/// Processor time that a piece of work takes, in nanoseconds.
pub(super) fn cpu_ns_of(work: impl FnOnce()) -> f64 {
    let before = thread_cpu_ns();
    work();
    thread_cpu_ns() - before
}
