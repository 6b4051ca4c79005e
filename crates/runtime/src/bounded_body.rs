//! Reads bodies of HTTP responses whose size the peer does not bound.

use crate::response_head::{MalformedHead, check_response};
use bytes::{Bytes, BytesMut};
use reqwest::Response;
use serde::de::DeserializeOwned;

/// Why a body was not read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is longer than the given number of bytes.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// The head does not tell where it ends.
    #[error("malformed head: {0}")]
    MalformedHead(#[from] MalformedHead),
    /// The connection broke, or the time for the response is over.
    #[error(transparent)]
    Broken(#[from] reqwest::Error),
    /// It is not the expected JSON.
    #[error(transparent)]
    Unreadable(#[from] serde_json::Error),
}

/// Returns the whole body of a response, of at most `max_bytes`.
///
/// The rest of a longer one is not read: its connection is closed.
///
/// # Errors
///
/// When the head is malformed, or the body is longer or breaks off.
pub async fn read_bounded(mut response: Response, max_bytes: usize) -> Result<Bytes, BodyError> {
    check_response(&response)?;
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await? {
        if chunk.len() > max_bytes - body.len() {
            return Err(BodyError::TooLong(max_bytes));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Returns the decoded JSON body of a response, of at most `max_bytes`.
///
/// # Errors
///
/// When the head is malformed, or the body is longer, breaks off, or is not the expected JSON.
pub async fn read_json<T: DeserializeOwned>(
    response: Response,
    max_bytes: usize,
) -> Result<T, BodyError> {
    let body = read_bounded(response, max_bytes).await?;
    Ok(serde_json::from_slice(&body)?)
}
