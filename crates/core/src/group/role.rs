//! The part that a member plays at present.

use super::engine::OrderId;
use super::grant::StepGrant;
use super::map::{ExpertMap, MapRef};
use super::membership::MemberIndex;
use super::message::{Heartbeat, MemberState};
use super::pace::StepPace;
use super::term::Term;
use crate::{Incarnation, UnixMs};
use indexmap::IndexMap;
use std::sync::Arc;

/// Follower until the lease of the coordinator runs out.
#[derive(Debug, Default)]
pub(crate) enum Role {
    #[default]
    Follower,
    Candidate(Candidate),
    Coordinator(Coordinator),
}

impl Role {
    pub(crate) fn term(&self) -> Option<&Term> {
        match self {
            Self::Follower => None,
            Self::Candidate(candidate) => Some(&candidate.term),
            Self::Coordinator(coordinator) => Some(&coordinator.term),
        }
    }
}

/// A member's promise to refuse lower tokens than a term's.
#[derive(Debug)]
pub(crate) struct PromisedTerm {
    pub(crate) term: Term,
    pub(crate) inspection: Inspection,
    pub(crate) heartbeat: Option<Heartbeat>,
    /// The heartbeat waits until the engine has answered the orders before.
    pub(crate) is_grant_due: bool,
}

/// The state of the engine's inspection that precedes the promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Inspection {
    /// Ordered and not answered yet.
    Pending { id: OrderId, again_at: UnixMs },
    /// Answered: the promise has been given.
    Done,
}

/// A member that collects promises.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) term: Term,
    pub(crate) promises: IndexMap<MemberIndex, Promise>,
    pub(crate) prepare_again_at: UnixMs,
    /// Passes to [`UnixMs::NEVER`] once the failure has been counted.
    pub(crate) fails_at: UnixMs,
}

/// One member's promise.
#[derive(Debug)]
pub(crate) struct Promise {
    pub(crate) incarnation: Incarnation,
    pub(crate) state: MemberState,
}

/// The member that every member has promised to follow.
#[derive(Debug)]
pub(crate) struct Coordinator {
    pub(crate) term: Term,
    pub(crate) sequence: u64,
    pub(crate) heartbeat_at: UnixMs,
    pub(crate) rows: IndexMap<MemberIndex, MemberRow>,
    /// The map in use and, from a commit until all have stepped on it, the next one.
    pub(crate) grants: Vec<StepGrant>,
    pub(crate) granted: Vec<StepGrant>,
    pub(crate) change: Option<Change>,
    pub(crate) highest_version: u64,
    pub(crate) highest_step: u64,
    pub(crate) pace: StepPace,
}

/// What the coordinator knows of one member.
#[derive(Debug)]
pub(crate) struct MemberRow {
    pub(crate) incarnation: Incarnation,
    pub(crate) state: MemberState,
    /// Heartbeat that the state answers.
    pub(crate) sequence: u64,
    /// The map handed out to it last.
    pub(crate) handed_out: Option<MapRef>,
    /// When that map may be handed out to it again.
    pub(crate) stage_again_at: UnixMs,
}

/// A map that is being loaded by all members.
#[derive(Debug)]
pub(crate) struct Change {
    pub(crate) map: Arc<ExpertMap>,
    pub(crate) reference: MapRef,
    pub(crate) abandon_at: UnixMs,
}
