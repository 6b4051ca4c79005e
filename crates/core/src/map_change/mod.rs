//! Changes the expert map of a model group whose ranks accept orders individually and do not
//! compare their maps with each other.
//!
//! An agent runs on each rank's instance. One agent is the leader: it polls the others, decides
//! when to change the map and sends orders, which each agent delivers to the engine of its own
//! rank. All ranks must use the same map in every forward pass. The leader therefore changes a map
//! in four phases:
//!
//! 1. *Prepare*: all ranks copy the experts that are new in the map. The map in use stays as it is.
//! 2. *Hold*: a rank on another instance holds a pass that is still ahead. The group does not begin
//!    that pass until the rank is told to go.
//! 3. *Arm*: all ranks are told to switch to the new map as the held pass begins. The leader's own
//!    rank is armed last, by the agent of the rank that holds.
//! 4. *Go*: the held pass is released once every rank has confirmed that it is armed.
//!
//! If a phase fails, all ranks are disarmed before the pass is released. An order that was not
//! answered may still be carried out seconds later. The leader shows each rank a higher fencing
//! number, so that the rank refuses such a late order.
//!
//! If the leader fails, a pass stays held, but no pass runs with two maps. Some agents watch the
//! leader and take over if it goes silent, first the agent of the rank that holds. Only that agent
//! may arm the leader's own rank, so its [`Witness`] tells the next leader how the change has to
//! end, even while the instance of the previous leader is frozen.
//!
//! - [`Leader`] is the state machine. It receives [`RankStatus`] and emits [`RankOrder`].
//! - [`EngineOrder`] is an order in the form in which the engine of a rank takes it.
//! - [`Roster`] lists the instances to poll.
//! - [`PollSchedule`] decides when the leader polls which agents. A [`StatusCollection`] gathers
//!   the statuses of a section of the group on one of its agents. [`PollScope`] keeps the polls to the
//!   instances of the group while their agents answer.
//! - [`LinkPace`] limits the rate of long messages.
//! - [`DemandEstimator`] estimates the load of each expert.
//! - [`HoldClock`] measures how long a rank holds a pass.
//! - [`UnevenNote`] reports why a group with an uneven load keeps its map.
//! - [`SilenceDetector`] decides which agents to report to the entries as silent.

mod abandoned_change;
mod change;
mod decide;
mod demand;
mod engine_order;
mod hold_clock;
mod known_maps;
mod leader;
mod leader_action;
mod leader_ranks;
mod link_pace;
mod order;
mod order_sends;
mod pass_clock;
mod phase;
mod poll_schedule;
mod poll_scope;
mod released_passes;
mod roster;
mod silence_detector;
mod status;
mod status_collection;
mod undo;
mod uneven;

pub use demand::DemandEstimator;
pub use engine_order::{EngineOrder, EngineOrderKind};
pub use hold_clock::{HoldClock, HoldEvent};
pub use known_maps::{KnownMaps, UnknownMap};
pub use leader::Leader;
pub use leader_action::{LeaderAction, LeaderNote};
pub use link_pace::LinkPace;
pub use order::{OrderKind, OrderOutcome, OrderResult, RankOrder};
pub use poll_schedule::{PollSchedule, SectionPoll, Sections};
pub use poll_scope::{PollScope, machines_of_group, servers_to_read};
pub use roster::Roster;
pub use silence_detector::{LastContact, Reachability, SilenceDetector, machines_to_monitor};
pub use status::{ArmAttempt, Armed, CountsSample, RankStatus, Witness};
pub use status_collection::{CollectedStatuses, StatusCollection};
pub use uneven::{Obstacle, UnevenNote};
