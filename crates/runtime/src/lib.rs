//! What both hickorycross programs share around the core.
//!
//! - [`clock`] gives the core its moments.
//! - [`settings`] reads a program's settings file and points at what is wrong in it.
//! - [`logs`] and [`trail`] write one line for each event; [`exposition`] serves metrics.
//! - [`security`] holds the keys of links; [`link`] carries frames between processes.
//! - [`view`] holds the state that peers and operators see, [`fleet`] what was heard of others.
//! - [`command`] holds the commands that both programs have.
//! - [`server`] sets up HTTP servers; [`operators`] shows a process to its operators.
//! - [`platform`] reads the platform's configuration service and instance list; [`follower`]
//!   follows the configuration with it and with the peers.

pub mod clock;
pub mod command;
pub mod exposition;
pub mod fleet;
pub mod follower;
pub mod link;
pub mod logs;
pub mod operators;
pub mod platform;
pub mod security;
pub mod server;
pub mod settings;
pub mod signals;
pub mod trail;
pub mod view;
