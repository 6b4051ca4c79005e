//! The hickorycross agent: one small process beside each backend server.
//!
//! - [`Settings`] is its settings file, [`command_line`] its flags.
//! - [`Agent`] is a running agent: it turns links, the backend server's answers and the platform
//!   into events for `hickorycross_core::agent` and carries out its actions.

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
