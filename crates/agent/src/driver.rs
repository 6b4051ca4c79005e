//! Turns what happens around the process into events for the core and carries out its actions.

use crate::backend::{Backend, Run};
use crate::export::Export;
use crate::group::{EngineEvent, Group};
use hickorycross_config::BackendServerId;
use hickorycross_core::agent::{AgentAction, AgentCore, AgentEvent};
use hickorycross_core::audit::{AuditRecord, Change};
use hickorycross_core::message::ToAgent;
use hickorycross_core::{AttemptId, InstanceId, LinkId, Verdict};
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
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::MissedTickBehavior;

/// Pause between two ticks of the core.
const TICK: Duration = Duration::from_millis(20);
/// Pause between two health checks of the backend server.
const HEALTH_PAUSE: Duration = Duration::from_millis(500);

/// What reaches the driver from outside.
pub(crate) struct Inputs {
    pub(crate) links: UnboundedReceiver<LinkEvent>,
    pub(crate) platform: UnboundedReceiver<PlatformEvent>,
    pub(crate) engine: UnboundedReceiver<EngineEvent>,
    pub(crate) drain: oneshot::Receiver<()>,
}

/// What the driver acts on.
pub(crate) struct Parts {
    pub(crate) core: AgentCore,
    pub(crate) group: Group,
    pub(crate) follower: ConfigFollower,
    pub(crate) own: InstanceId,
    pub(crate) links: Links,
    pub(crate) backend: Backend,
    pub(crate) view: Arc<ProcessView>,
    pub(crate) trail: Arc<Trail>,
    pub(crate) clock: SteadyClock,
}

/// Runs an agent until it has drained.
pub(crate) struct Driver {
    parts: Parts,
    backend_events: UnboundedSender<AgentEvent>,
    runs: IndexMap<AttemptId, AbortHandle>,
    export: Export,
    /// Links by the backend server at their other end, for agents.
    agents: IndexMap<LinkId, BackendServerId>,
    drained: bool,
}

impl Driver {
    pub(crate) fn new(parts: Parts) -> (Self, UnboundedReceiver<AgentEvent>) {
        let (backend_events, receiver) = unbounded_channel();
        let export = Export::new(&parts.own);
        let driver = Self {
            parts,
            backend_events,
            runs: IndexMap::new(),
            export,
            agents: IndexMap::new(),
            drained: false,
        };
        (driver, receiver)
    }

    pub(crate) async fn run(
        mut self,
        mut inputs: Inputs,
        mut backend: UnboundedReceiver<AgentEvent>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let health =
            tokio::spawn(watch_health(self.parts.backend.clone(), self.backend_events.clone()));
        let mut draining = false;
        while !self.drained {
            tokio::select! {
                biased;
                _ = &mut inputs.drain, if !draining => {
                    draining = true;
                    self.parts.view.update(|status| status.draining = true);
                    self.handle(AgentEvent::Drain);
                }
                _ = ticks.tick() => self.tick(),
                Some(event) = inputs.links.recv() => self.on_link(event),
                Some(event) = backend.recv() => self.on_backend(event),
                Some(event) = inputs.engine.recv() => self.on_engine(event),
                Some(event) = inputs.platform.recv() => self.on_platform(event),
            }
        }
        health.abort();
    }

    fn tick(&mut self) {
        self.handle(AgentEvent::Tick);
        let now = self.parts.clock.now();
        self.with_group(|group, audit| group.tick(now, audit));
        let update = self.parts.follower.tick(now);
        self.follow(update);
        let ready = self.parts.follower.has_document();
        self.parts.view.update(|status| status.ready = ready);
        self.show();
    }

    /// Shows state and counts to operators, once in a while.
    fn show(&mut self) {
        let now = self.parts.clock.now();
        if self.export.is_due(now) {
            let snapshot = self.parts.core.snapshot(now);
            let detail = serde_json::to_value(&snapshot).unwrap_or_default();
            self.parts.view.update(|status| status.detail = detail);
            self.export.run(self.parts.core.counters(), &snapshot, &self.parts.view.status());
        }
    }

