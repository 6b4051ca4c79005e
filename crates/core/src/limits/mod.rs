//! Team limits that hold over all entries without shared state.

mod border;

pub use border::{Admission, DemandReport, LimitTeams};
