//! An agent that leads its group: it decides, polls the members and sends orders.

use super::datagram::{Datagram, Poll};
use super::give::give;
use super::link::LINE_MS;
use super::member::Member;
use super::rank::GroupMembership;
use super::relay::Relays;
use super::watchers::Watchers;
use crate::clock::{boot_now, wall_ms};
use crate::decision_log::DecisionLog;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{
    Leader, LeaderAction, LeaderNote, PollSchedule, SectionPoll, Sections, UnevenNote,
};
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

/// Silence added for each rank, so that members do not begin to lead at the same moment: a new leader's
/// first polls are there after a tenth of it.
const SILENT_PER_RANK_MS: u64 = 60;

/// Ranks up to which so much is added. That all of them are gone together is rare.
const WIDELY_SPACED_RANKS: u64 = 20;

/// Silence added for each further rank. Without any, all of them begin to lead at once: 89 agents of a
/// group of 129 did so within 1.5 s after their start.
const SILENT_PER_FURTHER_RANK_MS: u64 = 15;

/// Lower digits of a fence tell leaders apart that began in the same millisecond.
const FENCES_PER_MS: u64 = 1 << 10;

/// Time for which the group that this agent leads has had no even map; 0 of one that does not lead.
const UNEVEN_SECONDS: &str = "hickorycross_group_uneven_seconds";

/// Leads whenever no leader is heard, for ever.
pub(crate) async fn lead(member: Rc<Member>) {
    let mut polls = PollSchedule::default();
    let mut poll_watchers_at = BootMs(0);
    let mut looked_at = boot_now();
    let mut was_held = false;
    let mut watchers = Watchers::default();
    loop {
        // A change stands still between an answer and the next look at it.
        let _ = tokio::time::timeout(Duration::from_millis(TICK_MS), member.news.notified()).await;
        let now = boot_now();
        member.link.note_pause(now.since(looked_at));
        looked_at = now;
        begin_if_silent(&member, now).await;
        let leads = member.leader.borrow().is_some();
        member.fleet.need(if leads { member.ranks_of_group.get() } else { 0 });
        let Some(dimensions) = member.fleet.dimensions() else { continue };
        let counts_per_rank =
            usize::from(dimensions.layers) * usize::from(dimensions.experts_per_layer);
        let machines = member.fleet.machines();
        let (actions, poll, is_busy, is_held) = {
            let mut leading = member.leader.borrow_mut();
            let Some(leader) = leading.as_mut() else {
                metrics::gauge!(UNEVEN_SECONDS).set(0.0);
                continue;
            };
            let mut actions = leader.decide(now, &dimensions);
            actions.extend(leader.due_orders(boot_now()));
            let (fence, known_map) = (leader.fence(), leader.known_map());
            let group = leader.group().to_owned();
            watchers.set(leader.watchers(), leader.witness_rank());
            let (is_busy, is_held) = (leader.is_busy(), leader.is_held());
            note_uneven(&member.log, leader, now);
            if leader.is_deposed() {
                *leading = None;
                let line = DecisionLog::fields("leader").with("fence", fence);
                member.log.note(line.with("outcome", "deposed"));
            }
            let is_watched = watchers.are_needed();
            let poll =
                Poll { group, fence, known_map, wants_counts: false, watch: None, is_watched };
            (actions, poll, is_busy, is_held)
        };
        if is_held && !was_held {
            polls.poll_all_next();
        }
        was_held = is_held;
        let sections = Sections::of(&machines, counts_per_rank);
        // While a pass is held the link is for orders and their ends.
        let sections = if is_held { sections.without_counts() } else { sections };
        let wants_counts = !is_held && polls.wants_counts(&sections, is_busy);
        let poll = Poll { wants_counts, ..poll };
        carry_out(&member, actions).await;
        if now >= poll_watchers_at {
            // Each answer brings the loop here again; without a pause both would do nothing else.
            poll_watchers_at = now.after(TICK_MS);
            watchers.poll(&member, &poll).await;
        }
        for asked in polls.due(now, &sections, is_busy) {
            ask(&member, asked, &poll).await;
        }
    }
}

async fn ask(member: &Member, asked: SectionPoll, poll: &Poll) {
    let at = |machine| SocketAddr::new(machine, member.port);
    let SectionPoll { section, collector, others } = asked;
    let poll = poll.clone();
    let datagram = if others.is_empty() {
        Datagram::Poll(poll)
    } else {
        Datagram::Collect { section, poll, others: others.into_iter().map(at).collect() }
    };
    member.send(at(collector), &datagram).await;
}

