//! Orders to the ranks of an engine.

use hickorycross_core::Fencing;
use hickorycross_core::group::EngineOrder;
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderCall {
    /// Fencing token of whoever gives the order.
    pub fencing: Fencing,
    /// The order.
    pub order: EngineOrder,
}

/// Body of the answer 409: the order's fencing token is lower than one seen before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("fencing token below {}", highest.0)]
pub struct OldFencing {
    /// The highest token seen.
    pub highest: Fencing,
}

/// An order that an engine got, and what became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderSeen {
    /// Its fencing token.
    pub fencing: Fencing,
    /// The order.
    pub order: EngineOrder,
    /// Whether it was refused.
    pub result: Result<(), OldFencing>,
}
