//! The configuration in force, and how recently it was confirmed to be the newest.

use super::{BootMs, Catalog, Residency};
use std::sync::Arc;

/// Longest time for which the store may accept a change without notifying its watchers; it then
/// closes their connections.
const STORE_NOTIFY_DELAY_MS: u64 = 1_000;

/// Time allowed from the check of a key until the request is sent.
const KEY_CHECK_TO_SEND_MS: u64 = 500;

/// Returns the age in milliseconds up to which API keys may be checked against a catalog.
///
/// `revoke_ms` is the time within which a revoked key must stop working, and `watch_ms` the length
/// of one watch request to the store. A watch that returns no change confirms the catalog as of the
/// moment it was sent. The store may have withheld notifications during the last
/// `STORE_NOTIFY_DELAY_MS` of the watch, so a watch shorter than that may miss a change made before
/// it was sent; only the difference is subtracted. A smaller bound would refuse callers with valid
/// keys whenever the store is unreachable.
#[must_use]
pub const fn max_catalog_age_for_keys_ms(revoke_ms: u64, watch_ms: u64) -> u64 {
    let missed_ms = STORE_NOTIFY_DELAY_MS.saturating_sub(watch_ms);
    revoke_ms.saturating_sub(missed_ms + KEY_CHECK_TO_SEND_MS)
}

/// Result of [`CatalogState::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Adoption {
    /// The offered catalog is now in force.
    Adopted,
    /// This version was already in force.
    Known,
    /// A newer version is in force; the offered one was dropped.
    Older,
}

/// The catalog in force, and the last moment at which it was confirmed to be the newest.
#[derive(Clone, Debug, Default)]
pub struct CatalogState {
    catalog: Option<Arc<Catalog>>,
    /// Regions of the newest catalog that was adopted with its regions.
    residency: Residency,
    confirmed_at: Option<BootMs>,
}

impl CatalogState {
    /// Returns the catalog in force, or nothing before the first one is adopted.
    #[must_use]
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the version in force, 0 before the first catalog is adopted.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Returns the regions in which requests may run.
    ///
    /// While a catalog without its regions is in force, these are the regions of the last one that
    /// had them.
    #[must_use]
    pub fn residency(&self) -> &Residency {
        &self.residency
    }

    /// Returns whether the catalog in force came without its regions.
    #[must_use]
    pub fn lacks_residency(&self) -> bool {
        self.catalog.as_ref().is_some_and(|catalog| catalog.residency.is_none())
    }

    /// Adopts a catalog unless a newer one is in force.
    ///
    /// A stale replica, or a peer that was partitioned, may offer an old version. Without this
    /// check a deleted route or key would work again for a while. A catalog that is in force without
    /// its regions is replaced by the same version with them.
    pub fn offer(&mut self, catalog: Catalog) -> Adoption {
        match catalog.version.cmp(&self.version()) {
            std::cmp::Ordering::Less => Adoption::Older,
            std::cmp::Ordering::Equal
                if self.catalog.is_some()
                    && !(self.lacks_residency() && catalog.residency.is_some()) =>
            {
                self.complete(&catalog);
                Adoption::Known
            }
            _ => {
                if let Some(residency) = &catalog.residency {
                    self.residency = residency.clone();
                }
                self.catalog = Some(Arc::new(catalog));
                Adoption::Adopted
            }
        }
    }

    /// Takes over engine figures that the catalog in force lacks from another copy of its version.
    ///
    /// A peer of an earlier release passes on the catalog without them.
    fn complete(&mut self, copy: &Catalog) {
        let figures = copy.engine_figures();
        let in_force = self.catalog.as_mut();
        let is_incomplete = |in_force: &&mut Arc<Catalog>| in_force.engine_figures().is_empty();
        if let Some(in_force) = in_force.filter(is_incomplete).filter(|_| !figures.is_empty()) {
            Arc::make_mut(in_force).set_engine_figures(&figures);
        }
    }

    /// Records that the store had no version newer than `version` at `at`.
    ///
    /// Returns whether this confirms the catalog in force: it does not when another version is in
    /// force.
    pub fn confirm(&mut self, version: u64, at: BootMs) -> bool {
        if version != self.version() || self.catalog.is_none() {
            return false;
        }
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |earlier| earlier.max(at)));
        true
    }

    /// Returns when the catalog was last confirmed, or nothing if it never was.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<BootMs> {
        self.confirmed_at
    }

    /// Returns the milliseconds since the catalog was last confirmed, or nothing if it never was.
    #[must_use]
    pub fn age_ms(&self, now: BootMs) -> Option<u64> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns whether the catalog was confirmed within the last `bound_ms`, so that keys may be
    /// checked.
    #[must_use]
    pub fn is_fresh(&self, now: BootMs, bound_ms: u64) -> bool {
        self.age_ms(now).is_some_and(|age_ms| age_ms <= bound_ms)
    }
}
