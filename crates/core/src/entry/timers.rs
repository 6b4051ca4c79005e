//! What is due by time: deadlines, acknowledgements, attachments, heartbeats, idle links.

use crate::entry::answer::Completeness;
use crate::entry::border::EntryAction;
use crate::entry::constants::{
    HEARTBEAT_IDLE_MS, HEARTBEAT_LIVE_MS, IDLE_LINKS_MAX, QUIET_DOUBLINGS_MAX, QUIET_MS,
    REATTACH_MAX,
};
use crate::entry::core::EntryCore;
use crate::entry::peer::{Link, LinkState, PendingHeartbeat};
use crate::entry::request::Progress;
use crate::entry::turn::Turn;
use crate::ids::{InstanceId, LinkId, RequestId};
use crate::message::ToAgent;
use crate::time::{Now, UnixMs};

/// What is due for a request.
enum Due {
    Nothing,
    Expired,
    Unacknowledged(InstanceId),
    Unrecovered,
    Quiet,
}

/// What is due for a link.
enum LinkDue {
    Nothing,
    OpenFailed,
    Silent(InstanceId),
    Heartbeat,
    IdleClose,
    SuspectUnneeded,
}

impl EntryCore {
    /// Does everything that is due and notes when the next thing is.
    pub(super) fn run_timers(&mut self, turn: &mut Turn<'_>) {
        self.wake = UnixMs::NEVER;
        let requests: Vec<RequestId> = self.requests.keys().copied().collect();
        for request in requests {
            self.run_request(turn, request);
        }
        let links: Vec<LinkId> = self.links.keys().copied().collect();
        for link in links {
            self.run_link(turn, link);
        }
        self.reopen_links(turn);
        self.bound_idle_links(turn);
        let earliest = self.earliest(turn.now);
        self.wake_by(earliest);
        self.dispatch_due |= !self.waiting.is_empty();
    }

    fn run_request(&mut self, turn: &mut Turn<'_>, request: RequestId) {
        match self.request_due(turn, request) {
            Due::Nothing => {}
            Due::Expired => self.expire(turn, request),
            Due::Unacknowledged(instance) => self.suspect(turn, &instance),
            Due::Unrecovered => {
                self.lose_attempt(turn, request, "its agent could not be reached again");
            }
            Due::Quiet => self.run_quiet(turn, request),
        }
    }

    fn request_due(&self, turn: &Turn<'_>, request: RequestId) -> Due {
        if self.is_expired(turn, request) {
            return Due::Expired;
        }
        let Some(live) = self.requests.get(&request).and_then(|row| row.attempt.as_ref()) else {
            return Due::Nothing;
        };
        if live.recover_until.is_some_and(|until| until.is_past(turn.now)) {
            return Due::Unrecovered;
        }
        match live.progress {
            Progress::Submitted { ack_due } | Progress::Revoking { ack_due }
                if ack_due.is_past(turn.now) && self.mechanisms.fresh_link_on_silence =>
            {
                Due::Unacknowledged(live.instance.clone())
            }
            Progress::Accepted if live.quiet.is_past(turn.now) => Due::Quiet,
            _ => Due::Nothing,
        }
    }

    /// An accepted attempt made no progress: attach again, or give up an answer with a gap.
    fn run_quiet(&mut self, turn: &mut Turn<'_>, request: RequestId) {
        let Some(live) = self.requests.get_mut(&request).and_then(|row| row.attempt.as_mut())
        else {
            return;
        };
        let Some(peer) = self.peers.get(&live.instance) else { return };
        let gap = live.answer.completeness() == Completeness::Gap;
        let doublings = live.reattaches.min(QUIET_DOUBLINGS_MAX);
        live.quiet = turn.now.after(QUIET_MS << doublings);
        let Some(link) = peer.active else { return self.lose_touch(turn.now, request) };
        if gap && live.reattaches >= REATTACH_MAX {
            return self.interrupt(turn, request, "pieces of the answer are missing");
        }
        let soon = peer.round_trip.ack_due(turn.now);
        live.reattaches += 1;
        self.attach(turn, request, link);
        if gap && let Some(live) = self.attempt_mut(request) {
            live.quiet = soon;
        }
    }

    fn run_link(&mut self, turn: &mut Turn<'_>, link: LinkId) {
        match self.link_due(turn.now, link) {
            LinkDue::Nothing => {}
            LinkDue::OpenFailed => {
                turn.push(EntryAction::CloseLink { link });
                self.open_failed(turn, link);
            }
            LinkDue::Silent(instance) => self.suspect(turn, &instance),
            LinkDue::Heartbeat => self.send_heartbeat(turn, link),
            LinkDue::IdleClose => self.close_idle(turn, link),
            LinkDue::SuspectUnneeded => self.close_suspect(turn, link),
        }
    }

