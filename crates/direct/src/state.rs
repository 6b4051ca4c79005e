//! The state of an entry, shared by all tasks of its single thread.

use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::drain::Drain;
use crate::forward::{Pool, SuspectedCrashes};
use crate::gossip::GossipReport;
use crate::limit_share::SilentEntries;
use crate::outbox::Outbox;
use crate::peer_call;
use crate::settings::ProcessSettings;
use crate::store_watch::CATALOG_WAIT_MS;
use crate::wire_names::WireNames;
use hickorycross_core::direct::{
    Admission, AdmissionSettings, BackendLimits, BackendServer, BackendTable, BootMs, BufferBudget,
    CatalogState, ColdAccess, ColdFigures, ColdShares, CrashTable, EntryCount, GroupAssignment,
    GroupAvailability, InitialTimeouts, LimitGrants, LimitPermits, ListingHistory, OutageDurations,
    PartCrashTable, PartReport, PassTracker, PeerTable, PoolChoice, QueueLimit, RetryBudget,
    RetryBudgetSettings, RetryShare, StoreAvailability, StoreWatchers, UnusedShares, WorkEstimator,
    max_catalog_age_for_keys_ms,
};
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, watch};

/// Settings of the bound on open requests to a group.
///
/// `decrease_ratio` and `increase_requests` are the parameters of the additive increase and
/// multiplicative decrease; `decrease_interval_ms` is about two passes of a busy group.
const ADMISSION: AdmissionSettings = AdmissionSettings {
    min_requests: 4.0,
    max_share: MAX_ENTRY_SHARE,
    decrease_ratio: 0.08,
    increase_requests: 0.05,
    decrease_interval_ms: 250,
};

/// Upper limit of one entry's bound on open requests to a group, as a multiple of its even share of
/// the group's slots.
///
/// Callers are spread unevenly over entries, so one entry may need more than its even share. If
/// all of them together send too much, the backend servers reject the excess. An entry that needs
/// still more gets it while the others leave theirs unused.
pub(crate) const MAX_ENTRY_SHARE: f64 = 1.6;

/// Time to the first event above which one that did not come counts as a long wait.
const SLOW_FIRST_EVENT_MS: u64 = 500;

/// Number of requests that wait for admission and were not sent yet.
#[derive(Debug, Default)]
pub(crate) struct UnsentCount(Rc<Cell<usize>>);

/// Counts one waiting request in an [`UnsentCount`] until dropped.
pub(crate) struct UnsentGuard(Option<Rc<Cell<usize>>>);

impl UnsentCount {
    /// Counts a request until the returned guard is dropped, if it was not sent yet.
    pub(crate) fn count(&self, is_unsent: bool) -> UnsentGuard {
        if is_unsent {
            self.0.set(self.0.get() + 1);
        }
        UnsentGuard(is_unsent.then(|| Rc::clone(&self.0)))
    }

    /// Returns whether no such request waits.
    pub(crate) fn is_zero(&self) -> bool {
        self.0.get() == 0
    }
}

impl Drop for UnsentGuard {
    fn drop(&mut self) {
        if let Some(count) = &self.0 {
            count.set(count.get().saturating_sub(1));
        }
    }
}

