//! What an agent hears from entries: the configuration and the backend servers of its service.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::exchange::{self, ExchangeRequest};
use crate::peer_call;
use hickorycross_core::direct::{
    Adoption, BackendServer, CatalogState, GroupDimensions, PeerTable,
};
use hickorycross_core::map_change::Roster;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Pause between questions while nothing is known yet. After a loss of all power the entries start in the
/// same moment; some seeds may be gone.
const FIRST_PAUSE_MS: u64 = 100;

/// Pause between questions of an agent that leads while it does not know a machine for each rank: it polls
/// nobody there, and the agents on those machines would begin to lead as well.
const INCOMPLETE_PAUSE_MS: u64 = 200;

/// Pause between questions. New members and dimensions may be learnt this much later.
const PAUSE_MS: u64 = 2_000;

/// Entries that an agent tells of its backend server: with more its messages would not fit on its link.
const MOST_TOLD: usize = 64;

/// What an agent knows of the fleet.
pub(crate) struct Fleet {
    log: DecisionLog,
    service: String,
    catalog: RefCell<CatalogState>,
    roster: RefCell<Roster>,
    peers: RefCell<PeerTable>,
    /// Machines that the agent needs to know, because it leads so many ranks.
    needed: Cell<usize>,
}

impl Fleet {
    pub(crate) fn new(log: DecisionLog, service: &str, seeds: &[SocketAddr]) -> Rc<Self> {
        Rc::new(Self {
            log,
            service: service.to_owned(),
            catalog: RefCell::default(),
            roster: RefCell::default(),
            peers: RefCell::new(PeerTable::new(seeds, None)),
            needed: Cell::new(0),
        })
    }

    /// Dimensions of the groups of the agent's service.
    pub(crate) fn dimensions(&self) -> Option<GroupDimensions> {
        self.catalog.borrow().catalog()?.services.get(&self.service)?.group
    }

    /// Machines on which backend servers of the service stand or stood lately, with their failure domains.
    pub(crate) fn machines(&self) -> Vec<(String, IpAddr)> {
        let roster = self.roster.borrow();
        roster.machines().map(|(domain, machine)| (domain.to_owned(), machine)).collect()
    }

    /// Addresses of the backend servers of the service, those that are listed and those that were lately.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.roster.borrow().addresses().collect()
    }

    fn take_backends(&self, mut listed: Vec<BackendServer>) {
        listed.retain(|server| server.service == self.service);
        self.roster.borrow_mut().update(boot_now(), &listed);
    }

    /// Says how many machines the agent needs to know; none if it does not lead.
    pub(crate) fn need(&self, machines: usize) {
        self.needed.set(machines);
    }

    fn pause_ms(&self) -> u64 {
        let known = self.roster.borrow().listed_count();
        if self.dimensions().is_none() || known == 0 {
            FIRST_PAUSE_MS
        } else if known < self.needed.get() {
            INCOMPLETE_PAUSE_MS
        } else {
            PAUSE_MS
        }
    }

    /// Addresses at which entries answer, of a large fleet those that were heard of last.
    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow().most_recent(MOST_TOLD);
        peers.iter().map(|peer| peer.address).collect()
    }

    /// Takes changed seeds.
    pub(crate) fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.peers.borrow_mut().set_seeds(seeds);
    }
}

/// Asks entries for ever.
pub(crate) async fn follow(fleet: Rc<Fleet>) {
    let client = peer_call::client();
    let mut backends_as_of = 0;
    loop {
        let peer = fleet.peers.borrow().random_peer(&mut rand::rng());
        if let Some(peer) = peer {
            let version = fleet.catalog.borrow().version();
            let question =
                ExchangeRequest { version, backends_as_of, ..ExchangeRequest::of_nothing() };
            let sent_at = boot_now();
            match exchange::call(&client, peer, &question).await {
                Ok(answer) => {
                    fleet.peers.borrow_mut().note(peer, sent_at);
                    for (address, silent_ms) in &answer.members {
                        fleet.peers.borrow_mut().note(*address, sent_at.before(*silent_ms));
                    }
                    if let Some(backends) = answer.backends
                        && answer.backends_as_of > backends_as_of
                    {
                        backends_as_of = answer.backends_as_of;
                        fleet.take_backends(backends);
                    }
                    if let Some(catalog) = answer.catalog {
                        let version = catalog.version;
                        let adoption = fleet.catalog.borrow_mut().offer(catalog);
                        if adoption == Adoption::Adopted {
                            let line = DecisionLog::fields("configuration");
                            let line = line.with("version", version).with("peer", peer);
                            fleet.log.note(line.with("outcome", "adopted"));
                        }
                    }
                }
                Err(error) => {
                    let line = DecisionLog::fields("member").with("peer", peer);
                    fleet.log.note(line.with("error", error).with("outcome", "silent"));
                }
            }
        }
        fleet.peers.borrow_mut().expire(boot_now());
        tokio::time::sleep(Duration::from_millis(fleet.pause_ms())).await;
    }
}
