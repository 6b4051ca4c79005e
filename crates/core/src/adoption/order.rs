//! The order of documents in one process.
//!
//! The platform's revision gives the order. A process never goes back, whoever offers: the
//! platform's service may be restored from a backup, a peer may have been frozen for an hour.
use crate::audit::{AuditRecord, Change};
use crate::time::Now;
use hickorycross_config::{Digest, Document, Fault, Stamp, parse};
use std::sync::Arc;

/// A document as published, with the revision that the platform gave it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Published {
    /// The platform's revision.
    pub revision: u64,
    /// The bytes as published.
    pub bytes: Arc<[u8]>,
}

impl Published {
    /// Revision and digest.
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
    /// The bytes as published, to be passed on unchanged.
    pub bytes: Arc<[u8]>,
}

/// What became of an offer.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It is in force from now on.
    Adopted,
    /// It is what is in force already.
    Same,
    /// It is older than what is in force.
    Older,
    /// It was refused before.
    RefusedBefore,
    /// It does not validate; what was in force stays.
    Refused(Vec<Fault>),
    /// The revision in force has another content: a fault of the platform. What is in force stays.
    Conflict,
}

/// The adoption of documents by one process.
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
    /// The latest refused offer, so that it is judged and reported once and not at every read.
    refused: Option<Stamp>,
    /// The latest conflicting digest, reported once.
    conflicting: Option<Stamp>,
}

impl Adoption {
    /// The document in force, if one has been adopted.
    #[must_use]
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// The stamp of the document in force, [`Stamp::NONE`] before the first.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.in_force.as_ref().map_or(Stamp::NONE, |in_force| in_force.stamp)
    }

    /// The latest offer that did not validate, if it is newer than what is in force.
    #[must_use]
    pub fn refused(&self) -> Option<Stamp> {
        self.refused.filter(|refused| refused.revision > self.stamp().revision)
    }

    /// Whether a peer with this stamp holds something newer.
    #[must_use]
    pub fn is_behind(&self, peer: Stamp) -> bool {
        peer.revision > self.stamp().revision && self.refused != Some(peer)
    }

    /// Judges an offer and adopts it if it is newer and valid.
    pub fn offer(
        &mut self,
        now: Now,
        offer: &Published,
        records: &mut Vec<AuditRecord>,
    ) -> Outcome {
        let offered = offer.stamp();
        let held = self.stamp();
        if self.in_force.is_some() && offered.revision <= held.revision {
            return self.judge_older(now, offered, records);
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

    /// An offer that does not replace what is in force.
    ///
    /// Were an older one taken, a platform restored from a backup, or a peer that was frozen
    /// during a change, would put limits and backend servers of last week in force again; one
    /// would see the fleet's revision fall. Were one of two contents of one revision taken at
    /// random, processes would disagree for good while their revisions look the same; one would
    /// see it as two digests for one revision in the fleet's view.
    fn judge_older(&mut self, now: Now, offered: Stamp, records: &mut Vec<AuditRecord>) -> Outcome {
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