    fn link_due(&self, now: Now, link: LinkId) -> LinkDue {
        let Some(row) = self.links.get(&link) else { return LinkDue::Nothing };
        let up = match &row.state {
            LinkState::Opening { give_up } if give_up.is_past(now) => return LinkDue::OpenFailed,
            LinkState::Opening { .. } => return LinkDue::Nothing,
            LinkState::Up(up) => up,
        };
        let Some(peer) = self.peers.get(&row.instance) else { return LinkDue::Nothing };
        let live = !peer.requests.is_empty();
        if peer.active != Some(link) {
            let needed = live || peer.opening.is_some();
            return if needed { LinkDue::Nothing } else { LinkDue::SuspectUnneeded };
        }
        if let Some(pending) = up.pending {
            let silent = pending.ack_due.is_past(now) && self.mechanisms.fresh_link_on_silence;
            return if silent { LinkDue::Silent(row.instance.clone()) } else { LinkDue::Nothing };
        }
        if !live && (up.idle_close.is_past(now) || !peer.listed_live) {
            return LinkDue::IdleClose;
        }
        if heartbeat_due(up.last_heard, up.heartbeat_due, live).is_past(now) {
            return LinkDue::Heartbeat;
        }
        LinkDue::Nothing
    }

    pub(super) fn send_heartbeat(&mut self, turn: &mut Turn<'_>, link: LinkId) {
        let Some(row) = self.links.get_mut(&link) else { return };
        let Some(peer) = self.peers.get(&row.instance) else { return };
        let ack_due = peer.round_trip.ack_due(turn.now);
        let Some(up) = row.up_mut() else { return };
        up.heartbeat_due = turn.now.after(HEARTBEAT_IDLE_MS);
        if !self.mechanisms.heartbeats {
            return;
        }
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        up.pending = Some(PendingHeartbeat { nonce, sent: turn.now.unix_ms, ack_due });
        self.counters.heartbeats_sent += 1;
        self.wake_by(ack_due);
        turn.send(link, ToAgent::Heartbeat { nonce, stamp: turn.stamp });
    }

    /// Agents that have attempts of ours but no link to them.
    /// Opens the links that attempts need, and looks after agents that left.
    ///
    /// An agent that leaves may be restarted on its instance, as in an upgrade, and the list may
    /// never show it. Nothing new is sent to an agent that leaves, so that no link would ever be
    /// opened to its successor: one would see a backend server without work after its agent's
    /// upgrade. A link now and then finds the successor by its incarnation.
    fn reopen_links(&mut self, turn: &mut Turn<'_>) {
        let needed: Vec<InstanceId> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.active.is_none())
            .filter(|(_, peer)| !peer.requests.is_empty() || peer.may_have_returned())
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in needed {
            self.ensure_link(turn, &instance);
        }
    }

    /// Heartbeats on idle links cost control budget: the least recently used ones go first.
    fn bound_idle_links(&mut self, turn: &mut Turn<'_>) {
        let mut idle: Vec<(UnixMs, LinkId)> =
            self.links.iter().filter_map(|(link, row)| self.idle_link(*link, row)).collect();
        let excess = idle.len().saturating_sub(IDLE_LINKS_MAX);
        if excess == 0 {
            return;
        }
        idle.sort_unstable();
        for (_, link) in idle.into_iter().take(excess) {
            self.close_idle(turn, link);
        }
    }

    fn idle_link(&self, link: LinkId, row: &Link) -> Option<(UnixMs, LinkId)> {
        let peer = self.peers.get(&row.instance)?;
        let up = row.up()?;
        let idle = peer.requests.is_empty() && peer.active == Some(link);
        idle.then_some((up.idle_close, link))
    }

    fn close_idle(&mut self, turn: &mut Turn<'_>, link: LinkId) {
        let Some(instance) = self.links.get(&link).map(|row| row.instance.clone()) else { return };
        if let Some(peer) = self.peers.get_mut(&instance) {
            peer.active = None;
        }
        self.counters.links_idle_closed += 1;
        self.close(turn, link);
    }

    /// A silent link whose replacement failed and that holds no attempt any more.
    fn close_suspect(&mut self, turn: &mut Turn<'_>, link: LinkId) {
        let Some(instance) = self.links.get(&link).map(|row| row.instance.clone()) else { return };
        if let Some(peer) = self.peers.get_mut(&instance) {
            peer.suspect = None;
        }
        self.close(turn, link);
    }

    /// When the timers have something to do next.
    fn earliest(&self, now: Now) -> UnixMs {
        let requests = self.requests.values().map(|row| row.next_due(now));
        let links = self.links.iter().map(|(link, row)| self.link_next_due(*link, row));
        requests.chain(links).min().unwrap_or(UnixMs::NEVER)
    }

    fn link_next_due(&self, link: LinkId, row: &Link) -> UnixMs {
        let up = match &row.state {
            LinkState::Opening { give_up } => return *give_up,
            LinkState::Up(up) => up,
        };
        let Some(peer) = self.peers.get(&row.instance) else { return UnixMs::NEVER };
        if peer.active != Some(link) {
            return UnixMs::NEVER;
        }
        let live = !peer.requests.is_empty();
        let heartbeat = heartbeat_due(up.last_heard, up.heartbeat_due, live);
        up.pending.map_or(heartbeat, |pending| pending.ack_due)
    }
}

/// When a link needs a heartbeat.
fn heartbeat_due(last_heard: UnixMs, due: UnixMs, live: bool) -> UnixMs {
    if live { due.min(last_heard.after(HEARTBEAT_LIVE_MS)) } else { due }
}
