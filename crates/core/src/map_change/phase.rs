//! Phases of a map change and the orders of each phase.

use super::leader_action::LeaderAction;
use super::order::{OrderKind, OrderOutcome, RankOrder};
use crate::direct::BootMs;
use indexmap::IndexMap;

/// Longest time for which orders of one kind may occupy the link of the leader; beyond it, other
/// messages of the leader are delayed. When the leader sends a map to all 72 ranks of a group
/// itself, that takes 0.45 s, the longest part of a change.
const MAX_DIRECT_LINK_MS: u64 = 100;

/// Limit of the unused resend budget that can accumulate. Resends take half of the link, and the
/// limit is a few ticks of the leader.
const MAX_RESEND_BURST_MS: u64 = 60;

/// The phase of a map change.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// No change is in progress.
    Steady,
    /// Ranks copy the experts that are new in the map.
    Preparing(Preparing),
    /// The rank `holder` is ordered to hold a pass, and all ranks are polled once more.
    Holding(Holding),
    /// Ranks are armed to switch as the held pass begins.
    Arming(Arming),
    /// All ranks are armed, and the held pass is released.
    Releasing { version: u64, holder: u16, orders: Orders },
    /// A failed or abandoned change is ended, and its pass is released.
    Undoing(Undoing),
}

/// A change whose map is being copied.
#[derive(Clone, Debug)]
pub(crate) struct Preparing {
    pub(crate) version: u64,
    /// The rank that is to hold a pass. Its agent learns meanwhile which leader it holds for.
    pub(crate) holder: u16,
    pub(crate) orders: Orders,
    pub(crate) give_up_at: BootMs,
}

/// A change whose pass is about to be held.
#[derive(Clone, Debug)]
pub(crate) struct Holding {
    pub(crate) version: u64,
    pub(crate) holder: u16,
    pub(crate) orders: Orders,
    /// When polling the ranks for arming began.
    pub(crate) polled_since: BootMs,
}

/// A change whose pass is held and whose ranks are being armed.
#[derive(Clone, Debug)]
pub(crate) struct Arming {
    pub(crate) version: u64,
    pub(crate) holder: u16,
    pub(crate) step: u64,
    pub(crate) own_rank: OwnRankArming,
    pub(crate) orders: Orders,
    pub(crate) give_up_at: BootMs,
}

/// How far the leader's own rank is armed, which comes after all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwnRankArming {
    /// The other ranks are being armed.
    Waiting,
    /// The witness was asked to arm it.
    Requested,
    /// The witness went silent, so the rank is fenced against its order to arm.
    Fencing,
}

/// The end of a failed or abandoned change.
#[derive(Clone, Debug)]
pub(crate) struct Undoing {
    pub(crate) stage: UndoStage,
    /// Ranks that hold a pass, each with the number of the pass.
    pub(crate) held: Vec<(u16, u64)>,
    /// Ranks that do not answer and need no order.
    pub(crate) silent: Vec<u16>,
    pub(crate) version: u64,
    pub(crate) orders: Orders,
}

/// Stages of undoing a change, which either disarms or arms the ranks, never both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UndoStage {
    /// The ranks that hold a pass receive the new fencing number first, so that no earlier leader
    /// can release the pass. Where ranks do not enforce it, another rank holds the pass as well.
    Fencing,
    /// All ranks are disarmed.
    Disarming,
    /// All ranks are armed, as most were already.
    Arming,
    /// For ranks that do not enforce fencing numbers: each prepares the map that it uses, which
    /// replaces the abandoned one.
    Voiding,
    /// The held passes are released.
    Releasing,
}

impl Phase {
    pub(crate) const fn as_str(&self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Preparing(_) => "preparing",
            Self::Holding(_) => "holding",
            Self::Arming(_) => "arming",
            Self::Releasing { .. } => "releasing",
            Self::Undoing(undoing) => undoing.stage.as_str(),
        }
    }

    /// Returns the rank that holds a pass or is about to.
    pub(crate) fn holder(&self) -> Option<u16> {
        match self {
            Self::Preparing(Preparing { holder, .. })
            | Self::Holding(Holding { holder, .. })
            | Self::Arming(Arming { holder, .. })
            | Self::Releasing { holder, .. } => Some(*holder),
            Self::Undoing(undoing) => undoing.held.first().map(|(rank, _)| *rank),
            Self::Steady => None,
        }
    }

    /// Returns whether a pass is held or about to be.
    pub(crate) const fn is_held(&self) -> bool {
        !matches!(self, Self::Steady | Self::Preparing(_))
    }

    pub(crate) fn orders(&mut self) -> Option<&mut Orders> {
        match self {
            Self::Steady => None,
            Self::Preparing(Preparing { orders, .. })
            | Self::Holding(Holding { orders, .. })
            | Self::Arming(Arming { orders, .. })
            | Self::Releasing { orders, .. }
            | Self::Undoing(Undoing { orders, .. }) => Some(orders),
        }
    }
}

impl UndoStage {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Fencing => "undoing-fencing",
            Self::Disarming => "undoing-disarming",
            Self::Arming => "undoing-arming",
            Self::Voiding => "undoing-voiding",
            Self::Releasing => "undoing-releasing",
        }
    }
}

