//! The decisions of an entry: admission, attempts, links, retries.

mod border;

pub use border::{Arrival, EntryAction, EntryEvent, Refusal, RefusalCode, Wanted};
