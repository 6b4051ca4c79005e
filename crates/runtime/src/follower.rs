//! Follows the configuration on behalf of a driver.
//!
//! Both programs hear of documents from the platform and from their peers, pass them on, and keep
//! from serving until a few peers have been heard. The decisions are the core's; this carries them
//! out and hands each adopted document to the driver.

use crate::link::Links;
use crate::platform::{Follow, PlatformEvent};
use crate::trail::Trail;
use crate::view::View;
use hickorycross_config::{Document, Stamp};
use hickorycross_core::adoption::{Exchange, ExchangeAction, Probe, StartGate, is_watcher};
use hickorycross_core::{Instance, InstanceId, LinkId, Now};
use hickorycross_protocol::{ConfigOffer, Frame, OfferCache};
use std::sync::Arc;
use tokio::sync::watch;

/// What a follower acts on.
pub struct FollowerParts {
    /// The process's own instance.
    pub own: InstanceId,
    /// The first of [`StartGate::link_count`] link numbers that nothing else uses.
    pub first_gate_link: LinkId,
    /// Reaches the peers.
    pub links: Links,
    /// Shows the stamps in force and refused.
    pub view: Arc<View>,
    /// Takes the audit records.
    pub trail: Arc<Trail>,
    /// Tells the reader of the platform how to follow.
    pub follow: watch::Sender<Follow>,
}

/// What a follower learnt that concerns the driver's core.
#[derive(Clone, Debug, PartialEq)]
pub enum Followed {
    /// A document is in force from now on. The driver hands it to its core and then calls
    /// [`ConfigFollower::announce`].
    Adopted {
        /// Its stamp.
        stamp: Stamp,
        /// Its content.
        document: Arc<Document>,
    },
    /// A peer holds this document under the very revision that is in force here.
    Rival(Arc<Document>),
}

/// Follows the configuration: exchanges documents with peers and runs the start gate.
///
/// What it is told may put one document in force, or show a rival of it; that is returned.
pub struct ConfigFollower {
    parts: FollowerParts,
    exchange: Exchange,
    gate: StartGate,
    offers: OfferCache,
    /// Whether it is among the few that watch the platform's service.
    watches: bool,
    /// What was adopted and not announced yet.
    unannounced: Option<Stamp>,
}

impl ConfigFollower {
    /// A follower without a document, its gate closed.
    #[must_use]
    pub fn new(parts: FollowerParts) -> Self {
        Self {
            gate: StartGate::new(parts.own.clone(), parts.first_gate_link),
            parts,
            exchange: Exchange::default(),
            offers: OfferCache::default(),
            watches: true,
            unannounced: None,
        }
    }

    /// Whether a document is in force.
    #[must_use]
    pub fn has_document(&self) -> bool {
        self.exchange.in_force().is_some()
    }

