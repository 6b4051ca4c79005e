//! The hickorycross entry: takes callers' requests and brings back their answers.
//!
//! - [`Settings`] is its settings file, [`command_line`] its flags.
//! - [`demo`] runs a whole fleet in one process.
//! - [`Entry`] is a running entry: it turns callers, links and the platform into events for
//!   `hickorycross_core::entry` and carries out its actions.

mod answer;
mod callers;
mod catalog;
mod cli;
mod console;
pub mod demo;
mod driver;
mod export;
mod inbox;
mod observed;
mod program;
mod refusal;
mod request_log;
mod settings;

pub use cli::{command_line, run};
pub use console::OperatorCredential;
pub use export::metric_names;
pub use program::{Entry, StartError};
pub use settings::{CallerTls, Settings};
