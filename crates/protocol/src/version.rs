//! Versions of the protocol. Two processes of neighbouring releases must understand each other,
//! because an upgrade replaces one process at a time.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One version of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Version(pub u16);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The versions that a process speaks, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRange {
    /// The lowest.
    pub lowest: Version,
    /// The highest.
    pub highest: Version,
}

/// The versions that this release speaks.
pub const SUPPORTED_VERSIONS: VersionRange =
    VersionRange { lowest: Version(1), highest: Version(1) };

/// The highest version that both ends speak, if there is one.
#[must_use]
pub fn negotiate(ours: VersionRange, theirs: VersionRange) -> Option<Version> {
    let highest = ours.highest.min(theirs.highest);
    let lowest = ours.lowest.max(theirs.lowest);
    (lowest <= highest).then_some(highest)
}
