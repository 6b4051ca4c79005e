//! Orders to the ranks of an engine.

use super::map::ExpertMap;
use hickorycross_config::Digest;
use hickorycross_core::Fencing;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCall {
    /// Fencing token of whoever orders.
    pub fencing: Fencing,
    /// What is ordered.
    pub order: Order,
}

/// The kinds of order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Order {
    /// Load what another map needs, in the background.
    StageMap {
        /// The map.
        map: ExpertMap,
    },
    /// Permit steps with a staged map. A grant of the version granted last extends it; one of
    /// another version begins at the step after it.
    Grant {
        /// Version of the map.
        version: u64,
        /// Digest of the map, as whoever orders computes it; it is only passed on.
        digest: Digest,
        /// Last step that is permitted.
        through_step: u64,
    },
    /// Load other weights, in the background.
    LoadWeights {
        /// Their version.
        version: String,
    },
}

impl Order {
    /// Name of its kind, as in JSON.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::StageMap { .. } => "stage_map",
            Self::Grant { .. } => "grant",
            Self::LoadWeights { .. } => "load_weights",
        }
    }
}

/// Why an order was not carried out; the body of status 409 (422 for a bad map).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum OrderError {
    /// An order with a higher fencing token has been seen.
    OldFencing {
        /// The highest token seen.
        highest: Fencing,
    },
    /// The granted version has not been staged, or is still being loaded.
    NotStaged {
        /// The granted version.
        version: u64,
    },
    /// Another map of this version is held.
    VersionTaken {
        /// The version.
        version: u64,
    },
    /// The map does not fit the group, or leaves out an expert.
    BadMap,
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OldFencing { highest } => write!(f, "fencing token below {}", highest.0),
            Self::NotStaged { version } => write!(f, "map {version} is not staged"),
            Self::VersionTaken { version } => write!(f, "another map {version} is held"),
            Self::BadMap => f.write_str("the map does not fit the group"),
        }
    }
}

impl std::error::Error for OrderError {}

/// An order as an engine saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderSeen {
    /// Its fencing token.
    pub fencing: Fencing,
    /// The order.
    pub order: Order,
    /// What came of it.
    pub result: Result<(), OrderError>,
}
