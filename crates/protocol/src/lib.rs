//! protocol
