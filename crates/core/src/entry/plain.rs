//! Baseline policies: the plainest ones that work, for comparison and for first runs.

use crate::health::{HealthOf, Signal, Standing};
use crate::limits::{Admission, DemandReport, LimitTeams};
use crate::message::TeamTotal;
use crate::retry::{BudgetRetries, RetryDecision};
use crate::routing::{Choice, ChooseBackend, Pick};
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, Document, RouteId, TeamId};

/// Tries that [`FixedTries`] allows for one request.
const MAX_TRIES: u16 = 3;

/// Baseline of routing: the candidate with the fewest outstanding attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct FewestOutstanding;

impl ChooseBackend for FewestOutstanding {
    fn choose(&mut self, _now: Now, choice: &Choice<'_>) -> Pick {
        let fewest = choice.candidates.iter().enumerate().min_by_key(|(_, one)| one.outstanding);
        Pick::Candidate(fewest.map_or(0, |(index, _)| index))
    }

    fn observe(&mut self, _now: Now, _backend_server: &BackendServerId, _first_chunk_ms: u64) {}
}

/// Baseline of team limits: none.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoLimit;

impl LimitTeams for NoLimit {
    fn adopt(&mut self, _now: Now, _document: &Document) {}

    fn set_entries(&mut self, _now: Now, _entries: u32) {}

    fn admit(&mut self, _now: Now, _team: &TeamId) -> Admission {
        Admission::Within
    }

    fn due_reports(&mut self, _now: Now) -> Vec<DemandReport> {
        Vec::new()
    }

    fn learn(&mut self, _now: Now, _from: &BackendServerId, _totals: &[TeamTotal]) {}
}

/// Baseline of retries: a fixed number of tries for each request, at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct FixedTries;

impl BudgetRetries for FixedTries {
    fn adopt(&mut self, _document: &Document) {}

    fn first_try(&mut self, _now: Now, _route: &RouteId) {}

    fn judge(&mut self, now: Now, _route: &RouteId, tries: u16, deadline: UnixMs) -> RetryDecision {
        if tries >= MAX_TRIES || deadline.is_past(now) {
            return RetryDecision::GiveUp;
        }
        RetryDecision::RetryAt(now.unix_ms)
    }
}

/// Baseline of health: down while the agent says so, else a full share.
#[derive(Clone, Copy, Debug, Default)]
pub struct AsTold {
    down: bool,
}

impl HealthOf for AsTold {
    fn signal(&mut self, _now: Now, signal: Signal) {
        match signal {
            Signal::BackendDown => self.down = true,
            Signal::BackendUp => self.down = false,
            Signal::Heard
            | Signal::Answered
            | Signal::Failed
            | Signal::Missed
            | Signal::Restarted => {}
        }
    }

    fn standing(&self, _now: Now) -> Standing {
        if self.down { Standing::Open } else { Standing::Share(1000) }
    }

    fn probe_sent(&mut self, _now: Now) {}
}
