//! Documents passed on between processes.
//!
//! Every greeting and heartbeat carries the stamp of the sender's document. Whoever is behind asks
//! the sender for the bytes; whoever is ahead says so. A process that adopts a document announces
//! it on all its links at once, so that a change runs through the fleet in a few round trips.

use super::conflicts::{Rivals, Step};
use super::order::{Adoption, InForce, Outcome, Published};
use crate::audit::AuditRecord;
use crate::ids::LinkId;
use crate::time::{Now, UnixMs};
use hickorycross_config::{Document, Stamp};
use indexmap::IndexMap;
use std::sync::Arc;

/// An unanswered request for a document is repeated on another link after this time.
const REQUEST_PATIENCE_MS: u64 = 500;

/// What the exchange wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ExchangeAction {
    /// Another document is in force.
    Adopted {
        /// Its stamp.
        stamp: Stamp,
        /// Its content.
        document: Arc<Document>,
    },
    /// A peer holds this document under the very revision that is in force here.
    ConflictingDocument(Arc<Document>),
    /// Tell one peer what is in force here.
    Announce {
        /// The link to it.
        link: LinkId,
        /// What is in force.
        stamp: Stamp,
    },
    /// Tell every peer what is in force here.
    AnnounceToAll(Stamp),
    /// Ask a peer for its document.
    Request {
        /// The link to it.
        link: LinkId,
    },
    /// Send a peer the document.
    Offer {
        /// The link to it.
        link: LinkId,
        /// Stamp of the document.
        stamp: Stamp,
        /// Its bytes as published.
        bytes: Arc<[u8]>,
    },
    /// Write to the audit trail.
    Audit(AuditRecord),
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    link: LinkId,
    stamp: Stamp,
    again: UnixMs,
}

/// The document of one process and its exchange with others.
#[derive(Debug, Default)]
pub struct Exchange {
    adoption: Adoption,
    rivals: Rivals,
    asked: Option<Asked>,
    /// Links whose peer holds something newer, the one that was asked last at the end.
    ahead: IndexMap<LinkId, Stamp>,
}

impl Exchange {
    /// The document in force, if one has been adopted.
    #[must_use]
    pub fn in_force(&self) -> Option<&InForce> {
        self.adoption.in_force()
    }

    /// The stamp of the document in force.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.adoption.stamp()
    }

    /// The latest newer document that did not validate.
    #[must_use]
    pub fn refused(&self) -> Option<Stamp> {
        self.adoption.refused()
    }

    /// Judges a document from the platform or from a peer.
    pub fn offer(&mut self, now: Now, offer: &Published) -> Vec<ExchangeAction> {
        let mut records = Vec::new();
        let outcome = self.adoption.offer(now, offer, &mut records);
        let mut actions: Vec<_> = records.into_iter().map(ExchangeAction::Audit).collect();
        if outcome == Outcome::Adopted {
            self.asked = None;
            self.rivals.clear();
            actions.extend(self.adopted());
        }
        let Self { adoption, ahead, .. } = self;
        ahead.retain(|_, stamp| adoption.is_behind(*stamp));
        actions
    }

    /// Judges a document that a peer sent under a stamp.
    ///
    /// A peer whose bytes do not have the digest of its stamp has a broken memory or a broken
    /// build; taking them would put a document in force that nobody published.
    pub fn peer_offer(&mut self, now: Now, stamp: Stamp, bytes: &[u8]) -> Vec<ExchangeAction> {
        let offer = Published { revision: stamp.revision, bytes: Arc::from(bytes) };
        if offer.stamp() != stamp {
            return Vec::new();
        }
        let mut actions = self.offer(now, &offer);
        actions.extend(self.rivals.offered(now, &offer).map(ExchangeAction::ConflictingDocument));
        actions
    }

    /// Learns what is in force at a peer.
    pub fn learn_peer_stamp(&mut self, now: Now, link: LinkId, peer: Stamp) -> Vec<ExchangeAction> {
        let held = self.stamp();
        if self.adoption.is_behind(peer) {
            self.note_ahead(link, peer);
            return self.ask(now).into_iter().collect();
        }
        self.ahead.shift_remove(&link);
        if held.revision > peer.revision {
            return vec![ExchangeAction::Announce { link, stamp: held }];
        }
        let is_rival = held.revision == peer.revision && held.digest != peer.digest;
        let step = if is_rival { self.rivals.heard(now, peer) } else { None };
        let action = step.map(|step| match step {
            Step::Ask => ExchangeAction::Request { link },
            Step::Tell(document) => ExchangeAction::ConflictingDocument(document),
        });
        action.into_iter().collect()
    }

    /// Whether the peer of a link holds something newer that has not come yet.
    #[must_use]
    pub fn awaits_document_from(&self, link: LinkId) -> bool {
        self.ahead.contains_key(&link)
    }

    /// Answers a peer that is behind.
    #[must_use]
    pub fn answer_request(&self, link: LinkId) -> Option<ExchangeAction> {
        let in_force = self.in_force()?;
        let bytes = Arc::clone(&in_force.bytes);
        Some(ExchangeAction::Offer { link, stamp: in_force.stamp, bytes })
    }

    /// Forgets a link that has ended.
    pub fn link_closed(&mut self, now: Now, link: LinkId) -> Vec<ExchangeAction> {
        self.ahead.shift_remove(&link);
        if self.asked.is_some_and(|asked| asked.link == link) {
            self.asked = None;
        }
        self.ask(now).into_iter().collect()
    }

    /// Asks another peer for a document that did not come; to be called several times a second.
    ///
    /// A request or its answer may be lost, or go to a link that is just being closed. Peers
    /// announce a document only once, so nothing else would bring the next request before a
    /// heartbeat: one would see single processes on the old revision many seconds after a change.
    pub fn tick(&mut self, now: Now) -> Vec<ExchangeAction> {
        self.ask(now).into_iter().collect()
    }

    /// Notes that a peer holds something newer; one that was not asked yet comes first.
    fn note_ahead(&mut self, link: LinkId, peer: Stamp) {
        match self.ahead.get_mut(&link) {
            Some(held) => *held = peer,
            None => {
                self.ahead.shift_insert(0, link, peer);
            }
        }
    }

    /// Asks the peer that holds the highest revision, unless that has just been asked for.
    ///
    /// Without the pause a process with many links would be sent the whole document on each of
    /// them at every change; one would see the fleet's control traffic grow with its links.
    fn ask(&mut self, now: Now) -> Option<ExchangeAction> {
        let stamp = self.ahead.values().copied().max_by_key(|stamp| stamp.revision)?;
        let is_waiting =
            self.asked.is_some_and(|asked| asked.stamp == stamp && !asked.again.is_past(now));
        if is_waiting {
            return None;
        }
        let link = self.ahead.iter().find(|(_, held)| **held == stamp).map(|(link, _)| *link)?;
        self.ahead.shift_remove(&link);
        self.ahead.insert(link, stamp);
        self.asked = Some(Asked { link, stamp, again: now.after(REQUEST_PATIENCE_MS) });
        Some(ExchangeAction::Request { link })
    }

    fn adopted(&self) -> Vec<ExchangeAction> {
        let Some(in_force) = self.in_force() else {
            return Vec::new();
        };
        let stamp = in_force.stamp;
        let document = Arc::clone(&in_force.document);
        vec![ExchangeAction::Adopted { stamp, document }, ExchangeAction::AnnounceToAll(stamp)]
    }
}
