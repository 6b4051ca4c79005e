//! One member of a group: the agent that gates its local ranks.

use super::border::{GroupAction, GroupEvent};
use super::mechanisms::Mechanisms;
use super::membership::Membership;
use crate::{Incarnation, Now};
use hickorycross_config::BackendServerId;

/// What a member knows of itself when it starts.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The backend server beside the agent.
    pub server: BackendServerId,
    /// This life of the agent.
    pub incarnation: Incarnation,
    /// Whether the engine refuses orders with old fencing tokens.
    pub checks_fencing: bool,
    /// The group's members.
    pub membership: Membership,
    /// Guards, for tests.
    #[doc(hidden)]
    pub mechanisms: Mechanisms,
}

/// One agent's part in the agreement of one group.
#[derive(Debug)]
pub struct GroupMember {
    settings: MemberSettings,
}

impl GroupMember {
    /// Starts a member that has promised nothing and knows nothing of its engine.
    #[must_use]
    pub fn new(now: Now, settings: MemberSettings) -> Self {
        let _ = now;
        Self { settings }
    }

    /// Handles one event; the actions are added to `actions` in the order to carry them out.
    pub fn handle(&mut self, now: Now, event: GroupEvent, actions: &mut Vec<GroupAction>) {
        let _ = (now, event, actions, &self.settings);
    }
}
