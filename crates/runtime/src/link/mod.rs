//! Links between processes. Each link is a QUIC connection whose streams carry frames.
//!
//! A link has one control stream, which starts with the hellos of both ends, and one stream for
//! each attempt. [`Links`] opens, accepts and closes links, and reports their events on one
//! channel. The frames of a stream are reported in the order in which they were sent.

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

/// First number of accepted links, so that they never collide with numbers chosen by the core.
const FIRST_ACCEPTED: u64 = 1 << 63;

/// An event on a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// The handshake has succeeded and the link is open.
    Opened {
        /// The link.
        link: LinkId,
        /// The hello of the other end.
        hello: Hello,
    },
    /// A frame has arrived.
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
        /// A description of the cause, for logs.
        reason: String,
    },
}

/// Provides the hello that this process sends at the start of a link.
pub trait HelloSource: Send + Sync {
    /// Returns the hello, with the stamp of the document in force now.
    fn hello(&self) -> Hello;
}

/// The links of a process. Clones share the same links.
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
    /// Creates an empty table of links, and the receiver of their events.
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

    /// Opens a link to an address, from a new local port.
    ///
    /// [`LinkEvent::Opened`] follows on success, [`LinkEvent::Closed`] on failure.
    pub fn open(&self, link: LinkId, address: SocketAddr) {
        dial::open(Arc::clone(&self.shared), link, address);
    }

    /// Accepts links on an address.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn listen(&self, address: SocketAddr) -> std::io::Result<listen::Listener> {
        listen::listen(Arc::clone(&self.shared), address)
    }

    /// Sends a frame; it is lost if the link is not open or closes before the frame arrives.
    pub fn send(&self, link: LinkId, frame: Frame) {
        self.shared.command(link, Command::Send(frame));
    }

    /// Sends a frame on every open link.
    pub fn broadcast(&self, frame: &Frame) {
        for sender in self.shared.lock().values() {
            let _ = sender.send(Command::Send(frame.clone()));
        }
    }

    /// Closes a link; [`LinkEvent::Closed`] follows.
    pub fn close(&self, link: LinkId) {
        self.shared.command(link, Command::Close);
    }

    /// Replaces the keys for links that are opened from now on; open links keep theirs. A
    /// [`Listener`] uses the new keys after [`Listener::apply_keys`].
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

    /// Adds a link to the table, and returns both ends of the channel for its commands.
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

/// Returns the transport limits of every connection.
fn transport() -> quinn::TransportConfig {
    /// Maximum number of open attempts on one link; further ones wait until another has ended.
    ///
    /// Both ends allocate about 90 bytes for each possible stream when the connection opens. With
    /// 16,384, a process with 200 links used 300 MB for streams that it never opened.
    const MAX_STREAMS: u32 = 2_048;
    /// Time without any packet from the other end after which a connection is dropped.
    const MAX_IDLE_MS: u32 = 40_000;
    let mut transport = quinn::TransportConfig::default();
    transport.max_concurrent_bidi_streams(MAX_STREAMS.into());
    transport.max_concurrent_uni_streams(0_u32.into());
    transport.max_idle_timeout(Some(quinn::VarInt::from_u32(MAX_IDLE_MS).into()));
    transport
}
