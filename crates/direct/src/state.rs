//! What an entry believes and counts, shared by all tasks of its one thread.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::forward::{Pool, Suspicions};
use crate::gossip::{GossipReport, Outbox};
use crate::limit_share::SilentEntries;
use crate::peer_call;
use crate::settings::ProcessSettings;
use crate::store_watch::CATALOG_WAIT_MS;
use crate::wire_names::WireNames;
use hickorycross_core::direct::{
    Admission, AdmissionSettings, BackendLimits, BackendTable, BootMs, CatalogState, CrashTable,
    GroupAvailability, InitialTimeouts, LimitGrants, LimitPermits, PassTracker, PeerTable,
    RetryBudget, RetryBudgetSettings, max_catalog_age_for_keys_ms,
};
use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, watch};

/// Part of the fleet's budget of second sends that is used at all. The rest covers windows that
/// the entries and an observer cut differently.
const BUDGET_PART: f64 = 0.7;

/// Entries among which the slack is split when fewer are known.
const LEAST_ENTRIES: usize = 4;

/// Bounds on open requests to a group.
///
/// `decrease_ratio` and `increase_requests` are those of the usual additive increase, multiplicative
/// decrease; `decrease_interval_ms` is about two passes of a busy group.
const ADMISSION: AdmissionSettings = AdmissionSettings {
    min_requests: 4.0,
    max_share: UNEVEN_ENTRIES,
    decrease_ratio: 0.08,
    increase_requests: 0.05,
    decrease_interval_ms: 250,
};

/// Part of all slots of a group that one entry's bound may reach, against an even split.
///
/// Callers are spread unevenly over entries; backend servers reject what is too much together.
pub(crate) const UNEVEN_ENTRIES: f64 = 1.6;

/// Counts requests that wait and were not sent yet.
#[derive(Debug, Default)]
pub(crate) struct Unsent(Rc<Cell<usize>>);

/// Counts one of them for as long as it lives.
pub(crate) struct UnsentOne(Option<Rc<Cell<usize>>>);

impl Unsent {
    /// Counts a request, if it was not sent yet.
    pub(crate) fn count(&self, is_unsent: bool) -> UnsentOne {
        if is_unsent {
            self.0.set(self.0.get() + 1);
        }
        UnsentOne(is_unsent.then(|| Rc::clone(&self.0)))
    }

    /// Whether there is none.
    pub(crate) fn is_none(&self) -> bool {
        self.0.get() == 0
    }
}

impl Drop for UnsentOne {
    fn drop(&mut self) {
        if let Some(count) = &self.0 {
            count.set(count.get().saturating_sub(1));
        }
    }
}

/// State of one entry.
pub(crate) struct EntryState {
    pub(crate) settings: RefCell<ProcessSettings>,
    pub(crate) names: WireNames,
    pub(crate) log: DecisionLog,
    pub(crate) catalog: RefCell<CatalogState>,
    pub(crate) backends: RefCell<BackendTable>,
    /// The store's revision of the list of backend servers.
    pub(crate) backends_as_of: Cell<u64>,
    /// Entries of backend servers that could not be read, and the fault that was said.
    pub(crate) unreadable_backends: RefCell<IndexMap<String, String>>,
    pub(crate) allowance: RefCell<RetryBudget>,
    pub(crate) admission: RefCell<Admission>,
    pub(crate) peers: RefCell<PeerTable>,
    /// Whether a peer has answered, or none did that was known at the start.
    pub(crate) has_asked_peers: Cell<bool>,
    /// Requests under which backend servers have ended.
    pub(crate) crashes: RefCell<CrashTable>,
    /// Backend servers that may just have ended under requests.
    pub(crate) suspicions: Suspicions,
    /// What backend servers in need take.
    pub(crate) limits: RefCell<BackendLimits>,
    /// What this entry grants of that to all.
    pub(crate) limit_grants: RefCell<LimitGrants>,
    /// What this entry was granted.
    pub(crate) limit_permits: RefCell<LimitPermits>,
    /// Entries that did not answer a question for permits.
    pub(crate) silent_entries: SilentEntries,
    /// For questions to other entries.
    pub(crate) client: reqwest::Client,
    /// What other entries are to be told.
    pub(crate) outbox: Outbox,
    pub(crate) random: RefCell<ChaCha8Rng>,
    /// Whether the groups of a service make passes.
    pub(crate) outlooks: RefCell<IndexMap<String, GroupAvailability>>,
    /// How much time callers of a route give their requests.
    pub(crate) first_deadlines: RefCell<IndexMap<String, InitialTimeouts>>,
    /// How the streams of a service go on.
    pub(crate) passes: RefCell<IndexMap<String, PassTracker>>,
    /// Requests that wait and were not sent yet.
    pub(crate) unsent: Unsent,
    /// Told whenever a request to a backend server ends.
    pub(crate) room: Notify,
    /// Told whenever a pass of a group ends.
    pub(crate) pass_ended: Notify,
    pub(crate) is_draining: Cell<bool>,
    pub(crate) open_requests: Cell<usize>,
    pub(crate) open_connections: Cell<usize>,
    /// Turns true when callers' connections are to close between requests.
    pub(crate) closing: watch::Sender<bool>,
    /// Connections to backend servers.
    pub(crate) pool: Pool,
}

