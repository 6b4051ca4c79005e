//! Main.
fn main() {}
