//! Which instances of a service a leader polls and reads.
//!
//! A service may have many groups, and an agent does not know the groups of others. If each leader
//! polled all instances of the service for as long as it leads, the messages would grow with the
//! number of groups times that of instances, and each instance of its own group would be polled the
//! more seldom the more groups there are.

use crate::direct::BootMs;
use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use rand::seq::IteratorRandom;
use std::net::{IpAddr, SocketAddr};

/// Interval between two searches for a rank of the group whose agent is silent: it may run on another
/// instance by now.
const SEARCH_INTERVAL_MS: u64 = 2_000;

/// Time for which a search polls all instances: some rounds, since messages may be lost.
const SEARCH_MS: u64 = 300;

/// Most backend servers of unknown groups that are read at a time while the agent of a rank was never
/// heard. Each read opens a connection.
const MAX_READS: usize = 32;

/// The same while only agents that were heard before are silent. Their ranks most likely run where
/// they ran.
const MAX_READS_ELSEWHERE: usize = 4;

/// Decides whether a leader polls all instances of the service or only those of its group.
#[derive(Clone, Copy, Debug, Default)]
pub struct PollScope {
    searches_until: BootMs,
    next_search_at: BootMs,
}

impl PollScope {
    /// Returns whether all instances are polled now.
    ///
    /// `agents` are the known agents of the group by rank, and `ranks` is how many the group has.
    pub fn is_whole_service(
        &mut self,
        now: BootMs,
        agents: &IndexMap<u16, SocketAddr>,
        ranks: usize,
        has_silent_ranks: bool,
    ) -> bool {
        if agents.len() < ranks {
            return true;
        }
        if !has_silent_ranks {
            return false;
        }
        if now >= self.next_search_at {
            self.next_search_at = now.after(SEARCH_INTERVAL_MS);
            self.searches_until = now.after(SEARCH_MS);
        }
        now < self.searches_until
    }
}

/// Returns those of `machines`, given with their failure domains, on which agents of the group run.
#[must_use]
pub fn machines_of_group(
    machines: Vec<(String, IpAddr)>,
    agents: &IndexMap<u16, SocketAddr>,
) -> Vec<(String, IpAddr)> {
    let of_group: IndexSet<IpAddr> = agents.values().map(SocketAddr::ip).collect();
    machines.into_iter().filter(|(_, machine)| of_group.contains(machine)).collect()
}

/// Returns the backend servers at which ranks with silent agents are looked for.
///
/// These are the servers beside the silent agents that were heard before, and some random ones of
/// those beside which no agent of the group was heard.
#[must_use]
pub fn servers_to_read(
    silent: &[u16],
    agents: &IndexMap<u16, SocketAddr>,
    servers: &[SocketAddr],
    random: &mut impl Rng,
) -> Vec<SocketAddr> {
    let known: IndexSet<IpAddr> = agents.values().map(SocketAddr::ip).collect();
    let silent_agents = silent.iter().filter_map(|rank| agents.get(rank));
    let silent_machines: IndexSet<IpAddr> = silent_agents.map(SocketAddr::ip).collect();
    let are_all_known = silent.iter().all(|rank| agents.contains_key(rank));
    let max_others = if are_all_known { MAX_READS_ELSEWHERE } else { MAX_READS };
    let beside = servers.iter().copied().filter(|it| silent_machines.contains(&it.ip()));
    let others = servers.iter().copied().filter(|it| !known.contains(&it.ip()));
    beside.chain(others.sample(random, max_others)).collect()
}
