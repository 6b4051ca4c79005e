//! Refuses requests with a part in their prompt that crashes backend servers, and tries doubtful
//! parts one request at a time.
//!
//! [`PartCrashTable`] decides; here the parts of requests are checked before each send, and answers
//! on them are recorded.
//!
//! [`PartCrashTable`]: hickorycross_core::direct::PartCrashTable

use super::active_request::ActiveRequest;
use crate::callers::Refusal;
use crate::clock::boot_now;
use crate::part_reports;
use crate::state::EntryState;
use hickorycross_core::Verdict;
use hickorycross_core::direct::{BootMs, PartVerdict, PromptPart};
use std::time::Duration;

/// Time for which an answer must have gone on to show that no part of its prompt crashes the
/// backend server.
const SOUND_ANSWER_MS: u64 = 1_000;

/// Longest time for which a request that may well be sound waits for trials: the pause between two
/// of them, and time for the answer to begin.
const MAX_DOUBT_WAIT_MS: u64 = 1_500;

impl ActiveRequest {
    /// Refuses the request if a part of its prompt must not be sent to backend servers now.
    pub(super) fn check_prompt_parts(&self) -> Result<(), Refusal> {
        match self.judge_prompt_parts() {
            PartVerdict::Allowed | PartVerdict::Trial { .. } => Ok(()),
            PartVerdict::Doubtful { .. } if self.is_part_trial => Ok(()),
            PartVerdict::Doubtful { has_cause: false, .. } => Ok(()),
            PartVerdict::Doubtful { part, retry_at, .. } => {
                let retry_after_ms = retry_at.since(boot_now());
                Err(self.refuse_prompt_part(part, Refusal::DoubtfulPart { retry_after_ms }))
            }
            PartVerdict::Refused { part } => {
                Err(self.refuse_prompt_part(part, Refusal::CrashesBackendServers))
            }
        }
    }

    /// Waits while another request finds out which of several parts crashes backend servers, if this
    /// one may well be sound, and announces it to all entries if it is such a trial itself.
    ///
    /// Fails like [`Self::check_prompt_parts`].
    pub(super) async fn pass_part_trial(&mut self) -> Result<(), Refusal> {
        let give_up_at = boot_now().after(MAX_DOUBT_WAIT_MS).min(self.deadline_at());
        while let PartVerdict::Doubtful { part, retry_at, has_cause: false } =
            self.judge_prompt_parts()
            && !self.is_part_trial
        {
            let now = boot_now();
            if now >= give_up_at {
                let retry_after_ms = retry_at.since(now);
                return Err(self.refuse_prompt_part(part, Refusal::DoubtfulPart { retry_after_ms }));
            }
            self.log_wait(retry_at.since(now), "doubtful-part");
            let left_ms = retry_at.min(give_up_at).since(now).max(1);
            let changed = self.state.parts_changed.notified();
            // Whether notified or timed out, the loop judges again.
            let _ = tokio::time::timeout(Duration::from_millis(left_ms), changed).await;
        }
        self.check_before_send()?;
        self.begin_part_trial();
        Ok(())
    }

    /// Announces the request to all entries if it is a trial of a doubtful part.
    fn begin_part_trial(&mut self) {
        let PartVerdict::Trial { parts, may_repeat } = self.judge_prompt_parts() else {
            return;
        };
        self.is_part_trial = may_repeat;
        for part in parts {
            let report = self.state.part_crashes.borrow_mut().note_tried(part, boot_now());
            self.log_part_trial(part);
            part_reports::tell(&self.state, report, "tried-here");
        }
    }

    fn judge_prompt_parts(&self) -> PartVerdict {
        let crashes = self.state.part_crashes.borrow();
        crashes.judge(&self.prompt_parts, self.caller, boot_now())
    }

    /// Returns `refusal` for a request whose part must not be sent now, or that of a request that
    /// may have run before.
    fn refuse_prompt_part(&self, part: PromptPart, refusal: Refusal) -> Refusal {
        let mut crashes = self.state.part_crashes.borrow_mut();
        crashes.note_refused(part, boot_now());
        self.log_part_refusal(part, crashes.ended_server_count(part), &refusal);
        match self.verdict {
            Verdict::NotRun => refusal,
            verdict => Refusal::Failed(verdict),
        }
    }

    /// Records that the answer goes on, which clears the parts of the prompt after
    /// [`SOUND_ANSWER_MS`].
    pub(super) fn note_answer_goes_on(&mut self, now: BootMs) {
        let Some(head_at) = self.head_at else { return };
        if !self.has_cleared_parts && now.since(head_at) >= SOUND_ANSWER_MS {
            self.has_cleared_parts = true;
            note_parts_answered(&self.state, &self.prompt_parts, head_at);
        }
    }

    /// Returns when the backend server began to answer; of an answer without events this is not
    /// known, and the moment of the send is taken.
    pub(super) fn answer_began_at(&self) -> BootMs {
        let is_stream = self.request.route.kind.is_stream();
        self.head_at.filter(|_| is_stream).unwrap_or(self.sent_at)
    }
}

/// Records an answer on these parts that began at `began_at`, and tells the other entries if they
/// may suspect a part.
pub(super) fn note_parts_answered(state: &EntryState, parts: &[PromptPart], began_at: BootMs) {
    for part in parts {
        let now = boot_now();
        let report = state.part_crashes.borrow_mut().note_answered(*part, began_at, now);
        if let Some(report) = report {
            part_reports::tell(state, report, "answered-here");
        }
    }
}
