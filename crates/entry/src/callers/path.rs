//! Rejects paths that are not normalized.
//!
//! Routes match a path as it is written, and a prefix may be non-idempotent although a shorter one
//! is idempotent. A backend server, or the HTTP library on the way to it, may normalize
//! `/cases/x/../lodge`, `/cases//lodge` or `/cases/%6Codge` to `/cases/lodge`. Such a request would
//! be routed as idempotent, could be retried, and could then lodge an application twice.

/// Checks that a path is normalized. Takes the path without its query.
pub(super) fn check_path(path: &str) -> Result<(), String> {
    if path.contains('\\') {
        return Err("the path has a backslash".to_owned());
    }
    let decoded = decode(path)?;
    let mut segments = decoded.split(['/', '\\']).skip(1).peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        if segment == "." || segment == ".." || (segment.is_empty() && !is_last) {
            return Err("the path has an empty, `.` or `..` segment".to_owned());
        }
    }
    Ok(())
}

/// Decodes percent-encoding. Fails if a character is encoded that needs no encoding.
fn decode(path: &str) -> Result<String, String> {
    let mut decoded = String::with_capacity(path.len());
    let mut rest = path;
    while let Some(at) = rest.find('%') {
        decoded.push_str(&rest[..at]);
        let digits = rest.get(at + 1..at + 3).ok_or("the path ends within a `%` sequence")?;
        let byte = u8::from_str_radix(digits, 16)
            .map_err(|_| "the path has `%` without two hexadecimal digits".to_owned())?;
        if needs_no_encoding(byte) {
            return Err(format!("the path has %{digits} in place of `{}`", char::from(byte)));
        }
        decoded.push(char::from(byte));
        rest = &rest[at + 3..];
    }
    decoded.push_str(rest);
    Ok(decoded)
}

fn needs_no_encoding(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~')
}
