//! Turns what happens around the process into events for the core and carries out its actions.

use crate::catalog::Catalog;
use crate::export::Export;
use crate::inbox::{Inbound, Part};
use crate::observed::Observed;
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

/// Pause between two ticks of the core.
const TICK: Duration = Duration::from_millis(20);

/// What reaches the driver from outside.
pub(crate) struct Inputs {
    pub(crate) callers: UnboundedReceiver<Inbound>,
    pub(crate) links: UnboundedReceiver<LinkEvent>,
    pub(crate) platform: UnboundedReceiver<PlatformEvent>,
    pub(crate) drain: oneshot::Receiver<()>,
}

/// What the driver acts on.
pub(crate) struct Parts {
    pub(crate) core: EntryCore,
    pub(crate) follower: ConfigFollower,
    pub(crate) own: InstanceId,
    pub(crate) links: Links,
    pub(crate) view: Arc<ProcessView>,
    pub(crate) trail: Arc<Trail>,
    pub(crate) catalog: Arc<Catalog>,
    pub(crate) observed: Arc<Observed>,
    pub(crate) clock: SteadyClock,
}

/// Runs an entry until it has drained.
pub(crate) struct Driver {
    parts: Parts,
    answers: IndexMap<RequestId, UnboundedSender<Part>>,
    /// Backend servers at the other ends of links, for logs.
    backends: IndexMap<LinkId, BackendServerId>,
    export: Export,
    drained: bool,
}

impl Driver {
    pub(crate) fn new(parts: Parts) -> Self {
        Self {
            export: Export::new(&parts.own),
            parts,
            answers: IndexMap::new(),
            backends: IndexMap::new(),
            drained: false,
        }
    }

