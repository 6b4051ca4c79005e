//! The decision whether an offered document replaces the one in force.
//!
//! Documents are ordered by the platform's revision. A process never returns to an older one,
//! whatever the source of an offer: the platform's service may have been restored from a backup,
//! and a peer may have been suspended for an hour.

use crate::audit::{AuditRecord, Change};
use crate::time::Now;
use hickorycross_config::{Digest, Document, Fault, Stamp, parse};
use std::sync::Arc;

/// A document as published, with the revision that the platform gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Published {
    /// The revision given by the platform.
    pub revision: u64,
    /// The bytes as published.
    pub bytes: Arc<[u8]>,
}

impl Published {
    /// Returns the revision with the digest of the bytes.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        Stamp { revision: self.revision, digest: Digest::of(&self.bytes) }
    }
}

/// The document in force.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    /// Its stamp.
    pub stamp: Stamp,
    /// Its content.
    pub document: Arc<Document>,
    /// The bytes as published, which are passed on to peers unchanged.
    pub bytes: Arc<[u8]>,
}

/// The result of an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The offered document is now in force.
    Adopted,
    /// The offered document was in force already.
    Same,
    /// The offered document is older than the one in force.
    Older,
    /// The offered document was refused before.
    RefusedBefore,
    /// The offered document does not validate; the one in force stays.
    Refused(Vec<Fault>),
    /// The offered document has the revision in force but another content, which is a fault of the
    /// platform; the one in force stays.
    Conflict,
}

/// The document in force in one process, and the offers that it refused.
///
/// ```
/// use hickorycross_core::adoption::{Adoption, Outcome, Published};
/// use hickorycross_core::Now;
///
/// let mut adoption = Adoption::default();
/// let offer = Published { revision: 1, bytes: (*b"{}").into() };
/// let mut records = Vec::new();
/// assert!(matches!(adoption.offer(Now::at(0), &offer, &mut records), Outcome::Refused(_)));
/// assert!(adoption.in_force().is_none());
/// ```
#[derive(Debug, Default)]
pub struct Adoption {
    in_force: Option<InForce>,
    /// The latest refused offer, so that it is validated and reported only once.
    refused: Option<Stamp>,
    /// The latest conflicting offer, so that it is reported only once.
    conflicting: Option<Stamp>,
}

impl Adoption {
    /// Returns the document in force, if one has been adopted.
    #[must_use]
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// Returns the stamp of the document in force, [`Stamp::NONE`] before the first.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.in_force.as_ref().map_or(Stamp::NONE, |in_force| in_force.stamp)
    }

    /// Returns the latest offer that did not validate, if it is newer than the document in force.
    #[must_use]
    pub fn refused(&self) -> Option<Stamp> {
        self.refused.filter(|refused| refused.revision > self.stamp().revision)
    }

    /// Whether a peer with this stamp holds a newer document that was not refused here.
    #[must_use]
    pub fn is_behind(&self, peer: Stamp) -> bool {
        peer.revision > self.stamp().revision && self.refused != Some(peer)
    }

    /// Adopts an offered document if it is newer and valid; appends audit records to `records`.
    pub fn offer(
        &mut self,
        now: Now,
        offer: &Published,
        records: &mut Vec<AuditRecord>,
    ) -> Outcome {
        let offered = offer.stamp();
        let held = self.stamp();
        if self.in_force.is_some() && offered.revision <= held.revision {
            return self.judge_not_newer(now, offered, records);
        }
        if self.refused == Some(offered) {
            return Outcome::RefusedBefore;
        }
        match parse(&offer.bytes) {
            Ok(document) => {
                self.adopt(now, offer, document, records);
                Outcome::Adopted
            }
            Err(faults) => {
                self.refuse(now, offered, &faults, records);
                Outcome::Refused(faults)
            }
        }
    }

    /// Returns the outcome of an offer that does not replace the document in force.
    ///
    /// If older documents were adopted, a platform restored from a backup or a peer suspended
    /// during a change would restore outdated limits and backend servers, and the fleet's revision
    /// would decrease. If one of two contents of a revision replaced the other, processes could
    /// differ permanently under the same revision; the fleet view shows that as two digests for
    /// one revision.
    fn judge_not_newer(
        &mut self,
        now: Now,
        offered: Stamp,
        records: &mut Vec<AuditRecord>,
    ) -> Outcome {
        let held = self.stamp();
        if offered == held {
            return Outcome::Same;
        }
        if offered.revision < held.revision {
            return Outcome::Older;
        }
        if self.conflicting != Some(offered) {
            self.conflicting = Some(offered);
            let reason =
                format!("revision {} is in force with digest {}", held.revision, held.digest);
            records.push(record(now, held, Change::DocumentRejected { rejected: offered, reason }));
        }
        Outcome::Conflict
    }

    fn adopt(
        &mut self,
        now: Now,
        offer: &Published,
        document: Document,
        records: &mut Vec<AuditRecord>,
    ) {
        let before = self.stamp();
        let after = offer.stamp();
        self.in_force = Some(InForce {
            stamp: after,
            document: Arc::new(document),
            bytes: Arc::clone(&offer.bytes),
        });
        self.refused = None;
        self.conflicting = None;
        records.push(record(now, after, Change::DocumentAdopted { before, after }));
    }

    fn refuse(
        &mut self,
        now: Now,
        offered: Stamp,
        faults: &[Fault],
        records: &mut Vec<AuditRecord>,
    ) {
        self.refused = Some(offered);
        let reason = faults.iter().map(Fault::to_string).collect::<Vec<_>>().join("; ");
        records.push(record(
            now,
            self.stamp(),
            Change::DocumentRejected { rejected: offered, reason },
        ));
    }
}

fn record(now: Now, stamp: Stamp, change: Change) -> AuditRecord {
    AuditRecord::new(now.unix_ms, stamp, change)
}
