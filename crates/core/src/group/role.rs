//! The roles of a member and the state that belongs to each.

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

/// Role of a member. A follower campaigns when the coordinator's lease expires.
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

/// The term that this member has promised to follow, refusing lower fencing tokens.
#[derive(Debug)]
pub(crate) struct PromisedTerm {
    pub(crate) term: Term,
    pub(crate) inspection: Inspection,
    pub(crate) heartbeat: Option<Heartbeat>,
    /// Whether `heartbeat` is still to be applied, once the engine has answered earlier orders.
    pub(crate) is_heartbeat_due: bool,
}

/// State of the engine inspection that precedes the promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Inspection {
    /// Ordered but not answered yet; ordered again at `again_at`.
    Pending { id: OrderId, again_at: UnixMs },
    /// Answered, and the promise has been sent.
    Done,
}

/// State of a member that is collecting promises.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) term: Term,
    pub(crate) promises: IndexMap<MemberIndex, Promise>,
    pub(crate) prepare_again_at: UnixMs,
    /// When the campaign counts as failed; [`UnixMs::NEVER`] once it has been counted.
    pub(crate) fails_at: UnixMs,
}

/// Promise of one member, with the state that it reported.
#[derive(Debug)]
pub(crate) struct Promise {
    pub(crate) incarnation: Incarnation,
    pub(crate) state: MemberState,
}

/// State of the member that every member has promised to follow.
#[derive(Debug)]
pub(crate) struct Coordinator {
    pub(crate) term: Term,
    pub(crate) sequence: u64,
    pub(crate) heartbeat_at: UnixMs,
    pub(crate) members: IndexMap<MemberIndex, MemberStatus>,
    /// Grant of the map in use and, from a commit until all ranks have reached it, of the next map.
    pub(crate) grants: Vec<StepGrant>,
    /// Recent grants, against which step reports are checked.
    pub(crate) grant_history: Vec<StepGrant>,
    pub(crate) change: Option<PendingChange>,
    pub(crate) highest_version: u64,
    pub(crate) highest_step: u64,
    pub(crate) pace: StepPace,
}

/// Last known state of one member, kept by the coordinator.
#[derive(Debug)]
pub(crate) struct MemberStatus {
    pub(crate) incarnation: Incarnation,
    pub(crate) state: MemberState,
    /// Sequence number of the heartbeat that `state` answers.
    pub(crate) sequence: u64,
    /// Map that was last sent to the member.
    pub(crate) last_sent_map: Option<MapRef>,
    /// When `last_sent_map` may be sent again.
    pub(crate) resend_map_at: UnixMs,
}

/// A change in preparation, whose map the members are loading.
#[derive(Debug)]
pub(crate) struct PendingChange {
    pub(crate) map: Arc<ExpertMap>,
    pub(crate) reference: MapRef,
    pub(crate) abandon_at: UnixMs,
}
