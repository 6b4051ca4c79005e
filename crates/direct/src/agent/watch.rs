//! Takes over from a leader that goes silent while a rank holds a pass for it.
//!
//! The group stands until the pass goes. The other members wait for 0.6 s and more before one of them
//! leads; some know sooner, because the leader polls them in every tick meanwhile. The agent of the rank
//! that holds comes first: it also knows whether the rank beside the leader is armed.

use super::datagram::Watch;
use super::lead;
use super::member::Member;
use super::state::Watched;
use crate::clock::boot_now;
use hickorycross_core::map_change::Witness;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// Silence of a leader that polls every 20 ms from which it counts as gone: four lost polls in a row.
const LEADER_SILENT_MS: u64 = 100;

/// Silence added for each agent that takes over sooner: its first polls are there by then.
const SILENT_PER_PLACE_MS: u64 = 60;

/// Pause between looks, a poll's pause.
const LOOK_MS: u64 = 20;

/// Notes that a leader lives that this agent is to watch.
pub(super) fn begin(member: &Rc<Member>, machine: IpAddr, fence: u64, watch: Watch) {
    if fence < member.highest_fence.get() {
        return;
    }
    if watch.is_witness {
        be_witness(member, fence);
    }
    let watched = Watched { machine, fence, place: watch.place, heard_at: boot_now() };
    if member.watched.replace(Some(watched)).is_none() {
        tokio::task::spawn_local(follow(Rc::clone(member)));
    }
}

/// Notes that a watched leader lives. An agent that is no longer asked to watch would take over otherwise.
pub(super) fn go_on(member: &Member, fence: u64) {
    if let Some(watched) = member.watched.get().filter(|watched| watched.fence <= fence) {
        member.watched.set(Some(Watched { heard_at: boot_now(), ..watched }));
    }
}

/// Notes that a leader needs no watch any more. Whether the own rank still holds is seen at the rank itself.
pub(super) fn end(member: &Member, fence: u64) {
    let is_over = |watched: Watched| watched.fence <= fence && watched.place > 0;
    if member.watched.get().is_some_and(is_over) {
        member.watched.set(None);
    }
}

/// Notes that from now on this agent alone orders the rank beside the leader to switch.
fn be_witness(member: &Member, fence: u64) {
    let is_known = member.witness.get().is_some_and(|witness| witness.fence == fence);
    if let Some(rank) = lead::rank_of(fence)
        && !is_known
    {
        member.witness.set(Some(Witness { fence, rank, ordered: None }));
    }
}

async fn follow(member: Rc<Member>) {
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let Some(watched) = member.watched.get() else { return };
        if member.highest_fence.get() > watched.fence {
            // Another one leads by now, or this one has gone on without being watched.
            break;
        }
        let silent_ms = LEADER_SILENT_MS + u64::from(watched.place) * SILENT_PER_PLACE_MS;
        if boot_now().since(watched.heard_at) < silent_ms {
            continue;
        }
        match member.engine.report().await {
            // Whether another rank still holds only that one's agent knows.
            Ok(report) if report.held_step.is_some() || watched.place > 0 => {
                member.silent.give_up(watched.machine);
                lead::take_over(&member, watched.fence).await;
                break;
            }
            // The change is over.
            Ok(_) => break,
            // Asked again in the next look.
            Err(_) => {}
        }
    }
    member.watched.set(None);
}
