//! Encoding and decoding of frames.

use crate::frame::Frame;
use bytes::{BufMut, Bytes, BytesMut};

/// Size in bytes of the length prefix of each frame.
pub const LENGTH_BYTES: usize = 4;

/// Maximum size in bytes of a frame that is sent or accepted, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// An error in encoding or decoding a frame.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("a frame of {found} bytes exceeds {MAX_FRAME_BYTES} bytes")]
    TooLong {
        /// Length of the frame in bytes, without its prefix.
        found: usize,
    },
    /// The bytes are not a frame of this protocol version, or the frame cannot be serialized.
    #[error("not a frame: {0}")]
    Malformed(#[from] postcard::Error),
    /// Bytes remain after the end of the frame.
    #[error("{count} bytes follow the frame")]
    Trailing {
        /// Number of remaining bytes.
        count: usize,
    },
}

/// Encodes a frame, with its length prefix.
///
/// # Errors
///
/// [`CodecError::TooLong`] if the frame exceeds [`MAX_FRAME_BYTES`], [`CodecError::Malformed`] if
/// it cannot be serialized.
pub fn encode(frame: &Frame) -> Result<Bytes, CodecError> {
    let body = postcard::to_stdvec(frame)?;
    let length = checked_length(body.len())?;
    let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    bytes.put_u32_le(length);
    bytes.put_slice(&body);
    Ok(bytes.freeze())
}

/// Decodes the length prefix of a frame.
///
/// # Errors
///
/// [`CodecError::TooLong`] if the length exceeds [`MAX_FRAME_BYTES`]. The sender is then faulty or
/// malicious, and allocating a buffer for the frame could exhaust memory.
pub fn body_length(prefix: [u8; LENGTH_BYTES]) -> Result<usize, CodecError> {
    let length = u32::from_le_bytes(prefix) as usize;
    checked_length(length)?;
    Ok(length)
}

/// Decodes a frame from its bytes, without the length prefix.
///
/// # Errors
///
/// Returns an error if the bytes are not exactly one frame.
pub fn decode(body: &[u8]) -> Result<Frame, CodecError> {
    let (frame, rest) = postcard::take_from_bytes(body)?;
    if rest.is_empty() { Ok(frame) } else { Err(CodecError::Trailing { count: rest.len() }) }
}

/// Checks a length against [`MAX_FRAME_BYTES`] and converts it to the type of the prefix.
fn checked_length(length: usize) -> Result<u32, CodecError> {
    let fits = length <= MAX_FRAME_BYTES;
    u32::try_from(length).ok().filter(|_| fits).ok_or(CodecError::TooLong { found: length })
}
