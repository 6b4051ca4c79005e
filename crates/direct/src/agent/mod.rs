//! The agent of a rank: reads its rank, carries orders out there, and leads the group or follows.
//!
//! - `rank` is what a platform must give; `execute` carries one order out for certain.
//! - `datagram` is what agents say to each other; `member` follows or leads.
//! - `program` starts and stops the process.

mod datagram;
mod execute;
mod fleet;
mod member;
mod program;
mod rank;

pub use program::run_agent;
pub use rank::{
    ExpertCounts, ExpertLists, OrderReply, RankEngine, RankError, RankFuture, RankReport, RankSeat,
};
