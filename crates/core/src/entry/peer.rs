//! Rows of the peer and link tables: agents by instance, and the connections to them.

use crate::entry::round_trip::RoundTrip;
use crate::ids::{AttemptId, Incarnation, InstanceId, LinkId, RequestId};
use crate::message::Load;
use crate::time::UnixMs;
use hickorycross_config::BackendServerId;
use indexmap::IndexSet;
use std::net::SocketAddr;

/// The agent on one instance.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) backend_server: BackendServerId,
    pub(super) address: SocketAddr,
    /// The instance list names it as live.
    pub(super) listed_live: bool,
    /// Its agent said that it takes no new work.
    pub(super) leaving: bool,
    /// The incarnation that answered last.
    pub(super) incarnation: Option<Incarnation>,
    /// The link in use.
    pub(super) active: Option<LinkId>,
    /// A silent link, kept until a fresh one answers, in case that it was only slow.
    pub(super) suspect: Option<LinkId>,
    /// A link that is being opened.
    pub(super) opening: Option<LinkId>,
    /// No link is opened before this moment.
    pub(super) next_open: UnixMs,
    /// Failures to open a link since the last success.
    pub(super) failed_opens: u32,
    pub(super) round_trip: RoundTrip,
    pub(super) load: Option<Load>,
    pub(super) load_received: UnixMs,
    /// Attempts sent that the latest report cannot contain.
    pub(super) sent_since_report: u32,
    /// Requests whose live attempt is there.
    pub(super) requests: IndexSet<RequestId>,
    /// Attempts that nobody waits for, not yet cancelled for want of a link.
    pub(super) cancels: IndexSet<AttemptId>,
}

impl Peer {
    pub(super) fn new(backend_server: BackendServerId, address: SocketAddr) -> Self {
        Self {
            backend_server,
            address,
            listed_live: false,
            leaving: false,
            incarnation: None,
            active: None,
            suspect: None,
            opening: None,
            next_open: UnixMs(0),
            failed_opens: 0,
            round_trip: RoundTrip::default(),
            load: None,
            load_received: UnixMs(0),
            sent_since_report: 0,
            requests: IndexSet::new(),
            cancels: IndexSet::new(),
        }
    }

    /// Whether it may get new work, as far as list and agent say.
    pub(super) fn is_usable(&self) -> bool {
        self.listed_live && !self.leaving
    }

    /// Whether it said that it leaves, and is still meant to be up.
    pub(super) fn may_have_returned(&self) -> bool {
        self.listed_live && self.leaving
    }

    /// Links that it holds, in whatever state.
    pub(super) fn links(&self) -> impl Iterator<Item = LinkId> {
        [self.active, self.suspect, self.opening].into_iter().flatten()
    }
}

/// One connection.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) instance: InstanceId,
    pub(super) state: LinkState,
}

/// How far a connection has come.
#[derive(Debug)]
pub(super) enum LinkState {
    /// Asked for.
    Opening {
        /// When it counts as failed.
        give_up: UnixMs,
    },
    /// The agent has answered.
    Up(UpLink),
}

/// A connection that is up.
#[derive(Debug)]
pub(super) struct UpLink {
    /// The agent incarnation at its other end.
    pub(super) incarnation: Incarnation,
    /// When something was last heard on it.
    pub(super) last_heard: UnixMs,
    /// When the next heartbeat is due whatever is heard.
    pub(super) heartbeat_due: UnixMs,
    /// The heartbeat that waits for its answer.
    pub(super) pending: Option<PendingHeartbeat>,
    /// When it is closed unless an attempt needs it.
    pub(super) idle_close: UnixMs,
}

/// A heartbeat without its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingHeartbeat {
    pub(super) nonce: u64,
    pub(super) sent: UnixMs,
    pub(super) ack_due: UnixMs,
}

impl Link {
    /// The state of a connection that is up.
    pub(super) fn up(&self) -> Option<&UpLink> {
        match &self.state {
            LinkState::Up(up) => Some(up),
            LinkState::Opening { .. } => None,
        }
    }

    /// The same, to change it.
    pub(super) fn up_mut(&mut self) -> Option<&mut UpLink> {
        match &mut self.state {
            LinkState::Up(up) => Some(up),
            LinkState::Opening { .. } => None,
        }
    }
}
