//! The example documents as a starting point of tests.

use serde_json::Value;
use std::path::PathBuf;

/// Reads a file by its path from the root of the workspace.
pub(crate) fn read(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join(path)).expect("the file is part of the workspace")
}

/// The bytes of an example document with changes made to its JSON.
#[allow(dead_code, reason = "not every test file changes a document")]
pub(crate) fn changed(change: fn(&mut Value)) -> Vec<u8> {
    let mut document: Value =
        serde_json::from_str(&read("examples/wodoprzylacze.json")).expect("the example is JSON");
    change(&mut document);
    document.to_string().into_bytes()
}
