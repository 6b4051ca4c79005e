//! Changes the expert map of a group whose ranks take orders one by one and do not compare maps.
//!
//! An agent stands beside each rank. One agent leads; it polls the others, decides about changes
//! and sends orders, which each agent carries out at its own rank. What must never happen is a
//! pass in which two ranks have different maps. The leader therefore
//!
//! 1. lets all ranks *prepare* the new map, which changes nothing yet;
//! 2. places a *hold* at a pass ahead, at a rank on another machine: the group does not begin that
//!    pass before it is let go;
//! 3. *arms* all ranks to switch as that pass begins, its own last and by the holder's agent;
//! 4. lets the pass *go* when every rank has shown that it is armed.
//!
//! If anything is missing, all ranks are disarmed before the pass goes. An order whose answer was
//! lost may be carried out seconds later; a higher fencing number, shown to the rank, makes that
//! impossible.
//!
//! A leader that dies leaves a held pass, never a mixed one. Some agents watch it and take over, that of
//! the rank that holds first. It alone arms the rank beside the leader, so its [`Witness`] tells whoever
//! leads next how the change ends, also while the machine that led before is frozen.
//!
//! - [`Leader`] is the state machine; [`RankStatus`] is what it hears, [`RankOrder`] what it sends.
//! - [`EngineOrder`] is what a rank's engine is told at last.
//! - [`Roster`] says which machines there are to ask.
//! - [`PollSchedule`] says when a leader asks whom; a [`StatusCollection`] is what an agent hears for it.
//! - [`LinkPace`] says how fast long messages may follow each other.
//! - [`DemandEstimator`] estimates the load of each expert.
//! - [`HoldClock`] says how long a rank held a pass.
//! - [`UnevenNote`] says why a group that is uneven gets no other map.
//! - [`SilenceDetector`] says which agents entries are to be told of, because nothing is heard of them.

mod change;
mod decide;
mod demand;
mod engine_order;
mod hold_clock;
mod known_maps;
mod leader;
mod link_pace;
mod order;
mod order_sends;
mod pass_clock;
mod phase;
mod poll_schedule;
mod roster;
mod settle;
mod silence_detector;
mod status;
mod status_collection;
mod undo;
mod uneven;

pub use demand::DemandEstimator;
pub use engine_order::{EngineOrder, EngineOrderKind};
pub use hold_clock::{HoldClock, HoldEvent};
pub use known_maps::{KnownMaps, UnknownMap};
pub use leader::{Leader, LeaderAction, LeaderNote};
pub use link_pace::LinkPace;
pub use order::{OrderKind, OrderOutcome, OrderResult, RankOrder};
pub use poll_schedule::{PollSchedule, SectionPoll, Sections};
pub use roster::Roster;
pub use silence_detector::{LastContact, Reachability, SilenceDetector, machines_to_monitor};
pub use status::{ArmAttempt, Armed, CountsSample, RankStatus, Witness};
pub use status_collection::{CollectedStatuses, StatusCollection};
pub use uneven::{Obstacle, UnevenNote};
