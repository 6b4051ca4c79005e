//! Campaigns: collecting every member's promise.

use super::audit::GroupRecord;
use super::member::GroupMember;
use super::message::{GroupBody, MemberState};
use super::role::{Candidate, Promise, Role};
use super::term::{Term, next_fencing};
use super::timing::{CAMPAIGN_TIMEOUT_MS, HEARTBEAT_MS, MAX_COUNTED_FAILURES};
use crate::{Fencing, Now, UnixMs};
use indexmap::IndexMap;

impl GroupMember {
    /// Asks every member for a promise under a token that nobody else draws.
    pub(crate) fn campaign(&mut self, now: Now) {
        let Some(place) = self.place else {
            return;
        };
        self.depose();
        self.seen = next_fencing(self.seen.max(self.floor), place);
        let epoch = self.membership.epoch;
        let incarnation = self.incarnation;
        let term = Term { fencing: self.seen, epoch, candidate: place, incarnation };
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
        let places = self.membership.indices();
        let missing: Vec<_> =
            places.filter(|place| !candidate.promises.contains_key(place)).collect();
        for place in missing {
            self.send(place, None, fencing, GroupBody::Prepare);
        }
    }

    /// Counts a promise; the last one makes the candidate coordinator.
    pub(crate) fn take_promise(&mut self, now: Now, promise: &Term, state: MemberState) {
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
            self.lead(now);
        }
    }

    /// Some member does not follow the term `fencing` of this member.
    pub(crate) fn refused(&mut self, now: Now, fencing: Fencing, seen: Fencing) {
        self.seen = self.seen.max(seen);
        if self.role.term().is_none_or(|term| term.fencing != fencing) {
            return;
        }
        if seen > fencing {
            self.depose();
            self.campaign_after(now, CAMPAIGN_TIMEOUT_MS);
        } else if self.is_coordinator() {
            // The member has restarted and forgotten its promise. Only a new round tells what its
            // engine holds.
            self.campaign(now);
        }
    }
}
