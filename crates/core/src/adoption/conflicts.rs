//! Documents that peers hold under the revision in force, with a different content.
//!
//! A platform that was restored, or whose replicas disagree, may publish two contents under one
//! revision. Running processes keep the one that they hold and starting ones adopt the other, so
//! both stay in force until a newer revision is published. Neither side can tell which was first,
//! so a process that learns of a conflicting document fetches it, to know how the other side acts.

use super::order::Published;
use crate::time::{Now, UnixMs};
use hickorycross_config::{Document, Stamp, parse};
use indexmap::IndexMap;
use std::sync::Arc;

/// How often a conflicting document is reported again while peers hold it, in milliseconds. This is
/// half the time in which a document comes into force everywhere, so that conclusions drawn from a
/// report never expire between two of them. It is also the pause between two requests for its
/// bytes.
const REPEAT_INTERVAL_MS: u64 = 4_000;
/// Conflicting documents that are kept, the latest ones. More are not expected, as each takes a
/// separate platform fault; the bound keeps a peer that sends false stamps from filling the memory.
const MAX_CONFLICTS: usize = 8;

/// What to do about a peer that holds a conflicting document.
#[derive(Debug, PartialEq)]
pub(super) enum ConflictAction {
    /// Request the document from the peer.
    Request,
    /// Report to the core that the document is still in force elsewhere.
    Report(Arc<Document>),
}

#[derive(Debug, Default)]
struct ConflictRow {
    /// None until its bytes have arrived.
    document: Option<Arc<Document>>,
    repeat_at: UnixMs,
}

/// The documents that conflict with the one in force, by stamp.
#[derive(Debug, Default)]
pub(super) struct ConflictingDocuments {
    rows: IndexMap<Stamp, ConflictRow>,
}

impl ConflictingDocuments {
    /// Records that a peer holds a conflicting document; returns what to do, or none if that was
    /// done within the last [`REPEAT_INTERVAL_MS`].
    pub(super) fn record_peer(&mut self, now: Now, peer: Stamp) -> Option<ConflictAction> {
        if !self.rows.contains_key(&peer) && self.rows.len() >= MAX_CONFLICTS {
            self.rows.shift_remove_index(0);
        }
        let row = self.rows.entry(peer).or_default();
        if !row.repeat_at.is_past(now) {
            return None;
        }
        row.repeat_at = now.after(REPEAT_INTERVAL_MS);
        Some(row.document.clone().map_or(ConflictAction::Request, ConflictAction::Report))
    }

    /// Takes the document that a peer sent and returns it.
    ///
    /// Returns none if it was not recorded before, was received already, or does not validate. The
    /// audit trail lists the offer as a rejected document in any case.
    pub(super) fn take_offer(&mut self, now: Now, offer: &Published) -> Option<Arc<Document>> {
        let row = self.rows.get_mut(&offer.stamp()).filter(|row| row.document.is_none())?;
        let document = Arc::new(parse(&offer.bytes).ok()?);
        row.document = Some(Arc::clone(&document));
        row.repeat_at = now.after(REPEAT_INTERVAL_MS);
        Some(document)
    }

    /// Removes all conflicts, because another revision is in force.
    pub(super) fn clear(&mut self) {
        self.rows.clear();
    }
}
