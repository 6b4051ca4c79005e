//! An agent as a member of its group: it answers a leader's polls and carries its orders out.

use super::afar::{self, ArmedBeside, UnderWay, is_current};
use super::collect::{self, Collecting};
use super::datagram::{Datagram, MOST_DATAGRAM_BYTES, Poll};
use super::execute::{SHOW_PAUSE_MS, execute};
use super::fleet::Fleet;
use super::link::{LinkLoad, Way};
use super::rank::{ExpertCounts, RankEngine, RankEngines};
use super::relay;
use super::silent::SilentRanks;
use super::status::status;
use super::watch::{self, Watched};
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{
    Collected, KnownMaps, Leader, OrderEnd, OrderKind, RankOrder, RankStatus, UnknownMap,
};
use indexmap::IndexMap;
use std::cell::{Cell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Ends of orders that are kept for a leader that asks again.
const MOST_KEPT_ENDS: usize = 64;

/// A member of a group.
pub(crate) struct Member {
    pub(crate) engine: Rc<dyn RankEngine>,
    pub(crate) engines: Rc<dyn RankEngines>,
    /// Whether ranks refuse orders with an old fence.
    pub(super) heeds_fences: bool,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) log: DecisionLog,
    pub(crate) socket: Rc<UdpSocket>,
    /// The machine that the agent and its rank share.
    pub(super) machine: IpAddr,
    pub(crate) port: u16,
    pub(crate) leader: RefCell<Option<Leader>>,
    /// Where the agents of ranks are.
    pub(super) ranks: RefCell<IndexMap<u16, SocketAddr>>,
    /// The highest fence of a leader heard, or of an order sent to the rank.
    pub(crate) highest_fence: Cell<u64>,
    pub(super) leader_heard_at: Cell<BootMs>,
    pub(crate) last_counts: RefCell<Option<ExpertCounts>>,
    /// Maps that were told of, for orders that tell changes.
    known_maps: RefCell<KnownMaps>,
    /// Orders under way or ended, by fence and number.
    orders: RefCell<IndexMap<(u64, u64), Option<OrderEnd>>>,
    pub(super) own_rank: Cell<Option<u16>>,
    /// How many ranks the own group has, as of when this agent began to lead.
    pub(super) ranks_of_group: Cell<usize>,
    /// The group of the own rank, once it is known.
    pub(super) own_group: RefCell<Option<String>>,
    /// Told when a leader has something new to decide upon.
    pub(crate) news: Notify,
    /// How long the own rank's work takes, in thousandths of the usual time.
    pub(crate) pace_permille: Cell<u32>,
    /// Ranks whose agents are not heard.
    pub(crate) silent: SilentRanks,
    /// Orders to ranks on other machines.
    pub(super) under_way: UnderWay,
    /// What this agent has ordered the rank beside another leader to do.
    pub(super) armed_beside: Cell<Option<ArmedBeside>>,
    /// The leader for which the own rank holds a pass.
    pub(super) watched: Cell<Option<Watched>>,
    /// What the link carries.
    pub(super) link: LinkLoad,
    /// Statuses that this agent collects for a leader.
    pub(super) collecting: Collecting,
}

impl Member {
    pub(crate) fn new(
        engines: Rc<dyn RankEngines>,
        heeds_fences: bool,
        backend: SocketAddr,
        fleet: Rc<Fleet>,
        log: DecisionLog,
        socket: UdpSocket,
        port: u16,
    ) -> Rc<Self> {
        Rc::new(Self {
            engine: engines.beside(backend),
            machine: backend.ip(),
            engines,
            heeds_fences,
            fleet,
            log,
            socket: Rc::new(socket),
            port,
            leader: RefCell::new(None),
            ranks: RefCell::default(),
            highest_fence: Cell::new(0),
            leader_heard_at: Cell::new(boot_now()),
            last_counts: RefCell::new(None),
            known_maps: RefCell::default(),
            orders: RefCell::default(),
            own_rank: Cell::new(None),
            ranks_of_group: Cell::new(0),
            own_group: RefCell::new(None),
            news: Notify::new(),
            pace_permille: Cell::new(1_000),
            silent: SilentRanks::default(),
            under_way: UnderWay::default(),
            armed_beside: Cell::new(None),
            watched: Cell::new(None),
            link: LinkLoad::default(),
            collecting: Collecting::default(),
        })
    }

