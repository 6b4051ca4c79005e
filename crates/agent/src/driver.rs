//! The agent's event loop.
//!
//! [`Driver`] receives link events, updates from the platform, responses of the backend server and
//! events of the engine. It passes them to the agent's core, to the [`Group`] member and to the
//! [`ConfigFollower`], and executes the core's actions.

use crate::backend::{BackendClient, BackendRequest};
use crate::export::MetricsExporter;
use crate::group::{EngineEvent, Group};
use hickorycross_config::BackendServerId;
use hickorycross_core::agent::{AgentAction, AgentCore, AgentEvent};
use hickorycross_core::audit::{AuditRecord, Change};
use hickorycross_core::message::{ToAgent, ToEntry};
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

/// Interval between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause between the end of a health check of the backend server and the start of the next.
const HEALTH_CHECK_PAUSE: Duration = Duration::from_millis(500);

/// Channels from which the driver receives events.
pub(crate) struct DriverInputs {
    pub(crate) links: UnboundedReceiver<LinkEvent>,
    pub(crate) platform: UnboundedReceiver<PlatformEvent>,
    pub(crate) engine: UnboundedReceiver<EngineEvent>,
    /// Requests a graceful shutdown.
    pub(crate) drain: oneshot::Receiver<()>,
}

/// The components that the driver operates.
pub(crate) struct DriverParts {
    pub(crate) core: AgentCore,
    pub(crate) group: Group,
    pub(crate) follower: ConfigFollower,
    pub(crate) instance: InstanceId,
    pub(crate) links: Links,
    pub(crate) backend: BackendClient,
    pub(crate) view: Arc<ProcessView>,
    pub(crate) trail: Arc<Trail>,
    pub(crate) clock: SteadyClock,
}

/// Runs an agent's event loop until the agent has drained.
pub(crate) struct Driver {
    parts: DriverParts,
    backend_events: UnboundedSender<AgentEvent>,
    /// Tasks of the requests that run at the backend server.
    run_tasks: IndexMap<AttemptId, AbortHandle>,
    exporter: MetricsExporter,
    /// Links to other agents, with the backend server of each agent.
    agent_links: IndexMap<LinkId, BackendServerId>,
    drained: bool,
}

impl Driver {
    pub(crate) fn new(parts: DriverParts) -> (Self, UnboundedReceiver<AgentEvent>) {
        let (backend_events, receiver) = unbounded_channel();
        let exporter = MetricsExporter::new(&parts.instance);
        let driver = Self {
            parts,
            backend_events,
            run_tasks: IndexMap::new(),
            exporter,
            agent_links: IndexMap::new(),
            drained: false,
        };
        (driver, receiver)
    }

