//! Leads the group: begins to lead when no leader is heard, decides, polls the members and sends
//! orders.

use super::datagram::{Datagram, Poll};
use super::dispatch::dispatch;
use super::link_traffic::LOG_INTERVAL_MS;
use super::member::Member;
use super::rank::GroupMembership;
use super::relay::Relays;
use super::silent_ranks::MAX_SILENCE_MS;
use super::watchers::Watchers;
use crate::clock::{boot_now, wall_ms};
use crate::decision_log::DecisionLog;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{
    Leader, LeaderAction, LeaderNote, PollSchedule, PollScope, SectionPoll, Sections, UnevenNote,
    machines_of_group,
};
use rand::RngExt;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Maximum time between two decisions of the leader.
const TICK_MS: u64 = 20;

/// Silence of the leader after which the agent of rank 0 begins to lead: several polls.
const MAX_LEADER_SILENCE_MS: u64 = 600;

/// The same for an agent that has not heard any leader since it learned the group's instances: one
/// round of polls. After a power loss of all instances the group is back within a second and needs
/// a map at once.
const INITIAL_LEADER_SILENCE_MS: u64 = 130;

/// Additional silence per rank number, so that agents do not begin to lead at the same moment. The
/// first polls of a new leader arrive after a tenth of it.
const EXTRA_SILENCE_PER_RANK_MS: u64 = 60;

/// Number of ranks to which [`EXTRA_SILENCE_PER_RANK_MS`] applies. It is rare that all of these
/// fail together.
const WIDELY_SPACED_RANKS: u64 = 20;

/// Additional silence per rank number beyond these. Without it, 89 agents of a group of 129 ranks
/// began to lead within 1.5 s of their start.
const EXTRA_SILENCE_PER_FURTHER_RANK_MS: u64 = 15;

/// Number of fencing numbers per millisecond. The low digits of a fencing number contain the
/// leader's rank, which distinguishes leaders that begin in the same millisecond.
const FENCES_PER_MS: u64 = 1 << 10;

/// Metric: time for which the group that this agent leads has not had a balanced map; 0 while the
/// agent does not lead.
const UNEVEN_SECONDS: &str = "hickorycross_group_uneven_seconds";

/// Leads the group whenever no other leader is heard, continuously.
pub(crate) async fn run(member: Rc<Member>) {
    let mut polls = PollSchedule::default();
    let mut scope = PollScope::default();
    let mut poll_watchers_at = BootMs(0);
    let mut last_tick_at = boot_now();
    let mut was_held = false;
    let mut watchers = Watchers::default();
    loop {
        // Answers wake the loop, because a map change makes no progress until they are processed.
        let _ =
            tokio::time::timeout(Duration::from_millis(TICK_MS), member.leader_wakeup.notified())
                .await;
        let now = boot_now();
        member.link_traffic.note_pause(now.since(last_tick_at));
        last_tick_at = now;
        lead_if_silent(&member, now).await;
        let leads = member.leader.borrow().is_some();
        member.fleet.require_instances(if leads { member.ranks_of_group.get() } else { 0 });
        let Some(dimensions) = member.fleet.dimensions() else { continue };
        let counts_per_rank =
            usize::from(dimensions.layers) * usize::from(dimensions.experts_per_layer);
        let (actions, poll, is_busy, is_held, has_silent_ranks) = {
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
            let has_silent_ranks = !leader.silent_ranks(now, MAX_SILENCE_MS).is_empty();
            log_uneven(&member.log, leader, now);
            if leader.is_deposed() {
                *leading = None;
                let line = DecisionLog::fields("leader").with("fence", fence);
                member.log.note(line.with("outcome", "deposed"));
            }
            let is_watched = watchers.are_needed();
            let poll =
                Poll { group, fence, known_map, wants_counts: false, watch: None, is_watched };
            (actions, poll, is_busy, is_held, has_silent_ranks)
        };
        if is_held && !was_held {
            polls.poll_all_next();
        }
        was_held = is_held;
        let machines = machines_to_poll(&member, &mut scope, now, has_silent_ranks);
        let sections = Sections::of(&machines, counts_per_rank);
        member.poll_round_ms.set(sections.round_ms());
        // While a pass is held the link is reserved for orders and their results.
        let sections = if is_held { sections.without_counts() } else { sections };
        let wants_counts = !is_held && polls.wants_counts(&sections, is_busy);
        let poll = Poll { wants_counts, ..poll };
        perform(&member, actions).await;
        if now >= poll_watchers_at {
            // Every answer wakes this loop. Without a minimum interval, polls and answers would
            // trigger each other continuously.
            poll_watchers_at = now.after(TICK_MS);
            watchers.poll(&member, &poll).await;
        }
        for section_poll in polls.due(now, &sections, is_busy) {
            poll_section(&member, section_poll, &poll).await;
        }
    }
}

