//! The event loop of an entry.
//!
//! The [`Driver`] owns the core, a state machine without I/O. It passes requests, link events and
//! platform events to the core and executes the actions that the core returns: it sends messages
//! over links and parts of answers to the HTTP side. It also keeps the HTTP side, the console and
//! the metrics supplied with the active document and snapshots of the state.

use crate::caller_channel::{AnswerPart, CallerEvent};
use crate::catalog::Catalog;
use crate::console_state::ConsoleState;
use crate::export::MetricsExporter;
use hickorycross_config::BackendServerId;
use hickorycross_core::entry::{EntryAction, EntryCore, EntryEvent};
use hickorycross_core::message::{ToAgent, ToEntry};
use hickorycross_core::{InstanceId, LinkId, Now, RequestId};
use hickorycross_protocol::{Frame, Hello, PeerRole};
use hickorycross_runtime::clock::SteadyClock;
use hickorycross_runtime::follower::{ConfigFollower, ConfigUpdate};
use hickorycross_runtime::link::{LinkEvent, Links};
use hickorycross_runtime::operators::StatusSource;
use hickorycross_runtime::platform::PlatformEvent;
use hickorycross_runtime::trail::Trail;
use hickorycross_runtime::view::ProcessView;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

/// Interval between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The channels from which the driver receives events.
pub(crate) struct EventSources {
    pub(crate) callers: UnboundedReceiver<CallerEvent>,
    pub(crate) links: UnboundedReceiver<LinkEvent>,
    pub(crate) platform: UnboundedReceiver<PlatformEvent>,
    pub(crate) drain: oneshot::Receiver<()>,
}

/// The components that the driver connects.
pub(crate) struct DriverParts {
    pub(crate) core: EntryCore,
    pub(crate) follower: ConfigFollower,
    pub(crate) instance: InstanceId,
    pub(crate) links: Links,
    pub(crate) view: Arc<ProcessView>,
    pub(crate) trail: Arc<Trail>,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) console_state: Arc<ConsoleState>,
    pub(crate) clock: SteadyClock,
}

/// Runs the event loop of an entry until the core reports that it has drained.
pub(crate) struct Driver {
    parts: DriverParts,
    /// Channels to the HTTP side, by request whose answer is not complete.
    answers: IndexMap<RequestId, UnboundedSender<AnswerPart>>,
    /// The backend server behind each open link, for log lines.
    backend_servers: IndexMap<LinkId, BackendServerId>,
    exporter: MetricsExporter,
    is_drained: bool,
}

impl Driver {
    pub(crate) fn new(parts: DriverParts) -> Self {
        Self {
            exporter: MetricsExporter::new(&parts.instance),
            parts,
            answers: IndexMap::new(),
            backend_servers: IndexMap::new(),
            is_drained: false,
        }
    }

