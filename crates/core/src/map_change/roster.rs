//! Which backend servers the agents of a service know of.

use crate::direct::{BackendServer, BootMs};
use indexmap::IndexMap;
use std::net::{IpAddr, SocketAddr};

/// Time for which a backend server that is no longer listed is still known.
///
/// The platform drops the entry of one whose machine is cut off for some seconds, and lists it again some
/// seconds after the cut; its rank is in the group all the while. An agent that leads and does not ask that
/// rank cannot end a change, and the group stands.
const KEPT_MS: u64 = 30_000;

/// Backend servers of one service, by address.
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
    /// Takes what is listed now.
    pub fn update(&mut self, now: BootMs, listed: &[BackendServer]) {
        for server in listed {
            let row = Row { failure_domain: server.failure_domain.clone(), listed_at: now };
            self.rows.insert(server.address, row);
        }
        self.listed = self.rows.values().filter(|row| row.listed_at == now).count();
        self.rows.retain(|_, row| now.since(row.listed_at) <= KEPT_MS);
    }

    /// How many addresses were listed the last time.
    #[must_use]
    pub const fn listed_count(&self) -> usize {
        self.listed
    }

    /// Addresses of all that are known.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.rows.keys().copied()
    }

    /// Machines of all that are known, with their failure domains.
    pub fn machines(&self) -> impl Iterator<Item = (&str, IpAddr)> {
        self.rows.iter().map(|(address, row)| (row.failure_domain.as_str(), address.ip()))
    }
}