    pub(crate) async fn run(mut self, mut inputs: Inputs) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut draining = false;
        while !self.drained {
            tokio::select! {
                biased;
                _ = &mut inputs.drain, if !draining => {
                    draining = true;
                    self.handle(EntryEvent::Drain);
                }
                _ = ticks.tick() => self.tick(),
                Some(event) = inputs.links.recv() => self.on_link(event),
                Some(event) = inputs.callers.recv() => self.on_caller(event),
                Some(event) = inputs.platform.recv() => self.on_platform(event),
            }
        }
    }

    fn tick(&mut self) {
        self.handle(EntryEvent::Tick);
        let update = self.parts.follower.tick(self.parts.clock.now());
        self.follow(update);
        let now = self.parts.clock.now();
        let follower = &self.parts.follower;
        let ready = follower.has_document() && follower.is_gate_open(now);
        self.parts.view.update(|status| status.ready = ready);
        self.show(now);
    }

    /// Shows state and counts to operators, once in a while.
    fn show(&mut self, now: Now) {
        if self.export.is_due(now) {
            let snapshot = self.parts.core.snapshot(now);
            let detail = serde_json::to_value(&snapshot).unwrap_or_default();
            self.parts.view.update(|status| status.detail = detail);
            self.parts.observed.show(now.unix_ms, snapshot.clone());
            self.export.run(&self.parts.core.counters(), &snapshot, &self.parts.view.status());
        }
    }

    fn handle(&mut self, event: EntryEvent) {
        let mut actions = Vec::new();
        self.parts.core.handle(self.parts.clock.now(), event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: EntryAction) {
        match action {
            EntryAction::OpenLink { link, address, .. } => self.parts.links.open(link, address),
            EntryAction::CloseLink { link } => self.parts.links.close(link),
            EntryAction::Send { link, message } => {
                self.log_submit(link, &message);
                self.parts.links.send(link, Frame::ToAgent(message));
            }
            EntryAction::Head { request, head } => self.pass_on(request, Part::Begin(head)),
            EntryAction::Chunk { request, bytes } => self.pass_on(request, Part::Chunk(bytes)),
            EntryAction::Finish { request } => self.end(request, Part::Finish),
            EntryAction::Refuse { request, refusal } => self.end(request, Part::Refuse(refusal)),
            EntryAction::Audit(record) => self.parts.trail.write(record),
            EntryAction::Drained => self.drained = true,
        }
    }

    fn log_submit(&self, link: LinkId, message: &ToAgent) {
        if let ToAgent::Submit(submit) = message {
            log::debug!(
                target: "request",
                request = submit.attempt.request.to_string().as_str(),
                attempt = submit.attempt.ordinal,
                backend_server = self.backends.get(&link).map_or("-", BackendServerId::as_str);
                "submitted"
            );
        }
    }

    fn pass_on(&self, request: RequestId, part: Part) {
        if let Some(answer) = self.answers.get(&request) {
            let _ = answer.send(part);
        }
    }

    fn end(&mut self, request: RequestId, part: Part) {
        if let Some(answer) = self.answers.swap_remove(&request) {
            let _ = answer.send(part);
        }
    }

    fn on_caller(&mut self, event: Inbound) {
        match event {
            Inbound::Arrived { arrival, parts } => {
                self.answers.insert(arrival.request, parts);
                self.handle(EntryEvent::Arrived(arrival));
            }
            Inbound::CallerGone { request } => {
                self.answers.swap_remove(&request);
                self.handle(EntryEvent::CallerGone { request });
            }
        }
    }

    fn on_link(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Opened { link, hello } => self.on_opened(link, hello),
            LinkEvent::Frame { link, frame } => self.on_frame(link, frame),
            LinkEvent::Closed { link, reason } => {
                log::debug!(target: "link", link = link.0, reason = reason.as_str(); "closed");
                self.backends.swap_remove(&link);
                self.parts.observed.fleet().link_closed(link);
                let update = self.parts.follower.link_closed(self.parts.clock.now(), link);
                self.follow(update);
                if !self.parts.follower.is_gate_link(link) {
                    self.handle(EntryEvent::LinkClosed { link });
                }
            }
        }
    }

    fn on_opened(&mut self, link: LinkId, hello: Hello) {
        let now = self.parts.clock.now();
        self.parts.observed.fleet().link_opened(now.unix_ms, link, &hello);
        let update = self.parts.follower.receive_hello(now, link, hello.stamp);
        self.follow(update);
        if self.parts.follower.is_gate_link(link) {
            return;
        }
        if let PeerRole::Agent { backend_server } = hello.role {
            let incarnation = hello.incarnation;
            self.backends.insert(link, backend_server.clone());
            self.handle(EntryEvent::LinkOpened { link, backend_server, incarnation });
        }
    }

    fn on_frame(&mut self, link: LinkId, frame: Frame) {
        let now = self.parts.clock.now();
        if let Frame::Announce(stamp) = &frame {
            self.parts.observed.fleet().record_stamp(now.unix_ms, link, *stamp);
        }
        match frame {
            Frame::ToEntry(message) => {
                if let ToEntry::HeartbeatAck { stamp, .. } = &message {
                    self.parts.observed.fleet().record_stamp(now.unix_ms, link, *stamp);
                    let update = self.parts.follower.learn_peer_stamp(now, link, *stamp);
                    self.follow(update);
                }
                self.handle(EntryEvent::Message { link, message });
            }
            other => {
                let update = self.parts.follower.receive_frame(now, link, &other);
                self.follow(update);
            }
        }
    }

    fn on_platform(&mut self, event: PlatformEvent) {
        let now = self.parts.clock.now();
        if let PlatformEvent::Instances(instances) = &event {
            self.parts.observed.fleet().update_instances(now.unix_ms, instances);
        }
        let update = self.parts.follower.receive_platform_event(now, &event);
        self.follow(update);
        if let PlatformEvent::Instances(instances) = event {
            self.handle(EntryEvent::Instances(instances));
        }
    }

    /// Hands an adopted document to all that reads it and to the core, then tells the peers. A
    /// rival of it is for the audit trail only: an entry is no home of keys.
    fn follow(&mut self, update: Option<ConfigUpdate>) {
        let Some(ConfigUpdate::Adopted { stamp, document }) = update else { return };
        self.parts.catalog.adopt(Arc::clone(&document));
        self.parts.observed.adopt(stamp, Arc::clone(&document));
        self.export.adopt(&document);
        self.handle(EntryEvent::Adopted { stamp, document });
        self.parts.follower.announce();
    }
}
