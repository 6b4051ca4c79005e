//! Decides what may be done with a request that carries an idempotency key.

use super::constants::CLOCK_SKEW_BOUND_MS;
use super::core::AgentCore;
use super::execution::Execution;
use super::key_home::key_home;
use crate::ids::{AttemptId, RequestId};
use crate::message::{KeyDigest, RefusalReason, Submit};
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;

/// What to do with a request, judged by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyDecision {
    /// Run it: no earlier run can have happened, or the request is idempotent.
    Run,
    /// Answer it from an earlier run. The verdict is what is known of that run without its
    /// response.
    Replay { run: AttemptId, verdict: Verdict },
    /// Do not run it: an earlier run happened or may have, and its response cannot be replayed.
    Used { earlier: Option<RequestId>, verdict: Verdict },
    /// Refuse it.
    Refuse { reason: RefusalReason, retry_at: Option<UnixMs> },
}

impl AgentCore {
    /// Decides what to do with a request by its key.
    ///
    /// Called on arrival and again right before the start, because another attempt may have used
    /// the key in the meantime, or a document change may have moved the key's home.
    pub(super) fn decide_by_key(&mut self, now: Now, submit: &Submit) -> KeyDecision {
        let Some(key) = submit.key else { return KeyDecision::Run };
        // A recorded use of the key remains valid even if its home has since moved away.
        if let Some(decision) = self.decide_by_earlier_run(now, submit, key) {
            return decision;
        }
        if let Some(refusal) = self.key_refusal(now, submit, key) {
            return refusal;
        }
        if !submit.idempotent && self.homes.is_unknown(now, &submit.route, key) {
            self.counters.key_unknown += 1;
            return KeyDecision::Used { earlier: None, verdict: Verdict::MayHaveRun };
        }
        KeyDecision::Run
    }

    fn key_refusal(&self, now: Now, submit: &Submit, key: KeyDigest) -> Option<KeyDecision> {
        let valid_from =
            key.created().map(|created| created.0 - CLOCK_SKEW_BOUND_MS.min(created.0));
        let valid_from = valid_from.map(UnixMs).filter(|valid_from| *valid_from > now.unix_ms);
        if valid_from.is_some() && self.mechanisms.key_future_check {
            let reason = RefusalReason::KeyNotYetValid;
            return Some(KeyDecision::Refuse { reason, retry_at: valid_from });
        }
        if self.mechanisms.key_home_check && !self.is_home(submit, key) {
            let reason = RefusalReason::NotKeyHome;
            return Some(KeyDecision::Refuse { reason, retry_at: None });
        }
        None
    }

    /// Returns whether this agent is the home of the key under its own document.
    ///
    /// Entries on another revision may consider this agent the home. If it ran such a request, a
    /// repeat would go to the actual home and run there as well.
    fn is_home(&self, submit: &Submit, key: KeyDigest) -> bool {
        let Some(document) = &self.document else { return false };
        let Some(route) = document.route(submit.route.as_str()) else { return false };
        key_home(document, route, key) == Some(&self.identity.backend_server)
    }

    pub(super) fn decide_by_earlier_run(
        &self,
        now: Now,
        submit: &Submit,
        key: KeyDigest,
    ) -> Option<KeyDecision> {
        if !self.mechanisms.key_table {
            return None;
        }
        let row = self.keys.get(now, key)?;
        if row.content != submit.content && self.mechanisms.key_content_check {
            let reason = RefusalReason::KeyConflict;
            return Some(KeyDecision::Refuse { reason, retry_at: None });
        }
        if self.executions.get(&row.run).is_some_and(Execution::can_replay) {
            return Some(KeyDecision::Replay { run: row.run, verdict: row.verdict });
        }
        if submit.idempotent {
            return None;
        }
        Some(KeyDecision::Used { earlier: Some(row.run.request), verdict: row.verdict })
    }

    /// Returns the decision that takes precedence over a refusal for `reason`, if any.
    ///
    /// A refusal states that the request was not run. A caller that repeats its key asks about the
    /// request, not about one attempt: told that it was not run, for example because the agent is
    /// leaving, the caller would send it again under a new key and have it run twice.
    pub(super) fn override_refusal(
        &self,
        submit: &Submit,
        decision: KeyDecision,
        reason: RefusalReason,
    ) -> Option<KeyDecision> {
        if !self.mechanisms.key_check_before_refusal {
            return None;
        }
        match decision {
            // A retained response can be replayed without the backend server.
            KeyDecision::Replay { .. } if reason == RefusalReason::BackendDown => Some(decision),
            KeyDecision::Replay { run, verdict } if !submit.idempotent => {
                Some(KeyDecision::Used { earlier: Some(run.request), verdict })
            }
            KeyDecision::Used { .. } | KeyDecision::Refuse { .. } => Some(decision),
            KeyDecision::Run | KeyDecision::Replay { .. } => None,
        }
    }

    /// Returns whether a start would be the second run of a non-idempotent key.
    pub(super) fn is_second_run(&self, now: Now, submit: &Submit) -> bool {
        let used = submit.key.is_some_and(|key| self.keys.get(now, key).is_some());
        used && !submit.idempotent
    }
}
