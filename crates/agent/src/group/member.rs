//! Runs this agent's member of a model group.

use super::balance::{Balancer, Decision};
use super::engine::{Engine, EngineEvent, RanksReport};
use super::loading::{LoadPacer, StoreShare};
use super::peers::PeerLinks;
use hickorycross_config::{BackendServerId, Document, ModelGroup, Stamp};
use hickorycross_core::audit::Change;
use hickorycross_core::group::{
    EngineOrder, FencedOrder, GroupAction, GroupEvent, GroupMember, GroupMessage, GroupRecord,
    MapRef, Mechanisms, MemberSettings, Membership, StageDecision,
};
use hickorycross_core::placement::{ChangeOutcome, RankLoad};
use hickorycross_core::{Incarnation, Instance, LinkId, Now};
use hickorycross_protocol::Frame;
use hickorycross_runtime::link::Links;
use std::collections::VecDeque;
use tokio::sync::mpsc::UnboundedSender;

/// What a [`Group`] needs regardless of the group that the document assigns to it.
pub(crate) struct GroupContext {
    /// The backend server beside this agent.
    pub(crate) own_server: BackendServerId,
    pub(crate) incarnation: Incarnation,
    pub(crate) backend_url: String,
    pub(crate) events: UnboundedSender<EngineEvent>,
}

/// The agent's membership in a model group. It is inactive while no group in the document lists
/// the agent's backend server.
pub(crate) struct Group {
    context: GroupContext,
    peers: PeerLinks,
    stamp: Stamp,
    active: Option<ActiveGroup>,
}

/// State of the membership in one group.
struct ActiveGroup {
    group: ModelGroup,
    /// Whether the engine has ever reported ranks.
    hosts_ranks: bool,
    member: GroupMember,
    engine: Engine,
    balancer: Option<Balancer>,
    store_share: StoreShare,
    load_pacer: LoadPacer,
    last_committed_map: Option<MapRef>,
    /// Maps that were loaded according to the engine's latest report.
    resident: Vec<MapRef>,
    /// The most recent failed load according to the engine's latest report.
    stage_failed: Option<MapRef>,
}

impl Group {
    pub(crate) fn new(context: GroupContext, links: Links) -> Self {
        let peers = PeerLinks::new(links, context.own_server.clone());
        Self { context, peers, stamp: Stamp::NONE, active: None }
    }

    /// Applies an adopted document: joins, updates or leaves the group that it assigns.
    pub(crate) fn adopt_document(
        &mut self,
        now: Now,
        stamp: Stamp,
        document: &Document,
        audit: &mut Vec<Change>,
    ) {
        self.stamp = stamp;
        let own_server = &self.context.own_server;
        let group =
            document.model_groups.iter().find(|one| one.backend_servers.contains(own_server));
        let Some(group) = group else {
            self.active = None;
            return;
        };
        self.peers.set_members(&group.backend_servers);
        let membership = Membership::new(stamp, group);
        match &mut self.active {
            Some(active) if active.group.id == group.id => {
                let store_share = StoreShare::new(document, group);
                if active.group != *group || active.store_share != store_share {
                    active.balancer = Balancer::new(
                        group,
                        document.balance,
                        store_share,
                        self.context.events.clone(),
                    );
                }
                active.load_pacer.update(now, store_share, group, own_server);
                active.store_share = store_share;
                active.group = group.clone();
                self.handle(now, GroupEvent::MembershipUpdated(membership), audit);
            }
            _ => self.active = Some(self.start(now, group, membership, document)),
        }
    }

    fn start(
        &self,
        now: Now,
        group: &ModelGroup,
        membership: Membership,
        document: &Document,
    ) -> ActiveGroup {
        let server = self.context.own_server.clone();
        let checks_fencing =
            document.backend(server.as_str()).is_some_and(|server| server.checks_fencing);
        let store_share = StoreShare::new(document, group);
        let load_pacer = LoadPacer::new(store_share, group, &server, self.context.incarnation.0);
        let settings = MemberSettings {
            server,
            incarnation: self.context.incarnation,
            checks_fencing,
            membership,
            mechanisms: Mechanisms::default(),
        };
        ActiveGroup {
            group: group.clone(),
            hosts_ranks: false,
            member: GroupMember::new(now, settings),
            engine: Engine::start(&self.context.backend_url, self.context.events.clone()),
            balancer: Balancer::new(
                group,
                document.balance,
                store_share,
                self.context.events.clone(),
            ),
            store_share,
            load_pacer,
            last_committed_map: None,
            resident: Vec::new(),
            stage_failed: None,
        }
    }

