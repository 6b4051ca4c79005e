//! Links between processes: one QUIC connection each, frames on its streams.
//!
//! [`Links`] opens, accepts and closes them and reports what happens as [`LinkEvent`]s on one
//! channel, in the order in which it happened on each stream.

mod connection;
mod dial;
mod handshake;
mod listen;
mod stream;

use crate::security::LinkKeys;
use connection::Command;
use hickorycross_core::LinkId;
use hickorycross_protocol::{Frame, Hello};
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Accepted links are numbered from here, so that they never meet a number chosen by the core.
const FIRST_ACCEPTED: u64 = 1 << 63;

/// What happens on links.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link is up and the other end has said who it is.
    Opened {
        /// The link.
        link: LinkId,
        /// What the other end said.
        hello: Hello,
    },
    /// A frame came.
    Frame {
        /// The link.
        link: LinkId,
        /// The frame.
        frame: Frame,
    },
    /// A link could not be opened, or has ended.
    Closed {
        /// The link.
        link: LinkId,
        /// Why, for people.
        reason: String,
    },
}

/// Gives the present greeting of this process.
pub trait HelloSource: Send + Sync {
    /// The greeting, with the stamp of the document in force now.
    fn hello(&self) -> Hello;
}

/// The links of a process; copies share them.
#[derive(Clone)]
pub struct Links {
    shared: Arc<Shared>,
}

pub(crate) struct Shared {
    table: Mutex<IndexMap<LinkId, UnboundedSender<Command>>>,
    keys: Mutex<LinkKeys>,
    hello_source: Arc<dyn HelloSource>,
    events: UnboundedSender<LinkEvent>,
    next_accepted: AtomicU64,
}

impl Links {
    /// Makes the table of links; events come out of the receiver.
    #[must_use]
    pub fn new(
        keys: LinkKeys,
        hello_source: Arc<dyn HelloSource>,
    ) -> (Self, UnboundedReceiver<LinkEvent>) {
        let (events, receiver) = unbounded_channel();
        let shared = Shared {
            table: Mutex::default(),
            keys: Mutex::new(keys),
            hello_source,
            events,
            next_accepted: AtomicU64::new(FIRST_ACCEPTED),
        };
        (Self { shared: Arc::new(shared) }, receiver)
    }

    /// Opens a link from a fresh local port.
    pub fn open(&self, link: LinkId, address: SocketAddr) {
        dial::open(Arc::clone(&self.shared), link, address);
    }

    /// Accepts links on an address.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn listen(&self, address: SocketAddr) -> std::io::Result<listen::Listener> {
        listen::listen(Arc::clone(&self.shared), address)
    }

    /// Sends a frame; it is lost when the link is not up.
    pub fn send(&self, link: LinkId, frame: Frame) {
        self.shared.command(link, Command::Send(frame));
    }

    /// Sends a frame on every link that is up.
    pub fn broadcast(&self, frame: &Frame) {
        for sender in self.shared.lock().values() {
            let _ = sender.send(Command::Send(frame.clone()));
        }
    }

    /// Closes a link; [`LinkEvent::Closed`] follows.
    pub fn close(&self, link: LinkId) {
        self.shared.command(link, Command::Close);
    }

    /// Uses other keys for links that begin from now on.
    pub fn replace_keys(&self, keys: LinkKeys) {
        *self.shared.keys.lock().unwrap_or_else(PoisonError::into_inner) = keys;
    }
}

pub use listen::Listener;

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, IndexMap<LinkId, UnboundedSender<Command>>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn command(&self, link: LinkId, command: Command) {
        if let Some(sender) = self.lock().get(&link) {
            let _ = sender.send(command);
        }
    }

    /// Enters a link in the table; its commands come out of the receiver.
    fn insert(&self, link: LinkId) -> (UnboundedSender<Command>, UnboundedReceiver<Command>) {
        let (sender, receiver) = unbounded_channel();
        self.lock().insert(link, sender.clone());
        (sender, receiver)
    }

    fn remove(&self, link: LinkId, reason: String) {
        self.lock().swap_remove(&link);
        self.report(LinkEvent::Closed { link, reason });
    }

    fn report(&self, event: LinkEvent) {
        let _ = self.events.send(event);
    }

    fn keys(&self) -> LinkKeys {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn next_accepted_link(&self) -> LinkId {
        LinkId(self.next_accepted.fetch_add(1, Ordering::Relaxed))
    }
}

/// Bounds of every connection.
fn transport() -> quinn::TransportConfig {
    /// Attempts that may be open on one link; more wait until one has ended.
    ///
    /// Both ends make room for all of them when the connection opens, about 90 bytes each: at
    /// 16,384 a process with 200 links held 300 MB for streams that it never opened.
    const MAX_STREAMS: u32 = 2_048;
    /// A connection that hears nothing for so long is dropped.
    const MAX_IDLE_MS: u32 = 40_000;
    let mut transport = quinn::TransportConfig::default();
    transport.max_concurrent_bidi_streams(MAX_STREAMS.into());
    transport.max_concurrent_uni_streams(0_u32.into());
    transport.max_idle_timeout(Some(quinn::VarInt::from_u32(MAX_IDLE_MS).into()));
    transport
}
