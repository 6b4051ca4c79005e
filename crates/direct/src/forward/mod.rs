//! The life of a request from its judged head to its final answer.
//!
//! - `limit` reads how many requests a backend server in need takes.
//! - `life` chooses backend servers and decides about further attempts.
//! - `account` logs and counts what happens to it.
//! - `attempt` sends a request once and judges the head of what comes back.
//! - `room` says when a request may be sent.
//! - `pool` keeps connections to backend servers.
//! - `crash` notes backend servers that end while they have the request.
//! - `leave` says when a stream leaves a rank that holds up its group.
//! - `stream` hands events on and continues a broken stream elsewhere.
//! - `patience` tells a silent connection from a group that stalls as a whole.

mod account;
mod attempt;
mod crash;
mod leave;
mod life;
mod limit;
mod patience;
mod pool;
mod room;
mod stream;

pub(crate) use crash::Suspicions;
pub(crate) use life::forward;
pub(crate) use pool::Pool;
