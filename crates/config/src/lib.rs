//! The one document that defines how a hickorycross fleet behaves.
//!
//! Operators fill in the console's forms; the result is one JSON [`Document`]. This crate holds
//! its types, [`validate`] (every fault at once), its [`schema`], what a change does ([`diff`],
//! [`warnings`]), its [`Digest`] and the order in which revisions replace one another ([`Stamp`]).
//!
//! ```
//! let faults = hickorycross_config::parse(b"{}").unwrap_err();
//! assert!(!faults.is_empty());
//! ```

mod diff;
mod digest;
mod document;
mod fault;
mod ids;
mod limits;
mod parse;
mod path;
mod schema;
mod strict_json;
mod syntax;
mod validate;
mod warning;

pub use diff::{Change, Edit, Entity, diff};
pub use digest::{Digest, Stamp, hash_api_key};
pub use document::{
    BackendKind, BackendServer, Balance, Document, FailureDomain, KeyHash, ModelGroup, Route,
    SCHEMA_VERSION, Target, Team, TeamLimit, Tier,
};
pub use fault::Fault;
pub use ids::{BackendServerId, FailureDomainId, ModelGroupId, RegionId, RouteId, TeamId, TierId};
pub use parse::parse;
pub use schema::schema;
pub use validate::validate;
pub use warning::{LimitField, Warning, warnings};
