//! Which entries watch the store, and whom the others hear its changes from.
//!
//! A few entries of each failure domain watch the store; all others ask one of these. All entries
//! rank the members of a failure domain by the same hash, so those that know the first few by rank
//! agree on the watchers without an election. An entry whose watchers are silent or stale passes them
//! over for some time, and watches the store itself when no better one is left.

use super::BootMs;
use crate::rendezvous;
use indexmap::IndexMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of watchers of a small failure domain. With two, one may fail without any other entry
/// reading the store.
const MIN_WATCHERS: usize = 2;

/// Number of entries of a failure domain for which there is one more watcher. Each of them asks a
/// watcher about once a second.
const ENTRIES_PER_WATCHER: usize = 64;

/// Number of candidates for each watcher. Those beyond the first take over for watchers that fail.
const CANDIDATES_PER_WATCHER: usize = 2;

/// Maximum number of entries that are reported to an entry: some more than the candidates of a
/// failure domain with 200 entries.
const MAX_REPORTED: usize = 16;

/// Time for which a watcher that failed is passed over.
const FAILED_MS: u64 = 5_000;

/// Longest time for which an entry that cannot read the store hears of its changes from others
/// before it tries again.
const MAX_UNREACHABLE_MS: u64 = 20_000;

/// Time without news of an entry after which it is forgotten.
const FORGET_AFTER_MS: u64 = 60_000;

/// Maximum number of known entries, which is more than a large fleet has (400).
const MAX_ENTRIES: usize = 1_024;

/// Age of the configuration up to which a watcher's answer counts as current: the time of one watch
/// call, the time until the next one returns, and some delay.
const CURRENT_AGE_MS: u64 = 2_400;

/// Where an entry learns of changes in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeSource {
    /// It watches the store itself.
    Store,
    /// It asks another entry.
    Peer(SocketAddr),
}

/// An entry and its failure domain.
#[derive(Clone, Debug)]
struct Member {
    domain: Arc<str>,
    /// Its place among the members of its domain, which are ranked by this number.
    rank_hash: u64,
    last_seen_at: BootMs,
}

/// The entries of all failure domains, and which of them this entry passes over.
#[derive(Clone, Debug, Default)]
pub struct StoreWatchers {
    /// Control address of this entry, if others can ask it.
    own: Option<SocketAddr>,
    own_domain: Arc<str>,
    members: IndexMap<SocketAddr, Member>,
    failed_until: IndexMap<SocketAddr, BootMs>,
    /// Until when this entry hears of changes from others as it cannot read the store.
    unreachable_until: BootMs,
    /// How long it does so after the next failure.
    unreachable_ms: u64,
}

impl StoreWatchers {
    /// Creates a table for an entry in `domain` that others can ask at `own`.
    #[must_use]
    pub fn new(own: Option<SocketAddr>, domain: &str) -> Self {
        Self { own, own_domain: domain.into(), unreachable_ms: FAILED_MS, ..Self::default() }
    }

    /// Records that an entry of a failure domain was alive at `last_seen_at`.
    pub fn note(&mut self, entry: SocketAddr, domain: &str, last_seen_at: BootMs) {
        if Some(entry) == self.own {
            return;
        }
        if let Some(member) = self.members.get_mut(&entry) {
            member.last_seen_at = member.last_seen_at.max(last_seen_at);
            if &*member.domain != domain {
                member.domain = domain.into();
            }
        } else if self.members.len() < MAX_ENTRIES {
            let known = self.members.values().find(|member| &*member.domain == domain);
            let domain = known.map_or_else(|| domain.into(), |member| Arc::clone(&member.domain));
            let rank_hash = rank_hash(entry);
            self.members.insert(entry, Member { domain, rank_hash, last_seen_at });
        }
    }

    /// Forgets entries that were not heard of for long, and failures that are over.
    pub fn expire(&mut self, now: BootMs) {
        self.members.retain(|_, member| now.since(member.last_seen_at) <= FORGET_AFTER_MS);
        self.failed_until.retain(|_, until| *until > now);
    }

