//! An agent that leads its group: it decides, polls the members and sends orders.

use super::afar;
use super::datagram::Datagram;
use super::member::Member;
use super::polls::Polls;
use super::rank::RankSeat;
use super::relay::Relays;
use crate::clock::{boot_now, wall_ms};
use crate::decision_log::DecisionLog;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{Deposed, Leader, LeaderAction, LeaderNote, RankOrder};
use rand::RngExt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Pause between decisions of a leader.
const TICK_MS: u64 = 20;

/// Silence of a leader after which the member of rank 0 leads: several polls.
const LEADER_SILENT_MS: u64 = 600;

/// The same for a member that has heard no leader since it learnt of the group's machines: a round of
/// polls. After all machines have lost power the group is back within a second, and needs a map at once.
const NEVER_HEARD_MS: u64 = 130;

/// Silence added for each rank, so that members do not begin to lead at the same moment.
const SILENT_PER_RANK_MS: u64 = 60;

/// Most silence added for a rank: the group must not stand still for long in a large one.
const MOST_ADDED_SILENCE_MS: u64 = 1_200;

/// Lower digits of a fence tell leaders apart that began in the same millisecond.
const FENCES_PER_MS: u64 = 1 << 10;

/// Leads whenever no leader is heard, for ever.
pub(crate) async fn lead(member: Rc<Member>) {
    let mut polls = Polls::default();
    let mut poll_holder_at = BootMs(0);
    loop {
        // A change stands still between an answer and the next look at it.
        let _ = tokio::time::timeout(Duration::from_millis(TICK_MS), member.news.notified()).await;
        let now = boot_now();
        begin_if_silent(&member, now).await;
        let Some(dimensions) = member.fleet.dimensions() else { continue };
        let (actions, poll, holder, is_busy) = {
            let mut leading = member.leader.borrow_mut();
            let Some(leader) = leading.as_mut() else { continue };
            let actions = leader.tick(now, &dimensions);
            let (fence, known_map) = (leader.fence(), leader.known_map());
            let group = leader.group().to_owned();
            let (holder, is_busy) = (leader.holder(), leader.is_busy());
            if leader.is_deposed() {
                *leading = None;
            }
            // While a pass is held the link is for orders and their ends.
            let wants_counts =
                holder.is_none() && polls.wants_counts(is_busy, member.fleet.machines().len());
            let poll = Datagram::Poll { group, fence, known_map, wants_counts, holds: false };
            (actions, poll, holder, is_busy)
        };
        carry_out(&member, actions).await;
        if let Some(holder) = holder
            && now >= poll_holder_at
        {
            // Each answer brings the loop here again; without a pause both would do nothing else.
            poll_holder_at = now.after(TICK_MS);
            poll_holder(&member, holder, &poll).await;
        }
        for machine in polls.due(now, member.fleet.machines(), is_busy) {
            member.send(SocketAddr::new(machine, member.port), &poll).await;
        }
    }
}

/// Asks the agent of the rank that holds, which also tells it that the leader lives.
async fn poll_holder(member: &Member, holder: u16, poll: &Datagram) {
    let Datagram::Poll { group, fence, known_map, .. } = poll else { return };
    let Some(to) = member.ranks.borrow().get(&holder).copied() else { return };
    let (group, fence, known_map) = (group.clone(), *fence, *known_map);
    let poll = Datagram::Poll { group, fence, known_map, wants_counts: false, holds: true };
    member.send(to, &poll).await;
}

/// Begins to lead when no leader was heard for some time.
async fn begin_if_silent(member: &Member, now: BootMs) {
    if member.leader.borrow().is_some() {
        return;
    }
    // A leader that knows nobody to poll is heard by nobody, and all others would lead as well.
    if member.fleet.machines().is_empty() {
        member.leader_heard_at.set(now);
        return;
    }
    // Without its rank's number each of many agents that start together would take itself for the first.
    let Some(own_rank) = own_rank(member).await else { return };
    let added_ms = u64::from(own_rank) * SILENT_PER_RANK_MS;
    let has_heard = member.highest_fence.get() > 0;
    let silent_ms = if has_heard { LEADER_SILENT_MS } else { NEVER_HEARD_MS };
    let patience_ms = silent_ms + added_ms.min(MOST_ADDED_SILENCE_MS);
    if now.since(member.leader_heard_at.get()) < patience_ms {
        return;
    }
    member.leader_heard_at.set(now);
    let Ok(report) = member.engine.report().await else { return };
    if let Some(seat) = report.seat {
        begin(member, &seat, None);
    }
}