/// The state of one entry.
pub(crate) struct EntryState {
    pub(crate) settings: RefCell<ProcessSettings>,
    pub(crate) names: WireNames,
    pub(crate) log: DecisionLog,
    pub(crate) catalog: RefCell<CatalogState>,
    pub(crate) backends: RefCell<BackendTable>,
    /// The last changes of the list of backend servers, with the revision as of which it is complete.
    pub(crate) listing: RefCell<ListingHistory>,
    /// Since when the store has been available, as this entry and its peers know it.
    pub(crate) store_availability: Cell<StoreAvailability>,
    /// The peer that told since when; `None` if this entry observed it.
    pub(crate) availability_told_by: Cell<Option<SocketAddr>>,
    /// Notified when a backend server is kept without a registration, or for a shorter time.
    pub(crate) lapses_changed: Notify,
    /// Which entries watch the store.
    pub(crate) store_watchers: RefCell<StoreWatchers>,
    /// Whether this entry watches the store itself.
    pub(crate) watches_store: watch::Sender<bool>,
    /// Whether the last call of the store for the configuration was answered.
    pub(crate) reads_store: Cell<bool>,
    /// Notified when a call of the store for the configuration got no answer.
    pub(crate) store_unanswered: Notify,
    /// Notified when something was learned from the store or from who watches it.
    pub(crate) store_news: Notify,
    /// Registrations of backend servers that cannot be decoded, with the fault that was logged, by
    /// id.
    pub(crate) unreadable_backends: RefCell<IndexMap<String, String>>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    /// This entry's share of the fleet's retry budget.
    pub(crate) retry_share: RefCell<RetryShare>,
    /// The share that the last log line about the retry budget told.
    pub(crate) logged_retry_budget: Cell<Option<RetryBudgetSettings>>,
    pub(crate) admission: RefCell<Admission>,
    /// By how much this entry exceeds its even share of the slots of each pool.
    pub(crate) unused_shares: RefCell<UnusedShares>,
    /// The streams that wait at the backend servers of each pool.
    pub(crate) queue_limit: RefCell<QueueLimit>,
    pub(crate) peers: RefCell<PeerTable>,
    /// The largest number of entries that this one has lately heard of.
    pub(crate) entry_count: RefCell<EntryCount>,
    /// Whether a peer has answered, or the time for first answers after the start has passed.
    pub(crate) has_asked_peers: Cell<bool>,
    /// Requests that backend servers had when they ended.
    pub(crate) crashes: RefCell<CrashTable>,
    /// Parts of prompts under which backend servers have ended.
    pub(crate) part_crashes: RefCell<PartCrashTable>,
    /// Backend servers that may have ended while they had requests, until that is checked.
    pub(crate) suspected_crashes: SuspectedCrashes,
    /// Request rate limits that backend servers announced.
    pub(crate) limits: RefCell<BackendLimits>,
    /// Permits that this entry grants to all entries for limited backend servers.
    pub(crate) limit_grants: RefCell<LimitGrants>,
    /// Permits that this entry was granted.
    pub(crate) limit_permits: RefCell<LimitPermits>,
    /// Entries that did not answer a request for permits.
    pub(crate) silent_entries: SilentEntries,
    /// Figures for cold servers of the configuration in force, by service.
    pub(crate) cold_figures: RefCell<IndexMap<String, ColdFigures>>,
    /// Permits that this entry grants to all entries for cold servers.
    pub(crate) cold_grants: RefCell<LimitGrants>,
    /// Requests that this entry sent to cold servers within its own share.
    pub(crate) cold_shares: RefCell<ColdShares>,
    /// Whether a peer has answered since entries that started at the same time must know each other.
    pub(crate) knows_entries: Cell<bool>,
    /// When the process started.
    pub(crate) started_at: BootMs,
    /// Permits for cold servers that this entry was granted.
    pub(crate) cold_permits: RefCell<LimitPermits>,
    /// Entries that did not answer a request for permits for a cold server. Those of an earlier
    /// release do not, although they grant permits for overloaded servers.
    pub(crate) cold_silent_entries: SilentEntries,
    /// When this entry last knew no other live entry, which is at its start at the latest.
    pub(crate) alone_at: Cell<BootMs>,
    /// Requests that wait for a permit for a cold server, by service.
    pub(crate) cold_waiters: RefCell<IndexMap<String, usize>>,
    /// HTTP client for requests to other entries.
    pub(crate) client: reqwest::Client,
    /// Reports that wait to be sent to other entries.
    pub(crate) outbox: Outbox,
    pub(crate) random: RefCell<ChaCha8Rng>,
    /// Times to the first event in each pool.
    pub(crate) pool_choice: RefCell<PoolChoice>,
    /// Availability of the group of each pool.
    pub(crate) group_availability: RefCell<IndexMap<String, GroupAvailability>>,
    /// Estimated timeouts with which callers first send their requests, by route.
    pub(crate) initial_timeouts: RefCell<IndexMap<String, InitialTimeouts>>,
    /// How far callers' estimates of outputs are off, by route.
    pub(crate) work_estimator: RefCell<WorkEstimator>,
    /// Passes of the group of each pool.
    pub(crate) passes: RefCell<IndexMap<String, PassTracker>>,
    /// Requests that wait for admission and were not sent yet.
    pub(crate) unsent: UnsentCount,
    /// Notified when a waiting request should check again whether it may be sent, because a request
    /// ended, a group is available again or permits were granted.
    pub(crate) capacity_changed: Notify,
    /// Notified when something else is believed of a part of prompts.
    pub(crate) parts_changed: Notify,
    /// Notified when a pass of a group ends.
    pub(crate) pass_ended: Notify,
    /// The planned stop of this entry.
    pub(crate) drain: Drain,
    pub(crate) open_requests: Cell<usize>,
    pub(crate) open_connections: Cell<usize>,
    /// Becomes true when callers' connections must be closed after their current request.
    pub(crate) closing: watch::Sender<bool>,
    /// Bytes that are buffered for callers and backend servers.
    pub(crate) buffers: BufferBudget,
    /// Idle connections to backend servers.
    pub(crate) pool: Pool,
}

