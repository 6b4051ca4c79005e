//! entry
