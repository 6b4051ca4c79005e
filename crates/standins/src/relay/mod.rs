//! Relays that stand between two processes and disturb what passes.

mod flow;
mod tcp;
mod udp;

pub use tcp::TcpRelay;
pub use udp::{Disturbance, UdpCounts, UdpRelay};
