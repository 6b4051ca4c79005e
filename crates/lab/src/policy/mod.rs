//! Measurement of the entry's policies in virtual time.
//!
//! Small fakes stand at the interfaces: a backend server is a queue with service times and faults,
//! an entry is a dispatch loop around the policy objects of `hickorycross-core`. Every set of
//! policies meets the same requests, drawn beforehand from the seed.

mod arrivals;
mod backend;
mod chart;
mod demand;
mod entry;
mod fleet;
mod ledger;
mod link;
mod measure;
mod open;
mod outcome;
mod overshoot;
mod policies;
mod print;
mod queue;
mod scenario;
mod tally;
mod wire;
mod world;
mod write;

pub use measure::{Effort, Measurement, measure};
pub use print::print;
pub use write::write;
