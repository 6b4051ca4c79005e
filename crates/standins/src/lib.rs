//! Small fakes of what surrounds hickorycross: the platform, model engines, plain services and the
//! network between processes.
//!
//! Each runs in the caller's tokio runtime, listens on a free port of 127.0.0.1 and is steered
//! through its handle. Dropping a handle ends the stand-in abruptly, as a killed process would end.
//!
//! Every HTTP stand-in runs `rocket` behind a [`TcpRelay`], because `rocket` alone can neither
//! refuse connections, nor fall silent, nor break off an answer: a body stream that fails is ended
//! in `rocket` like one that is whole.
//!
//! A process that logs must set its logger before it starts a stand-in: `rocket` installs its own,
//! which is off, when it finds none.

mod calls;
mod head;
mod http;
mod reply;
mod slots;
mod worker;

pub mod engine;
pub mod group;
pub mod platform;
pub mod relay;
pub mod service;

pub use calls::{Call, CallState};
pub use engine::{EngineOptions, EngineStandIn, expected_answer};
pub use group::{GroupClock, GroupOptions, RankOptions};
pub use head::{ATTEMPT_HEADER, IDEMPOTENCY_HEADER, PRIORITY_HEADER};
pub use platform::PlatformStandIn;
pub use relay::{Disturbance, TcpRelay, UdpRelay};
pub use service::ServiceStandIn;
pub use worker::{Failure, Knobs};
