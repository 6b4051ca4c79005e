//! How old the word of the configuration is.

use super::{BootMs, Catalog};
use std::sync::Arc;

/// Longest time for which the store may learn of a change without telling its watchers; it then cuts them
/// off.
const DEAF_WATCH_MS: u64 = 1_000;

/// Time that a decision may take from the check of a key until the request has left.
const KEY_USE_SLACK_MS: u64 = 500;

/// Age up to which a catalog's word on keys holds, where a key that was taken away is dead after `revoke_ms` and
/// the store is watched for `watch_ms` at a time.
///
/// A watch that brings nothing vouches for the moment at which it was sent. The store may have been deaf for the
/// last part of it, so only a watch that is shorter than that may be wrong about its beginning. Too short a
/// bound refuses callers with good keys whenever the store is away.
#[must_use]
pub const fn max_catalog_age_for_keys_ms(revoke_ms: u64, watch_ms: u64) -> u64 {
    let deaf_ms = DEAF_WATCH_MS.saturating_sub(watch_ms);
    revoke_ms.saturating_sub(deaf_ms + KEY_USE_SLACK_MS)
}

/// What became of a catalog that was offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Adoption {
    /// It is in force now.
    Adopted,
    /// It was in force already.
    Known,
    /// A newer one is in force.
    Older,
}

/// The catalog in force, and until when it was certainly the newest.
#[derive(Clone, Debug, Default)]
pub struct CatalogState {
    catalog: Option<Arc<Catalog>>,
    confirmed_at: Option<BootMs>,
}

impl CatalogState {
    /// The catalog in force.
    #[must_use]
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Version in force, 0 before any is known.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Takes over a catalog unless a newer one is in force.
    ///
    /// A stale replica or a peer that was cut off may offer an old version. Without this check a
    /// route or key that was dropped would come back for a while.
    pub fn offer(&mut self, catalog: Catalog) -> Adoption {
        match catalog.version.cmp(&self.version()) {
            std::cmp::Ordering::Less => Adoption::Older,
            std::cmp::Ordering::Equal if self.catalog.is_some() => Adoption::Known,
            _ => {
                self.catalog = Some(Arc::new(catalog));
                Adoption::Adopted
            }
        }
    }

    /// Notes that nothing newer than `version` existed at `at`, by the store's own word.
    ///
    /// Says nothing of the catalog in force when that is a newer one; returns whether it counted.
    pub fn confirm(&mut self, version: u64, at: BootMs) -> bool {
        if version != self.version() || self.catalog.is_none() {
            return false;
        }
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |earlier| earlier.max(at)));
        true
    }

    /// Milliseconds since the catalog was last known to be the newest.
    #[must_use]
    pub fn age_ms(&self, now: BootMs) -> Option<u64> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Whether keys may be judged by this catalog.
    #[must_use]
    pub fn is_fresh(&self, now: BootMs, bound_ms: u64) -> bool {
        self.age_ms(now).is_some_and(|age_ms| age_ms <= bound_ms)
    }
}
