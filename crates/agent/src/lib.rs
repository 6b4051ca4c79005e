//! agent
