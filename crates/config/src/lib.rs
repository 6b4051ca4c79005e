//! The configuration document that defines the behaviour of a hickorycross fleet.
//!
//! Operators edit the configuration in the console's forms, which produce one JSON [`Document`].
//! This crate defines:
//!
//! - the types of the document and their JSON [`schema`],
//! - [`parse`] and [`validate`], which report all faults of a document together,
//! - [`diff`] and [`warnings`], which list the changes between two documents and what those
//!   changes take from callers or from running work,
//! - [`Digest`] and [`Stamp`], which identify and order the published revisions.
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
mod json_path;
mod limits;
mod parse;
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