/// Returns the instances to poll, with their failure domains: those of the group, or all of the service
/// while the agent of a rank is looked for.
fn machines_to_poll(
    member: &Member,
    scope: &mut PollScope,
    now: BootMs,
    has_silent_ranks: bool,
) -> Vec<(String, IpAddr)> {
    let machines = member.fleet.machines();
    let agents = member.agents.borrow();
    let ranks = member.ranks_of_group.get();
    if scope.is_whole_service(now, &agents, ranks, has_silent_ranks) {
        return machines;
    }
    machines_of_group(machines, &agents)
}

/// Polls the agents of a section, through a collector if there are several.
async fn poll_section(member: &Member, section_poll: SectionPoll, poll: &Poll) {
    let agent_on = |machine| SocketAddr::new(machine, member.port);
    let SectionPoll { section, collector, others } = section_poll;
    let poll = poll.clone();
    let datagram = if others.is_empty() {
        Datagram::Poll(poll)
    } else {
        Datagram::Collect { section, poll, others: others.into_iter().map(agent_on).collect() }
    };
    member.send(agent_on(collector), &datagram).await;
}

/// Begins to lead if no leader has been heard for long enough.
async fn lead_if_silent(member: &Member, now: BootMs) {
    if member.leader.borrow().is_some() {
        return;
    }
    // At a start, all agents would otherwise begin to lead one after another: a leader that does
    // not know the dimensions of its group polls nobody, and an agent whose instance is not listed
    // yet is not polled by other leaders.
    let is_listed = member.fleet.machines().iter().any(|(_, machine)| *machine == member.machine);
    if !is_listed || member.fleet.dimensions().is_none() {
        member.leader_heard_at.set(now);
        return;
    }
    // Without its rank number, each of many agents that start together would take itself for rank
    // 0.
    let Some(own_rank) = own_rank(member).await else { return };
    let has_heard = member.highest_fence.get() > 0;
    let silent_ms = if has_heard { MAX_LEADER_SILENCE_MS } else { INITIAL_LEADER_SILENCE_MS };
    let max_silence_ms = silent_ms + extra_silence_ms(u64::from(own_rank));
    if now.since(member.leader_heard_at.get()) < max_silence_ms {
        return;
    }
    member.leader_heard_at.set(now);
    let Ok(report) = member.rank_client.report().await else { return };
    if let Some(membership) = report.membership {
        start_leading(member, &membership, None);
    }
}

/// Returns the additional silence of a leader that the agent of a rank waits for.
fn extra_silence_ms(rank: u64) -> u64 {
    let further = rank.saturating_sub(WIDELY_SPACED_RANKS);
    rank.min(WIDELY_SPACED_RANKS) * EXTRA_SILENCE_PER_RANK_MS
        + further * EXTRA_SILENCE_PER_FURTHER_RANK_MS
}

/// Returns the number of the own rank, which is read from the rank until it is known.
async fn own_rank(member: &Member) -> Option<u16> {
    if member.own_rank.get().is_none() {
        let membership = member.rank_client.report().await.ok()?.membership?;
        member.own_rank.set(Some(membership.rank));
    }
    member.own_rank.get()
}

/// Returns the rank of the leader with a fencing number.
pub(super) fn rank_of(fence: u64) -> Option<u16> {
    u16::try_from(fence % FENCES_PER_MS).ok()
}

