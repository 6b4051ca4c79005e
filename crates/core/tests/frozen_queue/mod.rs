//! A model of entries before a group that gets more than it can do, with instances that freeze.

pub(crate) mod account;
pub(crate) mod cases;
mod entry;
mod ranks;
mod request;
pub(crate) mod run;
