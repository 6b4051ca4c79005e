//! Everything that a bench needs to drive the cores: one process as a value, events in, effects
//! out. It does what the drivers of the two binaries do, without sockets, tasks and clocks.

use hickorycross_config::{BackendServerId, FailureDomainId, Stamp};
use hickorycross_core::adoption::{Exchange, ExchangeAction, Published, StartGate};
use hickorycross_core::agent::{self, AgentAction, AgentCore, AgentEvent, AgentIdentity};
use hickorycross_core::audit::AuditRecord;
use hickorycross_core::entry::{
    self, EntryAction, EntryCore, EntryEvent, EntryIdentity, EntryPolicies,
};
use hickorycross_core::health::{CircuitBreaker, HealthPolicy};
use hickorycross_core::limits::SharedLimits;
use hickorycross_core::message::{ToAgent, ToEntry};
use hickorycross_core::retry::TokenBudget;
use hickorycross_core::routing::TwoChoices;
use hickorycross_core::{Incarnation, Instance, InstanceId, LinkId, Now};
use indexmap::IndexSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Link numbers from here on belong to the start gate of an entry.
const ENTRY_GATE: LinkId = LinkId(1 << 62);

/// What two processes say first on a link.
#[derive(Clone, Debug)]
pub(crate) struct Hello {
    pub(crate) incarnation: Incarnation,
    /// None for an entry.
    pub(crate) backend_server: Option<BackendServerId>,
    pub(crate) stamp: Stamp,
}

/// What travels on a link.
#[derive(Clone, Debug)]
pub(crate) enum Frame {
    ToAgent(ToAgent),
    ToEntry(ToEntry),
    Announce(Stamp),
    ConfigRequest,
    ConfigOffer { stamp: Stamp, bytes: Arc<[u8]> },
}

/// What happens to a process.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    Entry(EntryEvent),
    Agent(AgentEvent),
    Tick,
    Drain,
    Opened { link: LinkId, hello: Hello },
    Closed { link: LinkId },
    Frame { link: LinkId, frame: Frame },
    Config(Published),
    Instances(Vec<Instance>),
}

/// What a process wants done.
#[derive(Debug)]
pub(crate) enum Effect {
    Open { link: LinkId, address: SocketAddr },
    Close { link: LinkId },
    Send { link: LinkId, frame: Frame },
    Caller(EntryAction),
    Backend(AgentAction),
    Adopted(Stamp),
    Audit(AuditRecord),
    Drained,
}

/// Mechanisms that a run takes out.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Switches {
    pub(crate) entry: Option<entry::Mechanisms>,
    pub(crate) agent: Option<agent::Mechanisms>,
}

#[derive(Debug)]
enum Core {
    Entry(Box<EntryCore>),
    Agent(Box<AgentCore>),
}

/// One life of an entry or an agent.
#[derive(Debug)]
pub(crate) struct Node {
    core: Core,
    exchange: Exchange,
    gate: StartGate,
    links: IndexSet<LinkId>,
    incarnation: Incarnation,
    backend_server: Option<BackendServerId>,
}

impl Node {
    pub(crate) fn entry(
        own: InstanceId,
        incarnation: Incarnation,
        failure_domain: FailureDomainId,
        switches: Switches,
    ) -> Self {
        let identity = EntryIdentity { incarnation, failure_domain };
        let core = EntryCore::new(identity, production(incarnation.0), incarnation.0)
            .with_mechanisms(switches.entry.unwrap_or(entry::Mechanisms::ALL));
        Self::new(Core::Entry(Box::new(core)), own, ENTRY_GATE, incarnation, None)
    }

    pub(crate) fn agent(
        own: InstanceId,
        incarnation: Incarnation,
        backend_server: BackendServerId,
        switches: Switches,
    ) -> Self {
        let identity = AgentIdentity { incarnation, backend_server: backend_server.clone() };
        let mechanisms = switches.agent.unwrap_or_default();
        let core = AgentCore::with_mechanisms(identity, incarnation.0, mechanisms);
        let core = Core::Agent(Box::new(core));
        Self::new(core, own, LinkId(0), incarnation, Some(backend_server))
    }

