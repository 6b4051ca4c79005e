//! The groups that are simulated, and the parts of the entries' rules that may be left out.

/// Time of the shift of demand.
pub(crate) const SHIFT_AT_MS: u64 = 2_000;
/// When instances freeze if requests are queued there.
const FREEZE_LATE_MS: u64 = 4_000;

/// How entries learn that an instance is frozen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Detection {
    /// The leader reports the silent agents, if they are few enough.
    Leader,
    /// Only entries notice, each by its own streams, and tell each other.
    Entries,
    /// Entries notice, but hear nothing from each other.
    Alone,
}

/// The rules that keep callers from giving up; each can be left out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rules {
    /// Entries limit how many of their streams wait at ranks.
    pub(crate) limits_queues: bool,
    /// Requests that were moved before they began go before new ones.
    pub(crate) puts_moved_first: bool,
    /// Requests that do not begin time out if the rank has sent no event meanwhile.
    pub(crate) times_out_unbegun: bool,
}

pub(crate) const ALL_RULES: Rules =
    Rules { limits_queues: true, puts_moved_first: true, times_out_unbegun: true };

/// A rule that is left out, and a case that shows it.
pub(crate) struct MissingRule {
    pub(crate) name: &'static str,
    pub(crate) rules: Rules,
    pub(crate) case: &'static str,
}

pub(crate) const MISSING_RULES: &[MissingRule] = &[
    MissingRule {
        name: "queue limit",
        rules: Rules { limits_queues: false, ..ALL_RULES },
        case: "1 entry, leader",
    },
    MissingRule {
        name: "queue limit",
        rules: Rules { limits_queues: false, ..ALL_RULES },
        case: "1 entry, entries",
    },
    MissingRule {
        name: "queue limit",
        rules: Rules { limits_queues: false, ..ALL_RULES },
        case: "400 entries, 8 frozen",
    },
    MissingRule {
        name: "moved requests first",
        rules: Rules { puts_moved_first: false, ..ALL_RULES },
        case: "1 entry, leader",
    },
    MissingRule {
        name: "moved requests first",
        rules: Rules { puts_moved_first: false, ..ALL_RULES },
        case: "1 entry, entries",
    },
    MissingRule {
        name: "timeout of unbegun requests",
        rules: Rules { times_out_unbegun: false, ..ALL_RULES },
        case: "12 entries, alone",
    },
];

/// A fault of the entries that a case shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Callers give up on requests that were queued at a rank when it froze.
    QueuedAreLost,
    /// Frozen ranks run streams on whose callers have left.
    RunningGoOn,
}

/// One simulated group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Case {
    pub(crate) name: &'static str,
    pub(crate) entries: usize,
    pub(crate) ranks: usize,
    pub(crate) frozen: usize,
    pub(crate) freeze_at_ms: u64,
    /// Whether the instances freeze at all.
    pub(crate) freezes: bool,
    pub(crate) detection: Detection,
    pub(crate) rules: Rules,
    /// Faults that are known and not mended.
    pub(crate) known_faults: &'static [Fault],
}

const SMALL: Case = Case {
    name: "4 entries, leader",
    entries: 4,
    ranks: 12,
    frozen: 1,
    freeze_at_ms: FREEZE_LATE_MS,
    freezes: true,
    detection: Detection::Leader,
    rules: ALL_RULES,
    known_faults: &[Fault::QueuedAreLost, Fault::RunningGoOn],
};

pub(crate) const CASES: &[Case] = &[
    Case { name: "1 entry, leader", entries: 1, known_faults: &[Fault::RunningGoOn], ..SMALL },
    Case {
        name: "1 entry, entries",
        entries: 1,
        detection: Detection::Entries,
        known_faults: &[Fault::RunningGoOn],
        ..SMALL
    },
    SMALL,
    Case { name: "4 entries, entries", detection: Detection::Entries, ..SMALL },
    Case { name: "4 entries, alone", detection: Detection::Alone, ..SMALL },
    Case {
        name: "4 entries, frozen before requests queue",
        freeze_at_ms: SHIFT_AT_MS,
        known_faults: &[],
        ..SMALL
    },
    Case { name: "4 entries, 4 frozen", frozen: 4, ..SMALL },
    Case { name: "12 entries, leader", entries: 12, ranks: 16, ..SMALL },
    Case {
        name: "12 entries, entries",
        entries: 12,
        ranks: 16,
        detection: Detection::Entries,
        ..SMALL
    },
    Case {
        name: "12 entries, alone",
        entries: 12,
        ranks: 16,
        detection: Detection::Alone,
        ..SMALL
    },
    Case { name: "12 entries, 6 frozen", entries: 12, ranks: 16, frozen: 6, ..SMALL },
    Case { name: "35 entries, leader", entries: 35, ranks: 129, ..SMALL },
    Case {
        name: "35 entries, entries",
        entries: 35,
        ranks: 129,
        detection: Detection::Entries,
        ..SMALL
    },
    Case { name: "35 entries, 30 frozen", entries: 35, ranks: 129, frozen: 30, ..SMALL },
    Case { name: "400 entries, leader", entries: 400, ranks: 32, ..SMALL },
    Case {
        name: "400 entries, entries",
        entries: 400,
        ranks: 32,
        detection: Detection::Entries,
        ..SMALL
    },
    Case {
        name: "400 entries, frozen before requests queue",
        entries: 400,
        ranks: 32,
        freeze_at_ms: SHIFT_AT_MS,
        ..SMALL
    },
    Case { name: "400 entries, 8 frozen", entries: 400, ranks: 32, frozen: 8, ..SMALL },
];
