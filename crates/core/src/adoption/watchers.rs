//! Which processes watch the platform's service.

use crate::ids::InstanceId;
use crate::instance::{Instance, InstanceState};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64;

/// Watchers in each failure domain: one may die or be cut off without the domain being left to
/// its peers.
pub const WATCHERS_PER_FAILURE_DOMAIN: usize = 2;

/// Whether an instance watches the platform's service: the few with the highest hash among the
/// live instances of their failure domain. Instances that see distinct lists may disagree; then a
/// few more or fewer watch, and those that do not watch still read now and then.
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
