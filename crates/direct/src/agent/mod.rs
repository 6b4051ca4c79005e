//! The agent of a rank: reads its rank, carries orders out there, and leads the group or follows.
//!
//! - `rank` is what a platform must give; `execute` carries one order out for certain.
//! - `datagram` is what agents say to each other; `member` answers and follows, `lead` leads, `polls`
//!   says when a leader asks whom, `status` what is answered.
//! - `silent` stands in for agents that are not heard; `tell` tells entries of a slow rank.
//! - `program` starts and stops the process.

mod datagram;
mod execute;
mod fleet;
mod lead;
mod member;
mod polls;
mod program;
mod rank;
mod silent;
mod status;
mod tell;

pub use program::run_agent;
pub use rank::{
    ExpertCounts, ExpertLists, OrderReply, RankEngine, RankEngines, RankError, RankFuture,
    RankReport, RankSeat,
};
