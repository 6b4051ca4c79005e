//! Agreement on one expert map within a lock-step group.
//!
//! Each agent gates its engine with [`StepGrant`]s. One member coordinates; it extends the grants
//! of the present map, or has the next one loaded by all and then grants it from the step after
//! the last one granted on the old map. A coordinator is one that *every* member has promised to
//! follow, and it continues the highest grant that any engine holds. The group makes no step
//! without all of its ranks, so nothing is lost by waiting for all of them.
//!
//! The argument for safety stands in `docs/design/group-agreement.md`.

mod audit;
mod candidate;
mod coordinator;
pub mod engine;
mod engine_view;
mod follower;
mod grant;
mod interface;
mod map;
mod mechanisms;
mod member;
mod membership;
mod merge;
mod message;
mod pace;
mod role;
mod shelf;
mod stage_gate;
mod term;
pub mod timing;

pub use audit::{AbandonReason, GroupRecord, ProposalFault, Violation};
pub use engine::{EngineOrder, EngineState, FencedOrder, OrderId, StepReport};
pub use grant::{StepGrant, find_conflict};
pub use interface::{GroupAction, GroupEvent};
pub use map::{ExpertMap, LayerPlacement, MapDigest, MapRef, MapShape};
#[doc(hidden)]
pub use mechanisms::Mechanisms;
pub use member::{GroupMember, MemberSettings};
pub use membership::{Epoch, MemberIndex, Membership};
pub use message::{GroupBody, GroupMessage, Heartbeat, MemberState};
pub use stage_gate::{
    LOAD_TIME_BUDGET_MS, StageDecision, StageEvent, StageGate, max_loads_within, missing_experts,
};
