//! The agent of a rank: reads the rank's status, carries out orders at it, and leads the group or
//! follows the agent that leads.
//!
//! - Platform interface: `rank` has the traits that a platform implements.
//! - State: `member` holds the state of the agent, with parts in `state` and `silent_ranks`;
//!   `fleet` is what the agent learns from entries.
//! - Messages: `datagram` defines the messages between agents, `receive` dispatches received ones,
//!   `paced_sender` limits the rate of long ones, and `link_traffic` counts them for the log.
//! - Following: `status` reads the status of the own rank, `handle_order` processes orders of the
//!   leader, and `execute` carries out a single order reliably.
//! - Leading: `lead` decides, polls and sends orders through `dispatch`; in large groups `collect`
//!   gathers the statuses of a section, and `relay` forwards orders that go to many ranks.
//! - Failures of agents: `remote_reads` reads ranks whose agents are silent, and `remote_orders`
//!   orders ranks on other instances. `watchers` polls the agents that watch the leader, and
//!   `leader_watch` takes over from a leader that goes silent while a rank holds a pass for it.
//!   `notify_entries` reports slow ranks and silent agents to the entries.
//! - Process: `program` starts and stops the agent.

mod collect;
mod datagram;
mod dispatch;
mod execute;
mod fleet;
mod handle_order;
mod lead;
mod leader_watch;
mod link_traffic;
mod member;
mod notify_entries;
mod paced_sender;
mod program;
mod rank;
mod receive;
mod relay;
mod remote_orders;
mod remote_reads;
mod silent_ranks;
mod state;
mod status;
mod watchers;

pub use program::run_agent;
pub use rank::{
    ExpertCounts, GroupMembership, HeldExperts, OrderReply, RankClient, RankClients, RankError,
    RankFuture, RankReport,
};
