//! Agreement on one expert map among the agents of a model group whose ranks step together.
//!
//! An engine may make a step only on the map that a [`StepGrant`] names for it. One member, the
//! coordinator, issues the grants and each agent passes them on to its engine. To change the map,
//! the coordinator has all members load the new one and then grants it from the step after the
//! last one granted on the old map.
//!
//! A member becomes coordinator once *every* member has promised to follow it, and it continues
//! the highest grant that any engine holds. A majority would not do; waiting for all members costs
//! nothing, because the group makes no step without all of its ranks.
//!
//! [`GroupMember`] implements the protocol without I/O: it takes [`GroupEvent`]s and returns
//! [`GroupAction`]s. [`StageGate`] keeps the loads of map changes within the rate of the weight
//! store. `docs/design/group-agreement.md` explains why the protocol is safe.

mod audit;
mod candidate;
mod coordinator;
pub mod engine;
mod engine_view;
mod follower;
mod grant;
mod interface;
mod map;
mod map_cache;
mod mechanisms;
mod member;
mod membership;
mod message;
mod pace;
mod recovery;
mod role;
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
