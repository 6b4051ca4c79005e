//! An agent that leads its group: it decides, polls the members and sends orders.

use super::datagram::Datagram;
use super::member::Member;
use super::polls::Polls;
use super::silent;
use crate::clock::{boot_now, wall_ms};
use crate::decision_log::DecisionLog;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{Leader, LeaderAction, LeaderNote};
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Pause between decisions of a leader.
const TICK_MS: u64 = 20;

/// Silence of a leader after which the member of rank 0 leads: several polls.
const LEADER_SILENT_MS: u64 = 600;

/// Silence added for each rank, so that members do not begin to lead at the same moment.
const SILENT_PER_RANK_MS: u64 = 60;

/// Most silence added for a rank: the group must not stand still for long in a large one.
const MOST_ADDED_SILENCE_MS: u64 = 1_200;

/// Lower digits of a fence tell leaders apart that began in the same millisecond.
const FENCES_PER_MS: u64 = 1 << 10;

/// Leads whenever no leader is heard, for ever.
pub(crate) async fn lead(member: Rc<Member>) {
    let mut polls = Polls::default();
    loop {
        // A change stands still between an answer and the next look at it.
        let _ = tokio::time::timeout(Duration::from_millis(TICK_MS), member.news.notified()).await;
        let now = boot_now();
        begin_if_silent(&member, now).await;
        let Some(dimensions) = member.fleet.dimensions() else { continue };
        let (actions, poll, is_busy) = {
            let mut leading = member.leader.borrow_mut();
            let Some(leader) = leading.as_mut() else { continue };
            let actions = leader.tick(now, &dimensions);
            let (fence, known_map) = (leader.fence(), leader.known_map());
            let group = leader.group().to_owned();
            let is_busy = leader.is_busy();
            if leader.is_deposed() {
                *leading = None;
            }
            let wants_counts = polls.wants_counts(is_busy, member.fleet.machines().len());
            (actions, Datagram::Poll { group, fence, known_map, wants_counts }, is_busy)
        };
        carry_out(&member, actions).await;
        for machine in polls.due(now, member.fleet.machines(), is_busy) {
            member.send(SocketAddr::new(machine, member.port), &poll).await;
        }
    }
}

/// Begins to lead when no leader was heard for some time.
async fn begin_if_silent(member: &Member, now: BootMs) {
    if member.leader.borrow().is_some() {
        return;
    }
    let own_rank = member.own_rank.get();
    let added_ms = u64::from(own_rank.unwrap_or(0)) * SILENT_PER_RANK_MS;
    let patience_ms = LEADER_SILENT_MS + added_ms.min(MOST_ADDED_SILENCE_MS);
    if now.since(member.leader_heard_at.get()) < patience_ms {
        return;
    }
    member.leader_heard_at.set(now);
    let Ok(report) = member.engine.report().await else { return };
    let Some(seat) = report.seat else { return };
    member.own_rank.set(Some(seat.rank));
    *member.own_group.borrow_mut() = Some(seat.group.clone());
    let fence = (wall_ms() * FENCES_PER_MS).max(member.highest_fence.get() + FENCES_PER_MS);
    let fence = fence / FENCES_PER_MS * FENCES_PER_MS + u64::from(seat.rank) % FENCES_PER_MS;
    member.highest_fence.set(fence);
    let salt = rand::rng().random::<u64>();
    *member.leader.borrow_mut() = Some(Leader::new(&seat.group, seat.rank, fence, salt));
    let line = DecisionLog::fields("leader").with("fence", fence).with("rank", seat.rank);
    member.log.note(line.with("outcome", "leads"));
}

async fn carry_out(member: &Rc<Member>, actions: Vec<LeaderAction>) {
    for action in actions {
        match action {
            LeaderAction::Note(note) => note_decision(member, &note),
            LeaderAction::Send { rank, number, order } => {
                let to = member.ranks.borrow().get(&rank).copied();
                if let Some(engine) = member.silent.engine(rank) {
                    silent::order(member, engine, rank, number, order);
                } else if let Some(to) = to {
                    member.send(to, &Datagram::Order { number, order }).await;
                }
            }
        }
    }
}

fn note_decision(member: &Member, note: &LeaderNote) {
    metrics::counter!("hickorycross_map_changes_total", "cause" => note.cause).increment(1);
    let line = DecisionLog::fields("map-change").with("cause", note.cause);
    let line = line.with("phase", note.phase).with("version", note.version);
    let line = line.with("epoch", note.epoch).with("fence", note.fence).with("step", note.step);
    let bottleneck = note.bottleneck_permille;
    let line = line.with_some("bottleneck_before_permille", bottleneck.map(|it| it.0));
    member.log.note(line.with_some("bottleneck_after_permille", bottleneck.map(|it| it.1)));
}
