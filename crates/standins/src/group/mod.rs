//! A group of ranks in lock-step.
//!
//! [`GroupClock`] makes the steps. Each engine of the group hosts some of its ranks, takes orders
//! for them and says which expert map each of them uses in which step.

mod clock;
mod demand;
mod host;
mod map;
mod order;
mod report;
mod step;
mod table;
mod window;
mod work;

pub use clock::{GroupClock, GroupOptions};
pub use host::RankOptions;
pub use order::{OldFencing, OrderCall, OrderSeen};
pub use report::RanksReport;
pub use step::{RankStep, Step};

pub(crate) use host::RankHost;
