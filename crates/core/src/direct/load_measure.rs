//! How the open requests of an entry at a backend server count as its load.

use std::fmt;

/// This entry's open requests at one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenRequests {
    /// Their number.
    pub count: u32,
    /// Their expected work that is left, in units of a usual request.
    pub work_units: f64,
}

/// A way of measuring the load of a backend server, in usual requests.
pub trait LoadMeasure: fmt::Debug + Sync {
    /// Returns its name for log lines.
    fn name(&self) -> &'static str;

    /// Returns the load that open requests cause.
    fn open_load(&self, open: OpenRequests) -> f64;

    /// Returns the load that a request of `work_units` will add.
    fn added_load(&self, work_units: f64) -> f64;
}

/// Counts requests, whatever their work.
#[derive(Clone, Copy, Debug)]
pub struct RequestCount;

impl LoadMeasure for RequestCount {
    fn name(&self) -> &'static str {
        "count"
    }

    fn open_load(&self, open: OpenRequests) -> f64 {
        f64::from(open.count)
    }

    fn added_load(&self, _: f64) -> f64 {
        1.0
    }
}

/// Adds up the expected work of requests.
#[derive(Clone, Copy, Debug)]
pub struct WorkSum;

impl LoadMeasure for WorkSum {
    fn name(&self) -> &'static str {
        "work"
    }

    fn open_load(&self, open: OpenRequests) -> f64 {
        open.work_units
    }

    fn added_load(&self, work_units: f64) -> f64 {
        work_units
    }
}

/// Share of the expected work in the load that [`CountAndWork`] measures.
///
/// Slots decide how long a request waits, so counts come first. With work alone, a server whose
/// streams are nearly done looks idle although its slots are in use, and waits of one in a hundred
/// grow to twice and more; shares of 0.2 to 0.3 shorten them (docs/design/expected-work.md).
const WORK_SHARE: f64 = 0.2;

/// Counts requests, and prefers the backend server with less expected work among those with about as
/// many.
#[derive(Clone, Copy, Debug)]
pub struct CountAndWork;

impl LoadMeasure for CountAndWork {
    fn name(&self) -> &'static str {
        "count-and-work"
    }

    fn open_load(&self, open: OpenRequests) -> f64 {
        // Exactly the count if all requests are usual ones.
        let count = f64::from(open.count);
        count + (open.work_units - count) * WORK_SHARE
    }

    fn added_load(&self, work_units: f64) -> f64 {
        1.0 + (work_units - 1.0) * WORK_SHARE
    }
}

/// Slots of each backend server that an entry must be able to use in the mean for work to count.
///
/// An entry with fewer than one open request at most servers knows nothing of the work there. With
/// 0.7 slots (14 entries) work made no difference before independent servers, and with 0.3 none at
/// all.
const MIN_SLOTS_PER_SERVER: f64 = 1.0;

/// Returns how an entry measures the load of the `servers` backend servers of a service, which have
/// `slots` slots together and are used by `entries` entries.
#[must_use]
pub fn load_measure(slots: u32, servers: usize, entries: usize) -> &'static dyn LoadMeasure {
    let shared_by = servers.max(1) as f64 * entries.max(1) as f64;
    if f64::from(slots) / shared_by >= MIN_SLOTS_PER_SERVER { &CountAndWork } else { &RequestCount }
}