    pub(crate) async fn run(mut self, mut sources: EventSources) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut draining = false;
        while !self.is_drained {
            tokio::select! {
                biased;
                _ = &mut sources.drain, if !draining => {
                    draining = true;
                    self.handle_event(EntryEvent::Drain);
                }
                _ = ticks.tick() => self.tick(),
                Some(event) = sources.links.recv() => self.on_link(event),
                Some(event) = sources.callers.recv() => self.on_caller(event),
                Some(event) = sources.platform.recv() => self.on_platform(event),
            }
        }
    }

    fn tick(&mut self) {
        self.handle_event(EntryEvent::Tick);
        let update = self.parts.follower.tick(self.parts.clock.now());
        self.apply_config(update);
        let now = self.parts.clock.now();
        let follower = &self.parts.follower;
        let ready = follower.has_document() && follower.is_gate_open(now);
        self.parts.view.update(|status| status.ready = ready);
        self.publish_state(now);
    }

    /// Publishes the core's state to the status page, the console and the metrics, at most once per
    /// export interval.
    fn publish_state(&mut self, now: Now) {
        if self.exporter.start_if_due(now) {
            let snapshot = self.parts.core.snapshot(now);
            let detail = serde_json::to_value(&snapshot).unwrap_or_default();
            self.parts.view.update(|status| status.detail = detail);
            self.parts.console_state.set_snapshot(now.unix_ms, snapshot.clone());
            self.exporter.export(&self.parts.core.counters(), &snapshot, &self.parts.view.status());
        }
    }

    fn handle_event(&mut self, event: EntryEvent) {
        let mut actions = Vec::new();
        self.parts.core.handle(self.parts.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: EntryAction) {
        match action {
            EntryAction::OpenLink { link, address, .. } => self.parts.links.open(link, address),
            EntryAction::CloseLink { link } => self.parts.links.close(link),
            EntryAction::Send { link, message } => {
                self.log_submit(link, &message);
                self.parts.links.send(link, Frame::ToAgent(message));
            }
            EntryAction::Head { request, head } => self.send_part(request, AnswerPart::Head(head)),
            EntryAction::Chunk { request, bytes } => {
                self.send_part(request, AnswerPart::Chunk(bytes));
            }
            EntryAction::Finish { request } => self.send_last_part(request, AnswerPart::Finish),
            EntryAction::Refuse { request, refusal } => {
                self.send_last_part(request, AnswerPart::Refuse(refusal));
            }
            EntryAction::Audit(record) => self.parts.trail.write(record),
            EntryAction::Drained => self.is_drained = true,
        }
    }

    fn log_submit(&self, link: LinkId, message: &ToAgent) {
        if let ToAgent::Submit(submit) = message {
            log::debug!(
                target: "request",
                request = submit.attempt.request.to_string().as_str(),
                attempt = submit.attempt.ordinal,
                backend_server = self.backend_servers.get(&link).map_or("-", BackendServerId::as_str);
                "submitted"
            );
        }
    }

    fn send_part(&self, request: RequestId, part: AnswerPart) {
        if let Some(answer) = self.answers.get(&request) {
            let _ = answer.send(part);
        }
    }

    fn send_last_part(&mut self, request: RequestId, part: AnswerPart) {
        if let Some(answer) = self.answers.swap_remove(&request) {
            let _ = answer.send(part);
        }
    }

    fn on_caller(&mut self, event: CallerEvent) {
        match event {
            CallerEvent::Arrived { arrival, parts } => {
                self.answers.insert(arrival.request, parts);
                self.handle_event(EntryEvent::Arrived(arrival));
            }
            CallerEvent::CallerGone { request } => {
                self.answers.swap_remove(&request);
                self.handle_event(EntryEvent::CallerGone { request });
            }
        }
    }

    fn on_link(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Opened { link, hello } => self.on_link_opened(link, hello),
            LinkEvent::Frame { link, frame } => self.on_frame(link, frame),
            LinkEvent::Closed { link, reason } => {
                log::debug!(target: "link", link = link.0, reason = reason.as_str(); "closed");
                self.backend_servers.swap_remove(&link);
                self.parts.console_state.fleet().link_closed(link);
                let update = self.parts.follower.link_closed(self.parts.clock.now(), link);
                self.apply_config(update);
                if !self.parts.follower.is_gate_link(link) {
                    self.handle_event(EntryEvent::LinkClosed { link });
                }
            }
        }
    }

    fn on_link_opened(&mut self, link: LinkId, hello: Hello) {
        let now = self.parts.clock.now();
        self.parts.console_state.fleet().link_opened(now.unix_ms, link, &hello);
        let update = self.parts.follower.receive_hello(now, link, hello.stamp);
        self.apply_config(update);
        if self.parts.follower.is_gate_link(link) {
            return;
        }
        if let PeerRole::Agent { backend_server } = hello.role {
            let incarnation = hello.incarnation;
            self.backend_servers.insert(link, backend_server.clone());
            self.handle_event(EntryEvent::LinkOpened { link, backend_server, incarnation });
        }
    }

    fn on_frame(&mut self, link: LinkId, frame: Frame) {
        let now = self.parts.clock.now();
        if let Frame::Announce(stamp) = &frame {
            self.parts.console_state.fleet().record_stamp(now.unix_ms, link, *stamp);
        }
        match frame {
            Frame::ToEntry(message) => {
                if let ToEntry::HeartbeatAck { stamp, .. } = &message {
                    self.parts.console_state.fleet().record_stamp(now.unix_ms, link, *stamp);
                    let update = self.parts.follower.learn_peer_stamp(now, link, *stamp);
                    self.apply_config(update);
                }
                self.handle_event(EntryEvent::Message { link, message });
            }
            frame => {
                let update = self.parts.follower.receive_frame(now, link, &frame);
                self.apply_config(update);
            }
        }
    }

    fn on_platform(&mut self, event: PlatformEvent) {
        let now = self.parts.clock.now();
        if let PlatformEvent::Instances(instances) = &event {
            self.parts.console_state.fleet().update_instances(now.unix_ms, instances);
        }
        let update = self.parts.follower.receive_platform_event(now, &event);
        self.apply_config(update);
        if let PlatformEvent::Instances(instances) = event {
            self.handle_event(EntryEvent::Instances(instances));
        }
    }

    /// Passes an adopted document to the HTTP side, the console, the metrics and the core, then
    /// announces its revision to the peers.
    ///
    /// A document with the same revision but other content is only written to the audit trail, not
    /// passed to the core, because an entry stores no idempotency keys.
    fn apply_config(&mut self, update: Option<ConfigUpdate>) {
        let Some(ConfigUpdate::Adopted { stamp, document }) = update else { return };
        self.parts.catalog.adopt(Arc::clone(&document));
        self.parts.console_state.set_active_document(stamp, Arc::clone(&document));
        self.exporter.add_tiers(&document);
        self.handle_event(EntryEvent::Adopted { stamp, document });
        self.parts.follower.announce();
    }
}
