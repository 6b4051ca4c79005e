//! Slopes of processor time, memory and bytes of one role, in one thread and virtual time.
//!
//! Each [`Series`] varies one thing over at least a factor of eight and fits a line. The page
//! docs/CAPACITY.md reckons the design size from the fits.

mod agent;
mod bytes;
mod config;
mod cpu;
mod design;
mod document;
mod entry;
mod fit;
mod group;
mod limits;
mod measure;
mod memory;
mod print;
mod write;

pub use bytes::FrameSize;
pub use design::DesignSize;
pub use document::{FleetShape, document, instances};
pub use fit::{Fit, Sample, Series, SeriesName, fit};
pub use measure::{Effort, Measurement, measure};
pub use print::print;
pub use write::{write, write_csv};