/// Begins to lead when no leader was heard for some time.
async fn begin_if_silent(member: &Member, now: BootMs) {
    if member.leader.borrow().is_some() {
        return;
    }
    // A leader that does not know the shape of its group polls nobody, and one whose machine is not listed
    // yet is not asked by others that lead; all would lead at a start, one after the other.
    let is_listed = member.fleet.machines().iter().any(|(_, machine)| *machine == member.machine);
    if !is_listed || member.fleet.dimensions().is_none() {
        member.leader_heard_at.set(now);
        return;
    }
    // Without its rank's number each of many agents that start together would take itself for the first.
    let Some(own_rank) = own_rank(member).await else { return };
    let has_heard = member.highest_fence.get() > 0;
    let silent_ms = if has_heard { LEADER_SILENT_MS } else { NEVER_HEARD_MS };
    let patience_ms = silent_ms + added_silence_ms(u64::from(own_rank));
    if now.since(member.leader_heard_at.get()) < patience_ms {
        return;
    }
    member.leader_heard_at.set(now);
    let Ok(report) = member.engine.report().await else { return };
    if let Some(membership) = report.membership {
        begin(member, &membership, None);
    }
}

fn added_silence_ms(rank: u64) -> u64 {
    let further = rank.saturating_sub(WIDELY_SPACED_RANKS);
    rank.min(WIDELY_SPACED_RANKS) * SILENT_PER_RANK_MS + further * SILENT_PER_FURTHER_RANK_MS
}

/// The number of the own rank, asked for until it is known.
async fn own_rank(member: &Member) -> Option<u16> {
    if member.own_rank.get().is_none() {
        let membership = member.engine.report().await.ok()?.membership?;
        member.own_rank.set(Some(membership.rank));
    }
    member.own_rank.get()
}

/// The rank beside the leader with `fence`.
pub(super) fn rank_of(fence: u64) -> Option<u16> {
    u16::try_from(fence % FENCES_PER_MS).ok()
}

/// Begins to lead in place of the leader with `fence`, which went silent while a rank holds.
pub(super) async fn take_over(member: &Member, fence: u64) {
    let Ok(report) = member.engine.report().await else { return };
    let Some(membership) = report.membership else { return };
    begin(member, &membership, rank_of(fence).filter(|rank| *rank != membership.rank));
    member.news.notify_one();
}

fn begin(member: &Member, membership: &GroupMembership, instead_of: Option<u16>) {
    member.own_rank.set(Some(membership.rank));
    member.ranks_of_group.set(usize::from(membership.ranks));
    *member.own_group.borrow_mut() = Some(membership.group.clone());
    let fence = (wall_ms() * FENCES_PER_MS).max(member.highest_fence.get() + FENCES_PER_MS);
    let fence = fence / FENCES_PER_MS * FENCES_PER_MS + u64::from(membership.rank) % FENCES_PER_MS;
    member.highest_fence.set(fence);
    let salt = rand::rng().random::<u64>();
    let leader = Leader::new(&membership.group, membership.rank, fence, salt);
    let leader = if instead_of.is_some() { leader.with_possible_hold(boot_now()) } else { leader };
    let leader = if member.heeds_fences { leader } else { leader.without_fences() };
    *member.leader.borrow_mut() = Some(leader);
    let line = DecisionLog::fields("leader").with("fence", fence).with("rank", membership.rank);
    let line = line.with_some("instead_of", instead_of).with("ranks", membership.ranks);
    member.log.note(line.with("machines", member.fleet.machines().len()).with("outcome", "leads"));
}

async fn carry_out(member: &Rc<Member>, mut actions: Vec<LeaderAction>) {
    let mut relays = Relays::take_from(&mut actions);
    for action in actions {
        match action {
            LeaderAction::Note(note) => note_decision(member, &note),
            LeaderAction::Send { rank, delivered_by, number, order, .. }
                if delivered_by == rank =>
            {
                relays.give(member, rank, number, order).await;
            }
            LeaderAction::Send { rank, delivered_by, number, order, .. } => {
                give(member, rank, delivered_by, number, order).await;
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

/// Says why a group that is uneven gets no other map, and for how long it has had no even one.
fn note_uneven(log: &DecisionLog, leader: &mut Leader, now: BootMs) {
    let uneven_s = leader.uneven_ms(now) as f64 / 1_000.0;
    metrics::gauge!(UNEVEN_SECONDS).set(uneven_s);
    let Some(UnevenNote { obstacle, uneven_ms, epoch }) = leader.uneven_note(now) else { return };
    let line = DecisionLog::fields("uneven").with("group", leader.group());
    let line = line.with("uneven_ms", uneven_ms).with_some("epoch", epoch);
    let line = line.with("fence", leader.fence()).with_some("rank", obstacle.rank());
    log.note(line.with_some("age_ms", obstacle.age_ms()).with("outcome", obstacle.as_str()));
}

/// Writes a line a second while this agent leads, for ever.
pub(super) async fn tell_link(member: Rc<Member>) {
    loop {
        tokio::time::sleep(Duration::from_millis(LINE_MS)).await;
        let line = member.link.take_line();
        if member.leader.borrow().is_some() {
            member.log.note(line);
        }
    }
}
