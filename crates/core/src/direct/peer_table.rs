//! The other processes of the fleet that this one knows of, from its seeds and by gossip.

use super::BootMs;
use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Time without news of a peer after which it is dropped and no longer passed on to others.
///
/// This is thirty rounds of gossip. News of a process reaches nearly all of a large fleet in fewer,
/// and an instance that freezes for some seconds stays known.
const FORGET_AFTER_MS: u64 = 60_000;

/// Time without news of a peer after which it no longer counts as live. A process that was removed
/// would otherwise keep its share of divided limits until it is dropped.
const LIVE_MS: u64 = 25_000;

/// Most peers kept, which is more than the entries of a large fleet (400).
const MAX_PEERS: usize = 512;

/// Another process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Address at which it answers.
    pub address: SocketAddr,
    /// When it was last known to be alive, directly or by report of another peer.
    pub last_seen_at: BootMs,
}

/// The known peers by address, and the configured seeds.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    seeds: Vec<SocketAddr>,
    peers: IndexMap<SocketAddr, Peer>,
    own: Option<SocketAddr>,
}

impl PeerTable {
    /// Creates a table with the seeds and no peers; `own` is this process's address, if it has one.
    #[must_use]
    pub fn new(seeds: &[SocketAddr], own: Option<SocketAddr>) -> Self {
        Self { seeds: seeds.to_vec(), peers: IndexMap::new(), own }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
    }

    /// Records that a peer was alive at `last_seen_at`. Returns whether it was added to the table.
    pub fn note(&mut self, address: SocketAddr, last_seen_at: BootMs) -> bool {
        if Some(address) == self.own {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.last_seen_at = peer.last_seen_at.max(last_seen_at);
            return false;
        }
        if self.peers.len() >= MAX_PEERS {
            return false;
        }
        self.peers.insert(address, Peer { address, last_seen_at });
        true
    }

    /// Removes peers that were not seen for long, and returns their addresses.
    pub fn expire(&mut self, now: BootMs) -> Vec<SocketAddr> {
        let is_old = |peer: &Peer| now.since(peer.last_seen_at) > FORGET_AFTER_MS;
        let old = self.peers.values().filter(|peer| is_old(peer)).map(|peer| peer.address);
        let old: Vec<SocketAddr> = old.collect();
        self.peers.retain(|_, peer| !is_old(peer));
        old
    }

    /// Returns the known peers.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the `count` peers that were seen most recently, or all if there are fewer.
    ///
    /// In each round only one process sees a given peer directly, and the news has to spread from
    /// there before the peer is dropped. Always reporting the same peers would leave the others
    /// unknown.
    #[must_use]
    pub fn most_recent(&self, count: usize) -> Vec<Peer> {
        let mut peers: Vec<Peer> = self.peers.values().copied().collect();
        peers.sort_unstable_by_key(|peer| Reverse(peer.last_seen_at));
        peers.truncate(count);
        peers
    }

    /// Returns the number of peers that were seen recently enough to count as live.
    #[must_use]
    pub fn live_count(&self, now: BootMs) -> usize {
        let is_live = |peer: &&Peer| now.since(peer.last_seen_at) <= LIVE_MS;
        self.peers.values().filter(is_live).count()
    }

    /// Returns the number of known peers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns the addresses that can be asked: known peers, and seeds that are not among them.
    #[must_use]
    pub fn candidates(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().copied().filter(|seed| Some(*seed) != self.own);
        let unknown = seeds.filter(|seed| !self.peers.contains_key(seed));
        self.peers.keys().copied().chain(unknown).collect()
    }

    /// Returns `count` random candidates, or all if there are fewer.
    #[must_use]
    pub fn sample(&self, count: usize, random: &mut impl Rng) -> Vec<SocketAddr> {
        self.candidates().into_iter().sample(random, count)
    }

    /// Returns a random candidate to ask next.
    ///
    /// In round-robin order, processes that were started together would ask the same peer at the
    /// same time, and news of a process would not reach the others before it is dropped.
    #[must_use]
    pub fn random_peer(&self, random: &mut impl Rng) -> Option<SocketAddr> {
        self.sample(1, random).pop()
    }
}