    pub(super) async fn send(&self, to: SocketAddr, datagram: &Datagram) {
        match datagram.to_bytes() {
            Ok(bytes) => {
                self.link.count(Way::Sent, datagram.kind(), bytes.len());
                if let Err(error) = self.socket.send_to(&bytes, to).await {
                    let line = DecisionLog::fields("datagram").with("to", to);
                    self.log.note_ordinary(line.with("error", error).with("outcome", "lost"));
                }
            }
            Err(error) => {
                let line = DecisionLog::fields("datagram").with("to", to);
                self.log.note(line.with("error", error).with("outcome", "not-sent"));
            }
        }
    }
}

/// Hears other agents for ever.
pub(crate) async fn hear(member: Rc<Member>) {
    let mut buffer = vec![0; MOST_DATAGRAM_BYTES];
    loop {
        let (length, from) = match member.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // A machine without a listener answers an earlier datagram with an error.
                member.log.note_ordinary(DecisionLog::fields("datagram").with("error", error));
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            }
        };
        match Datagram::read(&buffer[..length]) {
            Ok(datagram) => {
                member.link.count(Way::Heard, datagram.kind(), length);
                tokio::task::spawn_local(handle(Rc::clone(&member), from, datagram));
            }
            Err(error) => {
                let line = DecisionLog::fields("datagram").with("from", from);
                member.log.note(line.with("error", error).with("outcome", "unreadable"));
            }
        }
    }
}

async fn handle(member: Rc<Member>, from: SocketAddr, datagram: Datagram) {
    match datagram {
        Datagram::Poll(poll) => {
            if let Some(status) = answer(&member, &poll).await {
                member.send(from, &Datagram::Status(status)).await;
            }
        }
        Datagram::PollPart(poll) => {
            if let Some(status) = answer(&member, &poll).await {
                member.send(from, &Datagram::Part(status)).await;
            }
        }
        Datagram::Collect { section, poll, others } => {
            let is_of_group = heeds(&member, &poll).await;
            collect::begin(&member, from, section, poll, &others, is_of_group).await;
        }
        Datagram::Part(status) => collect::take_part(&member, from, status).await,
        Datagram::Collected(Collected { section, statuses, counts }) => {
            for (agent, status) in statuses {
                take_status(&member, agent, status);
            }
            if let Some(leader) = member.leader.borrow_mut().as_mut() {
                leader.on_collected(boot_now(), section, &counts);
            }
        }
        Datagram::Status(status) => take_status(&member, from, status),
        Datagram::Order { number, order } => take_order(&member, from, number, order).await,
        Datagram::Relay { number, order, legs } => {
            relay::pass_on(&member, from, &order, &legs).await;
            take_order(&member, from, number, order).await;
        }
        Datagram::Relayed { leader, number, order } => {
            take_order(&member, leader, number, order).await;
        }
        Datagram::ArmBeside { rank, number, order } => {
            if order.fence >= member.highest_fence.get() {
                afar::arm_beside(&member, from, rank, number, order).await;
            }
        }
        Datagram::End { rank, number, fence, end } => {
            if let Some(leader) = member.leader.borrow_mut().as_mut()
                && fence <= leader.fence()
            {
                leader.on_end(rank, number, end);
                member.news.notify_one();
            }
        }
    }
}

/// Hears a leader's question. Returns whether it is for this agent's group.
async fn heeds(member: &Rc<Member>, poll: &Poll) -> bool {
    if !is_own_group(member, &poll.group).await {
        return false;
    }
    hear_leader(member, poll.fence);
    if poll.holds {
        watch::begin(member, poll.fence);
    }
    true
}

/// The answer to a leader's question.
async fn answer(member: &Rc<Member>, poll: &Poll) -> Option<RankStatus> {
    if !heeds(member, poll).await {
        return None;
    }
    let status = status(member, poll.known_map, poll.wants_counts).await?;
    member.own_rank.set(Some(status.rank));
    Some(status)
}

