//! Runtime services that both programs, the entry and the agent, build around the core.
//!
//! - [`clock`] provides the time that the core works with.
//! - [`settings`] loads a program's settings file and reports every fault with its position.
//! - [`logs`] writes log lines, [`trail`] keeps the audit trail, and [`exposition`] renders
//!   metrics.
//! - [`security`] loads the keys of links; [`link`] carries frames between processes.
//! - [`view`] holds the state of this process that peers and operators can see, and [`fleet`] what
//!   it knows about other processes.
//! - [`command`] contains the subcommands that both programs have.
//! - [`bounded_body`] reads bodies of HTTP responses up to a limit.
//! - [`response_head`] checks heads of HTTP responses that the library accepts too readily.
//! - [`server`] starts HTTP servers; [`operators`] serves the operators' endpoints.
//! - [`platform`] reads the platform's configuration service and instance list; [`follower`] keeps
//!   the process on the newest document from the platform and from its peers.
//! - [`signals`] receives the signals that stop a process.

pub mod bounded_body;
pub mod clock;
pub mod command;
pub mod exposition;
pub mod fleet;
pub mod follower;
pub mod link;
pub mod logs;
pub mod operators;
pub mod platform;
pub mod response_head;
pub mod security;
pub mod server;
pub mod settings;
pub mod signals;
pub mod trail;
pub mod view;
