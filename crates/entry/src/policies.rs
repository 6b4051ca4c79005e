//! The policies that an entry runs with.

use hickorycross_core::entry::EntryPolicies;

/// The policies of a production entry.
pub(crate) fn production(_seed: u64) -> EntryPolicies {
    EntryPolicies::plain()
}
