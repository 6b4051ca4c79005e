//! Where a change stands.

use super::leader::LeaderAction;
use super::order::{OrderKind, OrderOutcome, RankOrder};
use crate::direct::BootMs;
use indexmap::IndexMap;

/// Longest time for which orders of one kind may take up the leader's link; one that is full for longer
/// holds up whatever else the leader says. Sent by the leader alone, a map was at all ranks of a group of
/// 72 after 0.45 s, the longest part of a change.
const MOST_LINK_MS: u64 = 100;

/// Time that orders sent again may make up for in one burst, half of it on the link: a few looks of the
/// leader, in which nothing was due.
const MOST_BURST_MS: u64 = 60;

/// Where a change stands.
#[derive(Clone, Debug)]
pub(crate) enum Phase {
    /// Nothing is under way.
    Steady,
    /// Ranks copy what is new.
    Preparing(Preparing),
    /// The rank `holder` is told to hold a pass, and all ranks are asked once more.
    Holding(Holding),
    /// Ranks are told to switch as the held pass begins.
    Arming(Arming),
    /// All ranks are armed; the held pass is let go.
    Releasing { version: u64, holder: u16, orders: Orders },
    /// A change that cannot go on is ended, and its pass let go.
    Undoing(Undoing),
}

/// A change whose map is being copied.
#[derive(Clone, Debug)]
pub(crate) struct Preparing {
    pub(crate) version: u64,
    /// The rank that is to hold a pass, whose agent gets to know the leader meanwhile.
    pub(crate) holder: u16,
    pub(crate) orders: Orders,
    pub(crate) give_up_at: BootMs,
}

/// A change whose pass is to be held.
#[derive(Clone, Debug)]
pub(crate) struct Holding {
    pub(crate) version: u64,
    pub(crate) holder: u16,
    pub(crate) orders: Orders,
    /// Since when ranks are asked whether they can be armed.
    pub(crate) asked_at: BootMs,
}

/// A change whose pass is held and whose ranks are being armed.
#[derive(Clone, Debug)]
pub(crate) struct Arming {
    pub(crate) version: u64,
    pub(crate) holder: u16,
    pub(crate) step: u64,
    /// The rank whose agent arms the leader's own rank, which comes after all others.
    pub(crate) own_armed_by: Option<u16>,
    pub(crate) orders: Orders,
    pub(crate) give_up_at: BootMs,
}

/// The end of a change that cannot go on.
#[derive(Clone, Debug)]
pub(crate) struct Undoing {
    pub(crate) stage: UndoStage,
    /// Ranks that hold a pass, and which.
    pub(crate) held: Vec<(u16, u64)>,
    /// Ranks that answer nobody, and need no order.
    pub(crate) silent: Vec<u16>,
    pub(crate) version: u64,
    pub(crate) orders: Orders,
}

/// Steps of an undoing; it is either armed or disarmed, not both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UndoStage {
    /// The ranks that hold a pass see the new fence first: from then on nobody else can let go.
    Fencing,
    /// All ranks are disarmed.
    Disarming,
    /// All ranks are armed, as most were already.
    Arming,
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
            Self::Preparing(_) => "preparing",
            Self::Holding(_) => "holding",
            Self::Arming(_) => "arming",
            Self::Releasing { .. } => "releasing",
            Self::Undoing(undoing) => undoing.stage.as_str(),
        }
    }

    /// The rank that holds a pass, or is about to.
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

    /// Whether a pass is held, or is about to be.
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

/// Orders of one phase, one to each of some ranks.
#[derive(Clone, Debug)]
pub(crate) struct Orders {
    /// The group's epoch for which the phase is meant, also where there is nothing to order.
    epoch: u64,
    rows: IndexMap<u16, OrderRow>,
    /// Time of the leader's link that one order takes.
    link_ms: u64,
    /// Until when the link is taken by orders that were sent again.
    again_until: BootMs,
}

#[derive(Clone, Debug)]
struct OrderRow {
    delivered_by: u16,
    /// The rank whose agent passes the first copy of the order on.
    relayed_by: Option<u16>,
    number: u64,
    order: RankOrder,
    end: Option<OrderOutcome>,
    send_at: BootMs,
    is_sent: bool,
}