impl EntryState {
    pub(crate) fn new(settings: ProcessSettings, names: WireNames, log: DecisionLog) -> Rc<Self> {
        let backends = BackendTable::new(&settings.failure_domain);
        let peers = PeerTable::new(&settings.seeds, settings.listen.control);
        let store_watchers = StoreWatchers::new(settings.listen.control, &settings.failure_domain);
        let buffers = BufferBudget::new(settings.bounds.buffer_bytes);
        let started_at = boot_now();
        let retry_share = RetryShare::new(started_at);
        let retry_budget = retry_share.settings(settings.bounds.retry_budget(), started_at);
        let mut random = ChaCha8Rng::from_rng(&mut rand::rng());
        let retry_budget = RetryBudget::new(retry_budget).with_rounding(random.random::<f64>());
        Rc::new(Self {
            settings: RefCell::new(settings),
            names,
            log,
            catalog: RefCell::default(),
            backends: RefCell::new(backends),
            listing: RefCell::default(),
            store_availability: Cell::default(),
            availability_told_by: Cell::new(None),
            lapses_changed: Notify::new(),
            store_watchers: RefCell::new(store_watchers),
            watches_store: watch::Sender::new(false),
            reads_store: Cell::new(false),
            store_unanswered: Notify::new(),
            store_news: Notify::new(),
            unreadable_backends: RefCell::default(),
            retry_budget: RefCell::new(retry_budget),
            retry_share: RefCell::new(retry_share),
            logged_retry_budget: Cell::new(None),
            admission: RefCell::new(Admission::new(ADMISSION)),
            unused_shares: RefCell::default(),
            queue_limit: RefCell::default(),
            peers: RefCell::new(peers),
            entry_count: RefCell::default(),
            has_asked_peers: Cell::new(false),
            crashes: RefCell::default(),
            part_crashes: RefCell::default(),
            suspected_crashes: SuspectedCrashes::default(),
            limits: RefCell::default(),
            limit_grants: RefCell::default(),
            limit_permits: RefCell::default(),
            silent_entries: SilentEntries::default(),
            cold_figures: RefCell::default(),
            cold_grants: RefCell::default(),
            cold_shares: RefCell::default(),
            knows_entries: Cell::new(false),
            started_at,
            cold_permits: RefCell::new(LimitPermits::for_cold_servers()),
            cold_silent_entries: SilentEntries::default(),
            alone_at: Cell::new(started_at),
            cold_waiters: RefCell::default(),
            client: peer_call::client(),
            outbox: Outbox::default(),
            random: RefCell::new(random),
            pool_choice: RefCell::default(),
            group_availability: RefCell::default(),
            initial_timeouts: RefCell::default(),
            work_estimator: RefCell::default(),
            passes: RefCell::default(),
            unsent: UnsentCount::default(),
            capacity_changed: Notify::new(),
            parts_changed: Notify::new(),
            pass_ended: Notify::new(),
            drain: Drain::default(),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            closing: watch::Sender::new(false),
            buffers,
            pool: Pool::default(),
        })
    }