    fn new(
        core: Core,
        own: InstanceId,
        first_gate_link: LinkId,
        incarnation: Incarnation,
        backend_server: Option<BackendServerId>,
    ) -> Self {
        let gate = StartGate::new(own, first_gate_link);
        let (exchange, links) = (Exchange::default(), IndexSet::new());
        Self { core, exchange, gate, links, incarnation, backend_server }
    }

    pub(crate) fn hello(&self) -> Hello {
        let backend_server = self.backend_server.clone();
        Hello { incarnation: self.incarnation, backend_server, stamp: self.stamp() }
    }

    pub(crate) fn stamp(&self) -> Stamp {
        self.exchange.stamp()
    }

    pub(crate) fn is_ready(&self, now: Now) -> bool {
        self.exchange.in_force().is_some() && self.gate.is_open(now)
    }

    /// Requests without a final answer.
    pub(crate) fn open_requests(&self, now: Now) -> u32 {
        match &self.core {
            Core::Entry(core) => core.snapshot(now).in_flight.values().sum(),
            Core::Agent(_) => 0,
        }
    }

    /// Handles one event.
    pub(crate) fn handle(&mut self, now: Now, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::Entry(event) => self.entry_event(now, event, &mut effects),
            Input::Agent(event) => self.agent_event(now, event, &mut effects),
            Input::Tick => {
                self.both(now, EntryEvent::Tick, AgentEvent::Tick, &mut effects);
                let actions = self.exchange.tick(now);
                self.act(now, actions, &mut effects);
                self.settle_gate(&mut effects);
            }
            Input::Drain => self.both(now, EntryEvent::Drain, AgentEvent::Drain, &mut effects),
            Input::Opened { link, hello } => self.opened(now, link, &hello, &mut effects),
            Input::Closed { link } => self.closed(now, link, &mut effects),
            Input::Frame { link, frame } => self.frame(now, link, frame, &mut effects),
            Input::Config(offer) => {
                let actions = self.exchange.offer(now, &offer);
                self.act(now, actions, &mut effects);
            }
            Input::Instances(list) => {
                let probes = self.gate.update_instances(now, &list);
                let open = |probe: hickorycross_core::adoption::Probe| Effect::Open {
                    link: probe.link,
                    address: probe.address,
                };
                effects.extend(probes.into_iter().map(open));
                self.entry_event(now, EntryEvent::Instances(list), &mut effects);
            }
        }
        effects
    }

    fn both(&mut self, now: Now, entry: EntryEvent, agent: AgentEvent, effects: &mut Vec<Effect>) {
        self.entry_event(now, entry, effects);
        self.agent_event(now, agent, effects);
    }

    fn entry_event(&mut self, now: Now, event: EntryEvent, effects: &mut Vec<Effect>) {
        let Core::Entry(core) = &mut self.core else { return };
        let mut actions = Vec::new();
        core.handle(now, event, &mut actions);
        effects.extend(actions.into_iter().map(|action| match action {
            EntryAction::OpenLink { link, address, .. } => Effect::Open { link, address },
            EntryAction::CloseLink { link } => {
                self.links.swap_remove(&link);
                Effect::Close { link }
            }
            EntryAction::Send { link, message } => {
                Effect::Send { link, frame: Frame::ToAgent(message) }
            }
            EntryAction::Audit(record) => Effect::Audit(record),
            EntryAction::Drained => Effect::Drained,
            answer => Effect::Caller(answer),
        }));
    }

    fn agent_event(&mut self, now: Now, event: AgentEvent, effects: &mut Vec<Effect>) {
        let Core::Agent(core) = &mut self.core else { return };
        let mut actions = Vec::new();
        core.handle(now, event, &mut actions);
        effects.extend(actions.into_iter().map(|action| match action {
            AgentAction::Send { link, message } => {
                Effect::Send { link, frame: Frame::ToEntry(message) }
            }
            AgentAction::Audit(record) => Effect::Audit(record),
            AgentAction::Drained => Effect::Drained,
            order => Effect::Backend(order),
        }));
    }

    fn opened(&mut self, now: Now, link: LinkId, hello: &Hello, effects: &mut Vec<Effect>) {
        self.links.insert(link);
        let entry = hello.incarnation;
        if hello.backend_server.is_none() {
            self.agent_event(now, AgentEvent::LinkOpened { link, entry }, effects);
        }
        let actions = self.exchange.learn_peer_stamp(now, link, hello.stamp);
        self.act(now, actions, effects);
        if self.gate.owns(link) {
            self.gate.peer_answered(link);
            self.settle_gate(effects);
        } else if let Some(backend_server) = hello.backend_server.clone() {
            let incarnation = hello.incarnation;
            let event = EntryEvent::LinkOpened { link, backend_server, incarnation };
            self.entry_event(now, event, effects);
        }
    }

    fn closed(&mut self, now: Now, link: LinkId, effects: &mut Vec<Effect>) {
        self.links.swap_remove(&link);
        self.gate.link_closed(link);
        let actions = self.exchange.link_closed(now, link);
        self.act(now, actions, effects);
        if !self.gate.owns(link) {
            self.entry_event(now, EntryEvent::LinkClosed { link }, effects);
            self.agent_event(now, AgentEvent::LinkClosed { link }, effects);
        }
    }

    fn settle_gate(&mut self, effects: &mut Vec<Effect>) {
        for link in self.gate.finish_peers(|link| self.exchange.awaits_document_from(link)) {
            self.links.swap_remove(&link);
            effects.push(Effect::Close { link });
        }
    }

    fn frame(&mut self, now: Now, link: LinkId, frame: Frame, effects: &mut Vec<Effect>) {
        let actions = match &frame {
            Frame::ToEntry(ToEntry::HeartbeatAck { stamp, .. })
            | Frame::ToAgent(ToAgent::Heartbeat { stamp, .. })
            | Frame::Announce(stamp) => self.exchange.learn_peer_stamp(now, link, *stamp),
            Frame::ConfigRequest => self.exchange.answer_request(link).into_iter().collect(),
            Frame::ConfigOffer { stamp, bytes } => self.exchange.peer_offer(now, *stamp, bytes),
            Frame::ToAgent(_) | Frame::ToEntry(_) => Vec::new(),
        };
        self.act(now, actions, effects);
        match frame {
            Frame::ToEntry(message) => {
                self.entry_event(now, EntryEvent::Message { link, message }, effects);
            }
            Frame::ToAgent(message) => {
                self.agent_event(now, AgentEvent::Message { link, message }, effects);
            }
            Frame::ConfigOffer { .. } => self.settle_gate(effects),
            _ => {}
        }
    }

    fn act(&mut self, now: Now, actions: Vec<ExchangeAction>, effects: &mut Vec<Effect>) {
        for action in actions {
            match action {
                ExchangeAction::Adopted { stamp, document } => {
                    effects.push(Effect::Adopted(stamp));
                    let (entry, agent) = (document.clone(), document);
                    let entry = EntryEvent::Adopted { stamp, document: entry };
                    self.both(now, entry, AgentEvent::Adopted { stamp, document: agent }, effects);
                }
                ExchangeAction::Conflict(document) => {
                    self.agent_event(now, AgentEvent::ConflictingDocument { document }, effects);
                }
                ExchangeAction::Announce { link, stamp } => {
                    effects.push(Effect::Send { link, frame: Frame::Announce(stamp) });
                }
                ExchangeAction::AnnounceToAll(stamp) => {
                    let to_one =
                        |link: &LinkId| Effect::Send { link: *link, frame: Frame::Announce(stamp) };
                    effects.extend(self.links.iter().map(to_one));
                }
                ExchangeAction::Request { link } => {
                    effects.push(Effect::Send { link, frame: Frame::ConfigRequest });
                }
                ExchangeAction::Offer { link, stamp, bytes } => {
                    let frame = Frame::ConfigOffer { stamp, bytes };
                    effects.push(Effect::Send { link, frame });
                }
                ExchangeAction::Audit(record) => effects.push(Effect::Audit(record)),
            }
        }
    }
}

/// The policies that the binary of an entry runs with.
fn production(seed: u64) -> EntryPolicies {
    let next_health_seed = AtomicU64::new(seed);
    EntryPolicies {
        routing: Box::new(TwoChoices::new(seed)),
        limits: Box::new(SharedLimits::new()),
        retries: Box::new(TokenBudget::new(seed)),
        health: Box::new(move || {
            let seed = next_health_seed.fetch_add(1, Ordering::Relaxed);
            Box::new(CircuitBreaker::new(seed)) as Box<dyn HealthPolicy>
        }),
    }
}
