//! Links to agents, opened on demand and replaced when silent.
//!
//! A middlebox may drop its state of a connection, which then stays open but delivers nothing,
//! while new connections work. Neither end sees an error. When an acknowledgement is overdue, the
//! entry therefore opens a new link from another local port, revokes or attaches the attempts on
//! it, and closes the silent link.

use crate::audit::Change;
use crate::entry::constants::{
    HEARTBEAT_IDLE_MS, IDLE_CLOSE_MS, OPEN_TIMEOUT_MS, RECOVER_IDEMPOTENT_MS, RECOVER_MS,
    REOPEN_MAX_MS, REOPEN_MIN_MS, STALL_MS,
};
use crate::entry::core::EntryCore;
use crate::entry::event_context::EventContext;
use crate::entry::interface::EntryAction;
use crate::entry::peer::{ConnectedLink, Link, LinkState};
use crate::entry::request::Progress;
use crate::entry::settle::revoke_message;
use crate::health::Signal;
use crate::ids::{Incarnation, InstanceId, LinkId, RequestId};
use crate::message::ToAgent;
use crate::time::{Now, UnixMs};
use hickorycross_config::BackendServerId;
use rand::RngExt;

/// Maximum number of doublings of the backoff between attempts to open a link.
const REOPEN_DOUBLINGS_MAX: u32 = 6;

impl EntryCore {
    /// Opens a link to an instance unless one is active or opening, or the backoff has not elapsed.
    pub(super) fn ensure_link(&mut self, ctx: &mut EventContext<'_>, instance: &InstanceId) {
        let Some(peer) = self.peers.get_mut(instance) else { return };
        if peer.active.is_some() || peer.opening.is_some() {
            return;
        }
        if !peer.next_open.is_past(ctx.now) {
            let at = peer.next_open;
            return self.schedule_wake(at);
        }
        let link = LinkId(self.next_link);
        self.next_link += 1;
        peer.opening = Some(link);
        let address = peer.address;
        let times_out_at = ctx.now.after(OPEN_TIMEOUT_MS);
        let state = LinkState::Opening { times_out_at };
        self.links.insert(link, Link { instance: instance.clone(), state });
        self.counters.links_opened += 1;
        self.schedule_wake(times_out_at);
        ctx.push(EntryAction::OpenLink { link, instance: instance.clone(), address });
    }

    pub(super) fn handle_link_opened(
        &mut self,
        ctx: &mut EventContext<'_>,
        link: LinkId,
        backend_server: &BackendServerId,
        incarnation: Incarnation,
    ) {
        let Some(instance) = self.links.get(&link).map(|row| row.instance.clone()) else { return };
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        if peer.opening != Some(link) {
            return;
        }
        if peer.backend_server != *backend_server {
            // The instance list is out of date: the instance now hosts another backend server.
            ctx.push(EntryAction::CloseLink { link });
            return self.open_failed(ctx, link);
        }
        peer.opening = None;
        peer.active = Some(link);
        peer.failed_opens = 0;
        let before = peer.incarnation.replace(incarnation);
        let silent = peer.suspect.take();
        self.mark_connected(ctx.now, link, incarnation);
        if let Some(silent) = silent {
            self.close_silent(ctx, silent, &instance);
        }
        if before.is_some_and(|before| before != incarnation) {
            self.handle_agent_restart(ctx, &instance);
        }
        self.recover_attempts(ctx, &instance, link, incarnation);
        self.send_cancels(ctx, &instance, link);
        self.send_demand(ctx, backend_server);
        self.send_heartbeat(ctx, link);
        self.dispatch_due = true;
    }

    fn mark_connected(&mut self, now: Now, link: LinkId, incarnation: Incarnation) {
        let Some(row) = self.links.get_mut(&link) else { return };
        row.state = LinkState::Connected(ConnectedLink {
            incarnation,
            last_received: now.unix_ms,
            heartbeat_due: now.after(HEARTBEAT_IDLE_MS),
            pending: None,
            idle_close: now.after(IDLE_CLOSE_MS),
        });
    }

