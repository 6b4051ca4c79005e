//! Counts of what an entry has done, for metrics.

use serde::Serialize;

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EntryCounters {
    /// Requests that arrived.
    pub arrived: u64,
    /// Whole answers.
    pub finished: u64,
    /// Final answers `NotRun`.
    pub refused_not_run: u64,
    /// Final answers `MayHaveRun`.
    pub refused_may_have_run: u64,
    /// Final answers `Ran` without a whole answer.
    pub refused_ran: u64,
    /// Requests whose caller went away.
    pub callers_gone: u64,
    /// Attempts submitted.
    pub submitted: u64,
    /// Attempts beyond the first of their request.
    pub retried: u64,
    /// Attempts that ended without a whole answer.
    pub attempts_failed: u64,
    /// Revocations sent.
    pub revokes_sent: u64,
    /// Attempts proven not to have run by a revocation.
    pub tombstoned: u64,
    /// Attachments sent.
    pub attaches_sent: u64,
    /// Links asked for.
    pub links_opened: u64,
    /// Links that could not be opened or were not who they should be.
    pub links_failed: u64,
    /// Links that ended by themselves.
    pub links_lost: u64,
    /// Links judged silent.
    pub links_suspected: u64,
    /// Links closed for being idle.
    pub links_idle_closed: u64,
    /// Agents that came back as another incarnation.
    pub agents_restarted: u64,
    /// Heartbeats sent.
    pub heartbeats_sent: u64,
    /// Messages dropped because their link is not in use.
    pub dropped_unknown_link: u64,
    /// Messages dropped because their attempt is not live, or belongs to another incarnation.
    pub dropped_foreign: u64,
    /// Doubled heads and pieces dropped.
    pub dropped_doubled: u64,
    /// Pieces dropped because too many came before their time.
    pub dropped_early: u64,
    /// Invariants that did not hold.
    pub violations: u64,
}
