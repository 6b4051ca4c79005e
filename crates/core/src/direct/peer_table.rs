//! The other processes of the fleet, as far as they are known.

use super::BootMs;
use indexmap::IndexMap;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Span without word after which a peer is no longer named to others.
///
/// Thirty rounds of the exchange of members: the word that a process lives reaches nearly all of a large fleet
/// in fewer, and a machine that freezes for some seconds stays known.
const FORGET_AFTER_MS: u64 = 60_000;

/// Span without word after which a peer no longer counts as one among whom something is split. One that was
/// taken away would otherwise keep its part for as long as it is remembered.
const LIVE_MS: u64 = 25_000;

/// Most peers kept: more than the entries of a large fleet (400).
const MOST_PEERS: usize = 512;

/// One other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Where it answers.
    pub address: SocketAddr,
    /// When it was last heard of, here or by whoever named it.
    pub last_seen_at: BootMs,
}

/// Peers by address, beside the fixed seeds.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    seeds: Vec<SocketAddr>,
    peers: IndexMap<SocketAddr, Peer>,
    own: Option<SocketAddr>,
}

impl PeerTable {
    /// Begins with the seeds, of which `own` is this process's address, if it has one.
    #[must_use]
    pub fn new(seeds: &[SocketAddr], own: Option<SocketAddr>) -> Self {
        Self { seeds: seeds.to_vec(), peers: IndexMap::new(), own }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.to_vec();
    }

    /// Notes that a peer lived at `last_seen_at`; returns whether it was not known.
    pub fn note(&mut self, address: SocketAddr, last_seen_at: BootMs) -> bool {
        if Some(address) == self.own {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.last_seen_at = peer.last_seen_at.max(last_seen_at);
            return false;
        }
        if self.peers.len() >= MOST_PEERS {
            return false;
        }
        self.peers.insert(address, Peer { address, last_seen_at });
        true
    }

    /// Drops peers without word; returns them.
    pub fn expire(&mut self, now: BootMs) -> Vec<SocketAddr> {
        let is_old = |peer: &Peer| now.since(peer.last_seen_at) > FORGET_AFTER_MS;
        let old = self.peers.values().filter(|peer| is_old(peer)).map(|peer| peer.address);
        let old: Vec<SocketAddr> = old.collect();
        self.peers.retain(|_, peer| !is_old(peer));
        old
    }

    /// Peers that were heard of.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// So many of them that were heard of last, or all if they are fewer.
    ///
    /// Each process is heard of directly by one other in each round. What is named to others has to travel from
    /// there before it is forgotten; the same ones each time would leave the others unknown.
    #[must_use]
    pub fn most_recent(&self, count: usize) -> Vec<Peer> {
        let mut peers: Vec<Peer> = self.peers.values().copied().collect();
        peers.sort_unstable_by_key(|peer| Reverse(peer.last_seen_at));
        peers.truncate(count);
        peers
    }

    /// Number of peers that live, as far as is known.
    #[must_use]
    pub fn live_count(&self, now: BootMs) -> usize {
        let is_living = |peer: &&Peer| now.since(peer.last_seen_at) <= LIVE_MS;
        self.peers.values().filter(is_living).count()
    }

    /// Number of peers that were heard of.
    #[must_use]
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no peer was heard of.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// All that may be asked: known peers, and seeds that were not heard of.
    #[must_use]
    pub fn candidates(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().copied().filter(|seed| Some(*seed) != self.own);
        let unheard = seeds.filter(|seed| !self.peers.contains_key(seed));
        self.peers.keys().copied().chain(unheard).collect()
    }

    /// So many of them at random, or all if they are fewer.
    #[must_use]
    pub fn sample(&self, count: usize, random: &mut impl Rng) -> Vec<SocketAddr> {
        self.candidates().into_iter().sample(random, count)
    }

    /// The peer to ask next, at random.
    ///
    /// By turns all processes that were started together would ask the same peer at the same time, and what
    /// is heard of one of them would not reach the others before it is forgotten.
    #[must_use]
    pub fn random_peer(&self, random: &mut impl Rng) -> Option<SocketAddr> {
        self.sample(1, random).pop()
    }
}