impl Orders {
    /// No orders yet, for a phase in `epoch`.
    pub(crate) fn of(epoch: u64) -> Self {
        Self { epoch, rows: IndexMap::new(), link_ms: 0, again_until: BootMs(0) }
    }

    /// Adds an order that is sent at once, and given by the agent beside the rank.
    pub(crate) fn add(&mut self, rank: u16, number: u64, order: RankOrder) {
        self.add_delivered_by(rank, rank, number, order);
    }

    /// Adds an order that is sent at once, and given by the agent beside the rank `delivered_by`.
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

    /// Lets the orders be sent so that each takes up the leader's link for `link_ms`.
    ///
    /// A few go out one after the other. Of many, some agents get theirs at once and pass it on to a
    /// few others each, over their own links.
    pub(crate) fn spread(&mut self, now: BootMs, link_ms: u64) {
        self.link_ms = link_ms;
        let count = self.rows.len();
        if count as u64 * link_ms > MOST_LINK_MS {
            self.pass_on(count.isqrt() + 1);
            return;
        }
        for (index, row) in (0..).zip(self.rows.values_mut()) {
            row.send_at = now.after(index * link_ms);
        }
    }

    /// Lets the first agent of every `chunk` pass the order on to the others.
    fn pass_on(&mut self, chunk: usize) {
        let ranks: Vec<u16> = self.rows.keys().copied().collect();
        for ranks in ranks.chunks(chunk) {
            for rank in &ranks[1..] {
                if let Some(row) = self.rows.get_mut(rank) {
                    row.relayed_by = Some(ranks[0]);
                }
            }
        }
    }

    /// Takes note of an order's end; returns whether it belongs to this phase.
    pub(crate) fn end(&mut self, rank: u16, number: u64, end: OrderOutcome) -> bool {
        match self.rows.get_mut(&rank).filter(|row| row.number == number) {
            Some(row) => {
                row.end = Some(end);
                true
            }
            None => false,
        }
    }

    /// Whether the orders are meant for `epoch`.
    pub(crate) const fn is_of(&self, epoch: u64) -> bool {
        self.epoch == epoch
    }

    pub(crate) fn all_done(&self) -> bool {
        self.rows.values().all(|row| row.end == Some(OrderOutcome::Done))
    }

    pub(crate) fn any(&self, end: OrderOutcome) -> bool {
        self.rows.values().any(|row| row.end == Some(end))
    }

    /// Ranks without an answer.
    pub(crate) fn open(&self) -> usize {
        self.rows.values().filter(|row| row.end.is_none()).count()
    }

    /// Gives an order in place of one that its agent could not understand.
    pub(crate) fn replace(&mut self, rank: u16, number: u64, kind: OrderKind) {
        if let Some(row) = self.rows.get_mut(&rank).filter(|row| row.number == number) {
            row.order.kind = kind;
            row.send_at = BootMs(0);
        }
    }

    /// Orders to be sent now, the first time or again.
    ///
    /// Those that are sent again take half of the link at most: behind a hundred maps, signs that the
    /// leader lives would come too late.
    pub(crate) fn due(&mut self, now: BootMs, again_ms: u64) -> Vec<LeaderAction> {
        let mut actions = Vec::new();
        let mut again_until = self.again_until.max(now.before(MOST_BURST_MS));
        for (rank, row) in &mut self.rows {
            if row.end.is_some() || row.send_at > now {
                continue;
            }
            if row.is_sent {
                if again_until >= now {
                    continue;
                }
                again_until = again_until.after(2 * self.link_ms);
            }
            row.send_at = now.after(again_ms);
            row.is_sent = true;
            let (rank, delivered_by, number) = (*rank, row.delivered_by, row.number);
            // An agent that is gone passes nothing on; the leader itself gives the order again.
            let relayed_by = row.relayed_by.take();
            actions.push(LeaderAction::Send {
                rank,
                delivered_by,
                relayed_by,
                number,
                order: row.order.clone(),
            });
        }
        self.again_until = again_until;
        actions
    }
}