    /// Returns whether the current catalog is recent enough to check API keys against it.
    pub(crate) fn keys_are_fresh(&self, now: BootMs) -> bool {
        let revoke_ms = self.settings.borrow().bounds.revoke_ms;
        self.catalog.borrow().is_fresh(now, max_catalog_age_for_keys_ms(revoke_ms, CATALOG_WAIT_MS))
    }

    /// Returns whether the catalog and backend servers are known, API keys can be checked, and a
    /// peer was asked for its reports.
    pub(crate) fn is_initialized(&self) -> bool {
        let now = boot_now();
        self.has_asked_peers.get()
            && self.is_ready(now)
            && self.backends.borrow().servers().next().is_some()
    }

    /// Returns whether the drained failure domains were read from the store or a peer.
    ///
    /// Before that, any backend server may be in a drained domain.
    pub(crate) fn knows_drains(&self) -> bool {
        self.backends.borrow().drains().as_of().is_some()
    }

    /// Returns whether this entry should get callers' connections: it is not draining, has a
    /// catalog, knows the drained failure domains, and can check API keys if the catalog has any.
    pub(crate) fn is_ready(&self, now: BootMs) -> bool {
        let catalog = self.catalog.borrow();
        let needs_keys = catalog.catalog().is_some_and(|catalog| !catalog.teams.is_empty());
        drop(catalog);
        !self.drain.is_active()
            && self.catalog.borrow().catalog().is_some()
            && self.knows_drains()
            && (!needs_keys || self.keys_are_fresh(now))
    }

    /// Returns the name of the pool to which a backend server belongs.
    pub(crate) fn pool_of(&self, server: &BackendServer) -> Arc<str> {
        let pool = self.backends.borrow().pool_of(server);
        pool.unwrap_or_else(|| Arc::from(server.service.as_str()))
    }

    /// Returns whether the group of a pool is available, as far as this entry knows.
    pub(crate) fn is_pool_available(&self, pool: &str, now: BootMs) -> bool {
        let open = self.backends.borrow().outstanding(pool);
        // When the group is expected back does not matter here.
        let outage = OutageDurations { stall_ms: 0, forming_ms: 0 };
        let group_availability = self.group_availability.borrow();
        let availability = group_availability.get(pool);
        availability.is_none_or(|it| it.expected_back_at(now, open, outage).is_none())
    }

    /// Lets pools that have appeared begin with what is known of their service.
    pub(crate) fn prepare_added_pools(&self) {
        let added = self.backends.borrow_mut().take_added_pools();
        for (service, pool, pools) in added {
            self.queue_limit.borrow_mut().inherit(&service, &pool, pools);
            let line = DecisionLog::fields("pool").with("service", service).with("pool", pool);
            self.log.note(line.with("pools", pools).with("outcome", "added"));
        }
    }

    /// Forgets the state of pools that have no servers any more.
    pub(crate) fn forget_pools(&self) {
        let backends = self.backends.borrow();
        let is_kept = |pool: &str| backends.is_pool_in_use(pool);
        self.group_availability.borrow_mut().retain(|pool, _| is_kept(pool));
        self.passes.borrow_mut().retain(|pool, _| is_kept(pool));
        self.admission.borrow_mut().retain(is_kept);
        self.unused_shares.borrow_mut().retain(is_kept);
        self.queue_limit.borrow_mut().retain(is_kept);
        self.pool_choice.borrow_mut().retain(is_kept);
    }

    /// Records that a request of `bytes` is about to be sent to a pool.
    pub(crate) fn note_sent_to_group(&self, pool: &str, bytes: usize) {
        let open = self.backends.borrow().outstanding(pool);
        let mut group_availability = self.group_availability.borrow_mut();
        group_availability.entry(pool.to_owned()).or_default().note_sent(boot_now(), open);
        self.passes.borrow_mut().entry(pool.to_owned()).or_default().note_sent(bytes);
    }

