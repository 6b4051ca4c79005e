//! Event counters of an entry, exported as metrics.

use serde::Serialize;

/// Counts since the start of the process. Field names are part of the metric names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EntryCounters {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that ended with a complete response.
    pub finished: u64,
    /// Requests refused with the verdict `NotRun`.
    pub refused_not_run: u64,
    /// Requests refused with the verdict `MayHaveRun`.
    pub refused_may_have_run: u64,
    /// Requests refused with the verdict `Ran`.
    pub refused_ran: u64,
    /// Requests whose caller disconnected before the final response.
    pub callers_gone: u64,
    /// Attempts submitted.
    pub submitted: u64,
    /// Attempts that were retries of their request.
    pub retried: u64,
    /// Attempts that ended without a complete response.
    pub attempts_failed: u64,
    /// Revocations sent.
    pub revokes_sent: u64,
    /// Attempts that a revocation proved not to have run.
    pub tombstoned: u64,
    /// Attachments sent.
    pub attaches_sent: u64,
    /// Links that the entry tried to open.
    pub links_opened: u64,
    /// Links that could not be opened, or that reached an agent of another backend server.
    pub links_failed: u64,
    /// Established links that were closed other than by this entry.
    pub links_lost: u64,
    /// Links replaced because an acknowledgement was overdue.
    pub links_suspected: u64,
    /// Links closed for being idle.
    pub links_idle_closed: u64,
    /// Agents found with another incarnation on a new link.
    pub agents_restarted: u64,
    /// Heartbeats sent.
    pub heartbeats_sent: u64,
    /// Messages dropped because their link is unknown or not yet established.
    pub dropped_unknown_link: u64,
    /// Messages dropped because their attempt is not live, or belongs to another agent or
    /// incarnation.
    pub dropped_foreign: u64,
    /// Duplicate heads and chunks dropped.
    pub dropped_doubled: u64,
    /// Chunks dropped because too many were buffered while earlier ones were missing.
    pub dropped_early: u64,
    /// Violated invariants.
    pub violations: u64,
}
