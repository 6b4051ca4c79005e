//! An agent as a member of its group: what it knows, and how it speaks to others.

use super::bulk::BulkQueue;
use super::datagram::Datagram;
use super::fleet::Fleet;
use super::link::{LinkLoad, Way};
use super::rank::{ExpertCounts, RankClient, RankClients};
use super::silent::SilentRanks;
use super::state::{Collecting, UnderWay, Watched};
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{HoldClock, KnownMaps, Leader, OrderResult, Witness};
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// A member of a group.
pub(crate) struct Member {
    pub(crate) engine: Rc<dyn RankClient>,
    pub(crate) engines: Rc<dyn RankClients>,
    /// Whether ranks refuse orders with an old fence.
    pub(super) heeds_fences: bool,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) log: DecisionLog,
    pub(crate) socket: Rc<UdpSocket>,
    /// The machine that the agent and its rank share.
    pub(super) machine: IpAddr,
    pub(crate) port: u16,
    pub(crate) leader: RefCell<Option<Leader>>,
    /// Where the agents of ranks are.
    pub(super) ranks: RefCell<IndexMap<u16, SocketAddr>>,
    /// The highest fence of a leader heard, or of an order sent to the rank.
    pub(crate) highest_fence: Cell<u64>,
    pub(super) leader_heard_at: Cell<BootMs>,
    pub(crate) last_counts: RefCell<Option<ExpertCounts>>,
    /// Maps that were told of, for orders that tell changes.
    pub(super) known_maps: RefCell<KnownMaps>,
    /// Orders under way or ended, by fence and number.
    pub(super) orders: RefCell<IndexMap<(u64, u64), Option<OrderResult>>>,
    pub(super) own_rank: Cell<Option<u16>>,
    /// How many ranks the own group has, as of when this agent began to lead.
    pub(super) ranks_of_group: Cell<usize>,
    /// The group of the own rank, once it is known.
    pub(super) own_group: RefCell<Option<String>>,
    /// Told when a leader has something new to decide upon.
    pub(crate) news: Notify,
    /// How long the own rank's work takes, in thousandths of the usual time.
    pub(crate) pace_permille: Cell<u32>,
    /// Ranks whose agents are not heard.
    pub(crate) silent: SilentRanks,
    /// Orders to ranks on other machines.
    pub(super) under_way: UnderWay,
    /// What this agent knows of the leader for which the own rank holds a pass, or held the last one.
    pub(super) witness: Cell<Option<Witness>>,
    /// How long the own rank holds a pass.
    pub(super) hold_clock: RefCell<HoldClock>,
    /// The leader in whose place this agent is to lead when it goes silent.
    pub(super) watched: Cell<Option<Watched>>,
    /// What the link carries.
    pub(super) link: LinkLoad,
    /// Long messages that wait for the link.
    pub(super) bulk: BulkQueue,
    /// Statuses that this agent collects for a leader.
    pub(super) collecting: Collecting,
}

impl Member {
    pub(crate) fn new(
        engines: Rc<dyn RankClients>,
        heeds_fences: bool,
        backend: SocketAddr,
        fleet: Rc<Fleet>,
        log: DecisionLog,
        socket: UdpSocket,
        port: u16,
    ) -> Rc<Self> {
        Rc::new(Self {
            engine: engines.local(backend),
            machine: backend.ip(),
            engines,
            heeds_fences,
            fleet,
            log,
            socket: Rc::new(socket),
            port,
            leader: RefCell::new(None),
            ranks: RefCell::default(),
            highest_fence: Cell::new(0),
            leader_heard_at: Cell::new(boot_now()),
            last_counts: RefCell::new(None),
            known_maps: RefCell::default(),
            orders: RefCell::default(),
            own_rank: Cell::new(None),
            ranks_of_group: Cell::new(0),
            own_group: RefCell::new(None),
            news: Notify::new(),
            pace_permille: Cell::new(1_000),
            silent: SilentRanks::default(),
            under_way: UnderWay::default(),
            witness: Cell::new(None),
            hold_clock: RefCell::default(),
            watched: Cell::new(None),
            link: LinkLoad::default(),
            bulk: BulkQueue::default(),
            collecting: Collecting::default(),
        })
    }

    /// Sends a message; one that is long waits until the link has room, others go at once.
    pub(super) async fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let line = DecisionLog::fields("datagram").with("to", to).with("kind", datagram.kind());
        let bytes = match datagram.to_bytes() {
            Ok(bytes) => bytes,
            Err(error) => {
                self.log.note(line.with("error", error).with("outcome", "not-sent"));
                return;
            }
        };
        self.link.count(Way::Sent, datagram.kind(), bytes.len());
        if datagram.is_long_order(bytes.len()) {
            if let Err(bytes) = self.bulk.add(to, bytes) {
                self.log.note(line.with("bytes", bytes.len()).with("outcome", "dropped"));
            }
        } else if let Err(error) = self.socket.send_to(&bytes, to).await {
            self.log.note_ordinary(line.with("error", error).with("outcome", "lost"));
        }
    }
}
