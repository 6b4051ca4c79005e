//! Checks response heads that the HTTP library accepts although they do not tell where the body
//! ends, or have no status of HTTP.
//!
//! The library reads a body whose transfer encoding it does not know to the end of the connection,
//! takes a length beside chunks for a field like any other, and allows any status from 100 to 999.
//! A body that was read like that may not be the one that the peer sent.

use reqwest::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use reqwest::{Response, StatusCode};

/// Largest status of HTTP.
const MAX_STATUS: u16 = 599;

/// Why a response head is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedHead {
    /// The status is none of a final response.
    #[error("the status is not that of a final response")]
    Status,
    /// The transfer encoding is another one than chunks, or is given more than once.
    #[error("the transfer encoding is not 'chunked'")]
    TransferEncoding,
    /// There is a length as well as a transfer encoding.
    #[error("there is a length beside a transfer encoding")]
    LengthBesideEncoding,
    /// The length is not a number, or there are several that differ.
    #[error("the length is not one number")]
    Length,
    /// A response with this status has no body, but its head announces one.
    #[error("there is a body where the status allows none")]
    UnexpectedBody,
}

impl MalformedHead {
    /// Returns the value for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Status => "status",
            Self::TransferEncoding => "transfer-encoding",
            Self::LengthBesideEncoding => "length-beside-encoding",
            Self::Length => "length",
            Self::UnexpectedBody => "unexpected-body",
        }
    }
}

/// Checks the status and the framing of a response.
///
/// # Errors
///
/// When the head is malformed, so that the response must not be used.
pub fn check_head(status: StatusCode, headers: &HeaderMap) -> Result<(), MalformedHead> {
    if status.is_informational() || status.as_u16() > MAX_STATUS {
        return Err(MalformedHead::Status);
    }
    let length = content_length(headers)?;
    if headers.contains_key(TRANSFER_ENCODING) {
        check_transfer_encoding(headers)?;
        if length.is_some() {
            return Err(MalformedHead::LengthBesideEncoding);
        }
    }
    let announces_body =
        headers.contains_key(TRANSFER_ENCODING) || length.is_some_and(|length| length > 0);
    if status == StatusCode::NO_CONTENT && announces_body {
        return Err(MalformedHead::UnexpectedBody);
    }
    Ok(())
}

/// Checks the head of a response that the HTTP client has returned.
///
/// # Errors
///
/// When the head is malformed, so that the response must not be used.
pub fn check_response(response: &Response) -> Result<(), MalformedHead> {
    check_head(response.status(), response.headers())
}

/// Checks that the one transfer encoding is that in chunks, which every recipient knows.
fn check_transfer_encoding(headers: &HeaderMap) -> Result<(), MalformedHead> {
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    let first = encodings.next().and_then(|value| value.to_str().ok());
    let is_chunked = first.is_some_and(|value| value.trim().eq_ignore_ascii_case("chunked"));
    if is_chunked && encodings.next().is_none() {
        Ok(())
    } else {
        Err(MalformedHead::TransferEncoding)
    }
}

/// Returns the length of the body in bytes, if there is one. It may be repeated if all are equal.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, MalformedHead> {
    let mut length = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let value = value.to_str().map_err(|_| MalformedHead::Length)?;
        for number in value.split(',') {
            let number = parse_digits(number.trim())?;
            if length.is_some_and(|length| length != number) {
                return Err(MalformedHead::Length);
            }
            length = Some(number);
        }
    }
    Ok(length)
}

/// Parses a number without a sign, which the standard library would accept.
fn parse_digits(text: &str) -> Result<u64, MalformedHead> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    let number = text.parse().ok().filter(|_| is_number);
    number.ok_or(MalformedHead::Length)
}
