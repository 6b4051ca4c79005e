//! Watches the leader while a rank holds a pass for it, and takes over if the leader goes silent.
//!
//! The group stalls until the held pass is released. The other members wait for at least 0.6 s
//! before one of them begins to lead; the watching agents know sooner, because the leader polls
//! them at every tick meanwhile. The agent of the rank that holds comes first, because it also
//! knows whether the leader's rank is armed.

use super::datagram::WatchAssignment;
use super::lead;
use super::member::Member;
use super::state::WatchedLeader;
use crate::clock::boot_now;
use hickorycross_core::map_change::Witness;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// Silence of a leader that polls every 20 ms after which it counts as failed: four lost polls in a
/// row.
const MAX_LEADER_SILENCE_MS: u64 = 100;

/// Additional silence for each agent that takes over before this one, in which the first polls of
/// that agent arrive.
const EXTRA_SILENCE_PER_PREDECESSOR_MS: u64 = 60;

/// Interval between checks, the same as between polls.
const CHECK_INTERVAL_MS: u64 = 20;

/// Processes a poll of a leader that asks this agent to watch it.
pub(super) fn start_or_refresh(
    member: &Rc<Member>,
    machine: IpAddr,
    fence: u64,
    watch: WatchAssignment,
) {
    if fence < member.highest_fence.get() {
        return;
    }
    if watch.is_witness {
        become_witness(member, fence);
    }
    let watched =
        WatchedLeader { machine, fence, predecessors: watch.predecessors, heard_at: boot_now() };
    if member.watched_leader.replace(Some(watched)).is_none() {
        tokio::task::spawn_local(run(Rc::clone(member)));
    }
}

/// Records that the watched leader is alive. Without this, an agent that is no longer asked to
/// watch would take over.
pub(super) fn refresh(member: &Member, fence: u64) {
    if let Some(watched) = member.watched_leader.get().filter(|watched| watched.fence <= fence) {
        member.watched_leader.set(Some(WatchedLeader { heard_at: boot_now(), ..watched }));
    }
}

/// Stops watching a leader that no longer needs it. The agent of the rank that holds continues, and
/// checks at its rank whether the pass is still held.
pub(super) fn stop(member: &Member, fence: u64) {
    let is_over = |watched: WatchedLeader| watched.fence <= fence && watched.predecessors > 0;
    if member.watched_leader.get().is_some_and(is_over) {
        member.watched_leader.set(None);
    }
}

/// Records that from now on this agent alone arms the rank of the leader.
fn become_witness(member: &Member, fence: u64) {
    let is_known = member.witness.get().is_some_and(|witness| witness.fence == fence);
    if let Some(rank) = lead::rank_of(fence)
        && !is_known
    {
        member.witness.set(Some(Witness { fence, rank, ordered: None }));
    }
}

/// Takes over when the watched leader goes silent, or ends when it is not to be watched any more.
async fn run(member: Rc<Member>) {
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let Some(watched) = member.watched_leader.get() else { return };
        if member.highest_fence.get() > watched.fence {
            // Another agent leads, or this leader went on without being watched.
            break;
        }
        let silent_ms = MAX_LEADER_SILENCE_MS
            + u64::from(watched.predecessors) * EXTRA_SILENCE_PER_PREDECESSOR_MS;
        if boot_now().since(watched.heard_at) < silent_ms {
            continue;
        }
        match member.rank_client.report().await {
            // Only the agent of the rank that holds can tell whether that rank still does.
            Ok(report) if report.held_step.is_some() || watched.predecessors > 0 => {
                member.silent_ranks.note_replaced(watched.machine);
                lead::take_over(&member, watched.fence).await;
                break;
            }
            // The pass has been released, so the change is over.
            Ok(_) => break,
            // Retried at the next check.
            Err(_) => {}
        }
    }
    member.watched_leader.set(None);
}
