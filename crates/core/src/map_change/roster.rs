//! The backend servers of a service that its agents know about.

use crate::direct::{BackendServer, BootMs};
use indexmap::IndexMap;
use std::net::{IpAddr, SocketAddr};

/// Time for which a backend server is kept after it is no longer listed.
///
/// The platform removes the entry of a server whose instance is cut off from the network for some
/// seconds, and lists it again some seconds after the network recovers. Its rank stays in the group
/// throughout. A leader that stops polling this rank cannot complete or undo a change, and the
/// group stalls.
const RETENTION_MS: u64 = 30_000;

/// The known backend servers of one service, by address.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    rows: IndexMap<SocketAddr, Row>,
    listed: usize,
}

#[derive(Clone, Debug)]
struct Row {
    failure_domain: String,
    listed_at: BootMs,
}

impl Roster {
    /// Updates the roster from the current list of backend servers.
    pub fn update(&mut self, now: BootMs, listed: &[BackendServer]) {
        for server in listed {
            let row = Row { failure_domain: server.failure_domain.clone(), listed_at: now };
            self.rows.insert(server.address, row);
        }
        self.listed = self.rows.values().filter(|row| row.listed_at == now).count();
        self.rows.retain(|_, row| now.since(row.listed_at) <= RETENTION_MS);
    }

    /// Returns the number of addresses in the most recent list.
    #[must_use]
    pub const fn listed_count(&self) -> usize {
        self.listed
    }

    /// Returns the addresses of all known backend servers.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.rows.keys().copied()
    }

    /// Returns the instances of all known backend servers, with their failure domains.
    pub fn machines(&self) -> impl Iterator<Item = (&str, IpAddr)> {
        self.rows.iter().map(|(address, row)| (row.failure_domain.as_str(), address.ip()))
    }
}
