//! What an agent learns from entries: the configuration, the backend servers of its service, and
//! the addresses of other entries.

use super::rank::RankClient;
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::exchange;
use crate::exchange_messages::{ExchangeRequest, RankGroup};
use crate::peer_call;
use hickorycross_core::direct::{
    Adoption, BackendServer, CatalogState, GroupDimensions, ListingChange, ListingUpdate,
    MAX_GROUP_NAME_BYTES, PeerTable,
};
use hickorycross_core::map_change::Roster;
use indexmap::IndexMap;
use rand::seq::IteratorRandom;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Interval between requests while the agent knows no configuration or no backend server. After a
/// power loss all entries start at the same moment, and some seeds may be gone.
const FIRST_PAUSE_MS: u64 = 100;

/// Interval while the agent leads and does not know an instance for each rank. It polls nobody on
/// the missing instances, so the agents there would begin to lead as well.
const INCOMPLETE_PAUSE_MS: u64 = 200;

/// Interval otherwise. New entries and changed group dimensions become known with this delay.
const PAUSE_MS: u64 = 2_000;

/// Number of most recently seen entries among which those are drawn that an agent reports to.
const MAX_RECENT_ENTRIES: usize = 64;

/// What an agent knows of the fleet.
pub(crate) struct Fleet {
    log: DecisionLog,
    service: String,
    catalog: RefCell<CatalogState>,
    roster: RefCell<Roster>,
    /// The list of backend servers, by name, and the revision of the store as of which it is complete.
    listed: RefCell<IndexMap<String, BackendServer>>,
    listed_as_of: Cell<u64>,
    peers: RefCell<PeerTable>,
    /// Number of instances that the agent must know while it leads: one per rank.
    required_instances: Cell<usize>,
}

impl Fleet {
    pub(crate) fn new(log: DecisionLog, service: &str, seeds: &[SocketAddr]) -> Rc<Self> {
        Rc::new(Self {
            log,
            service: service.to_owned(),
            catalog: RefCell::default(),
            roster: RefCell::default(),
            listed: RefCell::default(),
            listed_as_of: Cell::new(0),
            peers: RefCell::new(PeerTable::new(seeds, None)),
            required_instances: Cell::new(0),
        })
    }

    /// Returns the dimensions of the groups of the agent's service, once the configuration is
    /// known.
    pub(crate) fn dimensions(&self) -> Option<GroupDimensions> {
        self.catalog.borrow().catalog()?.services.get(&self.service)?.group
    }

    /// Returns the instances with backend servers of the service, also those listed until recently,
    /// each with its failure domain.
    pub(crate) fn machines(&self) -> Vec<(String, IpAddr)> {
        let roster = self.roster.borrow();
        roster.machines().map(|(domain, machine)| (domain.to_owned(), machine)).collect()
    }

    /// Returns the addresses of the service's backend servers, also of those listed until recently.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.roster.borrow().addresses().collect()
    }

    /// Applies what an entry knows of the list of backend servers.
    fn update_listed(
        &self,
        whole: Option<Vec<BackendServer>>,
        update: Option<ListingUpdate>,
        as_of: u64,
    ) {
        if as_of <= self.listed_as_of.get() || (whole.is_none() && update.is_none()) {
            return;
        }
        let mut listed = self.listed.borrow_mut();
        if let Some(whole) = whole {
            *listed = whole.into_iter().map(|server| (server.id.clone(), server)).collect();
        }
        for change in update.into_iter().flat_map(|update| update.changes) {
            match change {
                ListingChange::Listed(server) => {
                    listed.insert(server.id.clone(), server);
                }
                ListingChange::Gone(id) => {
                    listed.swap_remove(&id);
                }
                // The rank runs on while its registration cannot be decoded.
                ListingChange::Unreadable { .. } => {}
            }
        }
        self.listed_as_of.set(as_of);
        let of_service = listed.values().filter(|server| server.service == self.service);
        let of_service: Vec<BackendServer> = of_service.cloned().collect();
        self.roster.borrow_mut().update(boot_now(), &of_service);
    }

    /// Sets how many instances the agent must know; 0 if it does not lead.
    pub(crate) fn require_instances(&self, machines: usize) {
        self.required_instances.set(machines);
    }

    /// Returns the time until the next request to an entry.
    fn pause_ms(&self) -> u64 {
        let known = self.roster.borrow().listed_count();
        if self.dimensions().is_none() || known == 0 {
            FIRST_PAUSE_MS
        } else if known < self.required_instances.get() {
            INCOMPLETE_PAUSE_MS
        } else {
            PAUSE_MS
        }
    }

    /// Returns `count` random ones of the entries that were seen most recently.
    pub(crate) fn sample_entries(&self, count: usize) -> Vec<SocketAddr> {
        let recent = self.peers.borrow().most_recent(MAX_RECENT_ENTRIES);
        let recent = recent.into_iter().map(|peer| peer.address);
        recent.sample(&mut rand::rng(), count)
    }

    /// Replaces the seed addresses.
    pub(crate) fn set_seeds(&self, seeds: &[SocketAddr]) {
        self.peers.borrow_mut().set_seeds(seeds);
    }
}

/// Returns the group of the rank at `backend`, unless the rank does not answer or its group's name is
/// too long to be sent.
///
/// It is read each time, since a rank that restarts may join another group.
async fn rank_group(rank_client: &dyn RankClient, backend: SocketAddr) -> Option<RankGroup> {
    let group = rank_client.report().await.ok()?.membership?.group;
    let is_short = group.len() <= MAX_GROUP_NAME_BYTES;
    is_short.then_some(RankGroup { address: backend, group })
}

/// Requests news from entries continuously, and tells them the group of the rank at `backend`.
pub(crate) async fn run(fleet: Rc<Fleet>, rank_client: Rc<dyn RankClient>, backend: SocketAddr) {
    let client = peer_call::client();
    loop {
        let peer = fleet.peers.borrow().random_peer(&mut rand::rng());
        if let Some(peer) = peer {
            let version = fleet.catalog.borrow().version();
            let rank_group = rank_group(&*rank_client, backend).await;
            let backends_as_of = fleet.listed_as_of.get();
            let request =
                ExchangeRequest { version, backends_as_of, rank_group, ..ExchangeRequest::empty() };
            let sent_at = boot_now();
            match exchange::send(&client, peer, &request).await {
                Ok(response) => {
                    fleet.peers.borrow_mut().note(peer, sent_at);
                    for (address, silent_ms) in &response.members {
                        fleet.peers.borrow_mut().note(*address, sent_at.before(*silent_ms));
                    }
                    fleet.update_listed(
                        response.backends,
                        response.listing_update,
                        response.backends_as_of,
                    );
                    if let Some(catalog) = response.catalog {
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
