//! The pools of a service: the backend servers that run passes together.
//!
//! The backend servers of one service may form several groups. A group that stalls or rejects
//! requests says nothing of the others, and its passes are its own. So each group is a pool, for
//! which an entry keeps availability, passes and bounds.
//!
//! Agents know the group of their rank and report it to entries, which pass the assignments on to
//! each other. A service of which fewer than two groups are known is one pool named after it, as is
//! a service without groups.

use super::{BackendServer, BackendTable, BootMs};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3;

/// Longest name of a group that is accepted from an agent, in bytes.
pub const MAX_GROUP_NAME_BYTES: usize = 256;

/// Most servers in one message between entries, at most 13 bytes each with an IPv4 address, and
/// 12 bytes for each group. At one message sent and one received every 2 s, 160 servers of 29 groups
/// are 2.4 KB a second, so that an entry stays within 5 KB a second in all.
pub const MAX_SENT_ASSIGNMENTS: usize = 160;

/// Number of checksums over the assignments, at most 5 bytes each. Only assignments under a checksum
/// that differs are sent. With few checksums, entries that lack some assignments would mostly be sent
/// those that they know.
const BUCKETS: usize = 64;

/// Separates the name of a service from that of one of its pools.
const SEPARATOR: char = '#';

/// Last part of the name of the pool of servers without a known group, in a service with several
/// groups.
const UNKNOWN_GROUP: &str = "unknown";

/// Identifies a group by a digest of its name, whose length is not bounded by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupDigest(pub u64);

impl GroupDigest {
    /// Returns the digest of a group's name, or nothing if the name is empty or longer than
    /// [`MAX_GROUP_NAME_BYTES`].
    #[must_use]
    pub fn of(name: &str) -> Option<Self> {
        let is_valid = !name.is_empty() && name.len() <= MAX_GROUP_NAME_BYTES;
        is_valid.then(|| Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes())))
    }
}

impl fmt::Display for GroupDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The known backend servers of a group, as an entry tells another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupAssignment {
    /// The group.
    pub group: GroupDigest,
    /// Addresses of the backend servers, each with the time in milliseconds since its agent reported
    /// the group.
    pub servers: Vec<(SocketAddr, u64)>,
}

/// The known groups of backend servers, by address.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupAssignments {
    known: IndexMap<SocketAddr, Known>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    group: GroupDigest,
    reported_at: BootMs,
}

impl GroupAssignments {
    /// Records a report. An earlier one than the known one changes nothing. Returns whether the
    /// group is another one.
    fn note(&mut self, address: SocketAddr, group: GroupDigest, reported_at: BootMs) -> bool {
        let known = self.known.get(&address).copied();
        if let Some(known) = known
            && (reported_at, group) <= (known.reported_at, known.group)
        {
            return false;
        }
        self.known.insert(address, Known { group, reported_at });
        known.is_none_or(|known| known.group != group)
    }

    fn checksums(&self) -> Vec<u32> {
        let mut checksums = vec![0; BUCKETS];
        for (address, known) in &self.known {
            let digest = digest(*address);
            let mut hasher = Xxh3::new();
            hasher.update(&digest.to_le_bytes());
            hasher.update(&known.group.0.to_le_bytes());
            checksums[bucket(digest)] ^= hasher.digest() as u32;
        }
        checksums
    }
}

/// Returns a digest of an address.
fn digest(address: SocketAddr) -> u64 {
    let mut hasher = Xxh3::new();
    match address.ip() {
        std::net::IpAddr::V4(ip) => hasher.update(&ip.octets()),
        std::net::IpAddr::V6(ip) => hasher.update(&ip.octets()),
    }
    hasher.update(&address.port().to_le_bytes());
    hasher.digest()
}

const fn bucket(digest: u64) -> usize {
    (digest % BUCKETS as u64) as usize
}

/// The pools of each service with several groups.
#[derive(Clone, Debug, Default)]
pub(super) struct Pools {
    by_service: IndexMap<String, Vec<Arc<str>>>,
    /// Pools that appeared since they were last taken, with their service.
    added: Vec<(String, Arc<str>)>,
}

impl BackendTable {
    /// Records that the agent beside the backend server at `address` reported its group at
    /// `reported_at`. Returns whether its group changed.
    pub fn note_group(
        &mut self,
        address: SocketAddr,
        group: GroupDigest,
        reported_at: BootMs,
    ) -> bool {
        self.note_groups(&[GroupAssignment { group, servers: vec![(address, 0)] }], reported_at) > 0
    }

    /// Records assignments of a peer, whose ages count as of `as_of`. Returns how many changed.
    ///
    /// Those of servers that are not listed are ignored, so that no more are kept than there are
    /// servers.
    pub fn note_groups(&mut self, assignments: &[GroupAssignment], as_of: BootMs) -> usize {
        if assignments.is_empty() {
            return 0;
        }
        let listed: IndexSet<SocketAddr> = self.servers().map(|server| server.address).collect();
        let mut news = 0;
        for GroupAssignment { group, servers } in assignments {
            for (address, age_ms) in servers.iter().filter(|(address, _)| listed.contains(address))
            {
                news += usize::from(self.groups.note(*address, *group, as_of.before(*age_ms)));
            }
        }
        if news > 0 {
            self.update_pools();
        }
        news
    }

    /// Returns the checksums over the known groups, which are equal at entries that know the same.
    #[must_use]
    pub fn group_checksums(&self) -> Vec<u32> {
        self.groups.checksums()
    }

