//! Reports of agents about themselves: heartbeat acknowledgements, load, leaving, and totals of
//! team demand.

use crate::entry::core::EntryCore;
use crate::entry::event_context::EventContext;
use crate::entry::request::Progress;
use crate::health::Signal;
use crate::ids::{InstanceId, LinkId, RequestId};
use crate::message::{AgentState, Load, TeamTotal};
use hickorycross_config::Stamp;

impl EntryCore {
    pub(super) fn handle_heartbeat_ack(
        &mut self,
        ctx: &mut EventContext<'_>,
        link: LinkId,
        nonce: u64,
        stamp: Stamp,
    ) {
        let active = self.is_active(link);
        let Some(row) = self.links.get_mut(&link) else { return };
        let instance = row.instance.clone();
        let Some(connected) = row.connected_mut() else { return };
        let Some(pending) = connected.pending.take_if(|pending| pending.nonce == nonce) else {
            return;
        };
        self.holders.record_heartbeat(ctx.now, &instance, stamp, pending.sent);
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        peer.round_trip.observe(ctx.now, pending.sent);
        let requests: Vec<RequestId> = peer.requests.iter().copied().collect();
        if active {
            for request in requests {
                self.cancel_recovery(request);
            }
        }
        self.signal(ctx, &instance, Signal::Acknowledged);
    }

    /// Ends the recovery of an accepted attempt whose agent responds on the active link.
    fn cancel_recovery(&mut self, request: RequestId) {
        if let Some(live) = self.attempt_mut(request)
            && live.progress == Progress::Accepted
        {
            live.recover_until = None;
        }
    }

    /// Records a load report, unless a later one was received before.
    pub(super) fn record_load(
        &mut self,
        ctx: &mut EventContext<'_>,
        instance: &InstanceId,
        load: Load,
    ) {
        let unseen = self.unacknowledged(instance);
        let Some(peer) = self.peers.get_mut(instance) else { return };
        if peer.load.as_ref().is_some_and(|held| held.sampled > load.sampled) {
            return;
        }
        let state = load.state;
        peer.load = Some(load);
        peer.load_received = ctx.now.unix_ms;
        peer.sent_since_report = unseen;
        if state == AgentState::Leaving {
            self.mark_agent_leaving(instance);
        }
        self.record_backend_down(ctx, instance, state == AgentState::BackendDown);
    }

    /// Signals the health policy when an agent reports its backend server as down, or up again.
    pub(super) fn record_backend_down(
        &mut self,
        ctx: &mut EventContext<'_>,
        instance: &InstanceId,
        down: bool,
    ) {
        let Some(peer) = self.peers.get(instance) else { return };
        let backend_server = peer.backend_server.clone();
        let Some(backend) = self.backends.get_mut(&backend_server) else { return };
        let was_down = std::mem::replace(&mut backend.reported_down, down);
        if down && !was_down {
            self.signal(ctx, instance, Signal::BackendDown);
        } else if was_down && !down {
            self.signal(ctx, instance, Signal::BackendUp);
        }
    }

    /// Returns the number of attempts at an agent that it has not acknowledged, which a load report
    /// received now does not include.
    fn unacknowledged(&self, instance: &InstanceId) -> u32 {
        let Some(peer) = self.peers.get(instance) else { return 0 };
        let attempts =
            peer.requests.iter().filter_map(|id| self.requests.get(id)?.attempt.as_ref());
        let unseen = attempts.filter(|one| one.progress != Progress::Accepted).count();
        u32::try_from(unseen).unwrap_or(u32::MAX)
    }

    pub(super) fn record_team_totals(
        &mut self,
        ctx: &EventContext<'_>,
        instance: &InstanceId,
        totals: &[TeamTotal],
    ) {
        if let Some(peer) = self.peers.get(instance) {
            self.policies.limits.receive_totals(ctx.now, &peer.backend_server, totals);
        }
    }

    /// Stops sending new attempts to an agent that reported leaving. The instance list may name it
    /// as live for a while longer.
    pub(super) fn mark_agent_leaving(&mut self, instance: &InstanceId) {
        if !self.mechanisms.agent_leaving {
            return;
        }
        let Some(peer) = self.peers.get_mut(instance) else { return };
        if !peer.leaving {
            peer.leaving = true;
            self.rebind_backends();
        }
    }
}
