//! Timers: deadlines, overdue acknowledgements, stalled attempts, heartbeats and idle links.

use crate::entry::constants::{
    HEARTBEAT_IDLE_MS, HEARTBEAT_LIVE_MS, IDLE_LINKS_MAX, REATTACH_MAX, STALL_DOUBLINGS_MAX,
    STALL_MS,
};
use crate::entry::core::EntryCore;
use crate::entry::event_context::EventContext;
use crate::entry::interface::EntryAction;
use crate::entry::peer::{Link, LinkState, PendingHeartbeat};
use crate::entry::request::Progress;
use crate::entry::response::Completeness;
use crate::ids::{InstanceId, LinkId, RequestId};
use crate::message::ToAgent;
use crate::time::{Now, UnixMs};

/// The timer that is due for a request.
enum RequestDue {
    Nothing,
    Expired,
    Unacknowledged(InstanceId),
    RecoveryTimedOut,
    Stalled,
}

/// The timer that is due for a link.
enum LinkDue {
    Nothing,
    OpenFailed,
    Silent(InstanceId),
    Heartbeat,
    IdleClose,
    SuspectUnneeded,
}

impl EntryCore {
    /// Runs all due timers and schedules the next run.
    pub(super) fn run_timers(&mut self, ctx: &mut EventContext<'_>) {
        self.wake = UnixMs::NEVER;
        let requests: Vec<RequestId> = self.requests.keys().copied().collect();
        for request in requests {
            self.run_request_timer(ctx, request);
        }
        let links: Vec<LinkId> = self.links.keys().copied().collect();
        for link in links {
            self.run_link_timer(ctx, link);
        }
        self.reopen_links(ctx);
        self.close_excess_idle_links(ctx);
        let earliest_due = self.earliest_due(ctx.now);
        self.schedule_wake(earliest_due);
        self.dispatch_due |= !self.waiting.is_empty();
    }

    fn run_request_timer(&mut self, ctx: &mut EventContext<'_>, request: RequestId) {
        match self.request_due(ctx, request) {
            RequestDue::Nothing => {}
            RequestDue::Expired => self.refuse_expired(ctx, request),
            RequestDue::Unacknowledged(instance) => self.suspect_link(ctx, &instance),
            RequestDue::RecoveryTimedOut => {
                self.fail_lost_attempt(ctx, request, "its agent could not be reached again");
            }
            RequestDue::Stalled => self.reattach_stalled(ctx, request),
        }
    }

    fn request_due(&self, ctx: &EventContext<'_>, request: RequestId) -> RequestDue {
        if self.is_expired(ctx, request) {
            return RequestDue::Expired;
        }
        let Some(live) = self.requests.get(&request).and_then(|row| row.attempt.as_ref()) else {
            return RequestDue::Nothing;
        };
        if live.recover_until.is_some_and(|until| until.is_past(ctx.now)) {
            return RequestDue::RecoveryTimedOut;
        }
        match live.progress {
            Progress::Submitted { ack_due } | Progress::Revoking { ack_due }
                if ack_due.is_past(ctx.now) && self.mechanisms.fresh_link_on_silence =>
            {
                RequestDue::Unacknowledged(live.instance.clone())
            }
            Progress::Accepted if live.reattach_due.is_past(ctx.now) => RequestDue::Stalled,
            _ => RequestDue::Nothing,
        }
    }

    /// Attaches an accepted attempt that made no progress, or gives up a response whose missing
    /// chunks did not arrive after repeated attachments.
    fn reattach_stalled(&mut self, ctx: &mut EventContext<'_>, request: RequestId) {
        let Some(live) = self.requests.get_mut(&request).and_then(|row| row.attempt.as_mut())
        else {
            return;
        };
        let Some(peer) = self.peers.get(&live.instance) else { return };
        let gap = live.response.completeness() == Completeness::Gap;
        let doublings = live.reattaches.min(STALL_DOUBLINGS_MAX);
        live.reattach_due = ctx.now.after(STALL_MS << doublings);
        let Some(link) = peer.active else { return self.start_recovery(ctx.now, request) };
        if gap && live.reattaches >= REATTACH_MAX {
            return self.interrupt(ctx, request, "pieces of the answer are missing");
        }
        let soon = peer.round_trip.ack_due(ctx.now);
        live.reattaches += 1;
        self.attach(ctx, request, link);
        if gap && let Some(live) = self.attempt_mut(request) {
            live.reattach_due = soon;
        }
    }

    fn run_link_timer(&mut self, ctx: &mut EventContext<'_>, link: LinkId) {
        match self.link_due(ctx.now, link) {
            LinkDue::Nothing => {}
            LinkDue::OpenFailed => {
                ctx.push(EntryAction::CloseLink { link });
                self.open_failed(ctx, link);
            }
            LinkDue::Silent(instance) => self.suspect_link(ctx, &instance),
            LinkDue::Heartbeat => self.send_heartbeat(ctx, link),
            LinkDue::IdleClose => self.close_idle(ctx, link),
            LinkDue::SuspectUnneeded => self.close_suspect(ctx, link),
        }
    }

