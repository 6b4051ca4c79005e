//! Places: each hosts one process after another, as an instance does.

use crate::world::adapter::{Input, Node, Switches};
use hickorycross_config::{BackendServerId, FailureDomainId};
use hickorycross_core::adoption::Published;
use hickorycross_core::{Incarnation, Instance, InstanceId, InstanceState, Now, Role};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

const DOMAINS: [&str; 3] = ["fd-a", "fd-b", "fd-c"];
const FIRST_PORT: u16 = 10_000;
const PORTS_PER_GENERATION: u16 = 100;

/// One place with its present process, if any.
pub(crate) struct Place {
    pub(crate) index: usize,
    /// Index of the backend server beside it; none for an entry.
    pub(crate) backend: Option<usize>,
    pub(crate) node: Option<Node>,
    /// Counts the processes that it has hosted.
    pub(crate) life: u64,
    pub(crate) started_ms: u64,
    /// Counts the instances that it has been.
    pub(crate) generation: u16,
    /// By how much its clock is ahead.
    pub(crate) offset_ms: i64,
    pub(crate) frozen_until_ms: u64,
    /// What waits for a frozen process.
    pub(crate) backlog: VecDeque<Input>,
    /// Side of a partition.
    pub(crate) side: u8,
    pub(crate) state: InstanceState,
    pub(crate) listed: bool,
    /// When its planned stop began.
    pub(crate) leaving_since_ms: Option<u64>,
    /// Whether the balancer sends callers there.
    pub(crate) ready: bool,
    /// The revision in force at its process.
    pub(crate) revision: u64,
    /// The lowest revision that a new process may serve on, where that can be told.
    pub(crate) floor: Option<u64>,
    /// What its process last got from the platform.
    pub(crate) read: Option<Published>,
    pub(crate) listed_last: Vec<Instance>,
    /// When each of its processes ended.
    ended_ms: IndexMap<u64, u64>,
}

impl Place {
    pub(crate) fn new(index: usize, backend: Option<usize>, offset_ms: i64) -> Self {
        Self {
            index,
            backend,
            node: None,
            life: 0,
            started_ms: 0,
            generation: 0,
            offset_ms,
            frozen_until_ms: 0,
            backlog: VecDeque::new(),
            side: 0,
            state: InstanceState::Live,
            listed: false,
            leaving_since_ms: None,
            ready: false,
            revision: 0,
            floor: None,
            read: None,
            listed_last: Vec::new(),
            ended_ms: IndexMap::new(),
        }
    }

    /// Starts a process; `salt` makes its incarnation unlike any other.
    pub(crate) fn start(&mut self, now_ms: u64, salt: u64, switches: Switches) {
        self.life += 1;
        self.started_ms = now_ms;
        self.leaving_since_ms = None;
        self.state = InstanceState::Live;
        self.listed = true;
        self.frozen_until_ms = 0;
        self.backlog.clear();
        self.ready = false;
        self.revision = 0;
        self.read = None;
        self.listed_last.clear();
        let incarnation = Incarnation(salt ^ ((self.index as u64) << 32) ^ self.life);
        self.node = Some(match self.backend {
            None => Node::entry(self.instance(), incarnation, self.domain(), switches),
            Some(_) => Node::agent(self.instance(), incarnation, self.backend_server(), switches),
        });
    }

    /// Notes that its process is gone.
    pub(crate) fn end_life(&mut self, now_ms: u64) {
        self.ended_ms.insert(self.life, now_ms);
        self.leaving_since_ms = None;
        self.backlog.clear();
        self.ready = false;
    }

    /// When one of its processes ended.
    pub(crate) fn life_ended_ms(&self, life: u64) -> Option<u64> {
        self.ended_ms.get(&life).copied()
    }

    pub(crate) fn instance(&self) -> InstanceId {
        InstanceId::new(&format!("i-{}-{}", self.index, self.generation))
    }

    pub(crate) fn domain(&self) -> FailureDomainId {
        FailureDomainId::new(DOMAINS[self.index % DOMAINS.len()])
    }

    pub(crate) fn backend_server(&self) -> BackendServerId {
        BackendServerId::new(&format!("s-{}", self.backend.unwrap_or_default()))
    }

    pub(crate) fn address(&self) -> SocketAddr {
        let port = FIRST_PORT + self.index as u16 + PORTS_PER_GENERATION * (self.generation % 500);
        SocketAddr::from(([10, 0, 0, 1], port))
    }

    pub(crate) fn row(&self) -> Instance {
        let role = match self.backend {
            None => Role::Entry,
            Some(_) => Role::Agent { backend_server: self.backend_server() },
        };
        Instance {
            id: self.instance(),
            role,
            link_address: self.address(),
            failure_domain: self.domain(),
            state: self.state,
        }
    }

    /// The moment by its own clock.
    pub(crate) fn local(&self, now_ms: u64) -> Now {
        Now::at(now_ms.saturating_add_signed(self.offset_ms))
    }

    pub(crate) fn is_frozen(&self, now_ms: u64) -> bool {
        self.frozen_until_ms > now_ms
    }
}
