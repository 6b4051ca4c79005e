//! The agent of a rank: reads its rank, carries orders out there, and leads the group or follows.
//!
//! - `rank` is what a platform must give; `execute` carries one order out for certain, `afar` does so
//!   at ranks on other machines.
//! - `datagram` is what agents say to each other; `member` answers and follows, `lead` leads,
//!   `status` is what is answered; `collect` hears a section of a large group for the leader, and
//!   `relay` passes orders to many on. `link` says what all that takes of the link.
//! - `silent` stands in for agents that are not heard; `watch` takes over from a leader that goes
//!   silent while this rank holds a pass for it; `tell` tells entries of a slow rank.
//! - `program` starts and stops the process.

mod afar;
mod collect;
mod datagram;
mod execute;
mod fleet;
mod lead;
mod link;
mod member;
mod program;
mod rank;
mod relay;
mod silent;
mod status;
mod tell;
mod watch;

pub use program::run_agent;
pub use rank::{
    ExpertCounts, ExpertLists, OrderReply, RankEngine, RankEngines, RankError, RankFuture,
    RankReport, RankSeat,
};
