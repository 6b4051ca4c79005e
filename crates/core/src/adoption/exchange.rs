//! Distribution of documents between processes.
//!
//! Every greeting and heartbeat carries the stamp of the sender's document. A receiver with an
//! older document requests the bytes from the sender; one with a newer document announces its own
//! stamp. A process that adopts a document announces it on all its links at once, so that a change
//! reaches the whole fleet in a few round trips.

use super::conflicts::{ConflictAction, ConflictingDocuments};
use super::order::{Adoption, InForce, Outcome, Published};
use crate::audit::AuditRecord;
use crate::ids::LinkId;
use crate::time::{Now, UnixMs};
use hickorycross_config::{Document, Stamp};
use indexmap::IndexMap;
use std::sync::Arc;

/// Time after which an unanswered request for a document is repeated on another link.
const REQUEST_TIMEOUT_MS: u64 = 500;

/// An action for the driver of the exchange to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeAction {
    /// Another document is in force.
    Adopted {
        /// Its stamp.
        stamp: Stamp,
        /// Its content.
        document: Arc<Document>,
    },
    /// A peer holds this document under the revision that is in force here, with another content.
    Conflict(Arc<Document>),
    /// Send one peer the stamp of the document in force here.
    Announce {
        /// The link to the peer.
        link: LinkId,
        /// Stamp of the document in force.
        stamp: Stamp,
    },
    /// Send every peer the stamp of the document in force here.
    AnnounceToAll(Stamp),
    /// Request the document of a peer.
    Request {
        /// The link to the peer.
        link: LinkId,
    },
    /// Send the document in force to a peer.
    Offer {
        /// The link to the peer.
        link: LinkId,
        /// Stamp of the document.
        stamp: Stamp,
        /// Its bytes as published.
        bytes: Arc<[u8]>,
    },
    /// Write a record to the audit trail.
    Audit(AuditRecord),
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    link: LinkId,
    stamp: Stamp,
    retry_at: UnixMs,
}

/// The document in force in one process, and the state of its exchange with peers.
#[derive(Debug, Default)]
pub struct Exchange {
    adoption: Adoption,
    conflicts: ConflictingDocuments,
    pending: Option<PendingRequest>,
    /// Links whose peer holds a newer document; the one that was sent the last request is last.
    newer_peers: IndexMap<LinkId, Stamp>,
}

impl Exchange {
    /// Returns the document in force, if one has been adopted.
    #[must_use]
    pub fn in_force(&self) -> Option<&InForce> {
        self.adoption.in_force()
    }

