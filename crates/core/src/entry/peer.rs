//! The entry's state of agents and of the links to them.

use crate::entry::round_trip::RoundTrip;
use crate::ids::{AttemptId, Incarnation, InstanceId, LinkId, RequestId};
use crate::message::Load;
use crate::time::UnixMs;
use hickorycross_config::BackendServerId;
use indexmap::IndexSet;
use std::net::SocketAddr;

/// The agent on one instance, across its restarts.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) backend_server: BackendServerId,
    pub(super) address: SocketAddr,
    /// Whether the instance list names the instance as live.
    pub(super) listed_live: bool,
    /// Whether the agent reported that it accepts no new attempts.
    pub(super) leaving: bool,
    /// The agent's incarnation on the latest established link.
    pub(super) incarnation: Option<Incarnation>,
    /// The established link on which messages are sent.
    pub(super) active: Option<LinkId>,
    /// A silent link, kept until a new one is established in case it was only slow.
    pub(super) suspect: Option<LinkId>,
    /// A link that is being opened.
    pub(super) opening: Option<LinkId>,
    /// End of the backoff before which no link is opened.
    pub(super) next_open: UnixMs,
    /// Consecutive failures to open a link.
    pub(super) failed_opens: u32,
    pub(super) round_trip: RoundTrip,
    pub(super) load: Option<Load>,
    pub(super) load_received: UnixMs,
    /// Attempts sent that the latest load report does not yet include.
    pub(super) sent_since_report: u32,
    /// Requests whose live attempt is at this agent.
    pub(super) requests: IndexSet<RequestId>,
    /// Abandoned attempts, to be cancelled on the next link.
    pub(super) pending_cancels: IndexSet<AttemptId>,
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
            pending_cancels: IndexSet::new(),
        }
    }

    /// Returns whether the instance is listed as live and its agent has not reported leaving.
    pub(super) fn is_usable(&self) -> bool {
        self.listed_live && !self.leaving
    }

    /// Returns whether the agent reported leaving while its instance is still listed as live, so
    /// that a new agent may have started there.
    pub(super) fn may_have_returned(&self) -> bool {
        self.listed_live && self.leaving
    }

    /// Returns the links to the agent, in any state.
    pub(super) fn links(&self) -> impl Iterator<Item = LinkId> {
        [self.active, self.suspect, self.opening].into_iter().flatten()
    }
}

/// A connection to an agent.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) instance: InstanceId,
    pub(super) state: LinkState,
}

/// State of a connection.
#[derive(Debug)]
pub(super) enum LinkState {
    /// The connection was requested.
    Opening {
        /// When opening it counts as failed.
        times_out_at: UnixMs,
    },
    /// The connection is established and the agent has identified itself.
    Connected(ConnectedLink),
}

/// State of an established connection.
#[derive(Debug)]
pub(super) struct ConnectedLink {
    /// The agent's incarnation.
    pub(super) incarnation: Incarnation,
    /// When a message was last received on it.
    pub(super) last_received: UnixMs,
    /// When the next heartbeat is due at the latest.
    pub(super) heartbeat_due: UnixMs,
    /// The heartbeat that has not been acknowledged yet.
    pub(super) pending: Option<PendingHeartbeat>,
    /// When it is closed unless it has live attempts.
    pub(super) idle_close: UnixMs,
}

/// A heartbeat that has not been acknowledged.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingHeartbeat {
    pub(super) nonce: u64,
    pub(super) sent: UnixMs,
    pub(super) ack_due: UnixMs,
}

impl Link {
    /// Returns the state of an established connection.
    pub(super) fn connected(&self) -> Option<&ConnectedLink> {
        match &self.state {
            LinkState::Connected(connected) => Some(connected),
            LinkState::Opening { .. } => None,
        }
    }

    /// Returns the state of an established connection, mutably.
    pub(super) fn connected_mut(&mut self) -> Option<&mut ConnectedLink> {
        match &mut self.state {
            LinkState::Connected(connected) => Some(connected),
            LinkState::Opening { .. } => None,
        }
    }
}
