//! Routing policies: the choice of a backend server for a request.
//!
//! [`TwoChoices`] is the production policy; the others are baselines for measurements. All of them
//! implement [`RoutingPolicy`].

mod least_outstanding;
mod policy;
mod projection;
mod raw_two_choices;
mod round_robin;
mod sample;
mod server_estimates;
mod tier_mix;
mod two_choices;
mod wait_margin;

pub use least_outstanding::LeastOutstanding;
pub use policy::{Candidate, RoutingDecision, RoutingPolicy, RoutingRequest};
pub use raw_two_choices::RawTwoChoices;
pub use round_robin::RoundRobin;
pub use two_choices::TwoChoices;
