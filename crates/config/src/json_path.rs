//! JSON paths in fault messages, such as `teams[2].limit.burst_requests`.

use std::fmt;

/// Most characters of a key that a path shows.
const MAX_KEY_CHARS: usize = 64;

/// The path of a value in a JSON document, as a linked list from the value up to the root.
#[derive(Clone, Copy)]
pub(crate) enum JsonPath<'a> {
    /// The whole document.
    Root,
    /// A member of an object.
    Member(&'a JsonPath<'a>, &'a str),
    /// An element of an array.
    Element(&'a JsonPath<'a>, usize),
}

impl<'a> JsonPath<'a> {
    /// Returns the path of a member of the object at this path.
    pub(crate) fn member(&'a self, key: &'a str) -> Self {
        JsonPath::Member(self, key)
    }

    /// Returns the path of an element of the array at this path.
    pub(crate) fn element(&'a self, index: usize) -> Self {
        JsonPath::Element(self, index)
    }

    /// Writes every segment from the root to this path; nothing for the root itself.
    fn write_segments(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JsonPath::Root => Ok(()),
            JsonPath::Member(parent, key) => {
                parent.write_segments(f)?;
                write_key(f, key, matches!(parent, JsonPath::Root))
            }
            JsonPath::Element(parent, index) => {
                parent.write_segments(f)?;
                write!(f, "[{index}]")
            }
        }
    }
}

impl fmt::Display for JsonPath<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JsonPath::Root => f.write_str("$"),
            _ => self.write_segments(f),
        }
    }
}

/// Writes a member's key, in brackets and quotes unless it consists of identifier characters.
fn write_key(f: &mut fmt::Formatter<'_>, key: &str, is_first: bool) -> fmt::Result {
    if !is_bare_key(key) {
        let shown: String = key.chars().take(MAX_KEY_CHARS).collect();
        return write!(f, "[{shown:?}]");
    }
    if !is_first {
        f.write_str(".")?;
    }
    f.write_str(key)
}

fn is_bare_key(key: &str) -> bool {
    let is_allowed = |byte: u8| byte == b'_' || byte.is_ascii_alphanumeric();
    !key.is_empty() && key.len() <= MAX_KEY_CHARS && key.bytes().all(is_allowed)
}
