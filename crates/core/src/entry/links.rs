//! Links to agents: opened on demand, replaced when silent.
//!
//! Something between the two ends may lose track of a connection: it stays open and delivers
//! nothing, for good, while new connections work. One would notice only that answers stop. So a
//! link is judged by answers: when one is overdue, a fresh link from another local port is opened
//! beside it, the attempts are revoked or attached there, and the silent one is closed.

use crate::audit::Change;
use crate::entry::border::EntryAction;
use crate::entry::constants::{
    HEARTBEAT_IDLE_MS, IDLE_CLOSE_MS, OPEN_GIVE_UP_MS, QUIET_MS, RECOVER_IDEMPOTENT_MS, RECOVER_MS,
    REOPEN_MAX_MS, REOPEN_MIN_MS,
};
use crate::entry::core::EntryCore;
use crate::entry::peer::{Link, LinkState, UpLink};
use crate::entry::request::Progress;
use crate::entry::settle::revocation;
use crate::entry::turn::Turn;
use crate::health::Signal;
use crate::ids::{Incarnation, InstanceId, LinkId, RequestId};
use crate::message::ToAgent;
use crate::time::{Now, UnixMs};
use hickorycross_config::BackendServerId;
use rand::RngExt;

/// Doublings of the wait between tries to open a link at most.
const REOPEN_DOUBLINGS_MAX: u32 = 6;

impl EntryCore {
    /// Opens a link to an instance unless there is one, or the last failure is too recent.
    pub(super) fn ensure_link(&mut self, turn: &mut Turn<'_>, instance: &InstanceId) {
        let Some(peer) = self.peers.get_mut(instance) else { return };
        if peer.active.is_some() || peer.opening.is_some() {
            return;
        }
        if !peer.next_open.is_past(turn.now) {
            let at = peer.next_open;
            return self.wake_by(at);
        }
        let link = LinkId(self.next_link);
        self.next_link += 1;
        peer.opening = Some(link);
        let address = peer.address;
        let give_up = turn.now.after(OPEN_GIVE_UP_MS);
        let state = LinkState::Opening { give_up };
        self.links.insert(link, Link { instance: instance.clone(), state });
        self.counters.links_opened += 1;
        self.wake_by(give_up);
        turn.push(EntryAction::OpenLink { link, instance: instance.clone(), address });
    }

