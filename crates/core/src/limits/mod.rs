//! Team limits that hold over all entries without shared state.
//!
//! [`SharedLimits`] is the policy in use: a token bucket for each team whose rate is this entry's
//! share of the team's limit. The share follows measured demand, which two home agents for each
//! team sum up.

mod bucket;
mod homes;
mod policy;
mod rate;
mod reports;
mod share;
mod shared;
mod team;
mod unlimited;

pub use policy::{Admission, DemandReport, TeamLimiter};
pub use reports::{REPORT_BYTES_PER_S, report_bytes};
pub use shared::SharedLimits;
pub use unlimited::Unlimited;
