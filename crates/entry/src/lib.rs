//! The hickorycross entry: accepts HTTP requests from callers, forwards them to agents over links,
//! and returns the backend servers' answers.
//!
//! - [`Settings`] is the content of its settings file; [`command_line`] defines its commands and
//!   flags.
//! - [`demo`] runs a whole fleet in one process.
//! - [`Entry`] is a running entry. It passes requests, link events and platform events to the state
//!   machine in `hickorycross_core::entry` and executes the actions that this returns.

mod answer;
mod caller_channel;
mod callers;
mod catalog;
mod cli;
mod console;
mod console_state;
pub mod demo;
mod driver;
mod export;
mod program;
mod refusal;
mod request_log;
mod settings;

pub use cli::{command_line, run};
pub use console::OperatorCredential;
pub use export::metric_names;
pub use program::{Entry, StartError};
pub use settings::{CallerTls, Settings};