    pub(super) fn link_opened(
        &mut self,
        turn: &mut Turn<'_>,
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
            // The instance list lags: the instance hosts another backend server by now.
            turn.push(EntryAction::CloseLink { link });
            return self.open_failed(turn, link);
        }
        peer.opening = None;
        peer.active = Some(link);
        peer.failed_opens = 0;
        let before = peer.incarnation.replace(incarnation);
        let silent = peer.suspect.take();
        self.set_up(turn.now, link, incarnation);
        if let Some(silent) = silent {
            self.replace_silent(turn, silent, &instance);
        }
        if before.is_some_and(|before| before != incarnation) {
            self.agent_restarted(turn, &instance);
        }
        self.recover_attempts(turn, &instance, link, incarnation);
        self.send_cancels(turn, &instance, link);
        self.send_demand(turn, backend_server);
        self.send_heartbeat(turn, link);
        self.dispatch_due = true;
    }

    fn set_up(&mut self, now: Now, link: LinkId, incarnation: Incarnation) {
        let Some(row) = self.links.get_mut(&link) else { return };
        row.state = LinkState::Up(UpLink {
            incarnation,
            last_heard: now.unix_ms,
            heartbeat_due: now.after(HEARTBEAT_IDLE_MS),
            pending: None,
            idle_close: now.after(IDLE_CLOSE_MS),
        });
    }

    fn replace_silent(&mut self, turn: &mut Turn<'_>, silent: LinkId, instance: &InstanceId) {
        let incarnation = self.links.get(&silent).and_then(|row| row.up()).map(|up| up.incarnation);
        self.close(turn, silent);
        let (Some(peer), Some(incarnation)) = (self.peers.get(instance), incarnation) else {
            return;
        };
        let backend_server = peer.backend_server.clone();
        let instance = instance.clone();
        turn.audit(Change::LinkSilent { backend_server, instance, incarnation });
    }

    /// What was known of the agent before its restart no longer holds.
    fn agent_restarted(&mut self, turn: &mut Turn<'_>, instance: &InstanceId) {
        self.counters.agents_restarted += 1;
        let Some(peer) = self.peers.get_mut(instance) else { return };
        peer.leaving = false;
        peer.load = None;
        peer.sent_since_report = 0;
        peer.cancels.clear();
        self.rebind();
        self.signal(turn, instance, Signal::Restarted);
    }

    /// Revokes or attaches, on a fresh link, the attempts that the agent may have.
    fn recover_attempts(
        &mut self,
        turn: &mut Turn<'_>,
        instance: &InstanceId,
        link: LinkId,
        incarnation: Incarnation,
    ) {
        let Some(peer) = self.peers.get(instance) else { return };
        let requests: Vec<RequestId> = peer.requests.iter().copied().collect();
        for request in requests {
            self.recover(turn, request, link, incarnation);
        }
    }

    fn recover(
        &mut self,
        turn: &mut Turn<'_>,
        request: RequestId,
        link: LinkId,
        incarnation: Incarnation,
    ) {
        let Some(live) = self.requests.get(&request).and_then(|row| row.attempt.as_ref()) else {
            return;
        };
        if live.incarnation != incarnation && self.mechanisms.incarnation_binding {
            return self.lose_attempt(turn, request, "the agent began another incarnation");
        }
        match live.progress {
            Progress::Accepted if self.mechanisms.reattach => self.attach(turn, request, link),
            Progress::Accepted => self.lose_attempt(turn, request, "its link went silent"),
            _ if self.mechanisms.revoke => self.revoke(turn, request, link),
            _ => self.lose_attempt(turn, request, "its link went silent"),
        }
    }

    fn revoke(&mut self, turn: &mut Turn<'_>, request: RequestId, link: LinkId) {
        let Some(row) = self.requests.get_mut(&request) else { return };
        let deadline = row.deadline;
        let Some(live) = row.attempt.as_mut() else { return };
        let Some(peer) = self.peers.get(&live.instance) else { return };
        let ack_due = peer.round_trip.ack_due(turn.now);
        live.progress = Progress::Revoking { ack_due };
        let message = revocation(live, deadline);
        self.counters.revokes_sent += 1;
        self.wake_by(ack_due);
        turn.send(link, message);
    }

    /// Asks for the answer from the first missing piece on.
    pub(super) fn attach(&mut self, turn: &mut Turn<'_>, request: RequestId, link: LinkId) {
        let Some(live) = self.attempt_mut(request) else { return };
        live.quiet = live.quiet.max(turn.now.after(QUIET_MS));
        let message = ToAgent::Attach {
            attempt: live.id,
            agent: live.incarnation,
            next_chunk: live.answer.next_chunk(),
        };
        let quiet = live.quiet;
        self.counters.attaches_sent += 1;
        self.wake_by(quiet);
        turn.send(link, message);
    }

    fn send_cancels(&mut self, turn: &mut Turn<'_>, instance: &InstanceId, link: LinkId) {
        let Some(peer) = self.peers.get_mut(instance) else { return };
        for attempt in std::mem::take(&mut peer.cancels) {
            turn.send(link, ToAgent::Cancel { attempt });
        }
    }

    pub(super) fn link_closed(&mut self, turn: &mut Turn<'_>, link: LinkId) {
        let Some(instance) = self.links.get(&link).map(|row| row.instance.clone()) else { return };
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        if peer.opening == Some(link) {
            return self.open_failed(turn, link);
        }
        self.links.swap_remove(&link);
        self.counters.links_lost += 1;
        if peer.suspect == Some(link) {
            peer.suspect = None;
        }
        if peer.active == Some(link) {
            peer.active = None;
            self.out_of_touch(turn, &instance);
        }
    }

    /// A link that was being opened failed.
    pub(super) fn open_failed(&mut self, turn: &mut Turn<'_>, link: LinkId) {
        let Some(row) = self.links.swap_remove(&link) else { return };
        self.counters.links_failed += 1;
        let jitter_ms = self.random.random_range(0..REOPEN_MIN_MS);
        let Some(peer) = self.peers.get_mut(&row.instance) else { return };
        peer.opening = None;
        let doublings = peer.failed_opens.min(REOPEN_DOUBLINGS_MAX);
        peer.failed_opens += 1;
        let wait_ms = (REOPEN_MIN_MS << doublings).min(REOPEN_MAX_MS);
        peer.next_open = turn.now.after(wait_ms + jitter_ms);
        let next_open = peer.next_open;
        self.wake_by(next_open);
        self.signal(turn, &row.instance, Signal::Missed);
        self.rebind();
    }

    /// Judges the link in use as silent and opens a fresh one beside it.
    pub(super) fn suspect(&mut self, turn: &mut Turn<'_>, instance: &InstanceId) {
        let Some(peer) = self.peers.get_mut(instance) else { return };
        let Some(link) = peer.active.take() else { return };
        peer.round_trip.back_off();
        let older = peer.suspect.replace(link);
        let wanted = !peer.requests.is_empty() || peer.is_usable();
        if let Some(older) = older {
            self.close(turn, older);
        }
        if let Some(up) = self.links.get_mut(&link).and_then(Link::up_mut) {
            up.pending = None;
        }
        self.counters.links_suspected += 1;
        self.signal(turn, instance, Signal::Missed);
        self.out_of_touch(turn, instance);
        if wanted {
            self.ensure_link(turn, instance);
        }
    }

    /// No link to the agent is in use: its attempts have a bounded time to be found again.
    fn out_of_touch(&mut self, turn: &mut Turn<'_>, instance: &InstanceId) {
        let Some(peer) = self.peers.get(instance) else { return };
        let requests: Vec<RequestId> = peer.requests.iter().copied().collect();
        for request in &requests {
            self.lose_touch(turn.now, *request);
        }
        if !requests.is_empty() {
            self.ensure_link(turn, instance);
        }
        self.dispatch_due = true;
    }

    pub(super) fn lose_touch(&mut self, now: Now, request: RequestId) {
        let Some(row) = self.requests.get_mut(&request) else { return };
        let Some(live) = row.attempt.as_mut() else { return };
        if live.progress != Progress::Accepted {
            live.progress = Progress::Lost;
        }
        let elsewhere = row.idempotent && !live.answer.begun;
        let wait_ms = if elsewhere { RECOVER_IDEMPOTENT_MS } else { RECOVER_MS };
        let until: UnixMs = *live.recover_until.get_or_insert(now.after(wait_ms));
        self.wake_by(until);
    }

    /// Closes a link that is no longer needed.
    pub(super) fn close(&mut self, turn: &mut Turn<'_>, link: LinkId) {
        if self.links.swap_remove(&link).is_some() {
            turn.push(EntryAction::CloseLink { link });
        }
    }

    /// Notes that a link is in use.
    pub(super) fn touch_link(&mut self, now: Now, link: LinkId) {
        if let Some(up) = self.links.get_mut(&link).and_then(Link::up_mut) {
            up.idle_close = now.after(IDLE_CLOSE_MS);
        }
    }
}
