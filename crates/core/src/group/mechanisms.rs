//! Switches that turn single guards off, to show in tests that each is needed.

/// The guards of the agreement. All are on in every program.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Messages of a term other than the one promised are refused.
    pub refuses_old_terms: bool,
    /// Messages meant for an earlier life of the receiver are refused.
    pub checks_target: bool,
    /// Every member has to promise; off: a majority.
    pub needs_every_promise: bool,
    /// A promise waits until the engine has been inspected; off: the agent's memory is used.
    pub inspects_engine: bool,
    /// An agent beside an engine that ignores fencing waits before it promises.
    pub delays_first_promise: bool,
    /// A new coordinator continues the highest grant that any member holds; off: its own.
    pub continues_highest_grant: bool,
    /// Late heartbeats of the same term are dropped.
    pub drops_late_heartbeats: bool,
    /// The old map is extended no further once the new one is granted.
    pub freezes_old_map: bool,
    /// Messages of another membership are refused.
    pub checks_epoch: bool,
    /// The steps of a new membership start after everything granted under the old one.
    pub skips_old_grants: bool,
    /// A conflicting grant is not given, and step reports are checked.
    pub checks_invariants: bool,
}

impl Mechanisms {
    /// All guards on.
    pub const ALL: Self = Self {
        refuses_old_terms: true,
        checks_target: true,
        needs_every_promise: true,
        inspects_engine: true,
        delays_first_promise: true,
        continues_highest_grant: true,
        drops_late_heartbeats: true,
        freezes_old_map: true,
        checks_epoch: true,
        skips_old_grants: true,
        checks_invariants: true,
    };
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self::ALL
    }
}
