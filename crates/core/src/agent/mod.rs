//! The decisions of an agent: queue, execution, revocation, idempotency keys, drain.

mod border;

pub use border::{AgentAction, AgentEvent};
