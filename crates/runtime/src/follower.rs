//! Keeps a process on the newest configuration document.
//!
//! Entries and agents receive documents from the platform and from their peers, and pass them on to
//! other peers. At start they ask a few peers which document these hold; an entry does not serve
//! before the answers have arrived or have been waited for long enough. The core decides
//! ([`Exchange`], [`StartGate`]); [`ConfigFollower`] carries the decisions out on links and hands
//! each adopted document to the driver.

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

/// The parts of the process that a [`ConfigFollower`] uses.
pub struct FollowerParts {
    /// The instance of this process.
    pub own: InstanceId,
    /// The first of [`StartGate::link_count`] link numbers that nothing else uses.
    pub first_gate_link: LinkId,
    /// The links to the peers.
    pub links: Links,
    /// Receives the stamps of the document in force and of the refused one.
    pub view: Arc<ProcessView>,
    /// Receives the audit records.
    pub trail: Arc<Trail>,
    /// Sets how [`platform::follow`](crate::platform::follow) reads the configuration service.
    pub follow_mode: watch::Sender<FollowMode>,
}

/// A change of the configuration that the driver passes to its core.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigUpdate {
    /// A document has come into force. The driver passes it to its core and then calls
    /// [`ConfigFollower::announce`].
    Adopted {
        /// Its stamp.
        stamp: Stamp,
        /// Its content.
        document: Arc<Document>,
    },
    /// A peer holds this document under the revision that is in force here, with another content.
    Conflict(Arc<Document>),
}

/// Exchanges configuration documents with peers and runs the start gate.
///
/// The methods that take an event return a [`ConfigUpdate`] if the event put a document in force or
/// revealed a conflicting one.
pub struct ConfigFollower {
    parts: FollowerParts,
    exchange: Exchange,
    gate: StartGate,
    offers: OfferCache,
    /// Whether this process is one of the few that watch the platform's service.
    is_watcher: bool,
    /// The stamp of an adopted document that has not been announced to the peers yet.
    unannounced: Option<Stamp>,
}

impl ConfigFollower {
    /// Creates a follower without a document and with a closed start gate.
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

    /// Returns the stamp of the document in force, [`Stamp::NONE`] before the first.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.exchange.stamp()
    }

    /// Whether the start gate is open, so that an entry may serve.
    ///
    /// The gate opens when enough peers have sent their stamp or the wait for them has timed out.
    #[must_use]
    pub fn is_gate_open(&self, now: Now) -> bool {
        self.gate.is_open(now)
    }

    /// Whether a link was opened for the start gate. The core of the driver does not know such
    /// links.
    #[must_use]
    pub fn is_gate_link(&self, link: LinkId) -> bool {
        self.gate.owns(link)
    }

    /// Repeats unanswered requests for documents and closes links that the start gate no longer
    /// needs; to be called several times a second.
    #[must_use = "the driver must pass the update to its core"]
    pub fn tick(&mut self, now: Now) -> Option<ConfigUpdate> {
        let actions = self.exchange.tick(now);
        let update = self.apply_actions(actions);
        self.close_finished_gate_links();
        update
    }

    /// Handles the end of a link.
    #[must_use = "the driver must pass the update to its core"]
    pub fn link_closed(&mut self, now: Now, link: LinkId) -> Option<ConfigUpdate> {
        self.gate.link_closed(link);
        let actions = self.exchange.link_closed(now, link);
        self.apply_actions(actions)
    }

    /// Handles the hello of a peer, which contains the stamp of the document in force there.
    #[must_use = "the driver must pass the update to its core"]
    pub fn receive_hello(&mut self, now: Now, link: LinkId, stamp: Stamp) -> Option<ConfigUpdate> {
        let update = self.learn_peer_stamp(now, link, stamp);
        if self.gate.owns(link) {
            self.gate.peer_answered(link);
            self.close_finished_gate_links();
        }
        update
    }

    /// Handles the stamp of the document in force at a peer, from a heartbeat or an announcement.
    #[must_use = "the driver must pass the update to its core"]
    pub fn learn_peer_stamp(
        &mut self,
        now: Now,
        link: LinkId,
        stamp: Stamp,
    ) -> Option<ConfigUpdate> {
        let actions = self.exchange.learn_peer_stamp(now, link, stamp);
        self.apply_actions(actions)
    }

    /// Handles a frame that the driver does not handle itself. A frame that does not concern the
    /// configuration is unexpected and is logged.
    #[must_use = "the driver must pass the update to its core"]
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

    /// Handles an event from the platform.
    #[must_use = "the driver must pass the update to its core"]
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

    /// Announces the adopted document to every peer; to be called when the core has adopted it.
    ///
    /// Links of the start gate are closed only after that, so that their peers receive the
    /// announcement too.
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
                log::warn!(target: "link", error:% = error; "cannot decode a document from a peer");
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

    /// Chooses between watching and polling the platform.
    ///
    /// A process without a document watches even if it is not one of the watchers. It may have
    /// started during a network partition, or while the published document was invalid, and have
    /// no link on which a peer could announce a change. With polling, it would stay out of service
    /// until its next poll, although the fault has ended.
    fn update_follow_mode(&self) {
        let should_watch = self.is_watcher || !self.has_document();
        let chosen = if should_watch { FollowMode::Watch } else { FollowMode::Poll };
        self.parts.follow_mode.send_if_modified(|mode| std::mem::replace(mode, chosen) != chosen);
    }

    /// Closes links of the start gate whose peers have answered and owe no newer document.
    fn close_finished_gate_links(&mut self) {
        for link in self.gate.finish_peers(|link| self.exchange.awaits_document_from(link)) {
            self.parts.links.close(link);
        }
    }

    /// Carries out the actions of one call of the exchange, which contain at most one adopted or
    /// conflicting document.
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
                    update = Some(ConfigUpdate::Conflict(document));
                }
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
        update
    }
}
