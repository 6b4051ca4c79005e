//! Protocol versions and their negotiation.
//!
//! Processes of consecutive releases must be able to communicate, because an upgrade replaces one
//! process at a time.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A protocol version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u16);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The range of versions that a process supports, both bounds inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRange {
    /// Lowest supported version.
    pub lowest: Version,
    /// Highest supported version.
    pub highest: Version,
}

/// The first version.
pub(crate) const FIRST_VERSION: Version = Version(1);

/// The version that brought queries for the documents that agents hold.
pub(crate) const HOLDER_VERSION: Version = Version(2);

/// The versions that this release supports.
pub const SUPPORTED_VERSIONS: VersionRange =
    VersionRange { lowest: FIRST_VERSION, highest: HOLDER_VERSION };

/// Returns the highest version that both ends support, or `None` if they have none in common.
#[must_use]
pub fn negotiate(ours: VersionRange, theirs: VersionRange) -> Option<Version> {
    let highest = ours.highest.min(theirs.highest);
    let lowest = ours.lowest.max(theirs.lowest);
    (lowest <= highest).then_some(highest)
}
