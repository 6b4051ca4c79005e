//! Campaigns, in which a candidate collects the promises of all members.

use super::audit::GroupRecord;
use super::member::GroupMember;
use super::message::{GroupBody, MemberState};
use super::role::{Candidate, Promise, Role};
use super::term::{Term, next_fencing};
use super::timing::{CAMPAIGN_TIMEOUT_MS, HEARTBEAT_MS, MAX_COUNTED_FAILURES};
use crate::{Fencing, Now, UnixMs};
use indexmap::IndexMap;

impl GroupMember {
    /// Starts a campaign: asks every member for a promise under a fencing token unique to this
    /// member.
    pub(crate) fn campaign(&mut self, now: Now) {
        let Some(index) = self.index else {
            return;
        };
        self.step_down();
        self.highest_fencing = next_fencing(self.highest_fencing.max(self.promised_fencing), index);
        let epoch = self.membership.epoch;
        let incarnation = self.incarnation;
        let term = Term { fencing: self.highest_fencing, epoch, candidate: index, incarnation };
        self.role = Role::Candidate(Candidate {
            term,
            promises: IndexMap::new(),
            prepare_again_at: now.unix_ms,
            fails_at: now.after(CAMPAIGN_TIMEOUT_MS),
        });
        self.audit(GroupRecord::Campaigned { fencing: term.fencing });
        self.tick_candidate(now);
    }

    pub(crate) fn tick_candidate(&mut self, now: Now) {
        let Role::Candidate(candidate) = &mut self.role else {
            return;
        };
        if candidate.fails_at.is_past(now) {
            candidate.fails_at = UnixMs::NEVER;
            self.failed_campaigns = (self.failed_campaigns + 1).min(MAX_COUNTED_FAILURES);
        }
        if candidate.prepare_again_at.is_past(now) {
            candidate.prepare_again_at = now.after(HEARTBEAT_MS);
            self.send_prepares();
        }
    }

    fn send_prepares(&mut self) {
        let Role::Candidate(candidate) = &self.role else {
            return;
        };
        let fencing = candidate.term.fencing;
        let indices = self.membership.indices();
        let missing: Vec<_> =
            indices.filter(|index| !candidate.promises.contains_key(index)).collect();
        for index in missing {
            self.send(index, None, fencing, GroupBody::Prepare);
        }
    }

    /// Records a promise and becomes coordinator once all members have promised.
    pub(crate) fn on_promise(&mut self, now: Now, promise: &Term, state: MemberState) {
        let Role::Candidate(candidate) = &mut self.role else {
            return;
        };
        if promise.fencing != candidate.term.fencing {
            return;
        }
        let incarnation = promise.incarnation;
        candidate.promises.entry(promise.candidate).or_insert(Promise { incarnation, state });
        let members = self.membership.servers.len();
        let needed = if self.mechanisms.needs_every_promise { members } else { members / 2 + 1 };
        if candidate.promises.len() >= needed {
            self.become_coordinator(now);
        }
    }

    /// Handles the refusal by a member that does not follow the term `fencing` of this member.
    pub(crate) fn on_refusal(&mut self, now: Now, fencing: Fencing, seen: Fencing) {
        self.highest_fencing = self.highest_fencing.max(seen);
        if self.role.term().is_none_or(|term| term.fencing != fencing) {
            return;
        }
        if seen > fencing {
            self.step_down();
            self.schedule_campaign(now, CAMPAIGN_TIMEOUT_MS);
        } else if self.is_coordinator() {
            // The member has restarted and lost its promise. Only a new campaign reveals what its
            // engine holds.
            self.campaign(now);
        }
    }
}
