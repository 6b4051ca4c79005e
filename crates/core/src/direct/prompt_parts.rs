//! Reads which parts of its prompt a request may share with others.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Most parts of one prompt that are considered; the others are ignored.
const MAX_PARTS: usize = 64;

/// Hexadecimal digits of the longest id that is used as it is; a longer one is hashed.
const MAX_ID_DIGITS: usize = 32;

/// A part of prompts at one service.
///
/// Another service may run another model, which may answer on the same part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PromptPart {
    /// Digest of the name of the service.
    pub service_digest: u64,
    /// Id of the part, which stands for its content.
    pub id: u128,
}

impl PromptPart {
    /// Returns the distinct parts of a prompt that other requests may share, in order.
    ///
    /// `list` holds comma-separated `ID:TOKENS` entries with hexadecimal ids. The last entry belongs
    /// to the request alone and is left out, and so are entries that cannot be parsed.
    #[must_use]
    pub fn parse_shared(service: &str, list: &str) -> Vec<Self> {
        let service_digest = xxh3_64(service.as_bytes());
        let mut entries = list.split(',').map(str::trim).filter(|entry| !entry.is_empty());
        if entries.next_back().is_none() {
            return Vec::new();
        }
        let ids = entries.filter_map(parse_id);
        let mut parts = IndexSet::new();
        for id in ids {
            if parts.len() >= MAX_PARTS {
                break;
            }
            parts.insert(Self { service_digest, id });
        }
        parts.into_iter().collect()
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.id)
    }
}

/// Returns the id of an `ID:TOKENS` entry.
fn parse_id(entry: &str) -> Option<u128> {
    let (id, tokens) = entry.split_once(':')?;
    let (id, tokens) = (id.trim(), tokens.trim());
    let is_number = !tokens.is_empty() && tokens.bytes().all(|byte| byte.is_ascii_digit());
    let is_id = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_number || !is_id {
        return None;
    }
    let digits = id.trim_start_matches('0');
    if digits.is_empty() {
        return Some(0);
    }
    if digits.len() > MAX_ID_DIGITS {
        return Some(xxh3_128(digits.to_ascii_lowercase().as_bytes()));
    }
    u128::from_str_radix(digits, 16).ok()
}