    /// Returns where this entry learns of changes in the store.
    #[must_use]
    pub fn source(&self, now: BootMs) -> ChangeSource {
        let ranked = self.ranked(&self.own_domain);
        let watchers = watcher_count(ranked.len());
        let candidates = ranked.into_iter().take(watchers * CANDIDATES_PER_WATCHER);
        let usable = candidates.filter(|entry| self.is_usable(*entry, now));
        let usable: Vec<SocketAddr> = usable.take(watchers).collect();
        if self.own.is_some_and(|own| usable.contains(&own)) {
            return ChangeSource::Store;
        }
        // Entries spread over the watchers, each at the same one as long as it is usable.
        let key = self.own.map_or(0, rank_hash);
        let chosen = usable.into_iter();
        let chosen = chosen.max_by_key(|entry| rendezvous::weight(key, &entry.to_string()));
        chosen.map_or(ChangeSource::Store, ChangeSource::Peer)
    }

    /// Records that a watcher answered with a configuration that was confirmed `age_ms` ago, if ever.
    /// Returns whether the answer was current; a watcher without one is passed over for some time.
    pub fn note_answer(&mut self, watcher: SocketAddr, age_ms: Option<u64>, now: BootMs) -> bool {
        let is_current = age_ms.is_some_and(|age_ms| age_ms <= CURRENT_AGE_MS);
        if !is_current {
            self.note_failed(watcher, now);
        }
        is_current
    }

    /// Records that a watcher did not answer or is about to stop, so that it is passed over for some
    /// time.
    pub fn note_failed(&mut self, watcher: SocketAddr, now: BootMs) {
        self.failed_until.insert(watcher, now.after(FAILED_MS));
    }

    /// Records that this entry cannot read the store.
    ///
    /// It hears of changes from others for some time, longer after each failure: the store may turn
    /// away single instances for long, and each call that it refuses is one that others lack.
    pub fn note_store_unreachable(&mut self, now: BootMs) {
        if self.unreachable_until > now {
            return;
        }
        self.unreachable_until = now.after(self.unreachable_ms);
        self.unreachable_ms = (self.unreachable_ms * 2).min(MAX_UNREACHABLE_MS);
    }

    /// Records that this entry can read the store.
    pub fn note_store_reachable(&mut self) {
        self.unreachable_until = BootMs(0);
        self.unreachable_ms = FAILED_MS;
    }

    /// Returns whether this entry is one of those that its failure domain expects to watch the store.
    ///
    /// Any other one that watches it does so because it finds no watcher.
    #[must_use]
    pub fn is_expected_to_watch(&self) -> bool {
        let ranked = self.ranked(&self.own_domain);
        let watchers = watcher_count(ranked.len());
        ranked.iter().take(watchers).any(|entry| Some(*entry) == self.own)
    }

    /// Returns the failure domain of an entry, if it is known.
    #[must_use]
    pub fn domain_of(&self, entry: SocketAddr) -> Option<&str> {
        self.members.get(&entry).map(|member| &*member.domain)
    }

    /// Returns the first entries by rank of a failure domain, each with the milliseconds since it was
    /// last known to be alive.
    #[must_use]
    pub fn report(&self, domain: &str, now: BootMs) -> Vec<(SocketAddr, u64)> {
        let first = self.ranked(domain).into_iter().take(MAX_REPORTED);
        let age_ms = |entry: &SocketAddr| {
            self.members.get(entry).map_or(0, |member| now.since(member.last_seen_at))
        };
        first.map(|entry| (entry, age_ms(&entry))).collect()
    }

    /// Returns the known entries of a failure domain by rank, with this entry in its own.
    fn ranked(&self, domain: &str) -> Vec<SocketAddr> {
        let members = self.members.iter().filter(|(_, member)| &*member.domain == domain);
        let members = members.map(|(address, member)| (member.rank_hash, *address));
        let own = self.own.filter(|_| *self.own_domain == *domain);
        let own = own.map(|own| (rank_hash(own), own));
        let mut ranked: Vec<(u64, SocketAddr)> = members.chain(own).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    fn is_usable(&self, entry: SocketAddr, now: BootMs) -> bool {
        if Some(entry) == self.own {
            return self.unreachable_until <= now;
        }
        self.failed_until.get(&entry).is_none_or(|until| *until <= now)
    }
}

/// Returns the number by which entries are ranked, the same at every entry.
fn rank_hash(entry: SocketAddr) -> u64 {
    rendezvous::key_of(&entry.to_string())
}

/// Returns the number of watchers of a failure domain.
const fn watcher_count(entries: usize) -> usize {
    MIN_WATCHERS + entries / ENTRIES_PER_WATCHER
}
