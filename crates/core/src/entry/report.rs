//! What agents report of themselves: signs of life, load, leaving, totals of team demand.

use crate::entry::core::EntryCore;
use crate::entry::request::Progress;
use crate::entry::turn::Turn;
use crate::health::Signal;
use crate::ids::{InstanceId, LinkId, RequestId};
use crate::message::{AgentState, Load, TeamTotal};

impl EntryCore {
    pub(super) fn heartbeat_acknowledged(&mut self, turn: &mut Turn<'_>, link: LinkId, nonce: u64) {
        let active = self.is_active(link);
        let Some(row) = self.links.get_mut(&link) else { return };
        let instance = row.instance.clone();
        let Some(up) = row.up_mut() else { return };
        let Some(pending) = up.pending.take_if(|pending| pending.nonce == nonce) else { return };
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        peer.round_trip.observe(turn.now, pending.sent);
        let requests: Vec<RequestId> = peer.requests.iter().copied().collect();
        if active {
            for request in requests {
                self.in_touch_again(request);
            }
        }
        self.signal(turn, &instance, Signal::Acknowledged);
    }

    /// An accepted attempt is no longer out of touch: its agent answers on the link in use.
    fn in_touch_again(&mut self, request: RequestId) {
        if let Some(live) = self.attempt_mut(request)
            && live.progress == Progress::Accepted
        {
            live.recover_until = None;
        }
    }

    /// Keeps the latest report; a late one must not bring back an older state.
    pub(super) fn learn_load(&mut self, turn: &mut Turn<'_>, instance: &InstanceId, load: Load) {
        let unseen = self.unacknowledged(instance);
        let Some(peer) = self.peers.get_mut(instance) else { return };
        if peer.load.as_ref().is_some_and(|held| held.sampled > load.sampled) {
            return;
        }
        let state = load.state;
        peer.load = Some(load);
        peer.load_received = turn.now.unix_ms;
        peer.sent_since_report = unseen;
        if state == AgentState::Leaving {
            self.learn_leaving(instance);
        }
        self.learn_backend_down(turn, instance, state == AgentState::BackendDown);
    }

    /// Passes on what an agent says of its backend server, when that changes.
    pub(super) fn learn_backend_down(
        &mut self,
        turn: &mut Turn<'_>,
        instance: &InstanceId,
        down: bool,
    ) {
        let Some(peer) = self.peers.get(instance) else { return };
        let backend_server = peer.backend_server.clone();
        let Some(backend) = self.backends.get_mut(&backend_server) else { return };
        let was_down = std::mem::replace(&mut backend.reported_down, down);
        if down && !was_down {
            self.signal(turn, instance, Signal::BackendDown);
        } else if was_down && !down {
            self.signal(turn, instance, Signal::BackendUp);
        }
    }

    /// Attempts that a report that arrives now cannot contain.
    fn unacknowledged(&self, instance: &InstanceId) -> u32 {
        let Some(peer) = self.peers.get(instance) else { return 0 };
        let attempts =
            peer.requests.iter().filter_map(|id| self.requests.get(id)?.attempt.as_ref());
        let unseen = attempts.filter(|one| one.progress != Progress::Accepted).count();
        u32::try_from(unseen).unwrap_or(u32::MAX)
    }

    pub(super) fn learn_totals(
        &mut self,
        turn: &Turn<'_>,
        instance: &InstanceId,
        totals: &[TeamTotal],
    ) {
        if let Some(peer) = self.peers.get(instance) {
            self.policies.limits.receive_totals(turn.now, &peer.backend_server, totals);
        }
    }

    /// An agent knows first that it leaves; the instance list may say otherwise for a while.
    pub(super) fn learn_leaving(&mut self, instance: &InstanceId) {
        if !self.mechanisms.agent_leaving {
            return;
        }
        let Some(peer) = self.peers.get_mut(instance) else { return };
        if !peer.leaving {
            peer.leaving = true;
            self.rebind();
        }
    }
}