    pub(crate) async fn run(
        mut self,
        mut inputs: DriverInputs,
        mut backend: UnboundedReceiver<AgentEvent>,
    ) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let health =
            tokio::spawn(poll_health(self.parts.backend.clone(), self.backend_events.clone()));
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
                Some(event) = inputs.links.recv() => self.on_link_event(event),
                Some(event) = backend.recv() => self.on_backend_event(event),
                Some(event) = inputs.engine.recv() => self.on_engine_event(event),
                Some(event) = inputs.platform.recv() => self.on_platform_event(event),
            }
        }
        health.abort();
    }

    fn tick(&mut self) {
        self.handle(AgentEvent::Tick);
        let now = self.parts.clock.now();
        self.with_group(|group, audit| group.tick(now, audit));
        let update = self.parts.follower.tick(now);
        self.apply_update(update);
        let ready = self.parts.follower.has_document();
        self.parts.view.update(|status| status.ready = ready);
        self.publish_status();
    }

    /// Publishes the status page and the metrics if an export is due.
    fn publish_status(&mut self) {
        let now = self.parts.clock.now();
        if self.exporter.is_due(now) {
            let snapshot = self.parts.core.snapshot(now);
            let detail = serde_json::to_value(&snapshot).unwrap_or_default();
            self.parts.view.update(|status| status.detail = detail);
            self.exporter.export(self.parts.core.counters(), &snapshot, &self.parts.view.status());
        }
    }

    fn handle(&mut self, event: AgentEvent) {
        let mut actions = Vec::new();
        self.parts.core.handle(self.parts.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: AgentAction) {
        match action {
            AgentAction::Send { link, message } => {
                self.log_key_refusal(&message);
                self.parts.links.send(link, Frame::ToEntry(message));
            }
            AgentAction::Start { attempt, head, body, deadline, priority } => {
                self.start_request(BackendRequest { attempt, head, body, deadline, priority });
            }
            AgentAction::Abort { attempt } => self.abort_request(attempt),
            AgentAction::Audit(record) => self.parts.trail.write(record),
            AgentAction::Drained => self.drained = true,
        }
    }

    /// Logs why a request with an idempotency key does not run, with the document that decided it.
    fn log_key_refusal(&self, message: &ToEntry) {
        let ToEntry::KeyUsed { attempt, earlier, verdict } = message else { return };
        let cause = if earlier.is_some() { "used" } else { "unknown" };
        let revision = self.parts.follower.stamp().revision;
        log::info!(
            target: "keys",
            attempt:% = attempt,
            cause,
            verdict:? = verdict,
            revision;
            "refused"
        );
    }

    fn start_request(&mut self, request: BackendRequest) {
        let attempt = request.attempt;
        let backend = self.parts.backend.clone();
        let task = tokio::spawn(backend.run(request, self.backend_events.clone()));
        self.run_tasks.insert(attempt, task.abort_handle());
    }

    fn abort_request(&mut self, attempt: AttemptId) {
        let Some(task) = self.run_tasks.swap_remove(&attempt) else { return };
        task.abort();
        // An aborted task sends no further event, so its end is reported here. Otherwise the core
        // would count the slot as occupied forever: an idle agent would refuse requests because
        // its queue is full, and would never finish draining.
        let detail = "nobody waits for it any more".to_owned();
        let verdict = Verdict::MayHaveRun;
        let _ = self.backend_events.send(AgentEvent::BackendFailed { attempt, verdict, detail });
    }

    /// Runs an operation on the group and writes the changes that it reports to the audit trail.
    fn with_group(&mut self, operation: impl FnOnce(&mut Group, &mut Vec<Change>)) {
        let mut changes = Vec::new();
        operation(&mut self.parts.group, &mut changes);
        let at = self.parts.clock.now().unix_ms;
        let stamp = self.parts.follower.stamp();
        for change in changes {
            self.parts.trail.write(AuditRecord::new(at, stamp, change));
        }
    }

    fn on_engine_event(&mut self, event: EngineEvent) {
        let now = self.parts.clock.now();
        self.with_group(|group, audit| group.on_engine_event(now, event, audit));
    }

    fn on_backend_event(&mut self, event: AgentEvent) {
        if let AgentEvent::BackendEnd { attempt } | AgentEvent::BackendFailed { attempt, .. } =
            &event
        {
            self.run_tasks.swap_remove(attempt);
        }
        self.handle(event);
    }

    fn on_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Opened { link, hello } => self.on_link_opened(link, &hello),
            LinkEvent::Frame { link, frame } => self.on_frame(link, frame),
            LinkEvent::Closed { link, reason } => {
                log::debug!(target: "link", link = link.0, reason = reason.as_str(); "closed");
                self.parts.group.on_link_closed(link);
                self.agent_links.swap_remove(&link);
                let update = self.parts.follower.link_closed(self.parts.clock.now(), link);
                self.apply_update(update);
                self.handle(AgentEvent::LinkClosed { link });
            }
        }
    }

    fn on_link_opened(&mut self, link: LinkId, hello: &Hello) {
        let now = self.parts.clock.now();
        match &hello.role {
            PeerRole::Entry => {
                self.handle(AgentEvent::LinkOpened { link, entry: hello.incarnation });
            }
            PeerRole::Agent { backend_server } => {
                self.agent_links.insert(link, backend_server.clone());
                if self.parts.group.owns_link(link) {
                    self.parts.group.on_link_opened(link);
                }
            }
        }
        let update = self.parts.follower.receive_hello(now, link, hello.stamp);
        self.apply_update(update);
    }

    fn on_frame(&mut self, link: LinkId, frame: Frame) {
        let now = self.parts.clock.now();
        if let Some(backend_server) = self.agent_links.get(&link) {
            self.parts.group.record_activity(backend_server);
        }
        match frame {
            Frame::Group(message) => {
                self.with_group(|group, audit| group.on_message(now, *message, audit));
            }
            Frame::RankLoad(load) => self.parts.group.on_load_report(now, *load),
            Frame::ToAgent(message) => {
                if let ToAgent::Heartbeat { stamp, .. } = &message {
                    let update = self.parts.follower.learn_peer_stamp(now, link, *stamp);
                    self.apply_update(update);
                }
                self.handle(AgentEvent::Message { link, message });
            }
            other => {
                let update = self.parts.follower.receive_frame(now, link, &other);
                self.apply_update(update);
            }
        }
    }

    fn on_platform_event(&mut self, event: PlatformEvent) {
        if let PlatformEvent::Instances(instances) = &event {
            self.parts.group.set_instances(instances);
        }
        let update = self.parts.follower.receive_platform_event(self.parts.clock.now(), &event);
        self.apply_update(update);
    }

    /// Applies a configuration update.
    ///
    /// An adopted document goes to the metrics exporter, the group and the core, and is then
    /// announced to the peers. A conflicting document of the same revision goes to the core only.
    fn apply_update(&mut self, update: Option<ConfigUpdate>) {
        let (stamp, document) = match update {
            Some(ConfigUpdate::Adopted { stamp, document }) => (stamp, document),
            Some(ConfigUpdate::Conflict(document)) => {
                return self.handle(AgentEvent::ConflictingDocument { document });
            }
            None => return,
        };
        self.exporter.add_tiers(&document);
        let now = self.parts.clock.now();
        self.with_group(|group, audit| group.adopt_document(now, stamp, &document, audit));
        self.handle(AgentEvent::Adopted { stamp, document });
        self.parts.follower.announce();
    }
}

/// Checks the health of the backend server periodically until the receiver is closed.
async fn poll_health(backend: BackendClient, events: UnboundedSender<AgentEvent>) {
    loop {
        let healthy = backend.is_healthy().await;
        if events.send(AgentEvent::BackendHealth { healthy }).is_err() {
            return;
        }
        tokio::time::sleep(HEALTH_CHECK_PAUSE).await;
    }
}
