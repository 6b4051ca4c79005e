//! Choice of a backend server for a request.
//!
//! [`TwoChoices`] is the policy in use; the others are baselines on the same border.

mod estimate;
mod least_outstanding;
mod margin;
mod mix;
mod policy;
mod projection;
mod raw_two_choices;
mod round_robin;
mod sample;
mod two_choices;

pub use least_outstanding::LeastOutstanding;
pub use policy::{Candidate, RoutingDecision, RoutingPolicy, RoutingRequest};
pub use raw_two_choices::RawTwoChoices;
pub use round_robin::RoundRobin;
pub use two_choices::TwoChoices;