    /// The stamp of the document in force, [`Stamp::NONE`] before the first.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.exchange.stamp()
    }

    /// Whether enough peers have been heard to serve.
    #[must_use]
    pub fn is_gate_open(&self, now: Now) -> bool {
        self.gate.is_open(now)
    }

    /// Whether the link was opened for the start gate; the core knows nothing of such links.
    #[must_use]
    pub fn owns(&self, link: LinkId) -> bool {
        self.gate.owns(link)
    }

    /// Repeats lost requests and closes links of the gate; to be called several times a second.
    #[must_use = "the core has to hear of the document"]
    pub fn tick(&mut self, now: Now) -> Option<Followed> {
        let actions = self.exchange.tick(now);
        let followed = self.act(actions);
        self.settle_gate();
        followed
    }

    /// Forgets a link that has ended.
    #[must_use = "the core has to hear of the document"]
    pub fn closed(&mut self, now: Now, link: LinkId) -> Option<Followed> {
        self.gate.link_closed(link);
        let actions = self.exchange.link_closed(now, link);
        self.act(actions)
    }

    /// Learns from a greeting what is in force at a peer.
    #[must_use = "the core has to hear of the document"]
    pub fn greeted(&mut self, now: Now, link: LinkId, stamp: Stamp) -> Option<Followed> {
        let followed = self.heard(now, link, stamp);
        if self.gate.owns(link) {
            self.gate.peer_answered(link);
            self.settle_gate();
        }
        followed
    }

    /// Learns from a heartbeat or an announcement what is in force at a peer.
    #[must_use = "the core has to hear of the document"]
    pub fn heard(&mut self, now: Now, link: LinkId, stamp: Stamp) -> Option<Followed> {
        let actions = self.exchange.learn_peer_stamp(now, link, stamp);
        self.act(actions)
    }

    /// Takes a frame that is not the driver's own; one that is not about the configuration is
    /// unexpected and is logged.
    #[must_use = "the core has to hear of the document"]
    pub fn frame(&mut self, now: Now, link: LinkId, frame: &Frame) -> Option<Followed> {
        match frame {
            Frame::Announce(stamp) => self.heard(now, link, *stamp),
            Frame::ConfigRequest => {
                let actions = self.exchange.answer_request(link).into_iter().collect();
                self.act(actions)
            }
            Frame::ConfigOffer(offer) => self.offered(now, offer),
            Frame::Hello(_)
            | Frame::ToAgent(_)
            | Frame::ToEntry(_)
            | Frame::Group(_)
            | Frame::RankLoad(_) => {
                log::warn!(target: "link", link = link.0; "unexpected frame");
                None
            }
        }
    }

    /// Learns what the platform says.
    #[must_use = "the core has to hear of the document"]
    pub fn platform(&mut self, now: Now, event: &PlatformEvent) -> Option<Followed> {
        match event {
            PlatformEvent::Config(published) => {
                let actions = self.exchange.offer(now, published);
                self.act(actions)
            }
            PlatformEvent::Instances(instances) => {
                self.listed(now, instances);
                None
            }
            PlatformEvent::Unreachable { detail } => {
                log::warn!(target: "platform", detail = detail.as_str(); "unreachable");
                None
            }
        }
    }

    /// Tells every peer of the adopted document; to be called when the core has adopted it.
    ///
    /// The links of the gate are settled only now, so that their peers are told too.
    pub fn announce(&mut self) {
        if let Some(stamp) = self.unannounced.take() {
            self.parts.links.broadcast(&Frame::Announce(stamp));
            self.settle_gate();
        }
    }

    fn offered(&mut self, now: Now, offer: &ConfigOffer) -> Option<Followed> {
        let followed = match offer.document() {
            Ok(document) => {
                let actions = self.exchange.peer_offer(now, offer.stamp, &document);
                self.act(actions)
            }
            Err(error) => {
                log::warn!(target: "link", error:% = error; "unusable offer");
                None
            }
        };
        if followed.is_none() {
            self.settle_gate();
        }
        followed
    }

    fn listed(&mut self, now: Now, instances: &[Instance]) {
        self.watches = is_watcher(&self.parts.own, instances);
        self.choose_follow();
        for Probe { link, address, .. } in self.gate.update_instances(now, instances) {
            self.parts.links.open(link, address);
        }
    }

    /// Chooses how to follow the platform.
    ///
    /// A process without a document watches too. It may have started behind a cut, or beside an
    /// invalid document, and have no link on which a peer could tell it of a change: one would see
    /// it stay out of service until its next poll, half a minute after all else is well.
    fn choose_follow(&self) {
        let watches = self.watches || !self.has_document();
        let follow = if watches { Follow::Watch } else { Follow::Poll };
        self.parts.follow.send_if_modified(|mode| std::mem::replace(mode, follow) != follow);
    }

    /// Closes the links of the start gate from which nothing newer is to come.
    fn settle_gate(&mut self) {
        for link in self.gate.finish_peers(|link| self.exchange.awaits_document_from(link)) {
            self.parts.links.close(link);
        }
    }

    /// Carries out what the exchange wants; one call of the exchange adopts one document at most,
    /// or shows one rival.
    fn act(&mut self, actions: Vec<ExchangeAction>) -> Option<Followed> {
        let mut followed = None;
        for action in actions {
            match action {
                ExchangeAction::Adopted { stamp, document } => {
                    self.choose_follow();
                    self.parts.view.update(|status| status.stamp = stamp);
                    followed = Some(Followed::Adopted { stamp, document });
                }
                ExchangeAction::Conflict(document) => followed = Some(Followed::Rival(document)),
                ExchangeAction::Announce { link, stamp } => {
                    self.parts.links.send(link, Frame::Announce(stamp));
                }
                ExchangeAction::AnnounceToAll(stamp) => self.unannounced = Some(stamp),
                ExchangeAction::Request { link } => {
                    self.parts.links.send(link, Frame::ConfigRequest);
                }
                ExchangeAction::Offer { link, stamp, bytes } => {
                    let offer = self.offers.get_or_compress(stamp, &bytes);
                    self.parts.links.send(link, Frame::ConfigOffer(offer));
                }
                ExchangeAction::Audit(record) => self.parts.trail.write(record),
            }
        }
        let refused = self.exchange.refused();
        self.parts.view.update(|status| status.refused = refused);
        followed
    }
}
