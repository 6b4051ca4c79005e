//! Event counters of an agent.

use crate::message::RefusalReason;

/// A counter and its name, for export as a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CounterRow {
    /// Name in snake case, without a prefix.
    pub name: &'static str,
    /// Number of events since the start of the process.
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
            /// Returns all counters with their names, in a fixed order.
            #[must_use]
            pub fn rows(&self) -> Vec<CounterRow> {
                vec![$(CounterRow { name: stringify!($field), value: self.$field },)+]
            }
        }
    };
}

counters!(
    /// Event counts of an agent since the start of its process.
    AgentCounters {
        /// Submits received, duplicates included.
        submits,
        /// Attempts queued, or answered from an earlier run of their key.
        accepted,
        /// Requests sent to the backend server.
        started,
        /// Runs that ended with a complete response.
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
        /// Refused because they were addressed to another incarnation.
        refused_wrong_incarnation,
        /// Refused because another agent is the home of the key.
        refused_not_key_home,
        /// Refused because the backend server is down.
        refused_backend_down,
        /// Refused because the route or tier is unknown here.
        refused_unknown_route,
        /// Refused because the key was used for another request.
        refused_key_conflict,
        /// Refused because the key's creation time lies in the future.
        refused_key_not_yet_valid,
        /// Duplicate submits.
        doubled_submits,
        /// Messages about attempts that are unknown or already forgotten.
        late_messages,
        /// Messages about attempts of another entry, or on a link that is not open.
        foreign_messages,
        /// Backend events for runs that are not known or have ended.
        late_backend_events,
        /// Queued attempts evicted in favour of another one.
        evicted,
        /// Attempts whose deadline passed in the queue.
        expired_queued,
        /// Attempts revoked before they started.
        tombstoned,
        /// Revocations that arrived after the start.
        revoked_started,
        /// Cancelled attempts.
        cancelled,
        /// Runs aborted because no entry reattached to them.
        orphans_aborted,
        /// Attempts answered from an earlier run of their key.
        key_replays,
        /// Attempts not run because their key was used, or may have been, and no response can be
        /// replayed.
        key_used,
        /// Attempts not run because their key may have run at another agent or incarnation.
        key_unknown,
        /// Queries to entries about the documents that other agents hold.
        holder_queries,
        /// Responses whose chunks were discarded because of a memory limit.
        answers_not_retained,
        /// Invariant violations.
        violations,
    }
);

impl AgentCounters {
    pub(crate) fn count_refusal(&mut self, reason: RefusalReason) {
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
