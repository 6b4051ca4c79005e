//! Frames to bytes and back.

use crate::frame::Frame;
use bytes::{BufMut, Bytes, BytesMut};

/// Bytes of the length before each frame.
pub const LENGTH_BYTES: usize = 4;

/// Longest frame that is sent or accepted, without its length.
pub const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// Why bytes are not a frame, or a frame cannot be sent.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// Longer than [`MAX_FRAME_BYTES`].
    #[error("a frame of {found} bytes exceeds {MAX_FRAME_BYTES} bytes")]
    TooLong {
        /// Its length.
        found: usize,
    },
    /// Not a frame of this version.
    #[error("not a frame: {0}")]
    Malformed(#[from] postcard::Error),
    /// More bytes than the frame takes.
    #[error("{count} bytes follow the frame")]
    Trailing {
        /// How many.
        count: usize,
    },
}

/// Writes a frame with its length in front.
///
/// # Errors
///
/// [`CodecError::TooLong`] when it exceeds [`MAX_FRAME_BYTES`].
pub fn encode(frame: &Frame) -> Result<Bytes, CodecError> {
    let body = postcard::to_stdvec(frame)?;
    let length = checked_length(body.len())?;
    let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    bytes.put_u32_le(length);
    bytes.put_slice(&body);
    Ok(bytes.freeze())
}

/// Reads a frame's length, as it stands before the frame.
///
/// # Errors
///
/// [`CodecError::TooLong`] when it exceeds [`MAX_FRAME_BYTES`]: the sender is broken or hostile,
/// and making room for the frame could exhaust memory.
pub fn body_length(prefix: [u8; LENGTH_BYTES]) -> Result<usize, CodecError> {
    let length = u32::from_le_bytes(prefix) as usize;
    checked_length(length)?;
    Ok(length)
}

/// Reads a frame, without its length.
///
/// # Errors
///
/// When the bytes are not exactly one frame.
pub fn decode(body: &[u8]) -> Result<Frame, CodecError> {
    let (frame, rest) = postcard::take_from_bytes(body)?;
    if rest.is_empty() { Ok(frame) } else { Err(CodecError::Trailing { count: rest.len() }) }
}

fn checked_length(length: usize) -> Result<u32, CodecError> {
    let fits = length <= MAX_FRAME_BYTES;
    u32::try_from(length).ok().filter(|_| fits).ok_or(CodecError::TooLong { found: length })
}
