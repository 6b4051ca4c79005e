//! Choice of a backend server for a request.

mod border;
mod least_outstanding;
mod round_robin;

pub use border::{Candidate, Choice, ChooseBackend, Pick};
pub use least_outstanding::LeastOutstanding;
pub use round_robin::RoundRobin;
