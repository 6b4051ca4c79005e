//! Switches that disable single mechanisms, for tests that show what each one prevents.

/// Safety mechanisms of the agreement; all are enabled outside of tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Refuses heartbeats of a term other than the promised one.
    pub refuses_old_terms: bool,
    /// Refuses messages addressed to an earlier incarnation of the receiver.
    pub checks_target: bool,
    /// Requires the promise of every member; a majority suffices when disabled.
    pub needs_every_promise: bool,
    /// Inspects the engine before a promise; the agent's own view is used when disabled.
    pub inspects_engine: bool,
    /// Delays the first promise of an agent whose engine ignores fencing tokens.
    pub delays_first_promise: bool,
    /// Continues the highest grant that any member holds; the coordinator's own when disabled.
    pub continues_highest_grant: bool,
    /// Drops heartbeats that are older than the last one of the term.
    pub drops_late_heartbeats: bool,
    /// Stops extending the grant of the old map once the new map is granted.
    pub freezes_old_map: bool,
    /// Ignores messages of another membership.
    pub checks_epoch: bool,
    /// Starts a new membership after the last step granted under earlier ones.
    pub skips_old_grants: bool,
    /// Checks step reports and refuses to pass on conflicting grants.
    pub checks_invariants: bool,
}

impl Mechanisms {
    /// All mechanisms enabled.
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