/// Begins to lead in place of the leader with a fencing number, which went silent while a rank
/// holds a pass.
pub(super) async fn take_over(member: &Member, fence: u64) {
    let Ok(report) = member.rank_client.report().await else { return };
    let Some(membership) = report.membership else { return };
    start_leading(member, &membership, rank_of(fence).filter(|rank| *rank != membership.rank));
    member.leader_wakeup.notify_one();
}

/// Begins to lead with a new, higher fencing number. `instead_of` is the rank of the leader that is
/// replaced while a pass may be held for it.
fn start_leading(member: &Member, membership: &GroupMembership, instead_of: Option<u16>) {
    member.own_rank.set(Some(membership.rank));
    member.ranks_of_group.set(usize::from(membership.ranks));
    *member.own_group.borrow_mut() = Some(membership.group.clone());
    let fence = (wall_ms() * FENCES_PER_MS).max(member.highest_fence.get() + FENCES_PER_MS);
    let fence = fence / FENCES_PER_MS * FENCES_PER_MS + u64::from(membership.rank) % FENCES_PER_MS;
    member.highest_fence.set(fence);
    let salt = rand::rng().random::<u64>();
    let leader = Leader::new(&membership.group, membership.rank, fence, salt);
    let leader = if instead_of.is_some() { leader.with_possible_hold(boot_now()) } else { leader };
    let leader = if member.enforces_fences { leader } else { leader.without_fences() };
    *member.leader.borrow_mut() = Some(leader);
    let line = DecisionLog::fields("leader").with("fence", fence).with("rank", membership.rank);
    let line = line.with_some("instead_of", instead_of).with("ranks", membership.ranks);
    member.log.note(line.with("machines", member.fleet.machines().len()).with("outcome", "leads"));
}

/// Performs the actions that the leader has decided on.
async fn perform(member: &Rc<Member>, mut actions: Vec<LeaderAction>) {
    let mut relays = Relays::extract_from(&mut actions);
    for action in actions {
        match action {
            LeaderAction::Note(note) => log_decision(member, &note),
            LeaderAction::Send { rank, delivered_by, number, order, .. }
                if delivered_by == rank =>
            {
                relays.dispatch(member, rank, number, order).await;
            }
            LeaderAction::Send { rank, delivered_by, number, order, .. } => {
                dispatch(member, rank, delivered_by, number, order).await;
            }
        }
    }
}

/// Logs and counts a decision.
fn log_decision(member: &Member, note: &LeaderNote) {
    metrics::counter!("hickorycross_map_changes_total", "cause" => note.cause).increment(1);
    let line = DecisionLog::fields("map-change").with("cause", note.cause);
    let line = line.with("phase", note.phase).with("version", note.version);
    let line = line.with("epoch", note.epoch).with("fence", note.fence).with("step", note.step);
    let bottleneck = note.bottleneck_permille;
    let line = line.with_some("bottleneck_before_permille", bottleneck.map(|it| it.0));
    member.log.note(line.with_some("bottleneck_after_permille", bottleneck.map(|it| it.1)));
}

/// Records for how long the group has not had a balanced map, and logs why it gets no other one.
fn log_uneven(log: &DecisionLog, leader: &mut Leader, now: BootMs) {
    let uneven_s = leader.uneven_ms(now) as f64 / 1_000.0;
    metrics::gauge!(UNEVEN_SECONDS).set(uneven_s);
    let Some(UnevenNote { obstacle, uneven_ms, epoch }) = leader.uneven_note(now) else { return };
    let line = DecisionLog::fields("uneven").with("group", leader.group());
    let line = line.with("uneven_ms", uneven_ms).with_some("epoch", epoch);
    let line = line.with("fence", leader.fence()).with_some("rank", obstacle.rank());
    log.note(line.with_some("age_ms", obstacle.age_ms()).with("outcome", obstacle.as_str()));
}

/// Logs the traffic once per second while this agent leads, continuously.
pub(super) async fn log_link_traffic(member: Rc<Member>) {
    loop {
        tokio::time::sleep(Duration::from_millis(LOG_INTERVAL_MS)).await;
        let line = member.link_traffic.take_log_fields();
        if member.leader.borrow().is_some() {
            member.log.note(line);
        }
    }
}
