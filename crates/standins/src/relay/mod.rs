//! Relays that stand between two processes and disturb what passes.

mod flow;
mod tcp;

pub use tcp::TcpRelay;