/// The orders of one phase, at most one per rank.
#[derive(Clone, Debug)]
pub(crate) struct Orders {
    /// Epoch of the group for which the phase is valid, also when there are no orders.
    epoch: u64,
    rows: IndexMap<u16, OrderRow>,
    /// Time for which one order occupies the link of the leader.
    link_ms: u64,
    /// Until when resent orders have used up their share of the link.
    resend_budget_until: BootMs,
}

#[derive(Clone, Debug)]
struct OrderRow {
    delivered_by: u16,
    /// The rank whose agent relays the first send of the order.
    relayed_by: Option<u16>,
    number: u64,
    order: RankOrder,
    end: Option<OrderOutcome>,
    send_at: BootMs,
    is_sent: bool,
}

impl Orders {
    /// Creates an empty set of orders for a phase in `epoch`.
    pub(crate) fn for_epoch(epoch: u64) -> Self {
        Self { epoch, rows: IndexMap::new(), link_ms: 0, resend_budget_until: BootMs(0) }
    }

    /// Adds an order that is due at once and delivered by the agent of the rank itself.
    pub(crate) fn add(&mut self, rank: u16, number: u64, order: RankOrder) {
        self.add_delivered_by(rank, rank, number, order);
    }

    /// Adds an order that is due at once and delivered by the agent of the rank `delivered_by`.
    pub(crate) fn add_delivered_by(
        &mut self,
        delivered_by: u16,
        rank: u16,
        number: u64,
        order: RankOrder,
    ) {
        let send_at = BootMs(0);
        let row = OrderRow {
            delivered_by,
            relayed_by: None,
            number,
            order,
            end: None,
            send_at,
            is_sent: false,
        };
        self.rows.insert(rank, row);
    }

    /// Schedules the orders, each of which occupies the link of the leader for `link_ms`.
    ///
    /// A few orders are sent one after the other. If there are many, some agents receive theirs at
    /// once and relay it to a few others each, over their own links.
    pub(crate) fn schedule(&mut self, now: BootMs, link_ms: u64) {
        self.link_ms = link_ms;
        let count = self.rows.len();
        if count as u64 * link_ms > MAX_DIRECT_LINK_MS {
            self.assign_relays(count.isqrt() + 1);
            return;
        }
        for (index, row) in (0..).zip(self.rows.values_mut()) {
            row.send_at = now.after(index * link_ms);
        }
    }

    /// Makes the first agent of every `chunk` ranks relay the order to the others.
    fn assign_relays(&mut self, chunk: usize) {
        let ranks: Vec<u16> = self.rows.keys().copied().collect();
        for ranks in ranks.chunks(chunk) {
            for rank in &ranks[1..] {
                if let Some(row) = self.rows.get_mut(rank) {
                    row.relayed_by = Some(ranks[0]);
                }
            }
        }
    }

    /// Records the outcome of an order. Returns whether the order belongs to this phase.
    pub(crate) fn set_outcome(&mut self, rank: u16, number: u64, end: OrderOutcome) -> bool {
        match self.rows.get_mut(&rank).filter(|row| row.number == number) {
            Some(row) => {
                row.end = Some(end);
                true
            }
            None => false,
        }
    }

    /// Returns whether the orders are for `epoch`.
    pub(crate) const fn is_for_epoch(&self, epoch: u64) -> bool {
        self.epoch == epoch
    }

    pub(crate) fn all_done(&self) -> bool {
        self.rows.values().all(|row| row.end == Some(OrderOutcome::Done))
    }

    pub(crate) fn has_outcome(&self, end: OrderOutcome) -> bool {
        self.rows.values().any(|row| row.end == Some(end))
    }

    /// Returns the number of orders without an answer.
    pub(crate) fn unanswered(&self) -> usize {
        self.rows.values().filter(|row| row.end.is_none()).count()
    }

    /// Replaces an order that its agent could not resolve, and makes it due at once.
    pub(crate) fn replace(&mut self, rank: u16, number: u64, kind: OrderKind) {
        if let Some(row) = self.rows.get_mut(&rank).filter(|row| row.number == number) {
            row.order.kind = kind;
            row.send_at = BootMs(0);
        }
    }

    /// Returns the orders to send now, for the first time or again.
    ///
    /// Resends take at most half of the link, because heartbeats would be delayed too long behind a
    /// hundred maps.
    pub(crate) fn due(&mut self, now: BootMs, resend_ms: u64) -> Vec<LeaderAction> {
        let mut actions = Vec::new();
        let mut resend_budget_until = self.resend_budget_until.max(now.before(MAX_RESEND_BURST_MS));
        for (rank, row) in &mut self.rows {
            if row.end.is_some() || row.send_at > now {
                continue;
            }
            if row.is_sent {
                if resend_budget_until >= now {
                    continue;
                }
                resend_budget_until = resend_budget_until.after(2 * self.link_ms);
            }
            row.send_at = now.after(resend_ms);
            row.is_sent = true;
            let (rank, delivered_by, number) = (*rank, row.delivered_by, row.number);
            // If the relaying agent has failed, the leader sends the order itself the next time.
            let relayed_by = row.relayed_by.take();
            actions.push(LeaderAction::Send {
                rank,
                delivered_by,
                relayed_by,
                number,
                order: row.order.clone(),
            });
        }
        self.resend_budget_until = resend_budget_until;
        actions
    }
}
