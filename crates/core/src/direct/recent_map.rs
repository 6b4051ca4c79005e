//! A bounded map that forgets what was not added for some time.

use super::BootMs;
use indexmap::IndexMap;
use std::hash::Hash;
use std::mem;

/// A map of two generations; the older one is dropped when the newer one is full or old enough.
///
/// An entry is kept for `kept_ms` at least and for twice as long at most, unless more than
/// `max_entries` others follow.
#[derive(Clone, Debug)]
pub(super) struct RecentMap<K, V> {
    newer: IndexMap<K, V>,
    older: IndexMap<K, V>,
    rotated_at: BootMs,
    kept_ms: u64,
    max_entries: usize,
}

impl<K: Eq + Hash, V> RecentMap<K, V> {
    /// Creates an empty map.
    pub(super) fn new(kept_ms: u64, max_entries: usize) -> Self {
        let (newer, older) = (IndexMap::new(), IndexMap::new());
        Self { newer, older, rotated_at: BootMs(0), kept_ms, max_entries }
    }

    /// Adds an entry, or replaces its value.
    pub(super) fn insert(&mut self, key: K, value: V, now: BootMs) {
        if self.newer.len() >= self.max_entries && !self.newer.contains_key(&key) {
            self.rotate(now);
        }
        self.newer.insert(key, value);
    }

    /// Returns the value of a key.
    pub(super) fn get(&self, key: &K) -> Option<&V> {
        self.newer.get(key).or_else(|| self.older.get(key))
    }

    /// Returns the value of a key for a change, which does not prolong the time it is kept.
    pub(super) fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        match self.newer.get_mut(key) {
            Some(value) => Some(value),
            None => self.older.get_mut(key),
        }
    }

    /// Returns whether a key is kept.
    pub(super) fn contains(&self, key: &K) -> bool {
        self.get(key).is_some()
    }

    /// Drops what is old enough.
    pub(super) fn expire(&mut self, now: BootMs) {
        if now.since(self.rotated_at) >= self.kept_ms {
            self.rotate(now);
        }
    }

    fn rotate(&mut self, now: BootMs) {
        self.older = mem::take(&mut self.newer);
        self.rotated_at = now;
    }
}
