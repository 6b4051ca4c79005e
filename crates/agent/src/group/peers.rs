//! Links to the agents of the other members of the group.

use hickorycross_config::BackendServerId;
use hickorycross_core::{Instance, InstanceState, LinkId, Now, Role, UnixMs};
use hickorycross_protocol::Frame;
use hickorycross_runtime::link::Links;
use indexmap::IndexMap;
use std::net::SocketAddr;

/// Number of the first link to a member. Lower numbers are reserved for the start gate's links.
const FIRST_LINK_NUMBER: u64 = 1 << 32;
/// Time without an answer after which a new link to the member is opened.
const ANSWER_TIMEOUT_MS: u64 = 1_500;
/// Minimum time between two attempts to open a link to the same member.
const REOPEN_PAUSE_MS: u64 = 500;

/// The link to one member.
#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// The open link.
    link: Option<LinkId>,
    /// The link that is being opened.
    opening: Option<LinkId>,
    /// When an answer to the frames sent so far is overdue. [`UnixMs::NEVER`] if none is expected.
    answer_deadline: UnixMs,
    /// Earliest time at which another link may be opened.
    next_open_at: UnixMs,
}

/// Maintains one link to the agent of each other member of a group.
pub(crate) struct PeerLinks {
    links: Links,
    own_server: BackendServerId,
    members: Vec<BackendServerId>,
    /// The latest instance list, kept because it can arrive before the document with the members.
    instances: Vec<Instance>,
    peers: IndexMap<BackendServerId, Peer>,
    next_link_number: u64,
}

impl PeerLinks {
    pub(crate) fn new(links: Links, own_server: BackendServerId) -> Self {
        Self {
            links,
            own_server,
            members: Vec::new(),
            instances: Vec::new(),
            peers: IndexMap::new(),
            next_link_number: FIRST_LINK_NUMBER,
        }
    }

    /// Sets the members of the group, as listed in the document.
    pub(crate) fn set_members(&mut self, members: &[BackendServerId]) {
        self.members = members.to_vec();
        let members = &self.members;
        self.peers.retain(|server, _| members.contains(server));
        self.update_addresses();
    }

    /// Sets the instances, which provide the addresses of the members.
    pub(crate) fn set_instances(&mut self, instances: &[Instance]) {
        self.instances = instances.to_vec();
        self.update_addresses();
    }

    /// Updates the address of each member from the live instances.
    fn update_addresses(&mut self) {
        let instances = std::mem::take(&mut self.instances);
        for instance in instances.iter().filter(|one| one.state == InstanceState::Live) {
            let Role::Agent { backend_server } = &instance.role else { continue };
            let is_peer =
                *backend_server != self.own_server && self.members.contains(backend_server);
            if is_peer {
                self.set_address(backend_server, instance.link_address);
            }
        }
        self.instances = instances;
    }

    /// Sets the address of a member. If it changed, the link to the old address is closed.
    fn set_address(&mut self, server: &BackendServerId, address: SocketAddr) {
        let peer = self.peers.entry(server.clone()).or_insert(Peer {
            address,
            link: None,
            opening: None,
            answer_deadline: UnixMs::NEVER,
            next_open_at: UnixMs::default(),
        });
        if peer.address != address {
            peer.address = address;
            peer.opening = None;
            if let Some(old) = peer.link.take() {
                self.links.close(old);
            }
        }
    }

    /// Sends a frame to a member. The frame is dropped if no link to the member is open.
    pub(crate) fn send(&mut self, now: Now, to: &BackendServerId, frame: Frame) {
        let Some(peer) = self.peers.get_mut(to) else { return };
        let Some(link) = peer.link else { return };
        peer.answer_deadline = peer.answer_deadline.min(now.after(ANSWER_TIMEOUT_MS));
        self.links.send(link, frame);
    }

    /// Records that a frame arrived from a member, so that no answer from it is overdue.
    pub(crate) fn record_activity(&mut self, from: &BackendServerId) {
        if let Some(peer) = self.peers.get_mut(from) {
            peer.answer_deadline = UnixMs::NEVER;
        }
    }

    /// Returns whether a link was opened by this type.
    pub(crate) fn owns_link(&self, link: LinkId) -> bool {
        (FIRST_LINK_NUMBER..self.next_link_number).contains(&link.0)
    }

    /// Handles an opened link. It replaces the member's previous link, which is closed.
    pub(crate) fn on_link_opened(&mut self, link: LinkId) {
        let Some(peer) = self.peers.values_mut().find(|peer| peer.opening == Some(link)) else {
            return self.links.close(link);
        };
        peer.opening = None;
        peer.answer_deadline = UnixMs::NEVER;
        if let Some(old) = peer.link.replace(link) {
            self.links.close(old);
        }
    }

    /// Handles a link that was closed or could not be opened.
    pub(crate) fn on_link_closed(&mut self, link: LinkId) {
        for peer in self.peers.values_mut() {
            peer.link = peer.link.filter(|held| *held != link);
            peer.opening = peer.opening.filter(|held| *held != link);
        }
    }

    /// Opens missing links, and new links to members whose answer is overdue.
    ///
    /// A network path that has lost the state of a connection drops its packets without an error,
    /// and the group would stall although all of its agents run. An overdue answer reveals this,
    /// and a new connection uses another path.
    pub(crate) fn tick(&mut self, now: Now) {
        for peer in self.peers.values_mut() {
            let is_answer_overdue = peer.answer_deadline.is_past(now);
            let needs_link = peer.link.is_none() || is_answer_overdue;
            if !needs_link || peer.opening.is_some() || !peer.next_open_at.is_past(now) {
                continue;
            }
            let link = LinkId(self.next_link_number);
            self.next_link_number += 1;
            peer.opening = Some(link);
            peer.next_open_at = now.after(REOPEN_PAUSE_MS);
            self.links.open(link, peer.address);
        }
    }
}
