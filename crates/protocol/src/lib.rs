//! What hickorycross processes say to each other, and how it is written on a link.
//!
//! A link is one QUIC connection. Its first stream, opened by the process that connects, is the
//! control stream: both ends say [`Hello`] on it and agree on a version. An attempt has a stream
//! of its own, so that a slow answer holds back no other. On every stream a frame is a length
//! ([`LENGTH_BYTES`], little endian) followed by a [`Frame`] in postcard.
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
