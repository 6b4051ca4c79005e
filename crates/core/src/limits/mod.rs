//! Team limits that hold over all entries without shared state.

mod border;
mod unlimited;

pub use border::{Admission, DemandReport, LimitTeams};
pub use unlimited::Unlimited;
