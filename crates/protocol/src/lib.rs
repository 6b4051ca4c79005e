//! The protocol between hickorycross processes: frames, their encoding and version negotiation.
//!
//! A link is one QUIC connection. Its first stream, opened by the process that connects, is the
//! control stream: both ends send a [`Hello`] on it and agree on a protocol version. Each attempt
//! has its own stream, so that a slow response does not block others. On every stream, a frame is
//! encoded as its length ([`LENGTH_BYTES`] bytes, little endian) followed by the [`Frame`] in
//! postcard format.
//!
//! Configuration documents are sent compressed, as a [`ConfigOffer`].
//!
//! ```
//! use hickorycross_protocol::{Frame, decode, encode};
//! use hickorycross_core::message::ToEntry;
//!
//! let frame = Frame::ToEntry(ToEntry::Leaving);
//! let bytes = encode(&frame).unwrap();
//! assert_eq!(decode(&bytes[hickorycross_protocol::LENGTH_BYTES..]).unwrap(), frame);
//! ```

mod codec;
mod frame;
mod offer;
mod version;

pub use codec::{CodecError, LENGTH_BYTES, MAX_FRAME_BYTES, body_length, decode, encode};
pub use frame::{Frame, Hello, PeerRole};
pub use offer::{ConfigOffer, MAX_DOCUMENT_BYTES, OfferCache, OfferError};
pub use version::{SUPPORTED_VERSIONS, Version, VersionRange, negotiate};
