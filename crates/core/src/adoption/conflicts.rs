//! Other documents of the revision in force.
//!
//! A platform that is restored, or whose replicas disagree, may publish two contents under one
//! revision. Processes that run keep what they hold, and those that start take the other one: both
//! are in force, for as long as no newer revision comes. Neither side can tell which came first,
//! so a process that hears of the other document fetches it, to know what the other side does.

use super::order::Published;
use crate::time::{Now, UnixMs};
use hickorycross_config::{Document, Stamp, parse};
use indexmap::IndexMap;
use std::sync::Arc;

/// How often a rival is told of again while peers hold it, in milliseconds. Half the time in which
/// a document is in force everywhere, so that what is concluded from it never lapses in between;
/// also the pause before its bytes are asked for once more.
const REPEAT_MS: u64 = 4_000;
/// Rivals of one revision that are kept, the latest ones. Each is a fault of the platform of its
/// own; a peer that makes stamps up must not fill the memory.
const KEPT: usize = 8;

/// What to do about a peer that holds a rival.
#[derive(Debug, PartialEq)]
pub(super) enum Step {
    /// Ask it for the bytes.
    Ask,
    /// Tell the core once more that the rival is in force.
    Tell(Arc<Document>),
}

#[derive(Debug, Default)]
struct Rival {
    /// None until its bytes have come.
    document: Option<Arc<Document>>,
    again: UnixMs,
}

/// The rivals of the document in force, by their stamps.
#[derive(Debug, Default)]
pub(super) struct Rivals {
    rows: IndexMap<Stamp, Rival>,
}

impl Rivals {
    /// Learns that a peer holds another content of the revision in force.
    pub(super) fn heard(&mut self, now: Now, peer: Stamp) -> Option<Step> {
        if !self.rows.contains_key(&peer) && self.rows.len() >= KEPT {
            self.rows.shift_remove_index(0);
        }
        let row = self.rows.entry(peer).or_default();
        if !row.again.is_past(now) {
            return None;
        }
        row.again = now.after(REPEAT_MS);
        Some(row.document.clone().map_or(Step::Ask, Step::Tell))
    }

    /// Takes the bytes that a peer holds in force. None if they were known, or are not valid here:
    /// the audit trail has the offer as a rejected document either way.
    pub(super) fn offered(&mut self, now: Now, offer: &Published) -> Option<Arc<Document>> {
        let row = self.rows.get_mut(&offer.stamp()).filter(|row| row.document.is_none())?;
        let document = Arc::new(parse(&offer.bytes).ok()?);
        row.document = Some(Arc::clone(&document));
        row.again = now.after(REPEAT_MS);
        Some(document)
    }

    /// Forgets the rivals of a revision that is no longer in force here.
    pub(super) fn clear(&mut self) {
        self.rows.clear();
    }
}