    /// Returns the stamp of the document in force, [`Stamp::NONE`] before the first.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.adoption.stamp()
    }

    /// Returns the stamp of the latest newer document that did not validate.
    #[must_use]
    pub fn refused(&self) -> Option<Stamp> {
        self.adoption.refused()
    }

    /// Adopts a document from the platform or from a peer if it is newer and valid.
    pub fn offer(&mut self, now: Now, offer: &Published) -> Vec<ExchangeAction> {
        let mut records = Vec::new();
        let outcome = self.adoption.offer(now, offer, &mut records);
        let mut actions: Vec<_> = records.into_iter().map(ExchangeAction::Audit).collect();
        if outcome == Outcome::Adopted {
            self.pending = None;
            self.conflicts.clear();
            actions.extend(self.adoption_actions());
        }
        let Self { adoption, newer_peers, .. } = self;
        newer_peers.retain(|_, stamp| adoption.is_behind(*stamp));
        actions
    }

    /// Takes a document that a peer sent under a stamp.
    ///
    /// Bytes that do not match the digest of the stamp come from a peer with corrupted memory or a
    /// faulty build. They are ignored, as they would put a document in force that the platform
    /// never published.
    pub fn peer_offer(&mut self, now: Now, stamp: Stamp, bytes: &[u8]) -> Vec<ExchangeAction> {
        let offer = Published { revision: stamp.revision, bytes: Arc::from(bytes) };
        if offer.stamp() != stamp {
            return Vec::new();
        }
        let mut actions = self.offer(now, &offer);
        actions.extend(self.conflicts.take_offer(now, &offer).map(ExchangeAction::Conflict));
        actions
    }

    /// Takes the stamp of the document in force at a peer.
    ///
    /// Requests the peer's document if it is newer or conflicts with the one in force here, and
    /// announces the own one if the peer's is older.
    pub fn learn_peer_stamp(&mut self, now: Now, link: LinkId, peer: Stamp) -> Vec<ExchangeAction> {
        let held = self.stamp();
        if self.adoption.is_behind(peer) {
            self.record_newer_peer(link, peer);
            return self.request_newest(now).into_iter().collect();
        }
        self.newer_peers.shift_remove(&link);
        if held.revision > peer.revision {
            return vec![ExchangeAction::Announce { link, stamp: held }];
        }
        let is_conflict = held.revision == peer.revision && held.digest != peer.digest;
        let step = if is_conflict { self.conflicts.record_peer(now, peer) } else { None };
        let action = step.map(|step| match step {
            ConflictAction::Request => ExchangeAction::Request { link },
            ConflictAction::Report(document) => ExchangeAction::Conflict(document),
        });
        action.into_iter().collect()
    }

    /// Whether the peer of a link holds a newer document that has not arrived yet.
    #[must_use]
    pub fn awaits_document_from(&self, link: LinkId) -> bool {
        self.newer_peers.contains_key(&link)
    }

    /// Returns the offer that answers a peer's request; none before a document is in force.
    #[must_use]
    pub fn answer_request(&self, link: LinkId) -> Option<ExchangeAction> {
        let in_force = self.in_force()?;
        let bytes = Arc::clone(&in_force.bytes);
        Some(ExchangeAction::Offer { link, stamp: in_force.stamp, bytes })
    }

    /// Removes a closed link, and repeats on another link a request that was pending on it.
    pub fn link_closed(&mut self, now: Now, link: LinkId) -> Vec<ExchangeAction> {
        self.newer_peers.shift_remove(&link);
        if self.pending.is_some_and(|pending| pending.link == link) {
            self.pending = None;
        }
        self.request_newest(now).into_iter().collect()
    }

    /// Requests a document that did not arrive from another peer; to be called several times a
    /// second.
    ///
    /// A request or its answer may be lost, or sent on a link that is being closed. As peers
    /// announce a document only once, no other request would follow before the next heartbeat, and
    /// single processes would stay on the old revision for many seconds after a change.
    pub fn tick(&mut self, now: Now) -> Vec<ExchangeAction> {
        self.request_newest(now).into_iter().collect()
    }

    /// Records that a peer holds a newer document; a peer without an earlier request comes first.
    fn record_newer_peer(&mut self, link: LinkId, peer: Stamp) {
        match self.newer_peers.get_mut(&link) {
            Some(held) => *held = peer,
            None => {
                self.newer_peers.shift_insert(0, link, peer);
            }
        }
    }

    /// Requests the highest revision from a peer that holds it, unless such a request is pending.
    ///
    /// Without that check, a process with many links would receive the whole document on each of
    /// them at every change, and control traffic would grow with the number of links.
    fn request_newest(&mut self, now: Now) -> Option<ExchangeAction> {
        let stamp = self.newer_peers.values().copied().max_by_key(|stamp| stamp.revision)?;
        let is_waiting = self
            .pending
            .is_some_and(|pending| pending.stamp == stamp && !pending.retry_at.is_past(now));
        if is_waiting {
            return None;
        }
        let link =
            self.newer_peers.iter().find(|(_, held)| **held == stamp).map(|(link, _)| *link)?;
        self.newer_peers.shift_remove(&link);
        self.newer_peers.insert(link, stamp);
        self.pending =
            Some(PendingRequest { link, stamp, retry_at: now.after(REQUEST_TIMEOUT_MS) });
        Some(ExchangeAction::Request { link })
    }

    fn adoption_actions(&self) -> Vec<ExchangeAction> {
        let Some(in_force) = self.in_force() else {
            return Vec::new();
        };
        let stamp = in_force.stamp;
        let document = Arc::clone(&in_force.document);
        vec![ExchangeAction::Adopted { stamp, document }, ExchangeAction::AnnounceToAll(stamp)]
    }
}