/// Whether a leader's group is that of the own rank. The leader of another group must not be followed.
async fn is_own_group(member: &Member, group: &str) -> bool {
    if member.own_group.borrow().is_none()
        && let Ok(report) = member.engine.report().await
    {
        *member.own_group.borrow_mut() = report.seat.map(|seat| seat.group);
    }
    member.own_group.borrow().as_deref() == Some(group)
}

/// Notes that somebody leads.
fn hear_leader(member: &Member, fence: u64) {
    if fence >= member.highest_fence.get() {
        member.highest_fence.set(fence);
        member.leader_heard_at.set(boot_now());
        step_down(member, fence);
    }
}

/// Stops leading when another leader has a higher fence.
fn step_down(member: &Member, fence: u64) {
    let mut leader = member.leader.borrow_mut();
    if leader.as_ref().is_some_and(|leader| leader.fence() < fence) {
        *leader = None;
        let line = DecisionLog::fields("leader").with("fence", fence);
        member.log.note(line.with("outcome", "stepped-down"));
    }
}

fn take_status(member: &Member, from: SocketAddr, status: RankStatus) {
    let Some(dimensions) = member.fleet.dimensions() else { return };
    if member.own_group.borrow().as_deref() != Some(&status.group) {
        return;
    }
    member.ranks.borrow_mut().insert(status.rank, from);
    member.silent.heard(from.ip());
    let highest = member.highest_fence.get().max(status.highest_fence);
    member.highest_fence.set(highest);
    if let Some(leader) = member.leader.borrow_mut().as_mut() {
        leader.on_status(boot_now(), status, &dimensions);
        member.news.notify_one();
    }
}

async fn take_order(member: &Rc<Member>, from: SocketAddr, number: u64, order: RankOrder) {
    let fence = order.fence;
    if fence < member.highest_fence.get() {
        let end = OrderEnd::Fenced;
        let rank = member.own_rank.get().unwrap_or_default();
        member.send(from, &Datagram::End { rank, number, fence, end }).await;
        return;
    }
    member.highest_fence.set(fence);
    let key = (fence, number);
    let known = member.orders.borrow().get(&key).copied();
    let end = match known {
        // It is being carried out.
        Some(None) => return,
        Some(Some(end)) => Some(end),
        None => {
            let kind = member.known_maps.borrow_mut().whole(&order.kind);
            let order = match kind {
                Ok(kind) => RankOrder { kind, ..order },
                Err(error) => {
                    lack_map(member, from, key, error).await;
                    return;
                }
            };
            remember(member, key, None);
            let end = {
                let is_current = is_current(member, &order);
                execute(&*member.engine, &order, SHOW_PAUSE_MS, &is_current, &member.log).await
            };
            remember(member, key, end);
            end
        }
    };
    let Some(end) = end else {
        // Without an answer of the rank, the leader may ask again.
        member.orders.borrow_mut().shift_remove(&key);
        return;
    };
    if matches!(order.kind, OrderKind::HoldAhead { .. })
        && let Some(status) = status(member, None, false).await
    {
        member.send(from, &Datagram::Status(status)).await;
    }
    let rank = member.own_rank.get().unwrap_or_default();
    member.send(from, &Datagram::End { rank, number, fence, end }).await;
}

/// Has the leader tell a map as a whole.
async fn lack_map(
    member: &Member,
    leader: SocketAddr,
    (fence, number): (u64, u64),
    error: UnknownMap,
) {
    let line = DecisionLog::fields("order").with("kind", "prepare-change").with("fence", fence);
    member.log.note(line.with("error", error).with("outcome", "lacks-map"));
    let rank = member.own_rank.get().unwrap_or_default();
    let end = OrderEnd::LacksMap;
    member.send(leader, &Datagram::End { rank, number, fence, end }).await;
}

fn remember(member: &Member, key: (u64, u64), end: Option<OrderEnd>) {
    let mut orders = member.orders.borrow_mut();
    orders.insert(key, end);
    while orders.len() > MOST_KEPT_ENDS {
        orders.shift_remove_index(0);
    }
}
