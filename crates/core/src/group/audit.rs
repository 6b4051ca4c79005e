//! Records for the audit trail, and violations of the group's invariants.

use super::grant::StepGrant;
use super::map::MapRef;
use super::membership::{Epoch, MemberIndex};
use crate::Fencing;

/// An invariant that does not hold. The member that finds one gives no more grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A rank used another map than the one granted for the step.
    #[error("rank {rank} made step {step} on map {used}, granted was {granted}")]
    WrongMap {
        /// The rank.
        rank: u16,
        /// The step.
        step: u64,
        /// The map that it used.
        used: MapRef,
        /// The map that was granted.
        granted: MapRef,
    },
    /// A rank made a step beyond everything granted.
    #[error("rank {rank} made step {step}, granted were steps up to {through_step}")]
    StepWithoutGrant {
        /// The rank.
        rank: u16,
        /// The step.
        step: u64,
        /// Last step granted.
        through_step: u64,
    },
    /// Two grants cover one step with different maps.
    #[error("grants of maps {} and {} overlap at step {}", held.map, offered.map, offered.from_step)]
    ConflictingGrants {
        /// The grant held.
        held: StepGrant,
        /// The other grant.
        offered: StepGrant,
    },
}

/// A line of the audit trail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupRecord {
    /// The member asks for promises.
    Campaigned {
        /// Token of the term.
        fencing: Fencing,
    },
    /// The member has promised to follow a term.
    Promised {
        /// Token of the term.
        fencing: Fencing,
        /// Its candidate.
        candidate: MemberIndex,
    },
    /// The member coordinates the group.
    Leads {
        /// Token of the term.
        fencing: Fencing,
    },
    /// The member no longer coordinates the group.
    Deposed {
        /// Token of the term that ended.
        fencing: Fencing,
    },
    /// The coordinator prepares a change.
    ChangeStarted {
        /// The new map.
        map: MapRef,
    },
    /// The coordinator gives up a change; the old map stays.
    ChangeAbandoned {
        /// The map that was not adopted.
        map: MapRef,
        /// Why.
        reason: AbandonReason,
    },
    /// All members hold the new map; it is granted.
    ChangeCommitted {
        /// The new map.
        map: MapRef,
        /// First step on it.
        from_step: u64,
    },
    /// All ranks have made a step on the new map.
    ChangeFinished {
        /// The new map.
        map: MapRef,
    },
    /// A proposal was not taken up.
    ProposalRefused {
        /// Version that the proposal carried.
        version: u64,
        /// Why.
        reason: ProposalFault,
    },
    /// The member works under another membership.
    MembershipAdopted {
        /// The new membership.
        epoch: Epoch,
    },
}

/// Why a change was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonReason {
    /// Some member did not acknowledge the map before the deadline.
    StageDeadline,
    /// An engine failed to load the map.
    StageFailed,
    /// The coordinator was deposed or the membership changed first.
    TermEnded,
}

/// Why a proposal was not taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalFault {
    /// The member does not coordinate the group.
    NotCoordinator,
    /// Another change is in flight.
    ChangeInFlight,
    /// The map does not fit the group's sizes or leaves an expert without a rank.
    Misfit,
    /// The group has stopped after a violation.
    Halted,
}
