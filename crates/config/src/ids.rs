//! Identifier types for the entities of a document.
//!
//! The doc comments of these types are descriptions in the JSON schema.

use crate::syntax::{ID_ALLOWED, ID_PATTERN};
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

/// Defines an identifier type that holds a shared text and is written to JSON as that text.
macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[derive(schemars::JsonSchema)]
        #[serde(transparent)]
        #[schemars(extend("pattern" = ID_PATTERN, "x-allowed" = ID_ALLOWED))]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates an identifier from its text. The syntax is checked by validation only.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the text of the identifier, as written in the document.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_id!(
    /// Names a team: one organisation unit of callers with its own keys and limits.
    TeamId
);
name_id!(
    /// Names a priority tier.
    TierId
);
name_id!(
    /// Names a model group: ranks that run in lock-step on one expert map.
    ModelGroupId
);
name_id!(
    /// Names a backend server. The platform binds it to an instance through the instance list.
    BackendServerId
);
name_id!(
    /// Names a failure domain.
    FailureDomainId
);
name_id!(
    /// Names a region: failure domains that lose each other rarely.
    RegionId
);
name_id!(
    /// Names a route from a caller's model or path to backend servers.
    RouteId
);
