//! Audit records of a group member, and violations of the group's invariants.

use super::grant::StepGrant;
use super::map::MapRef;
use super::membership::{Epoch, MemberIndex};
use crate::Fencing;

/// Violation of an invariant. The member that detects it halts and gives no more grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A rank made a step on a map other than the one granted for it.
    #[error("rank {rank} made step {step} on map {used}, granted was {granted}")]
    WrongMap {
        /// The rank.
        rank: u16,
        /// The step.
        step: u64,
        /// Map that the rank used.
        used: MapRef,
        /// Map that was granted.
        granted: MapRef,
    },
    /// A rank made a step after the last one granted.
    #[error("rank {rank} made step {step}, granted were steps up to {through_step}")]
    StepWithoutGrant {
        /// The rank.
        rank: u16,
        /// The step.
        step: u64,
        /// Last step granted.
        through_step: u64,
    },
    /// Two grants cover the same step with different maps.
    #[error("grants of maps {} and {} overlap at step {}", held.map, offered.map, offered.from_step)]
    ConflictingGrants {
        /// Grant that is already held.
        held: StepGrant,
        /// Grant that conflicts with it.
        offered: StepGrant,
    },
}

/// Event in the life of a group that is recorded for the audit trail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupRecord {
    /// The member has started a campaign and asks for promises.
    Campaigned {
        /// Token of the term.
        fencing: Fencing,
    },
    /// The member has promised to follow a term.
    Promised {
        /// Fencing token of the term.
        fencing: Fencing,
        /// Candidate of the term.
        candidate: MemberIndex,
    },
    /// The member has become coordinator.
    Leads {
        /// Token of the term.
        fencing: Fencing,
    },
    /// The member is no longer coordinator.
    Deposed {
        /// Fencing token of the term that ended.
        fencing: Fencing,
    },
    /// The coordinator has started to prepare a map change.
    ChangeStarted {
        /// The new map.
        map: MapRef,
    },
    /// The coordinator has abandoned a change; the old map stays in use.
    ChangeAbandoned {
        /// Map of the abandoned change.
        map: MapRef,
        /// Reason for abandoning the change.
        reason: AbandonReason,
    },
    /// All members have loaded the new map and the coordinator has granted it.
    ChangeCommitted {
        /// The new map.
        map: MapRef,
        /// First step on the new map.
        from_step: u64,
    },
    /// All ranks have made a step on the new map, and the old one is no longer granted.
    ChangeFinished {
        /// The new map.
        map: MapRef,
    },
    /// The member has rejected a proposed map.
    ProposalRefused {
        /// Version of the proposed map.
        version: u64,
        /// Reason for the rejection.
        reason: ProposalFault,
    },
    /// The member has adopted a different membership.
    MembershipAdopted {
        /// The new membership.
        epoch: Epoch,
    },
}

/// Reason why a change was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonReason {
    /// Some member did not load the map before the deadline.
    StageDeadline,
    /// An engine failed to load the map.
    StageFailed,
    /// The coordinator's term ended or the membership changed first.
    TermEnded,
}

/// Reason why a proposed map was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalFault {
    /// The member is not the coordinator.
    NotCoordinator,
    /// Another change is in progress.
    ChangeInFlight,
    /// The map does not have the group's dimensions or leaves an expert without a rank.
    Misfit,
    /// The group is halted because an invariant was violated.
    Halted,
}
