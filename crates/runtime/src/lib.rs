//! runtime