    /// Passes on the instance list, which provides the addresses of the other members.
    pub(crate) fn set_instances(&mut self, instances: &[Instance]) {
        self.peers.set_instances(instances);
    }

    /// Returns whether a link was opened for the group.
    pub(crate) fn owns_link(&self, link: LinkId) -> bool {
        self.peers.owns_link(link)
    }

    /// Handles an opened link of the group.
    pub(crate) fn on_link_opened(&mut self, link: LinkId) {
        self.peers.on_link_opened(link);
    }

    /// Handles a closed link. Links that are not of the group are ignored.
    pub(crate) fn on_link_closed(&mut self, link: LinkId) {
        self.peers.on_link_closed(link);
    }

    /// Records that a frame arrived from another agent.
    pub(crate) fn record_activity(&mut self, from: &BackendServerId) {
        self.peers.record_activity(from);
    }

    /// Handles a message from another member.
    pub(crate) fn on_message(&mut self, now: Now, message: GroupMessage, audit: &mut Vec<Change>) {
        if self.participates() {
            self.handle(now, GroupEvent::Received(message), audit);
        }
    }

    /// Returns whether this agent takes part in the group's protocol, which it does once its
    /// engine has reported ranks.
    ///
    /// An engine without ranks runs its steps independently and accepts no orders. Its agent's
    /// campaigns to become coordinator would fail forever and keep the group's links busy.
    fn participates(&self) -> bool {
        self.active.as_ref().is_some_and(|active| active.hosts_ranks)
    }

    /// Handles a load report, which goes to the balancer.
    pub(crate) fn on_load_report(&mut self, now: Now, load: RankLoad) {
        if let Some(balancer) = self.active.as_mut().and_then(|one| one.balancer.as_mut()) {
            balancer.add_load(now, load);
        }
    }

    /// Advances the clock: maintains links and runs what is due.
    pub(crate) fn tick(&mut self, now: Now, audit: &mut Vec<Change>) {
        if !self.participates() {
            return;
        }
        self.peers.tick(now);
        self.handle(now, GroupEvent::Tick, audit);
        let event = self.active.as_mut().and_then(|active| active.load_pacer.tick(now));
        if let Some(event) = event {
            self.handle(now, event, audit);
        }
        if let Some(active) = &mut self.active
            && let Some(balancer) = &mut active.balancer
        {
            balancer.start_decision(now, &active.member);
        }
    }

    /// Proposes the map that a decision calls for, unless the group has changed in the meantime.
    fn on_decision(&mut self, now: Now, decision: Decision, audit: &mut Vec<Change>) {
        let balancer = self.active.as_mut().and_then(|active| active.balancer.as_mut());
        let proposal = balancer.and_then(|balancer| balancer.finish_decision(decision));
        if let Some(map) = proposal {
            self.handle(now, GroupEvent::Propose(map), audit);
        }
    }

    /// Handles an event from the engine.
    pub(crate) fn on_engine_event(
        &mut self,
        now: Now,
        event: EngineEvent,
        audit: &mut Vec<Change>,
    ) {
        match event {
            EngineEvent::Answered { id, state } => {
                self.handle(now, GroupEvent::EngineAnswered { id, state }, audit);
            }
            EngineEvent::Failed { id } => self.handle(now, GroupEvent::EngineFailed { id }, audit),
            EngineEvent::Refused { id, seen } => {
                self.handle(now, GroupEvent::EngineRefused { id, seen }, audit);
            }
            EngineEvent::MapRead { id, map } => {
                self.handle(now, GroupEvent::EngineMapRead(map), audit);
                // The content of a map does not include the engine's state, so the order is
                // completed by reporting it as failed. While an order is pending, the core
                // considers the engine busy and forwards no grants, and the group would stall.
                self.handle(now, GroupEvent::EngineFailed { id }, audit);
            }
            EngineEvent::Ranks(report) => self.on_ranks(now, report, audit),
            EngineEvent::Load(load) => self.forward_load(now, load),
            EngineEvent::Decided(decision) => self.on_decision(now, *decision, audit),
        }
    }

    /// Handles a report on the engine's ranks, and passes on what changed since the previous one.
    fn on_ranks(&mut self, now: Now, report: RanksReport, audit: &mut Vec<Change>) {
        if let Some(active) = &mut self.active {
            active.hosts_ranks = true;
        }
        for step in report.steps {
            self.handle(now, GroupEvent::EngineReported(step), audit);
        }
        let Some(active) = &mut self.active else { return };
        let previous = std::mem::replace(&mut active.resident, report.resident.clone());
        let previous_failure = std::mem::replace(&mut active.stage_failed, report.stage_failed);
        for map in report.resident.into_iter().filter(|map| !previous.contains(map)) {
            self.on_staged(now, map, audit);
        }
        if let Some(map) = report.stage_failed
            && previous_failure != Some(map)
        {
            self.on_stage_failed(now, map, audit);
        }
    }