    fn close_silent(&mut self, ctx: &mut EventContext<'_>, silent: LinkId, instance: &InstanceId) {
        let incarnation = self
            .links
            .get(&silent)
            .and_then(|row| row.connected())
            .map(|connected| connected.incarnation);
        self.close_link(ctx, silent);
        let (Some(peer), Some(incarnation)) = (self.peers.get(instance), incarnation) else {
            return;
        };
        let backend_server = peer.backend_server.clone();
        let instance = instance.clone();
        ctx.audit(Change::LinkSilent { backend_server, instance, incarnation });
    }

    /// Discards what was known of an agent before its restart.
    fn handle_agent_restart(&mut self, ctx: &mut EventContext<'_>, instance: &InstanceId) {
        self.counters.agents_restarted += 1;
        let Some(peer) = self.peers.get_mut(instance) else { return };
        peer.leaving = false;
        peer.load = None;
        peer.sent_since_report = 0;
        peer.pending_cancels.clear();
        self.rebind_backends();
        self.signal(ctx, instance, Signal::Restarted);
    }

    /// Revokes or attaches, on a new link, every attempt that the agent may have.
    fn recover_attempts(
        &mut self,
        ctx: &mut EventContext<'_>,
        instance: &InstanceId,
        link: LinkId,
        incarnation: Incarnation,
    ) {
        let Some(peer) = self.peers.get(instance) else { return };
        let requests: Vec<RequestId> = peer.requests.iter().copied().collect();
        for request in requests {
            self.recover_attempt(ctx, request, link, incarnation);
        }
    }

    fn recover_attempt(
        &mut self,
        ctx: &mut EventContext<'_>,
        request: RequestId,
        link: LinkId,
        incarnation: Incarnation,
    ) {
        let Some(live) = self.requests.get(&request).and_then(|row| row.attempt.as_ref()) else {
            return;
        };
        if live.incarnation != incarnation && self.mechanisms.incarnation_binding {
            return self.fail_lost_attempt(ctx, request, "the agent began another incarnation");
        }
        match live.progress {
            Progress::Accepted if self.mechanisms.reattach => self.attach(ctx, request, link),
            Progress::Accepted => self.fail_lost_attempt(ctx, request, "its link went silent"),
            _ if self.mechanisms.revoke => self.revoke(ctx, request, link),
            _ => self.fail_lost_attempt(ctx, request, "its link went silent"),
        }
    }

    fn revoke(&mut self, ctx: &mut EventContext<'_>, request: RequestId, link: LinkId) {
        let Some(row) = self.requests.get_mut(&request) else { return };
        let deadline = row.deadline;
        let Some(live) = row.attempt.as_mut() else { return };
        let Some(peer) = self.peers.get(&live.instance) else { return };
        let ack_due = peer.round_trip.ack_due(ctx.now);
        live.progress = Progress::Revoking { ack_due };
        let message = revoke_message(live, deadline);
        self.counters.revokes_sent += 1;
        self.schedule_wake(ack_due);
        ctx.send(link, message);
    }

    /// Asks the agent to send the response from the first missing chunk on.
    pub(super) fn attach(&mut self, ctx: &mut EventContext<'_>, request: RequestId, link: LinkId) {
        let Some(live) = self.attempt_mut(request) else { return };
        live.reattach_due = live.reattach_due.max(ctx.now.after(STALL_MS));
        let message = ToAgent::Attach {
            attempt: live.id,
            agent: live.incarnation,
            next_chunk: live.response.next_chunk(),
        };
        let reattach_due = live.reattach_due;
        self.counters.attaches_sent += 1;
        self.schedule_wake(reattach_due);
        ctx.send(link, message);
    }

    fn send_cancels(&mut self, ctx: &mut EventContext<'_>, instance: &InstanceId, link: LinkId) {
        let Some(peer) = self.peers.get_mut(instance) else { return };
        for attempt in std::mem::take(&mut peer.pending_cancels) {
            ctx.send(link, ToAgent::Cancel { attempt });
        }
    }

