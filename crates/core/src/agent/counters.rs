//! What an agent counts.

use crate::message::RefusalReason;

/// One counter with its name, for export.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CounterRow {
    /// Name in snake case, without a prefix.
    pub name: &'static str,
    /// Events since the start of the process.
    pub value: u64,
}

macro_rules! counters {
    ($(#[$outer:meta])* $name:ident { $($(#[$doc:meta])* $field:ident,)+ }) => {
        $(#[$outer])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct $name {
            $($(#[$doc])* pub $field: u64,)+
        }

        impl $name {
            /// All counters by name, in a fixed order.
            #[must_use]
            pub fn rows(&self) -> Vec<CounterRow> {
                vec![$(CounterRow { name: stringify!($field), value: self.$field },)+]
            }
        }
    };
}

counters!(
    /// Events of an agent since the start of its process.
    AgentCounters {
        /// Submits, copies included.
        submits,
        /// Attempts taken into the queue or attached to an earlier run of their key.
        accepted,
        /// Requests given to the backend server.
        started,
        /// Answers that came whole.
        ended,
        /// Runs that failed.
        failed,
        /// Refused because the queue was full.
        refused_queue_full,
        /// Refused because the agent is leaving.
        refused_leaving,
        /// Refused because the deadline had passed.
        refused_expired,
        /// Refused because the attempt had been revoked.
        refused_revoked,
        /// Refused because another incarnation was meant.
        refused_wrong_incarnation,
        /// Refused because another agent is the home of the key.
        refused_not_key_home,
        /// Refused because the backend server is down.
        refused_backend_down,
        /// Refused because the route or tier is unknown here.
        refused_unknown_route,
        /// Refused because the key was used for another request.
        refused_key_conflict,
        /// Refused because the key's moment of creation lies ahead.
        refused_key_not_yet_valid,
        /// Second copies of a submit.
        doubled_submits,
        /// Messages about attempts that are not known, or no longer.
        late_messages,
        /// Messages about attempts of another entry, or on a link that is not open.
        foreign_messages,
        /// Backend events for runs that are not known or have ended.
        late_backend_events,
        /// Queued attempts that gave their place to another.
        evicted,
        /// Queued attempts whose deadline passed.
        expired_queued,
        /// Attempts that were revoked before they started.
        tombstoned,
        /// Revocations that came after the start.
        revoked_started,
        /// Cancelled attempts.
        cancelled,
        /// Runs aborted because no entry came back for them.
        orphans_aborted,
        /// Attempts that were answered by an earlier run of their key.
        key_replays,
        /// Attempts refused because an earlier run of their key cannot be repeated.
        key_used,
        /// Attempts refused because it is unknown whether their key ran elsewhere.
        key_unknown,
        /// Answers of which chunks were given up for lack of room.
        answers_not_retained,
        /// Invariants that did not hold.
        violations,
    }
);

impl AgentCounters {
    pub(crate) fn refused(&mut self, reason: RefusalReason) {
        let counter = match reason {
            RefusalReason::QueueFull => &mut self.refused_queue_full,
            RefusalReason::Leaving => &mut self.refused_leaving,
            RefusalReason::Expired => &mut self.refused_expired,
            RefusalReason::Revoked => &mut self.refused_revoked,
            RefusalReason::WrongIncarnation => &mut self.refused_wrong_incarnation,
            RefusalReason::NotKeyHome => &mut self.refused_not_key_home,
            RefusalReason::BackendDown => &mut self.refused_backend_down,
            RefusalReason::UnknownRoute => &mut self.refused_unknown_route,
            RefusalReason::KeyConflict => &mut self.refused_key_conflict,
            RefusalReason::KeyNotYetValid => &mut self.refused_key_not_yet_valid,
        };
        *counter += 1;
    }
}
