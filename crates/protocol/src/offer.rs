//! Transfer of published configuration documents between processes, compressed with DEFLATE.
//!
//! Every process receives the whole document at every change. At the design size, a document
//! of 263 KB changes 1,300 times a day: 4 KB/s in and as much out, of a budget of 5 KB/s
//! for all control traffic of a process. Compression reduces this to a twelfth.

use hickorycross_config::Stamp;
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::{TINFLStatus, decompress_to_vec_with_limit};
use serde::{Deserialize, Serialize};

/// Maximum size of a document in bytes, which is the platform's limit for a value.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// DEFLATE level. It reaches a twelfth of the size; higher levels take twice the time to save a few
/// per cent more.
const COMPRESSION_LEVEL: u8 = 6;

/// A published document, compressed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigOffer {
    /// Revision and digest of the document.
    pub stamp: Stamp,
    deflated: Vec<u8>,
}

/// An error in decompressing an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OfferError {
    /// The data is not valid DEFLATE data.
    #[error("the offered document is not deflated data")]
    Malformed,
    /// The decompressed document exceeds [`MAX_DOCUMENT_BYTES`].
    #[error("the offered document exceeds {MAX_DOCUMENT_BYTES} bytes")]
    TooLong,
}

impl ConfigOffer {
    /// Compresses a document, given as the published bytes.
    #[must_use]
    pub fn new(stamp: Stamp, document: &[u8]) -> Self {
        Self { stamp, deflated: compress_to_vec(document, COMPRESSION_LEVEL) }
    }

    /// Decompresses the document and returns the published bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the data is malformed or the document exceeds [`MAX_DOCUMENT_BYTES`].
    /// Without the limit, a faulty or malicious peer could exhaust memory with a few kilobytes that
    /// decompress to gigabytes.
    pub fn document(&self) -> Result<Vec<u8>, OfferError> {
        decompress_to_vec_with_limit(&self.deflated, MAX_DOCUMENT_BYTES).map_err(
            |error| match error.status {
                TINFLStatus::HasMoreOutput => OfferError::TooLong,
                _ => OfferError::Malformed,
            },
        )
    }
}

/// Caches the latest offer, so that a document is compressed only once.
///
/// After a change, many peers request the document within milliseconds. Compressing it for each of
/// them would delay the requests that the process serves.
#[derive(Clone, Debug, Default)]
pub struct OfferCache {
    cached: Option<ConfigOffer>,
}

impl OfferCache {
    /// Returns the offer of a document: the cached one if its stamp matches, otherwise a new one,
    /// which replaces it.
    pub fn get_or_compress(&mut self, stamp: Stamp, document: &[u8]) -> ConfigOffer {
        match &self.cached {
            Some(cached) if cached.stamp == stamp => cached.clone(),
            _ => self.cached.insert(ConfigOffer::new(stamp, document)).clone(),
        }
    }
}
