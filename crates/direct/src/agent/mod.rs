//! The agent of a rank: reads its rank, carries orders out there, and leads the group or follows.
//!
//! - `rank` is what a platform must give; `execute` carries one order out for certain, `afar` does so
//!   at ranks on other machines, and `give` has the right agent give it.
//! - `member` is what the agent knows, with `state` and `silent`; `datagram` is what agents say to each
//!   other, `link` counts what that takes of the link, and
//!   `bulk` sends what is long bit by bit.
//! - `hear` answers and follows, `take_order` does as the leader says, `status` is what is answered.
//! - `lead` leads; `collect` hears a section of a large group for the leader, and `relay` passes its orders
//!   to many on.
//! - `stand_in` reads ranks whose agents are not heard; `watchers` are polled by an agent that leads, and
//!   `watch` takes over from it when it goes silent while a rank holds a pass for it; `tell` tells entries
//!   of ranks that are slow or not heard.
//! - `program` starts and stops the process.

mod afar;
mod bulk;
mod collect;
mod datagram;
mod execute;
mod fleet;
mod give;
mod hear;
mod lead;
mod link;
mod member;
mod program;
mod rank;
mod relay;
mod silent;
mod stand_in;
mod state;
mod status;
mod take_order;
mod tell;
mod watch;
mod watchers;

pub use program::run_agent;
pub use rank::{
    ExpertCounts, GroupMembership, HeldExperts, OrderReply, RankClient, RankClients, RankError,
    RankFuture, RankReport,
};
