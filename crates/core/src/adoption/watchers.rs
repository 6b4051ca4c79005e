//! Selection of the processes that watch the platform's service for changes.

use crate::ids::InstanceId;
use crate::instance::{Instance, InstanceState};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64;

/// Watchers in each failure domain. With two, one may fail or be partitioned, and the failure
/// domain still does not depend on processes in others.
pub const WATCHERS_PER_FAILURE_DOMAIN: usize = 2;

/// Whether an instance watches the platform's service.
///
/// The watchers are the live instances with the highest hashes in each failure domain. Instances
/// that see different lists may disagree, so that a few more or fewer watch; the others still poll
/// the service from time to time. An instance that is not on the list watches.
#[must_use]
pub fn is_watcher(own: &InstanceId, instances: &[Instance]) -> bool {
    let Some(home) = instances.iter().find(|instance| instance.id == *own) else {
        return true;
    };
    let mut peers: Vec<_> = instances
        .iter()
        .filter(|instance| instance.state == InstanceState::Live)
        .filter(|instance| instance.failure_domain == home.failure_domain)
        .map(|instance| &instance.id)
        .collect();
    peers.sort_by_key(|id| Reverse((xxh3_64(id.0.as_bytes()), (*id).clone())));
    peers.iter().take(WATCHERS_PER_FAILURE_DOMAIN).any(|id| *id == own)
}