    fn handle(&mut self, event: AgentEvent) {
        let mut actions = Vec::new();
        self.parts.core.handle(self.parts.clock.now(), event, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: AgentAction) {
        match action {
            AgentAction::Send { link, message } => {
                self.parts.links.send(link, Frame::ToEntry(message));
            }
            AgentAction::Start { attempt, head, body, deadline, priority } => {
                self.start(Run { attempt, head, body, deadline, priority });
            }
            AgentAction::Abort { attempt } => self.abort(attempt),
            AgentAction::Audit(record) => self.parts.trail.write(record),
            AgentAction::Drained => self.drained = true,
        }
    }

    fn start(&mut self, run: Run) {
        let attempt = run.attempt;
        let backend = self.parts.backend.clone();
        let task = tokio::spawn(backend.run(run, self.backend_events.clone()));
        self.runs.insert(attempt, task.abort_handle());
    }

    fn abort(&mut self, attempt: AttemptId) {
        let Some(run) = self.runs.swap_remove(&attempt) else { return };
        run.abort();
        // An aborted task says nothing more. Without this the core would take the slot for
        // occupied for ever: one would see an agent that runs nothing, refuses for a full queue
        // and never ends its drain.
        let detail = "nobody waits for it any more".to_owned();
        let verdict = Verdict::MayHaveRun;
        let _ = self.backend_events.send(AgentEvent::BackendFailed { attempt, verdict, detail });
    }

    /// Lets the group do something and writes down what changed.
    fn with_group(&mut self, job: impl FnOnce(&mut Group, &mut Vec<Change>)) {
        let mut changes = Vec::new();
        job(&mut self.parts.group, &mut changes);
        let at = self.parts.clock.now().unix_ms;
        let stamp = self.parts.follower.stamp();
        for change in changes {
            self.parts.trail.write(AuditRecord::new(at, stamp, change));
        }
    }

    fn on_engine(&mut self, event: EngineEvent) {
        let now = self.parts.clock.now();
        self.with_group(|group, audit| group.on_engine(now, event, audit));
    }

    fn on_backend(&mut self, event: AgentEvent) {
        if let AgentEvent::BackendEnd { attempt } | AgentEvent::BackendFailed { attempt, .. } =
            &event
        {
            self.runs.swap_remove(attempt);
        }
        self.handle(event);
    }

    fn on_link(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Opened { link, hello } => self.on_opened(link, &hello),
            LinkEvent::Frame { link, frame } => self.on_frame(link, frame),
            LinkEvent::Closed { link, reason } => {
                log::debug!(target: "link", link = link.0, reason = reason.as_str(); "closed");
                self.parts.group.closed(link);
                self.agents.swap_remove(&link);
                let update = self.parts.follower.link_closed(self.parts.clock.now(), link);
                self.follow(update);
                self.handle(AgentEvent::LinkClosed { link });
            }
        }
    }

    fn on_opened(&mut self, link: LinkId, hello: &Hello) {
        let now = self.parts.clock.now();
        match &hello.role {
            PeerRole::Entry => {
                self.handle(AgentEvent::LinkOpened { link, entry: hello.incarnation });
            }
            PeerRole::Agent { backend_server } => {
                self.agents.insert(link, backend_server.clone());
                if self.parts.group.owns(link) {
                    self.parts.group.opened(link);
                }
            }
        }
        let update = self.parts.follower.receive_hello(now, link, hello.stamp);
        self.follow(update);
    }

    fn on_frame(&mut self, link: LinkId, frame: Frame) {
        let now = self.parts.clock.now();
        if let Some(backend_server) = self.agents.get(&link) {
            self.parts.group.heard(backend_server);
        }
        match frame {
            Frame::Group(message) => {
                self.with_group(|group, audit| group.received(now, *message, audit));
            }
            Frame::RankLoad(load) => self.parts.group.load(now, *load),
            Frame::ToAgent(message) => {
                if let ToAgent::Heartbeat { stamp, .. } = &message {
                    let update = self.parts.follower.learn_peer_stamp(now, link, *stamp);
                    self.follow(update);
                }
                self.handle(AgentEvent::Message { link, message });
            }
            other => {
                let update = self.parts.follower.receive_frame(now, link, &other);
                self.follow(update);
            }
        }
    }

    fn on_platform(&mut self, event: PlatformEvent) {
        if let PlatformEvent::Instances(instances) = &event {
            self.parts.group.listed(instances);
        }
        let update = self.parts.follower.receive_platform_event(self.parts.clock.now(), &event);
        self.follow(update);
    }

    /// Hands an adopted document to the export, the group and the core, then tells the peers. A
    /// rival of it concerns the core only.
    fn follow(&mut self, update: Option<ConfigUpdate>) {
        let (stamp, document) = match update {
            Some(ConfigUpdate::Adopted { stamp, document }) => (stamp, document),
            Some(ConfigUpdate::Conflict(document)) => {
                return self.handle(AgentEvent::ConflictingDocument { document });
            }
            None => return,
        };
        self.export.adopt(&document);
        let now = self.parts.clock.now();
        self.with_group(|group, audit| group.adopt(now, stamp, &document, audit));
        self.handle(AgentEvent::Adopted { stamp, document });
        self.parts.follower.announce();
    }
}

async fn watch_health(backend: Backend, events: UnboundedSender<AgentEvent>) {
    loop {
        let healthy = backend.is_healthy().await;
        if events.send(AgentEvent::BackendHealth { healthy }).is_err() {
            return;
        }
        tokio::time::sleep(HEALTH_PAUSE).await;
    }
}
