//! The decisions of an entry: admission, attempts, links, retries.

mod border;
mod core;
mod plain;
mod setup;

pub use self::core::EntryCore;
pub use border::{Arrival, EntryAction, EntryEvent, Refusal, RefusalCode, Wanted};
pub use plain::{AsTold, FewestOutstanding, FixedTries, NoLimit};
pub use setup::{EntryIdentity, EntryPolicies, MakeHealth};
