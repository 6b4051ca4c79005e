//! Choice of a backend server for a request.

mod border;

pub use border::{Candidate, Choice, ChooseBackend, Pick};