    /// Returns the known groups for a peer with other `checksums`, or none if it sent none.
    ///
    /// At most [`MAX_SENT_ASSIGNMENTS`] servers are returned, from a place that `draw` decides, a random
    /// number from 0 up to 1: the answers of several peers then complete each other.
    #[must_use]
    pub fn groups_for(&self, checksums: &[u32], now: BootMs, draw: f64) -> Vec<GroupAssignment> {
        if checksums.len() != BUCKETS {
            return Vec::new();
        }
        let own = self.groups.checksums();
        let differs = |address: SocketAddr| {
            let bucket = bucket(digest(address));
            own[bucket] != checksums[bucket]
        };
        let known = self.groups.known.iter().filter(|(address, _)| differs(**address));
        let mut known: Vec<(&SocketAddr, &Known)> = known.collect();
        let start = (draw * known.len() as f64) as usize;
        let count = known.len();
        known.rotate_left(start.min(count.saturating_sub(1)));
        known.truncate(MAX_SENT_ASSIGNMENTS);
        let mut by_group: IndexMap<GroupDigest, Vec<(SocketAddr, u64)>> = IndexMap::new();
        for (address, Known { group, reported_at }) in known {
            by_group.entry(*group).or_default().push((*address, now.since(*reported_at)));
        }
        let assignments = by_group.into_iter();
        assignments.map(|(group, servers)| GroupAssignment { group, servers }).collect()
    }

    /// Returns the names of the pools of a service; the service's own name if it is not divided.
    ///
    /// Methods that take the name of a pool also take that of a service, for all its servers.
    #[must_use]
    pub fn pools(&self, service: &str) -> Vec<Arc<str>> {
        match self.pools.by_service.get(service) {
            Some(pools) => pools.clone(),
            None => vec![Arc::from(service)],
        }
    }

    /// Returns whether a service has several pools.
    #[must_use]
    pub fn has_several_pools(&self, service: &str) -> bool {
        self.pools.by_service.contains_key(service)
    }

    /// Returns the pool of a backend server, or nothing if the server is not known.
    #[must_use]
    pub fn pool_of(&self, server: &BackendServer) -> Option<Arc<str>> {
        self.row(server).map(|row| Arc::clone(&row.pool))
    }

    /// Returns whether state under this name may be needed: it is the name of a service, or of a
    /// pool that has servers.
    #[must_use]
    pub fn is_pool_in_use(&self, name: &str) -> bool {
        let Some((service, _)) = name.rsplit_once(SEPARATOR) else { return true };
        let pools = self.pools.by_service.get(service);
        pools.is_some_and(|pools| pools.iter().any(|pool| **pool == *name))
            || self.servers().any(|server| server.service == name)
    }

    /// Returns the pools that appeared since the last call, each with its service and the number of
    /// pools of that service.
    pub fn take_added_pools(&mut self) -> Vec<(String, Arc<str>, usize)> {
        let added = std::mem::take(&mut self.pools.added);
        let with_count = added.into_iter().map(|(service, pool)| {
            let count = self.pools.by_service.get(&service).map_or(1, Vec::len);
            (service, pool, count)
        });
        with_count.collect()
    }

    /// Assigns each server to its pool anew, after the servers or their groups have changed.
    pub(super) fn update_pools(&mut self) {
        let listed: IndexSet<SocketAddr> = self.servers().map(|server| server.address).collect();
        self.groups.known.retain(|address, _| listed.contains(address));
        let mut groups: IndexMap<&str, IndexSet<GroupDigest>> = IndexMap::new();
        for server in self.rows.values().map(|row| &row.server) {
            if let Some(known) = self.groups.known.get(&server.address) {
                groups.entry(&server.service).or_default().insert(known.group);
            }
        }
        groups.retain(|_, groups| groups.len() > 1);
        let divided: IndexSet<String> = groups.into_keys().map(str::to_owned).collect();
        let mut by_service: IndexMap<String, Vec<Arc<str>>> = IndexMap::new();
        for row in self.rows.values_mut() {
            let server = &row.server;
            let group = self.groups.known.get(&server.address).map(|known| known.group);
            let name = match (divided.contains(&server.service), group) {
                (false, _) => server.service.clone(),
                (true, Some(group)) => format!("{}{SEPARATOR}{group}", server.service),
                (true, None) => format!("{}{SEPARATOR}{UNKNOWN_GROUP}", server.service),
            };
            if *row.pool != *name {
                row.pool = Arc::from(name);
                // Passes of another pool are counted on their own.
                row.streams.restart_passes(self.passes.get(&*row.pool).copied().unwrap_or(0));
            }
            if divided.contains(&server.service) {
                let pools = by_service.entry(server.service.clone()).or_default();
                if !pools.contains(&row.pool) {
                    pools.push(Arc::clone(&row.pool));
                }
            }
        }
        for (service, pools) in &by_service {
            let known = self.pools.by_service.get(service);
            let is_known = |pool: &Arc<str>| known.is_some_and(|known| known.contains(pool));
            let added = pools.iter().filter(|pool| !is_known(pool));
            self.pools.added.extend(added.map(|pool| (service.clone(), Arc::clone(pool))));
        }
        self.pools.by_service = by_service;
        let mut passes = std::mem::take(&mut self.passes);
        passes.retain(|pool, _| self.is_pool_in_use(pool));
        self.passes = passes;
    }
}