    fn link_due(&self, now: Now, link: LinkId) -> LinkDue {
        let Some(row) = self.links.get(&link) else { return LinkDue::Nothing };
        let connected = match &row.state {
            LinkState::Opening { times_out_at } if times_out_at.is_past(now) => {
                return LinkDue::OpenFailed;
            }
            LinkState::Opening { .. } => return LinkDue::Nothing,
            LinkState::Connected(connected) => connected,
        };
        let Some(peer) = self.peers.get(&row.instance) else { return LinkDue::Nothing };
        let live = !peer.requests.is_empty();
        if peer.active != Some(link) {
            let needed = live || peer.opening.is_some();
            return if needed { LinkDue::Nothing } else { LinkDue::SuspectUnneeded };
        }
        if let Some(pending) = connected.pending {
            let silent = pending.ack_due.is_past(now) && self.mechanisms.fresh_link_on_silence;
            return if silent { LinkDue::Silent(row.instance.clone()) } else { LinkDue::Nothing };
        }
        if !live && (connected.idle_close.is_past(now) || !peer.listed_live) {
            return LinkDue::IdleClose;
        }
        if heartbeat_due(connected.last_received, connected.heartbeat_due, live).is_past(now) {
            return LinkDue::Heartbeat;
        }
        LinkDue::Nothing
    }

    pub(super) fn send_heartbeat(&mut self, ctx: &mut EventContext<'_>, link: LinkId) {
        let Some(row) = self.links.get_mut(&link) else { return };
        let Some(peer) = self.peers.get(&row.instance) else { return };
        let ack_due = peer.round_trip.ack_due(ctx.now);
        let Some(connected) = row.connected_mut() else { return };
        connected.heartbeat_due = ctx.now.after(HEARTBEAT_IDLE_MS);
        if !self.mechanisms.heartbeats {
            return;
        }
        let nonce = self.next_nonce;
        self.next_nonce += 1;
        connected.pending = Some(PendingHeartbeat { nonce, sent: ctx.now.unix_ms, ack_due });
        self.counters.heartbeats_sent += 1;
        self.schedule_wake(ack_due);
        ctx.send(link, ToAgent::Heartbeat { nonce, stamp: ctx.stamp });
    }

    /// Opens links to agents that have live attempts or reported leaving, and have no active link.
    ///
    /// A leaving agent may be restarted on its instance, as in an upgrade, without a change in the
    /// instance list. As nothing new is sent to a leaving agent, no request would ever open a link
    /// to its successor, and the backend server would stay without work. The link opened here
    /// detects the successor by its incarnation.
    fn reopen_links(&mut self, ctx: &mut EventContext<'_>) {
        let needed: Vec<InstanceId> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.active.is_none())
            .filter(|(_, peer)| !peer.requests.is_empty() || peer.may_have_returned())
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in needed {
            self.ensure_link(ctx, &instance);
        }
    }

    /// Closes the least recently used idle links above the maximum, as each costs heartbeats.
    fn close_excess_idle_links(&mut self, ctx: &mut EventContext<'_>) {
        let mut idle: Vec<(UnixMs, LinkId)> =
            self.links.iter().filter_map(|(link, row)| self.idle_link(*link, row)).collect();
        let excess = idle.len().saturating_sub(IDLE_LINKS_MAX);
        if excess == 0 {
            return;
        }
        idle.sort_unstable();
        for (_, link) in idle.into_iter().take(excess) {
            self.close_idle(ctx, link);
        }
    }

    fn idle_link(&self, link: LinkId, row: &Link) -> Option<(UnixMs, LinkId)> {
        let peer = self.peers.get(&row.instance)?;
        let connected = row.connected()?;
        let idle = peer.requests.is_empty() && peer.active == Some(link);
        idle.then_some((connected.idle_close, link))
    }

    fn close_idle(&mut self, ctx: &mut EventContext<'_>, link: LinkId) {
        let Some(instance) = self.links.get(&link).map(|row| row.instance.clone()) else { return };
        if let Some(peer) = self.peers.get_mut(&instance) {
            peer.active = None;
        }
        self.counters.links_idle_closed += 1;
        self.close_link(ctx, link);
    }

    /// Closes a silent link whose replacement failed and whose peer has no live attempts.
    fn close_suspect(&mut self, ctx: &mut EventContext<'_>, link: LinkId) {
        let Some(instance) = self.links.get(&link).map(|row| row.instance.clone()) else { return };
        if let Some(peer) = self.peers.get_mut(&instance) {
            peer.suspect = None;
        }
        self.close_link(ctx, link);
    }

    /// Returns the earliest time at which a timer of a request or link is due.
    fn earliest_due(&self, now: Now) -> UnixMs {
        let requests = self.requests.values().map(|row| row.next_due(now));
        let links = self.links.iter().map(|(link, row)| self.link_next_due(*link, row));
        requests.chain(links).min().unwrap_or(UnixMs::NEVER)
    }

    fn link_next_due(&self, link: LinkId, row: &Link) -> UnixMs {
        let connected = match &row.state {
            LinkState::Opening { times_out_at } => return *times_out_at,
            LinkState::Connected(connected) => connected,
        };
        let Some(peer) = self.peers.get(&row.instance) else { return UnixMs::NEVER };
        if peer.active != Some(link) {
            return UnixMs::NEVER;
        }
        let live = !peer.requests.is_empty();
        let heartbeat = heartbeat_due(connected.last_received, connected.heartbeat_due, live);
        connected.pending.map_or(heartbeat, |pending| pending.ack_due)
    }
}

/// Returns when a link needs a heartbeat, which is sooner with live attempts.
fn heartbeat_due(last_received: UnixMs, due: UnixMs, live: bool) -> UnixMs {
    if live { due.min(last_received.after(HEARTBEAT_LIVE_MS)) } else { due }
}
