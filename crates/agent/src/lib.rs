//! The hickorycross agent: a small process that runs beside each backend server.
//!
//! Entries send their requests to the agent over links. The agent queues the requests, forwards
//! them to its backend server over loopback and streams the responses back.
//!
//! - [`Settings`] is the settings file, [`command_line`] defines the commands and flags.
//! - [`Agent`] is a running agent. Its driver turns link frames, responses of the backend server
//!   and updates from the platform into events for `hickorycross_core::agent`, which holds the
//!   decision logic, and executes the resulting actions.
//! - [`metric_names`] lists the exported metrics.

mod backend;
mod cli;
mod driver;
mod export;
mod group;
mod on_platform;
mod program;
mod settings;

pub use cli::{command_line, run};
pub use export::metric_names;
pub use program::{Agent, StartError};
pub use settings::Settings;
