//! Links to the agents of the other members of the group.

use hickorycross_config::BackendServerId;
use hickorycross_core::{Instance, InstanceState, LinkId, Now, Role, UnixMs};
use hickorycross_protocol::Frame;
use hickorycross_runtime::link::Links;
use indexmap::IndexMap;
use std::net::SocketAddr;

/// Links to members are numbered from here; lower numbers belong to the start gate.
const FIRST_LINK: u64 = 1 << 32;
/// A member that answers nothing for so long is tried on a fresh link.
const SILENCE_MS: u64 = 1_500;
/// Pause before another link is opened to a member.
const REOPEN_MS: u64 = 500;

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// The link in use.
    link: Option<LinkId>,
    /// A link that is being opened.
    opening: Option<LinkId>,
    /// When something must have come in answer to what was sent.
    answer_due: UnixMs,
    /// No link is opened before this moment.
    reopen_at: UnixMs,
}

/// Links to the agents of a group.
pub(crate) struct Peers {
    links: Links,
    own: BackendServerId,
    members: Vec<BackendServerId>,
    /// The latest instance list: it may come before the document that names the members.
    instances: Vec<Instance>,
    table: IndexMap<BackendServerId, Peer>,
    next_link: u64,
}

impl Peers {
    pub(crate) fn new(links: Links, own: BackendServerId) -> Self {
        Self {
            links,
            own,
            members: Vec::new(),
            instances: Vec::new(),
            table: IndexMap::new(),
            next_link: FIRST_LINK,
        }
    }

    /// Follows the members that the document names.
    pub(crate) fn set_members(&mut self, members: &[BackendServerId]) {
        self.members = members.to_vec();
        let members = &self.members;
        self.table.retain(|server, _| members.contains(server));
        self.find_addresses();
    }

    /// Follows the instance list.
    pub(crate) fn set_instances(&mut self, instances: &[Instance]) {
        self.instances = instances.to_vec();
        self.find_addresses();
    }

    fn find_addresses(&mut self) {
        let instances = std::mem::take(&mut self.instances);
        for instance in instances.iter().filter(|one| one.state == InstanceState::Live) {
            let Role::Agent { backend_server } = &instance.role else { continue };
            let is_peer = *backend_server != self.own && self.members.contains(backend_server);
            if is_peer {
                self.set_address(backend_server, instance.link_address);
            }
        }
        self.instances = instances;
    }

    fn set_address(&mut self, server: &BackendServerId, address: SocketAddr) {
        let peer = self.table.entry(server.clone()).or_insert(Peer {
            address,
            link: None,
            opening: None,
            answer_due: UnixMs::NEVER,
            reopen_at: UnixMs::default(),
        });
        if peer.address != address {
            peer.address = address;
            peer.opening = None;
            if let Some(old) = peer.link.take() {
                self.links.close(old);
            }
        }
    }

    /// Sends a frame to a member; it is lost while no link is up.
    pub(crate) fn send(&mut self, now: Now, to: &BackendServerId, frame: Frame) {
        let Some(peer) = self.table.get_mut(to) else { return };
        let Some(link) = peer.link else { return };
        peer.answer_due = peer.answer_due.min(now.after(SILENCE_MS));
        self.links.send(link, frame);
    }

    /// Notes a sign of life.
    pub(crate) fn heard(&mut self, from: &BackendServerId) {
        if let Some(peer) = self.table.get_mut(from) {
            peer.answer_due = UnixMs::NEVER;
        }
    }

    /// Whether a link was opened here.
    pub(crate) fn owns(&self, link: LinkId) -> bool {
        (FIRST_LINK..self.next_link).contains(&link.0)
    }

    /// A link is up: it takes the place of the one before.
    pub(crate) fn opened(&mut self, link: LinkId) {
        let Some(peer) = self.table.values_mut().find(|peer| peer.opening == Some(link)) else {
            return self.links.close(link);
        };
        peer.opening = None;
        peer.answer_due = UnixMs::NEVER;
        if let Some(old) = peer.link.replace(link) {
            self.links.close(old);
        }
    }

    /// A link has ended, or could not be opened.
    pub(crate) fn closed(&mut self, link: LinkId) {
        for peer in self.table.values_mut() {
            peer.link = peer.link.filter(|held| *held != link);
            peer.opening = peer.opening.filter(|held| *held != link);
        }
    }

    /// Opens links that are missing, and fresh ones beside those that went silent.
    ///
    /// A path that has lost track of a link swallows what it carries without an error; one would
    /// see a group that stalls although all of its agents live. An answer that is overdue shows
    /// it, and a fresh link has another path.
    pub(crate) fn tick(&mut self, now: Now) {
        for peer in self.table.values_mut() {
            let is_silent = peer.answer_due.is_past(now);
            let is_wanted = peer.link.is_none() || is_silent;
            if !is_wanted || peer.opening.is_some() || !peer.reopen_at.is_past(now) {
                continue;
            }
            let link = LinkId(self.next_link);
            self.next_link += 1;
            peer.opening = Some(link);
            peer.reopen_at = now.after(REOPEN_MS);
            self.links.open(link, peer.address);
        }
    }
}