impl EntryState {
    pub(crate) fn new(settings: ProcessSettings, names: WireNames, log: DecisionLog) -> Rc<Self> {
        let backends = BackendTable::new(&settings.failure_domain);
        let peers = PeerTable::new(&settings.seeds, settings.listen.control);
        let allowance = RetryBudget::new(allowance_of(&settings, 0));
        Rc::new(Self {
            settings: RefCell::new(settings),
            names,
            log,
            catalog: RefCell::default(),
            backends: RefCell::new(backends),
            backends_as_of: Cell::new(0),
            unreadable_backends: RefCell::default(),
            allowance: RefCell::new(allowance),
            admission: RefCell::new(Admission::new(ADMISSION)),
            peers: RefCell::new(peers),
            has_asked_peers: Cell::new(false),
            crashes: RefCell::default(),
            suspicions: Suspicions::default(),
            limits: RefCell::default(),
            limit_grants: RefCell::default(),
            limit_permits: RefCell::default(),
            silent_entries: SilentEntries::default(),
            client: peer_call::client(),
            outbox: Outbox::default(),
            random: RefCell::new(ChaCha8Rng::from_rng(&mut rand::rng())),
            outlooks: RefCell::default(),
            first_deadlines: RefCell::default(),
            passes: RefCell::default(),
            unsent: Unsent::default(),
            room: Notify::new(),
            pass_ended: Notify::new(),
            is_draining: Cell::new(false),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            closing: watch::Sender::new(false),
            pool: Pool::default(),
        })
    }

    /// Whether keys may be judged by the catalog in force.
    pub(crate) fn keys_are_fresh(&self, now: BootMs) -> bool {
        let revoke_ms = self.settings.borrow().bounds.revoke_ms;
        self.catalog.borrow().is_fresh(now, max_catalog_age_for_keys_ms(revoke_ms, CATALOG_WAIT_MS))
    }

    /// Whether a configuration and backend servers are known, callers' keys can be judged, and peers were
    /// asked what they have seen.
    pub(crate) fn is_informed(&self) -> bool {
        let now = boot_now();
        self.has_asked_peers.get()
            && self.is_ready(now)
            && self.backends.borrow().servers().next().is_some()
    }

    /// Whether this entry should get callers' connections.
    pub(crate) fn is_ready(&self, now: BootMs) -> bool {
        let catalog = self.catalog.borrow();
        let needs_keys = catalog.catalog().is_some_and(|catalog| !catalog.teams.is_empty());
        drop(catalog);
        !self.is_draining.get()
            && self.catalog.borrow().catalog().is_some()
            && (!needs_keys || self.keys_are_fresh(now))
    }

    /// Takes over the number of known entries for the split of the slack.
    pub(crate) fn split_slack(&self) {
        let peers = self.peers.borrow().live_count(boot_now());
        self.allowance.borrow_mut().set(allowance_of(&self.settings.borrow(), peers));
    }

    /// Notes that a request of `bytes` is about to be sent to a service.
    pub(crate) fn note_sent_to_group(&self, service: &str, bytes: usize) {
        let open = self.backends.borrow().outstanding(service);
        let mut outlooks = self.outlooks.borrow_mut();
        outlooks.entry(service.to_owned()).or_default().note_sent(boot_now(), open);
        self.passes.borrow_mut().entry(service.to_owned()).or_default().note_sent(bytes);
    }

    /// The peer to ask next.
    pub(crate) fn next_to_ask(&self) -> Option<SocketAddr> {
        self.peers.borrow().random_peer(&mut *self.random.borrow_mut())
    }

    /// All words of this entry, for a peer whose words have another sum.
    pub(crate) fn words_for(&self, sum: Option<u64>, now: BootMs) -> Vec<GossipReport> {
        if sum.is_none_or(|sum| sum == self.words_sum()) {
            return Vec::new();
        }
        let requests = self.crashes.borrow().reports(now).into_iter().map(GossipReport::Request);
        let limits = self.limits.borrow().reports(now).into_iter().map(GossipReport::Limit);
        requests.chain(limits).collect()
    }

    /// A sum over the words of this entry, the same at entries that know the same.
    pub(crate) fn words_sum(&self) -> u64 {
        self.crashes.borrow().checksum() ^ self.limits.borrow().checksum()
    }

    /// Other entries that live, as far as is known, and this one.
    pub(crate) fn entries(&self) -> usize {
        self.peers.borrow().live_count(boot_now()) + 1
    }
}

fn allowance_of(settings: &ProcessSettings, peers: usize) -> RetryBudgetSettings {
    let entries = (peers + 1).max(LEAST_ENTRIES) as f64;
    RetryBudgetSettings {
        window_ms: settings.bounds.retry_window_ms,
        ratio: settings.bounds.retry_ratio * BUDGET_PART,
        slack: settings.bounds.retry_slack * BUDGET_PART / entries,
    }
}