    fn on_staged(&mut self, now: Now, map: MapRef, audit: &mut Vec<Change>) {
        let Some(active) = &mut self.active else { return };
        active.load_pacer.on_staged(map);
        self.handle(now, GroupEvent::EngineStaged(map), audit);
    }

    fn on_stage_failed(&mut self, now: Now, map: MapRef, audit: &mut Vec<Change>) {
        let Some(active) = &mut self.active else { return };
        let event = active.load_pacer.on_stage_failed(now, map);
        self.handle(now, event, audit);
    }

    /// Sends an order to the engine, unless it is a load that exceeds the agent's share of the
    /// weight store's bandwidth. In that case it returns an event to pass to the member.
    fn send_order(&mut self, now: Now, order: FencedOrder) -> Option<GroupEvent> {
        let active = self.active.as_mut()?;
        let EngineOrder::Stage { map } = &order.order else {
            active.engine.enqueue_order(order);
            return None;
        };
        let reference = map.reference();
        let event = match active.load_pacer.check_order(now, &active.member, map) {
            StageDecision::Forward => {
                active.engine.enqueue_order(order);
                return None;
            }
            StageDecision::Defer => GroupEvent::EngineStageDeferred(reference),
            StageDecision::Reject => GroupEvent::EngineStageFailed(reference),
        };
        active.engine.enqueue_failure(order.id);
        Some(event)
    }

    /// Sends the load of the local engine to the coordinator, which may be this agent.
    fn forward_load(&mut self, now: Now, load: RankLoad) {
        let Some(active) = &mut self.active else { return };
        let Some(coordinator) = active.member.coordinator().cloned() else { return };
        if coordinator == self.context.own_server {
            self.on_load_report(now, load);
        } else {
            self.peers.send(now, &coordinator, Frame::RankLoad(Box::new(load)));
        }
    }

    /// Passes an event to the member and executes its actions, including those that follow from the
    /// events that actions cause.
    fn handle(&mut self, now: Now, event: GroupEvent, audit: &mut Vec<Change>) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let Some(active) = &mut self.active else { return };
            let mut actions = Vec::new();
            active.member.handle(now, event, &mut actions);
            for action in actions {
                events.extend(self.execute(now, action, audit));
            }
        }
    }

    /// Executes an action. Returns an event to pass to the member after its other actions.
    ///
    /// If the member received the event earlier, its new orders could overtake orders that it has
    /// already issued.
    fn execute(
        &mut self,
        now: Now,
        action: GroupAction,
        audit: &mut Vec<Change>,
    ) -> Option<GroupEvent> {
        match action {
            GroupAction::Send { to, message } => {
                self.peers.send(now, &to, Frame::Group(Box::new(message)));
            }
            GroupAction::Order(order) => return self.send_order(now, order),
            GroupAction::ReportViolation(violation) => {
                log::error!(target: "group", violation = violation.to_string().as_str(); "halted");
                audit.push(Change::InvariantViolated { detail: violation.to_string() });
            }
            GroupAction::Audit(record) => self.on_record(now, record, audit),
        }
        None
    }

    /// Logs a record, and reports the outcome of a proposal to the balancer and the audit trail.
    fn on_record(&mut self, now: Now, record: GroupRecord, audit: &mut Vec<Change>) {
        let Some(active) = &mut self.active else { return };
        let text = format!("{record:?}");
        log::info!(target: "group", group = active.group.id.as_str(), record = text.as_str(); "");
        let Some(balancer) = &mut active.balancer else { return };
        match record {
            GroupRecord::ChangeCommitted { map, from_step } => {
                let outcome = ChangeOutcome::Adopted { first_step: from_step };
                let reason = balancer.record_outcome(now, outcome).map_or_else(
                    || "first map".to_owned(),
                    |change| format!("{:?}", change.prediction),
                );
                let before = active.last_committed_map.map_or(0, |map| map.version);
                active.last_committed_map = Some(map);
                let group = active.group.id.clone();
                audit.push(Change::MapChanged { group, before, after: map.version, reason });
            }
            GroupRecord::ChangeAbandoned { .. }
            | GroupRecord::ProposalRefused { .. }
            | GroupRecord::Deposed { .. } => {
                balancer.record_outcome(now, ChangeOutcome::Abandoned);
            }
            _ => {}
        }
    }
}
