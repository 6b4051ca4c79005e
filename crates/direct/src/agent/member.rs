//! State of an agent as a member of its group, and sending of messages to the other agents.

use super::datagram::Datagram;
use super::fleet::Fleet;
use super::link_traffic::{Direction, LinkTraffic};
use super::paced_sender::PacedQueue;
use super::rank::{ExpertCounts, RankClient, RankClients};
use super::silent_ranks::SilentRanks;
use super::state::{CollectionState, OrdersInFlight, WatchedLeader};
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

/// State of an agent as a member of its group.
pub(crate) struct Member {
    /// Client of the rank on the same instance.
    pub(crate) rank_client: Rc<dyn RankClient>,
    /// Factory of clients of other ranks.
    pub(crate) rank_clients: Rc<dyn RankClients>,
    /// Whether ranks refuse orders with an outdated fencing number.
    pub(super) enforces_fences: bool,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) log: DecisionLog,
    pub(crate) socket: Rc<UdpSocket>,
    /// Address of the instance on which the agent and its rank run.
    pub(super) machine: IpAddr,
    /// UDP port of all agents.
    pub(crate) port: u16,
    /// Leader state while this agent leads.
    pub(crate) leader: RefCell<Option<Leader>>,
    /// Addresses of agents by rank, as learned from their statuses.
    pub(super) agents: RefCell<IndexMap<u16, SocketAddr>>,
    /// The highest fencing number seen in a message of a leader or sent to the rank.
    pub(crate) highest_fence: Cell<u64>,
    /// When the last message of a leader arrived, or when waiting for one began.
    pub(super) leader_heard_at: Cell<BootMs>,
    /// Expert counts at the last status that contained them.
    pub(crate) last_counts: RefCell<Option<ExpertCounts>>,
    /// Maps received from leaders, to which orders with a map change apply.
    pub(super) known_maps: RefCell<KnownMaps>,
    /// Results of orders by fencing number and order number; `None` while an order is being
    /// executed.
    pub(super) orders: RefCell<IndexMap<(u64, u64), Option<OrderResult>>>,
    /// Number of the own rank, once it is known.
    pub(super) own_rank: Cell<Option<u16>>,
    /// Number of ranks in the own group when this agent began to lead.
    pub(super) ranks_of_group: Cell<usize>,
    /// Time in which this agent polls each agent of the group once, while it leads.
    pub(super) poll_round_ms: Cell<u64>,
    /// Name of the own rank's group, once it is known.
    pub(super) own_group: RefCell<Option<String>>,
    /// Wakes the leader's loop when there is new input for a decision.
    pub(crate) leader_wakeup: Notify,
    /// Duration of the own rank's work relative to its usual duration, in thousandths.
    pub(crate) pace_permille: Cell<u32>,
    /// Ranks whose agents are silent, and the last contact with each agent.
    pub(crate) silent_ranks: SilentRanks,
    /// Orders to ranks on other instances that are being executed.
    pub(super) orders_in_flight: OrdersInFlight,
    /// What this agent recorded about the rank of the leader for which the own rank holds a pass,
    /// or held the last one.
    pub(super) witness: Cell<Option<Witness>>,
    /// Measures how long the own rank holds a pass.
    pub(super) hold_clock: RefCell<HoldClock>,
    /// The leader that this agent watches, to take over when it goes silent.
    pub(super) watched_leader: Cell<Option<WatchedLeader>>,
    /// Traffic of the agent, by message type.
    pub(super) link_traffic: LinkTraffic,
    /// Long messages that wait to be sent at a limited rate.
    pub(super) paced_queue: PacedQueue,
    /// Collection of statuses for a leader.
    pub(super) collection: CollectionState,
}

impl Member {
    pub(crate) fn new(
        rank_clients: Rc<dyn RankClients>,
        enforces_fences: bool,
        backend: SocketAddr,
        fleet: Rc<Fleet>,
        log: DecisionLog,
        socket: UdpSocket,
        port: u16,
    ) -> Rc<Self> {
        Rc::new(Self {
            rank_client: rank_clients.local(backend),
            machine: backend.ip(),
            rank_clients,
            enforces_fences,
            fleet,
            log,
            socket: Rc::new(socket),
            port,
            leader: RefCell::new(None),
            agents: RefCell::default(),
            highest_fence: Cell::new(0),
            leader_heard_at: Cell::new(boot_now()),
            last_counts: RefCell::new(None),
            known_maps: RefCell::default(),
            orders: RefCell::default(),
            own_rank: Cell::new(None),
            ranks_of_group: Cell::new(0),
            poll_round_ms: Cell::new(0),
            own_group: RefCell::new(None),
            leader_wakeup: Notify::new(),
            pace_permille: Cell::new(1_000),
            silent_ranks: SilentRanks::default(),
            orders_in_flight: OrdersInFlight::default(),
            witness: Cell::new(None),
            hold_clock: RefCell::default(),
            watched_leader: Cell::new(None),
            link_traffic: LinkTraffic::default(),
            paced_queue: PacedQueue::default(),
            collection: CollectionState::default(),
        })
    }

    /// Sends a message: a long order at a limited rate, any other message at once.
    pub(super) async fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let line = DecisionLog::fields("datagram").with("to", to).with("kind", datagram.kind());
        let bytes = match datagram.to_bytes() {
            Ok(bytes) => bytes,
            Err(error) => {
                self.log.note(line.with("error", error).with("outcome", "not-sent"));
                return;
            }
        };
        self.link_traffic.count(Direction::Sent, datagram.kind(), bytes.len());
        if datagram.is_long_order(bytes.len()) {
            if let Err(bytes) = self.paced_queue.push(to, bytes) {
                self.log.note(line.with("bytes", bytes.len()).with("outcome", "dropped"));
            }
        } else if let Err(error) = self.socket.send_to(&bytes, to).await {
            self.log.note_routine(line.with("error", error).with("outcome", "lost"));
        }
    }
}
