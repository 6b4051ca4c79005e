//! Counting of calls and the rate that bounds them.

use tokio::time::{Duration, Instant};

/// Length of the window in which calls are counted against the rate.
const WINDOW: Duration = Duration::from_secs(1);

/// The calls that count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Read {
    Config,
    ConfigWatch,
    Instances,
    InstancesWatch,
}

/// Calls by kind since the start. A waiting watch counts as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadCounts {
    /// Reads of the document.
    pub config: u64,
    /// Watches of the document.
    pub config_watch: u64,
    /// Reads of the instance list.
    pub instances: u64,
    /// Watches of the instance list.
    pub instances_watch: u64,
    /// Calls over the rate, which are in none of the other counts.
    pub refused: u64,
}

impl ReadCounts {
    /// All calls that were within the rate.
    #[must_use]
    pub const fn accepted(&self) -> u64 {
        self.config + self.config_watch + self.instances + self.instances_watch
    }
}

/// Counts calls and refuses those over the rate.
#[derive(Debug)]
pub(super) struct Meter {
    pub(super) counts: ReadCounts,
    pub(super) reads_per_s: u32,
    window_end: Instant,
    window_reads: u32,
}

impl Meter {
    pub(super) fn new(reads_per_s: u32) -> Self {
        let counts = ReadCounts::default();
        Self { counts, reads_per_s, window_end: Instant::now() + WINDOW, window_reads: 0 }
    }

    /// Counts a call; false when it is over the rate.
    pub(super) fn count(&mut self, read: Read) -> bool {
        let now = Instant::now();
        if now >= self.window_end {
            self.window_end = now + WINDOW;
            self.window_reads = 0;
        }
        if self.window_reads >= self.reads_per_s {
            self.counts.refused += 1;
            return false;
        }
        self.window_reads += 1;
        *self.counter(read) += 1;
        true
    }

    fn counter(&mut self, read: Read) -> &mut u64 {
        match read {
            Read::Config => &mut self.counts.config,
            Read::ConfigWatch => &mut self.counts.config_watch,
            Read::Instances => &mut self.counts.instances,
            Read::InstancesWatch => &mut self.counts.instances_watch,
        }
    }
}
