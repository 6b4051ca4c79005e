//! lab