/// The number of the own rank, asked for until it is known.
async fn own_rank(member: &Member) -> Option<u16> {
    if member.own_rank.get().is_none() {
        let seat = member.engine.report().await.ok()?.seat?;
        member.own_rank.set(Some(seat.rank));
    }
    member.own_rank.get()
}

/// Begins to lead in place of the leader with `fence`, which went silent while the own rank holds.
pub(super) async fn take_over(member: &Member, fence: u64) {
    let Ok(report) = member.engine.report().await else { return };
    let Some(seat) = report.seat else { return };
    let ordered = member.armed_beside.get().filter(|ordered| ordered.fence == fence);
    let is_armed = ordered.is_some_and(|ordered| ordered.is_armed);
    // An order without an answer leaves in doubt whether that rank is armed: then it must be asked.
    let is_known = ordered.is_none() || is_armed;
    let rank = u16::try_from(fence % FENCES_PER_MS).ok().filter(|rank| *rank != seat.rank);
    begin(member, &seat, rank.filter(|_| is_known).map(|rank| Deposed { rank, is_armed }));
    member.news.notify_one();
}

fn begin(member: &Member, seat: &RankSeat, deposed: Option<Deposed>) {
    member.own_rank.set(Some(seat.rank));
    *member.own_group.borrow_mut() = Some(seat.group.clone());
    let fence = (wall_ms() * FENCES_PER_MS).max(member.highest_fence.get() + FENCES_PER_MS);
    let fence = fence / FENCES_PER_MS * FENCES_PER_MS + u64::from(seat.rank) % FENCES_PER_MS;
    member.highest_fence.set(fence);
    let salt = rand::rng().random::<u64>();
    let leader = Leader::take_over(&seat.group, seat.rank, fence, salt, deposed);
    let leader = if member.heeds_fences { leader } else { leader.without_fences() };
    *member.leader.borrow_mut() = Some(leader);
    let line = DecisionLog::fields("leader").with("fence", fence).with("rank", seat.rank);
    let line = line.with_some("instead_of", deposed.map(|deposed| deposed.rank));
    let line = line.with_some("that_rank_is_armed", deposed.map(|deposed| deposed.is_armed));
    member.log.note(line.with("outcome", "leads"));
}

async fn carry_out(member: &Rc<Member>, mut actions: Vec<LeaderAction>) {
    let mut relays = Relays::take_from(&mut actions);
    for action in actions {
        match action {
            LeaderAction::Note(note) => note_decision(member, &note),
            LeaderAction::Send { rank, giver, number, order, .. } if giver == rank => {
                relays.give(member, rank, number, order).await;
            }
            LeaderAction::Send { rank, giver, number, order, .. } => {
                give(member, rank, giver, number, order).await;
            }
        }
    }
}

/// Has an order given: by the agent beside the rank, by this one, or by another.
pub(super) async fn give(
    member: &Rc<Member>,
    rank: u16,
    giver: u16,
    number: u64,
    order: RankOrder,
) {
    let agent_of = |rank: u16| member.ranks.borrow().get(&rank).copied();
    if giver != rank && member.own_rank.get() == Some(giver) {
        let Some(holder) = agent_of(rank) else { return };
        afar::hold(member, holder, rank, number, order);
    } else if giver != rank {
        let Some(to) = agent_of(giver) else { return };
        member.send(to, &Datagram::ArmBeside { rank, number, order }).await;
    } else if let Some(engine) = member.silent.engine(rank) {
        afar::order(member, engine, rank, number, order);
    } else if let Some(to) = agent_of(rank) {
        member.send(to, &Datagram::Order { number, order }).await;
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
