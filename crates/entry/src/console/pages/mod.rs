//! The console's pages.

mod audit;
mod begin;
mod edit;
mod fleet;
mod layout;
mod plot;
mod result;
mod review;
mod rollout;

pub(super) use audit::{AuditFilter, audit};
pub(super) use begin::{begin, sign_in};
pub(super) use edit::edit;
pub(super) use fleet::fleet;
pub(super) use layout::{Chrome, Page, bare, message, read_clock};
pub(super) use result::result;
pub(super) use review::review;
pub(super) use rollout::rollout;
