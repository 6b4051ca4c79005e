//! Failure domains that operators have drained: their backend servers get no requests, while streams
//! that run there continue.

use super::backend_row::Row;
use super::{BackendServer, BackendTable};
use indexmap::IndexSet;

/// The drained failure domains, with the store's revision as of which the set is complete.
///
/// Drains do not expire: the set stays in force until a set or a change with a revision that is not
/// lower replaces it. An entry that is cut off from the store and its peers therefore goes on
/// keeping requests from a drained domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DomainDrains {
    drained: IndexSet<String>,
    /// `None` until a complete set was read.
    as_of: Option<u64>,
}

/// The difference that a new set of drained failure domains makes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainChanges {
    /// Domains that are drained now and were not before.
    pub started: Vec<String>,
    /// Domains that were drained before and are not any more.
    pub ended: Vec<String>,
}

impl DomainDrains {
    /// Returns whether a failure domain is drained.
    #[must_use]
    pub fn is_drained(&self, domain: &str) -> bool {
        self.drained.contains(domain)
    }

    /// Returns the drained failure domains.
    pub fn domains(&self) -> impl ExactSizeIterator<Item = &str> {
        self.drained.iter().map(String::as_str)
    }

    /// Returns the revision of the store as of which the set is complete, or `None` if no set was
    /// read yet.
    #[must_use]
    pub const fn as_of(&self) -> Option<u64> {
        self.as_of
    }

    /// Replaces the set by one that is complete as of a revision, unless a newer one is held.
    pub fn replace(&mut self, domains: &[String], as_of: u64) -> DrainChanges {
        if self.as_of.is_some_and(|held| as_of < held) {
            return DrainChanges::default();
        }
        let drained: IndexSet<String> = domains.iter().cloned().collect();
        let changes = DrainChanges {
            started: drained.difference(&self.drained).cloned().collect(),
            ended: self.drained.difference(&drained).cloned().collect(),
        };
        *self = Self { drained, as_of: Some(as_of) };
        changes
    }

    /// Adds a domain as of a revision. Returns whether that is a change.
    pub fn start(&mut self, domain: &str, as_of: u64) -> bool {
        self.may_change(as_of) && self.drained.insert(domain.to_owned())
    }

    /// Removes a domain as of a revision. Returns whether that is a change.
    pub fn end(&mut self, domain: &str, as_of: u64) -> bool {
        self.may_change(as_of) && self.drained.swap_remove(domain)
    }

    /// Records that the set is complete as of a revision, after the changes up to it were applied.
    pub fn confirm(&mut self, as_of: u64) {
        self.as_of = self.as_of.map(|held| held.max(as_of));
    }

    /// Returns whether changes as of a revision apply to the set.
    ///
    /// A peer's newer set may have arrived while the store's answer was on its way. The next answer
    /// contains what happened since. Without a complete set there is nothing to change.
    fn may_change(&self, as_of: u64) -> bool {
        self.as_of.is_some_and(|held| as_of >= held)
    }
}

impl BackendTable {
    /// Returns the drained failure domains.
    #[must_use]
    pub const fn drains(&self) -> &DomainDrains {
        &self.drains
    }

    /// Replaces the drained failure domains, like [`DomainDrains::replace`].
    pub fn replace_drains(&mut self, domains: &[String], as_of: u64) -> DrainChanges {
        let changes = self.drains.replace(domains, as_of);
        self.returned_domains.retain(|domain| !changes.started.contains(domain));
        self.returned_domains.extend(changes.ended.iter().cloned());
        changes
    }

    /// Starts the drain of a failure domain, like [`DomainDrains::start`].
    pub fn start_drain(&mut self, domain: &str, as_of: u64) -> bool {
        let is_change = self.drains.start(domain, as_of);
        if is_change {
            self.returned_domains.swap_remove(domain);
        }
        is_change
    }

    /// Ends the drain of a failure domain, like [`DomainDrains::end`].
    pub fn end_drain(&mut self, domain: &str, as_of: u64) -> bool {
        let is_change = self.drains.end(domain, as_of);
        if is_change {
            self.returned_domains.insert(domain.to_owned());
        }
        is_change
    }

    /// Records that the drained failure domains are complete as of a revision.
    pub fn confirm_drains(&mut self, as_of: u64) {
        self.drains.confirm(as_of);
    }

    /// Returns the ids of the backend servers whose drain has ended since the last call.
    ///
    /// They have got no requests during the drain and may have become cold.
    #[must_use]
    pub fn take_servers_after_drain(&mut self) -> Vec<String> {
        if self.returned_domains.is_empty() {
            return Vec::new();
        }
        let domains = std::mem::take(&mut self.returned_domains);
        let returned = self.servers().filter(|server| domains.contains(&server.failure_domain));
        returned.map(|server| server.id.clone()).collect()
    }

    /// Returns whether a backend server is in a drained failure domain, by the given listing or by
    /// the one that the table holds now.
    ///
    /// A server may be listed in another domain after it was chosen.
    #[must_use]
    pub fn is_drained(&self, server: &BackendServer) -> bool {
        let is_drained = |server: &BackendServer| self.drains.is_drained(&server.failure_domain);
        is_drained(server) || self.row(server).is_some_and(|row| is_drained(&row.server))
    }

    /// Returns whether drains alone leave a service without a backend server: some accept work, and
    /// all of these are in drained failure domains.
    #[must_use]
    pub fn is_service_drained(&self, service: &str) -> bool {
        if self.drains.drained.is_empty() || self.available(service).next().is_some() {
            return false;
        }
        let mut of_service = self.rows.values().filter(|row| row.server.service == service);
        of_service.any(Row::accepts_work)
    }

    /// Returns the number of this entry's open requests at those backend servers of a pool or service
    /// that are not in a drained failure domain.
    ///
    /// Streams that run on in a drained domain must not count against the capacity of the others.
    #[must_use]
    pub fn outstanding_outside_drains(&self, pool: &str) -> u32 {
        self.outside_drains(pool).map(|row| row.outstanding).sum()
    }

    /// Returns the number of this entry's streams without an event, counted like
    /// [`Self::outstanding_outside_drains`].
    #[must_use]
    pub fn not_begun_outside_drains(&self, pool: &str) -> u32 {
        self.outside_drains(pool).map(|row| row.streams.not_begun).sum()
    }

    fn outside_drains(&self, pool: &str) -> impl Iterator<Item = &Row> {
        let of_pool = self.rows.values().filter(move |row| row.belongs_to(pool));
        of_pool.filter(|row| !self.drains.is_drained(&row.server.failure_domain))
    }
}
