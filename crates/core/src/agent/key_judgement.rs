//! What an idempotency key permits.

use super::constants::CLOCK_SKEW_BOUND_MS;
use super::core::AgentCore;
use super::execution::Execution;
use super::key_home::key_home;
use crate::ids::{AttemptId, RequestId};
use crate::message::{KeyDigest, RefusalReason, Submit};
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;

/// What is to be done with a request that carries a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyJudgement {
    /// Run it: no earlier run can have happened, or the request is idempotent.
    Run,
    /// Answer it from an earlier run; the verdict is what is known of that without its answer.
    Replay { run: AttemptId, verdict: Verdict },
    /// An earlier run happened or may have, and cannot be repeated.
    Used { earlier: Option<RequestId>, verdict: Verdict },
    /// Refuse it.
    Refuse { reason: RefusalReason, retry_at: Option<UnixMs> },
}

impl AgentCore {
    /// Judges a request by its key. Asked when it comes and again right before its start, because
    /// another attempt may have used the key meanwhile, or a document may have moved its home.
    pub(super) fn judge_key(&mut self, now: Now, submit: &Submit) -> KeyJudgement {
        let Some(key) = submit.key else { return KeyJudgement::Run };
        // What is known of the key holds even where its home has moved away meanwhile.
        if let Some(judgement) = self.judge_used(now, submit, key) {
            return judgement;
        }
        if let Some(refusal) = self.key_refusal(now, submit, key) {
            return refusal;
        }
        if !submit.idempotent && self.homes.is_unknown(now, &submit.route, key) {
            self.counters.key_unknown += 1;
            return KeyJudgement::Used { earlier: None, verdict: Verdict::MayHaveRun };
        }
        KeyJudgement::Run
    }

    fn key_refusal(&self, now: Now, submit: &Submit, key: KeyDigest) -> Option<KeyJudgement> {
        let valid_from =
            key.created().map(|created| created.0 - CLOCK_SKEW_BOUND_MS.min(created.0));
        let valid_from = valid_from.map(UnixMs).filter(|valid_from| *valid_from > now.unix_ms);
        if valid_from.is_some() && self.mechanisms.key_future_check {
            let reason = RefusalReason::KeyNotYetValid;
            return Some(KeyJudgement::Refuse { reason, retry_at: valid_from });
        }
        if self.mechanisms.key_home_check && !self.is_home(submit, key) {
            let reason = RefusalReason::NotKeyHome;
            return Some(KeyJudgement::Refuse { reason, retry_at: None });
        }
        None
    }

    /// Entries on another revision may take this agent for the home. If it ran such a request, the
    /// repeat would go to the true home and run there too.
    fn is_home(&self, submit: &Submit, key: KeyDigest) -> bool {
        let Some(document) = &self.document else { return false };
        let Some(route) = document.route(submit.route.as_str()) else { return false };
        key_home(document, route, key) == Some(&self.identity.backend_server)
    }

    pub(super) fn judge_used(
        &self,
        now: Now,
        submit: &Submit,
        key: KeyDigest,
    ) -> Option<KeyJudgement> {
        if !self.mechanisms.key_table {
            return None;
        }
        let row = self.keys.get(now, key)?;
        if row.content != submit.content && self.mechanisms.key_content_check {
            let reason = RefusalReason::KeyConflict;
            return Some(KeyJudgement::Refuse { reason, retry_at: None });
        }
        if self.executions.get(&row.run).is_some_and(Execution::can_repeat) {
            return Some(KeyJudgement::Replay { run: row.run, verdict: row.verdict });
        }
        if submit.idempotent {
            return None;
        }
        Some(KeyJudgement::Used { earlier: Some(row.run.request), verdict: row.verdict })
    }

    /// What to tell instead of a refusal, which says that a request was not run.
    ///
    /// A caller that repeats its key asks about the request, not about one attempt. Told that it
    /// was not run because the agent is leaving, say, it would lodge it again under a new key.
    pub(super) fn used_instead(
        &self,
        submit: &Submit,
        judgement: KeyJudgement,
        reason: RefusalReason,
    ) -> Option<KeyJudgement> {
        if !self.mechanisms.key_check_before_refusal {
            return None;
        }
        match judgement {
            // A held answer needs no backend server.
            KeyJudgement::Replay { .. } if reason == RefusalReason::BackendDown => Some(judgement),
            KeyJudgement::Replay { run, verdict } if !submit.idempotent => {
                Some(KeyJudgement::Used { earlier: Some(run.request), verdict })
            }
            KeyJudgement::Used { .. } | KeyJudgement::Refuse { .. } => Some(judgement),
            KeyJudgement::Run | KeyJudgement::Replay { .. } => None,
        }
    }

    /// Whether a start would be the second one of a non-idempotent key.
    pub(super) fn key_was_run(&self, now: Now, submit: &Submit) -> bool {
        let used = submit.key.is_some_and(|key| self.keys.get(now, key).is_some());
        used && !submit.idempotent
    }
}
