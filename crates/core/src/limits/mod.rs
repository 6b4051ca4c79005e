//! Rate limits of teams, enforced across all entries without shared state.
//!
//! [`SharedLimits`] is the production policy. Each entry keeps a token bucket per team, whose rate
//! is the entry's share of the team's limit. Entries report the demand that they measure to two
//! home agents per team; the agents reply with the total over all entries, and each entry sets its
//! share in proportion to its part of that total.

mod bucket;
mod home_agents;
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
