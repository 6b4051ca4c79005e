//! JSON paths, such as `teams[2].limit.burst_requests`.

use std::fmt;

/// Longest part of a key that a path quotes, in characters.
const MAX_KEY_CHARS: usize = 64;

/// A place in a JSON document, linked to the place that holds it.
#[derive(Clone, Copy)]
pub(crate) enum Path<'a> {
    /// The whole document.
    Root,
    /// A member of an object.
    Member(&'a Path<'a>, &'a str),
    /// An entry of a list.
    Entry(&'a Path<'a>, usize),
}

impl<'a> Path<'a> {
    /// The place of an object's member.
    pub(crate) fn member(&'a self, key: &'a str) -> Self {
        Path::Member(self, key)
    }

    /// The place of a list's entry.
    pub(crate) fn entry(&'a self, index: usize) -> Self {
        Path::Entry(self, index)
    }

    fn write_parents(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Path::Root => Ok(()),
            Path::Member(parent, key) => {
                parent.write_parents(f)?;
                write_key(f, key, matches!(parent, Path::Root))
            }
            Path::Entry(parent, index) => {
                parent.write_parents(f)?;
                write!(f, "[{index}]")
            }
        }
    }
}

impl fmt::Display for Path<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Path::Root => f.write_str("$"),
            _ => self.write_parents(f),
        }
    }
}

fn write_key(f: &mut fmt::Formatter<'_>, key: &str, first: bool) -> fmt::Result {
    if !is_plain(key) {
        let shown: String = key.chars().take(MAX_KEY_CHARS).collect();
        return write!(f, "[{shown:?}]");
    }
    if !first {
        f.write_str(".")?;
    }
    f.write_str(key)
}

fn is_plain(key: &str) -> bool {
    let plain = |byte: u8| byte == b'_' || byte.is_ascii_alphanumeric();
    !key.is_empty() && key.len() <= MAX_KEY_CHARS && key.bytes().all(plain)
}
