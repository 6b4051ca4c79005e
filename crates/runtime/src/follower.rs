//! Follows the configuration on behalf of a driver.
//!
//! Both programs hear of documents from the platform and from their peers, pass them on, and keep
//! from serving until a few peers have been heard. The decisions are the core's; this carries them
//! out and hands each adopted document to the driver.

use crate::link::Links;
use crate::platform::{FollowMode, PlatformEvent};
use crate::trail::Trail;
use crate::view::ProcessView;
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
    pub view: Arc<ProcessView>,
    /// Takes the audit records.
    pub trail: Arc<Trail>,
    /// Tells the reader of the platform how to follow.
    pub follow_mode: watch::Sender<FollowMode>,
}

/// What a follower learnt that concerns the driver's core.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigUpdate {
    /// A document is in force from now on. The driver hands it to its core and then calls
    /// [`ConfigFollower::announce`].
    Adopted {
        /// Its stamp.
        stamp: Stamp,
        /// Its content.
        document: Arc<Document>,
    },
    /// A peer holds this document under the very revision that is in force here.
    Conflict(Arc<Document>),
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
    is_watcher: bool,
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
            is_watcher: true,
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
    pub fn is_gate_link(&self, link: LinkId) -> bool {
        self.gate.owns(link)
    }

    /// Repeats lost requests and closes links of the gate; to be called several times a second.
    #[must_use = "the core has to hear of the document"]
    pub fn tick(&mut self, now: Now) -> Option<ConfigUpdate> {
        let actions = self.exchange.tick(now);
        let update = self.apply_actions(actions);
        self.close_finished_gate_links();
        update
    }

    /// Forgets a link that has ended.
    #[must_use = "the core has to hear of the document"]
    pub fn link_closed(&mut self, now: Now, link: LinkId) -> Option<ConfigUpdate> {
        self.gate.link_closed(link);
        let actions = self.exchange.link_closed(now, link);
        self.apply_actions(actions)
    }

    /// Learns from a greeting what is in force at a peer.
    #[must_use = "the core has to hear of the document"]
    pub fn receive_hello(&mut self, now: Now, link: LinkId, stamp: Stamp) -> Option<ConfigUpdate> {
        let update = self.learn_peer_stamp(now, link, stamp);
        if self.gate.owns(link) {
            self.gate.peer_answered(link);
            self.close_finished_gate_links();
        }
        update
    }

    /// Learns from a heartbeat or an announcement what is in force at a peer.
    #[must_use = "the core has to hear of the document"]
    pub fn learn_peer_stamp(
        &mut self,
        now: Now,
        link: LinkId,
        stamp: Stamp,
    ) -> Option<ConfigUpdate> {
        let actions = self.exchange.learn_peer_stamp(now, link, stamp);
        self.apply_actions(actions)
    }

    /// Takes a frame that is not the driver's own; one that is not about the configuration is
    /// unexpected and is logged.
    #[must_use = "the core has to hear of the document"]
    pub fn receive_frame(&mut self, now: Now, link: LinkId, frame: &Frame) -> Option<ConfigUpdate> {
        match frame {
            Frame::Announce(stamp) => self.learn_peer_stamp(now, link, *stamp),
            Frame::ConfigRequest => {
                let actions = self.exchange.answer_request(link).into_iter().collect();
                self.apply_actions(actions)
            }
            Frame::ConfigOffer(offer) => self.receive_offer(now, offer),
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
    pub fn receive_platform_event(
        &mut self,
        now: Now,
        event: &PlatformEvent,
    ) -> Option<ConfigUpdate> {
        match event {
            PlatformEvent::Config(published) => {
                let actions = self.exchange.offer(now, published);
                self.apply_actions(actions)
            }
            PlatformEvent::Instances(instances) => {
                self.update_instances(now, instances);
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
            self.close_finished_gate_links();
        }
    }

    fn receive_offer(&mut self, now: Now, offer: &ConfigOffer) -> Option<ConfigUpdate> {
        let update = match offer.document() {
            Ok(document) => {
                let actions = self.exchange.peer_offer(now, offer.stamp, &document);
                self.apply_actions(actions)
            }
            Err(error) => {
                log::warn!(target: "link", error:% = error; "unusable offer");
                None
            }
        };
        if update.is_none() {
            self.close_finished_gate_links();
        }
        update
    }

    fn update_instances(&mut self, now: Now, instances: &[Instance]) {
        self.is_watcher = is_watcher(&self.parts.own, instances);
        self.update_follow_mode();
        for Probe { link, address, .. } in self.gate.update_instances(now, instances) {
            self.parts.links.open(link, address);
        }
    }

    /// Chooses how to follow the platform.
    ///
    /// A process without a document watches too. It may have started behind a cut, or beside an
    /// invalid document, and have no link on which a peer could tell it of a change: one would see
    /// it stay out of service until its next poll, half a minute after all else is well.
    fn update_follow_mode(&self) {
        let should_watch = self.is_watcher || !self.has_document();
        let chosen = if should_watch { FollowMode::Watch } else { FollowMode::Poll };
        self.parts.follow_mode.send_if_modified(|mode| std::mem::replace(mode, chosen) != chosen);
    }

    /// Closes the links of the start gate from which nothing newer is to come.
    fn close_finished_gate_links(&mut self) {
        for link in self.gate.finish_peers(|link| self.exchange.awaits_document_from(link)) {
            self.parts.links.close(link);
        }
    }

    /// Carries out what the exchange wants; one call of the exchange adopts one document at most,
    /// or shows one rival.
    fn apply_actions(&mut self, actions: Vec<ExchangeAction>) -> Option<ConfigUpdate> {
        let mut update = None;
        for action in actions {
            match action {
                ExchangeAction::Adopted { stamp, document } => {
                    self.update_follow_mode();
                    self.parts.view.update(|status| status.stamp = stamp);
                    update = Some(ConfigUpdate::Adopted { stamp, document });
                }
                ExchangeAction::Conflict(document) => {
                    update = Some(ConfigUpdate::Conflict(document))
                }
                ExchangeAction::Announce { link, stamp } => {
                    self.parts.links.send(link, Frame::Announce(stamp));
                }
                ExchangeAction::AnnounceToAll(stamp) => self.unannounced = Some(stamp),
                ExchangeAction::Request { link } => {
                    self.parts.links.send(link, Frame::ConfigRequest);
                }
                ExchangeAction::Offer { link, stamp, bytes } => {
                    let offer = self.offers.offer(stamp, &bytes);
                    self.parts.links.send(link, Frame::ConfigOffer(offer));
                }
                ExchangeAction::Audit(record) => self.parts.trail.write(record),
            }
        }
        let refused = self.exchange.refused();
        self.parts.view.update(|status| status.refused = refused);
        update
    }
}