    /// Records that a stream got its first event `span_ms` after it was sent.
    pub(crate) fn note_begun(&self, pool: &Arc<str>, span_ms: u64, now: BootMs) {
        self.pool_choice.borrow_mut().note_first_event(pool, span_ms, now);
        let entries = self.live_entry_count() as f64;
        let mut unused_shares = self.unused_shares.borrow_mut();
        let growth = unused_shares.note_first_event(pool, span_ms, entries, now);
        let mut admission = self.admission.borrow_mut();
        admission.note_first_event(pool, span_ms, now);
        admission.note_share_grown(pool, growth);
        if growth > 1.0 {
            let factor = unused_shares.factor(pool, entries, now);
            let line = DecisionLog::fields("share").with("pool", pool);
            let line = line.with("factor", format_args!("{factor:.2}")).with("entries", entries);
            self.log.note(line.with("span_ms", span_ms).with("outcome", "grown"));
        }
    }

    /// Records that a stream that was sent `span_ms` ago ended without an event.
    pub(crate) fn note_not_begun(&self, pool: &Arc<str>, span_ms: u64, now: BootMs) {
        // A short time says nothing of the queue: the server may have rejected the stream.
        if span_ms > SLOW_FIRST_EVENT_MS {
            self.pool_choice.borrow_mut().note_silent(pool, span_ms, now);
        }
        self.admission.borrow_mut().note_not_begun(pool, span_ms, now);
        self.unused_shares.borrow_mut().note_not_begun(pool, span_ms, now);
    }

    /// Returns a random peer, or `None` if none is known.
    pub(crate) fn random_peer(&self) -> Option<SocketAddr> {
        self.peers.borrow().random_peer(&mut *self.random.borrow_mut())
    }

    /// Returns all reports of this entry if the peer's `checksum` differs from its own, or none if
    /// the peer sent no checksum.
    pub(crate) fn reports_for(&self, checksum: Option<u64>, now: BootMs) -> Vec<GossipReport> {
        if checksum.is_none_or(|checksum| checksum == self.reports_checksum()) {
            return Vec::new();
        }
        let requests = self.crashes.borrow().reports(now).into_iter().map(GossipReport::Request);
        let limits = self.limits.borrow().reports(now).into_iter().map(GossipReport::Limit);
        requests.chain(limits).collect()
    }

    /// Returns all reports of this entry about parts of prompts if the peer's `checksum` differs
    /// from its own, or none if the peer sent no checksum.
    pub(crate) fn part_reports_for(&self, checksum: Option<u64>, now: BootMs) -> Vec<PartReport> {
        let crashes = self.part_crashes.borrow();
        if checksum.is_none_or(|checksum| checksum == crashes.checksum()) {
            return Vec::new();
        }
        crashes.reports(now)
    }

    /// Returns the groups of backend servers that this entry knows, where a peer's `checksums` differ
    /// from its own.
    pub(crate) fn groups_for(&self, checksums: &[u32], now: BootMs) -> Vec<GroupAssignment> {
        let draw = self.random.borrow_mut().random::<f64>();
        self.backends.borrow().groups_for(checksums, now, draw)
    }

    /// Returns a checksum over the reports of this entry, which is equal at entries that have the
    /// same reports.
    pub(crate) fn reports_checksum(&self) -> u64 {
        self.crashes.borrow().checksum() ^ self.limits.borrow().checksum()
    }

    /// Returns by which rule this entry sends requests to the cold servers of a service.
    pub(crate) fn cold_access(&self, service: &str) -> ColdAccess {
        let entries = self.knows_entries.get().then(|| self.entry_count.borrow().entries());
        let age_ms = boot_now().since(self.started_at);
        let backends = self.backends.borrow();
        let warm_up = backends.warm_up(service);
        warm_up.map_or(ColdAccess::Wait, |warm_up| ColdAccess::of(warm_up, entries, age_ms))
    }

    /// Returns the number of entries among which limits of the fleet are divided, or `None` while no
    /// peer has told this entry of the others.
    pub(crate) fn counted_entries(&self) -> Option<usize> {
        let has_others = !self.peers.borrow().candidates().is_empty();
        let is_counted = self.knows_entries.get() || !has_others;
        is_counted.then(|| self.entry_count.borrow().entries())
    }

    /// Returns the number of entries that are known to be alive, including this one.
    pub(crate) fn live_entry_count(&self) -> usize {
        self.peers.borrow().live_count(boot_now()) + 1
    }
}
