//! Takes over from a leader that goes silent while the own rank holds a pass for it.
//!
//! The group stands until the pass goes. The other members wait for 0.6 s and more before one of them
//! leads; the agent of the rank that holds knows sooner, because the leader polls it in every tick
//! meanwhile, and it can order its rank also when the leader's machine is frozen.

use super::lead;
use super::member::Member;
use super::state::Watched;
use crate::clock::boot_now;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

/// Silence of a leader that polls every 20 ms from which it counts as gone: four lost polls in a row.
const LEADER_SILENT_MS: u64 = 100;

/// Pause between looks, a poll's pause.
const LOOK_MS: u64 = 20;

/// Notes that a leader lives for which the own rank holds, or is about to.
pub(super) fn begin(member: &Rc<Member>, machine: IpAddr, fence: u64) {
    if fence < member.highest_fence.get() {
        return;
    }
    let watched = Watched { machine, fence, heard_at: boot_now() };
    if member.watched.replace(Some(watched)).is_none() {
        tokio::task::spawn_local(follow(Rc::clone(member)));
    }
}

async fn follow(member: Rc<Member>) {
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let Some(watched) = member.watched.get() else { return };
        if member.highest_fence.get() > watched.fence {
            // Another one leads by now.
            break;
        }
        if boot_now().since(watched.heard_at) < LEADER_SILENT_MS {
            continue;
        }
        match member.engine.report().await {
            Ok(report) if report.held_step.is_some() => {
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
