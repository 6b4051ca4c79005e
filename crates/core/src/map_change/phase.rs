//! Where a change stands.

use super::leader::LeaderAction;
use super::order::{OrderEnd, RankOrder};
use crate::direct::BootMs;
use indexmap::IndexMap;

/// Where a change stands.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Nothing is under way.
    Steady,
    /// Ranks copy what is new.
    Preparing { version: u64, orders: Orders, give_up_at: BootMs },
    /// The rank `holder` is told to hold its next pass.
    Holding { version: u64, holder: u16, orders: Orders },
    /// Ranks are told to switch as the held pass begins.
    Arming(Arming),
    /// All ranks are armed; the held pass is let go.
    Releasing { version: u64, holder: u16, orders: Orders },
    /// Ranks are disarmed before held passes are let go.
    Undoing { stage: UndoStage, held: Vec<(u16, u64)>, version: u64, orders: Orders },
}

/// A change whose pass is held and whose ranks are being armed.
#[derive(Clone, Debug)]
pub(crate) struct Arming {
    pub(crate) version: u64,
    pub(crate) holder: u16,
    pub(crate) step: u64,
    /// Whether the leader's own rank is told already; it comes after all others.
    pub(crate) own_is_told: bool,
    pub(crate) orders: Orders,
    pub(crate) give_up_at: BootMs,
}

/// Order of the steps of an undoing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UndoStage {
    /// The ranks that hold a pass see the new fence first: from then on nobody else can let go.
    Fencing,
    /// All ranks are disarmed.
    Disarming,
    /// Where ranks heed no fence, all prepare the map that they have, so that the abandoned one is
    /// prepared no longer.
    Voiding,
    /// The held passes go.
    Releasing,
}

impl Phase {
    pub(crate) const fn as_str(&self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Preparing { .. } => "preparing",
            Self::Holding { .. } => "holding",
            Self::Arming(_) => "arming",
            Self::Releasing { .. } => "releasing",
            Self::Undoing { stage: UndoStage::Fencing, .. } => "undoing-fencing",
            Self::Undoing { stage: UndoStage::Disarming, .. } => "undoing-disarming",
            Self::Undoing { stage: UndoStage::Voiding, .. } => "undoing-voiding",
            Self::Undoing { stage: UndoStage::Releasing, .. } => "undoing-releasing",
        }
    }

    /// The rank that holds a pass, or is about to, for a change that goes on.
    pub(crate) const fn holder(&self) -> Option<u16> {
        match self {
            Self::Holding { holder, .. }
            | Self::Arming(Arming { holder, .. })
            | Self::Releasing { holder, .. } => Some(*holder),
            Self::Steady | Self::Preparing { .. } | Self::Undoing { .. } => None,
        }
    }

    pub(crate) fn orders(&mut self) -> Option<&mut Orders> {
        match self {
            Self::Steady => None,
            Self::Preparing { orders, .. }
            | Self::Holding { orders, .. }
            | Self::Arming(Arming { orders, .. })
            | Self::Releasing { orders, .. }
            | Self::Undoing { orders, .. } => Some(orders),
        }
    }
}

/// Orders of one phase, one to each of some ranks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Orders {
    rows: IndexMap<u16, OrderRow>,
}

#[derive(Clone, Debug)]
struct OrderRow {
    giver: u16,
    number: u64,
    order: RankOrder,
    end: Option<OrderEnd>,
    send_at: BootMs,
}

impl Orders {
    /// Adds an order that is sent at once, and given by the agent beside the rank.
    pub(crate) fn add(&mut self, rank: u16, number: u64, order: RankOrder) {
        self.add_given_by(rank, rank, number, order);
    }

    /// Adds an order that is sent at once, and given by the agent beside the rank `giver`.
    pub(crate) fn add_given_by(&mut self, giver: u16, rank: u16, number: u64, order: RankOrder) {
        let row = OrderRow { giver, number, order, end: None, send_at: BootMs(0) };
        self.rows.insert(rank, row);
    }

    /// Lets the orders be sent one after the other, `pause_ms` apart.
    pub(crate) fn spread(&mut self, now: BootMs, pause_ms: u64) {
        for (index, row) in (0..).zip(self.rows.values_mut()) {
            row.send_at = now.after(index * pause_ms);
        }
    }

    /// Takes note of an order's end; returns whether it belongs to this phase.
    pub(crate) fn end(&mut self, rank: u16, number: u64, end: OrderEnd) -> bool {
        match self.rows.get_mut(&rank).filter(|row| row.number == number) {
            Some(row) => {
                row.end = Some(end);
                true
            }
            None => false,
        }
    }

    /// Whether the orders are meant for `epoch`.
    pub(crate) fn is_of(&self, epoch: u64) -> bool {
        self.rows.values().all(|row| row.order.epoch == epoch)
    }

    pub(crate) fn all_done(&self) -> bool {
        self.rows.values().all(|row| row.end == Some(OrderEnd::Done))
    }

    pub(crate) fn any(&self, end: OrderEnd) -> bool {
        self.rows.values().any(|row| row.end == Some(end))
    }

    /// Ranks without an answer.
    pub(crate) fn open(&self) -> usize {
        self.rows.values().filter(|row| row.end.is_none()).count()
    }

    /// Orders to be sent now, the first time or again.
    pub(crate) fn due(&mut self, now: BootMs, again_ms: u64) -> Vec<LeaderAction> {
        let due = self.rows.iter_mut().filter(|(_, row)| row.end.is_none() && row.send_at <= now);
        due.map(|(rank, row)| {
            row.send_at = now.after(again_ms);
            let (rank, giver, number) = (*rank, row.giver, row.number);
            LeaderAction::Send { rank, giver, number, order: row.order.clone() }
        })
        .collect()
    }
}
