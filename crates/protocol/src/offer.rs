//! A published document on its way from one process to another.
//!
//! Every process is sent the whole document at every change. At the design size that is 263 KB
//! 1,300 times a day, 4 KB a second in and as much out, of the 5 KB a second that a process may
//! spend on control in all; deflated it is a twelfth.

use hickorycross_config::Stamp;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::{TINFLStatus, decompress_to_vec_with_limit};
use serde::{Deserialize, Serialize};

/// Longest document; the platform holds values up to this.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Thorough enough for a twelfth; higher levels take twice the time for a few per cent.
const LEVEL: u8 = 6;

/// A published document, deflated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigOffer {
    /// Its stamp.
    pub stamp: Stamp,
    deflated: Vec<u8>,
}

/// Why an offer holds no document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OfferError {
    /// It does not inflate.
    #[error("the offered document is not deflated data")]
    Malformed,
    /// It inflates to more than [`MAX_DOCUMENT_BYTES`].
    #[error("the offered document exceeds {MAX_DOCUMENT_BYTES} bytes")]
    TooLong,
}

impl ConfigOffer {
    /// Deflates the bytes as published.
    #[must_use]
    pub fn new(stamp: Stamp, document: &[u8]) -> Self {
        Self { stamp, deflated: compress_to_vec(document, LEVEL) }
    }

    /// The bytes as published.
    ///
    /// # Errors
    ///
    /// When the offer is malformed. The bound keeps a broken or hostile peer from exhausting
    /// memory with a few kilobytes that inflate to gigabytes.
    pub fn document(&self) -> Result<Vec<u8>, OfferError> {
        decompress_to_vec_with_limit(&self.deflated, MAX_DOCUMENT_BYTES).map_err(
            |error| match error.status {
                TINFLStatus::HasMoreOutput => OfferError::TooLong,
                _ => OfferError::Malformed,
            },
        )
    }
}

/// The offer of the document in force, deflated once.
///
/// A change is asked for on many links within milliseconds; deflating it for each would keep the
/// process from its requests for as long.
#[derive(Clone, Debug, Default)]
pub struct OfferCache {
    held: Option<ConfigOffer>,
}

impl OfferCache {
    /// The offer of a document.
    pub fn get_or_compress(&mut self, stamp: Stamp, document: &[u8]) -> ConfigOffer {
        match &self.held {
            Some(held) if held.stamp == stamp => held.clone(),
            _ => self.held.insert(ConfigOffer::new(stamp, document)).clone(),
        }
    }
}