    pub(super) fn handle_link_closed(&mut self, ctx: &mut EventContext<'_>, link: LinkId) {
        let Some(instance) = self.links.get(&link).map(|row| row.instance.clone()) else { return };
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        if peer.opening == Some(link) {
            return self.open_failed(ctx, link);
        }
        self.links.swap_remove(&link);
        self.counters.links_lost += 1;
        if peer.suspect == Some(link) {
            peer.suspect = None;
        }
        if peer.active == Some(link) {
            peer.active = None;
            self.handle_disconnect(ctx, &instance);
        }
    }

    /// Removes a link that could not be opened, and backs off.
    pub(super) fn open_failed(&mut self, ctx: &mut EventContext<'_>, link: LinkId) {
        let Some(row) = self.links.swap_remove(&link) else { return };
        self.counters.links_failed += 1;
        let jitter_ms = self.random.random_range(0..REOPEN_MIN_MS);
        let Some(peer) = self.peers.get_mut(&row.instance) else { return };
        peer.opening = None;
        let doublings = peer.failed_opens.min(REOPEN_DOUBLINGS_MAX);
        peer.failed_opens += 1;
        let wait_ms = (REOPEN_MIN_MS << doublings).min(REOPEN_MAX_MS);
        peer.next_open = ctx.now.after(wait_ms + jitter_ms);
        let next_open = peer.next_open;
        self.schedule_wake(next_open);
        self.signal(ctx, &row.instance, Signal::Missed);
        self.rebind_backends();
    }

    /// Marks the active link as silent and opens a new one if the peer is still needed.
    pub(super) fn suspect_link(&mut self, ctx: &mut EventContext<'_>, instance: &InstanceId) {
        let Some(peer) = self.peers.get_mut(instance) else { return };
        let Some(link) = peer.active.take() else { return };
        peer.round_trip.back_off();
        let older = peer.suspect.replace(link);
        let wanted = !peer.requests.is_empty() || peer.is_usable();
        if let Some(older) = older {
            self.close_link(ctx, older);
        }
        if let Some(connected) = self.links.get_mut(&link).and_then(Link::connected_mut) {
            connected.pending = None;
        }
        self.counters.links_suspected += 1;
        self.signal(ctx, instance, Signal::Missed);
        self.handle_disconnect(ctx, instance);
        if wanted {
            self.ensure_link(ctx, instance);
        }
    }

    /// Starts the recovery of all attempts at an agent that has no active link any more.
    fn handle_disconnect(&mut self, ctx: &mut EventContext<'_>, instance: &InstanceId) {
        let Some(peer) = self.peers.get(instance) else { return };
        let requests: Vec<RequestId> = peer.requests.iter().copied().collect();
        for request in &requests {
            self.start_recovery(ctx.now, *request);
        }
        if !requests.is_empty() {
            self.ensure_link(ctx, instance);
        }
        self.dispatch_due = true;
    }

    /// Starts the time limit within which an attempt must be found again on a new link.
    pub(super) fn start_recovery(&mut self, now: Now, request: RequestId) {
        let Some(row) = self.requests.get_mut(&request) else { return };
        let Some(live) = row.attempt.as_mut() else { return };
        if live.progress != Progress::Accepted {
            live.progress = Progress::Disconnected;
        }
        let may_run_elsewhere = row.idempotent && !live.response.head_delivered;
        let wait_ms = if may_run_elsewhere { RECOVER_IDEMPOTENT_MS } else { RECOVER_MS };
        let until: UnixMs = *live.recover_until.get_or_insert(now.after(wait_ms));
        self.schedule_wake(until);
    }

    /// Closes a link and removes it from the table.
    pub(super) fn close_link(&mut self, ctx: &mut EventContext<'_>, link: LinkId) {
        if self.links.swap_remove(&link).is_some() {
            ctx.push(EntryAction::CloseLink { link });
        }
    }

    /// Restarts the idle timeout of a link.
    pub(super) fn postpone_idle_close(&mut self, now: Now, link: LinkId) {
        if let Some(connected) = self.links.get_mut(&link).and_then(Link::connected_mut) {
            connected.idle_close = now.after(IDLE_CLOSE_MS);
        }
    }
}
