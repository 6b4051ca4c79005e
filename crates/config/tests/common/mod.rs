//! Test support: reads workspace files and modifies an example document.

use serde_json::Value;
use std::path::PathBuf;

/// Reads a file by its path relative to the workspace root.
pub(crate) fn read_workspace_file(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join(path)).expect("the file is part of the workspace")
}

/// Returns the JSON bytes of the example document `examples/wodoprzylacze.json` after a change.
#[allow(dead_code, reason = "not every test file modifies a document")]
pub(crate) fn modified_example(change: fn(&mut Value)) -> Vec<u8> {
    let mut document: Value =
        serde_json::from_str(&read_workspace_file("examples/wodoprzylacze.json"))
            .expect("the example is JSON");
    change(&mut document);
    document.to_string().into_bytes()
}
