//! The decisions of an agent: queue, execution, revocation, idempotency keys, drain.

mod attempt;
mod border;
mod core;
mod identity;
mod key_home;

pub use border::{AgentAction, AgentEvent};
pub use core::AgentCore;
pub use identity::AgentIdentity;
pub use key_home::key_home;
