//! Reads and writes length-prefixed frames on one stream.

use hickorycross_protocol::{CodecError, Frame, LENGTH_BYTES, body_length, decode, encode};
use quinn::{ReadExactError, RecvStream, SendStream, WriteError};

/// The reason why a stream ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StreamError {
    /// The other end finished it after a whole frame.
    #[error("finished")]
    Finished,
    /// Reading failed, or the stream ended within a frame.
    #[error("read failed: {0}")]
    Read(ReadExactError),
    /// Writing failed.
    #[error("write failed: {0}")]
    Write(#[from] WriteError),
    /// The bytes are not a valid frame, or a frame cannot be encoded.
    #[error("{0}")]
    Codec(#[from] CodecError),
}

/// Reads the next frame from a stream.
pub(crate) async fn read_frame(stream: &mut RecvStream) -> Result<Frame, StreamError> {
    let mut prefix = [0; LENGTH_BYTES];
    stream.read_exact(&mut prefix).await.map_err(end_of_stream)?;
    let mut body = vec![0; body_length(prefix)?];
    stream.read_exact(&mut body).await.map_err(StreamError::Read)?;
    Ok(decode(&body)?)
}

/// Writes a frame to a stream.
pub(crate) async fn write_frame(stream: &mut SendStream, frame: &Frame) -> Result<(), StreamError> {
    let bytes = encode(frame)?;
    stream.write_chunk(bytes).await?;
    Ok(())
}

fn end_of_stream(error: ReadExactError) -> StreamError {
    match error {
        ReadExactError::FinishedEarly(0) => StreamError::Finished,
        other => StreamError::Read(other),
    }
}
