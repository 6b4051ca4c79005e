//! Drives one member of a group.

use super::balance::{Balancer, Decision};
use super::engine::{Engine, EngineEvent, RanksReport};
use super::loading::{Loading, StorePace};
use super::peers::Peers;
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

/// What stays the same while groups come and go.
pub(crate) struct Ground {
    pub(crate) own: BackendServerId,
    pub(crate) incarnation: Incarnation,
    pub(crate) backend_url: String,
    pub(crate) events: UnboundedSender<EngineEvent>,
}

/// The agent's group, if the document names its backend server in one.
pub(crate) struct Group {
    ground: Ground,
    peers: Peers,
    stamp: Stamp,
    running: Option<Running>,
}

struct Running {
    group: ModelGroup,
    /// Whether the engine has ever said that it hosts ranks.
    hosts_ranks: bool,
    member: GroupMember,
    engine: Engine,
    balancer: Option<Balancer>,
    pace: StorePace,
    loading: Loading,
    last_map: Option<MapRef>,
    resident: Vec<MapRef>,
    stage_failed: Option<MapRef>,
}

impl Group {
    pub(crate) fn new(ground: Ground, links: Links) -> Self {
        let peers = Peers::new(links, ground.own.clone());
        Self { ground, peers, stamp: Stamp::NONE, running: None }
    }

    /// Follows another document.
    pub(crate) fn adopt(
        &mut self,
        now: Now,
        stamp: Stamp,
        document: &Document,
        audit: &mut Vec<Change>,
    ) {
        self.stamp = stamp;
        let own = &self.ground.own;
        let group = document.model_groups.iter().find(|one| one.backend_servers.contains(own));
        let Some(group) = group else {
            self.running = None;
            return;
        };
        self.peers.set_members(&group.backend_servers);
        let membership = Membership::new(stamp, group);
        match &mut self.running {
            Some(running) if running.group.id == group.id => {
                let pace = StorePace::of(document, group);
                if running.group != *group || running.pace != pace {
                    running.balancer =
                        Balancer::new(group, document.balance, pace, self.ground.events.clone());
                }
                running.loading.adopt(now, pace, group, own);
                running.pace = pace;
                running.group = group.clone();
                self.handle(now, GroupEvent::MembershipUpdated(membership), audit);
            }
            _ => self.running = Some(self.start(now, group, membership, document)),
        }
    }

    fn start(
        &self,
        now: Now,
        group: &ModelGroup,
        membership: Membership,
        document: &Document,
    ) -> Running {
        let server = self.ground.own.clone();
        let checks_fencing =
            document.backend(server.as_str()).is_some_and(|server| server.checks_fencing);
        let pace = StorePace::of(document, group);
        let loading = Loading::new(pace, group, &server, self.ground.incarnation.0);
        let settings = MemberSettings {
            server,
            incarnation: self.ground.incarnation,
            checks_fencing,
            membership,
            mechanisms: Mechanisms::default(),
        };
        Running {
            group: group.clone(),
            hosts_ranks: false,
            member: GroupMember::new(now, settings),
            engine: Engine::start(&self.ground.backend_url, self.ground.events.clone()),
            balancer: Balancer::new(group, document.balance, pace, self.ground.events.clone()),
            pace,
            loading,
            last_map: None,
            resident: Vec::new(),
            stage_failed: None,
        }
    }

    /// Follows the instance list.
    pub(crate) fn listed(&mut self, instances: &[Instance]) {
        self.peers.set_instances(instances);
    }

    /// Whether a link was opened for the group.
    pub(crate) fn owns(&self, link: LinkId) -> bool {
        self.peers.owns(link)
    }

    /// A link of the group is up.
    pub(crate) fn opened(&mut self, link: LinkId) {
        self.peers.opened(link);
    }

    /// A link has ended.
    pub(crate) fn closed(&mut self, link: LinkId) {
        self.peers.closed(link);
    }

    /// Notes a sign of life of another agent.
    pub(crate) fn heard(&mut self, from: &BackendServerId) {
        self.peers.heard(from);
    }

    /// A message of another member.
    pub(crate) fn received(&mut self, now: Now, message: GroupMessage, audit: &mut Vec<Change>) {
        if self.takes_part() {
            self.handle(now, GroupEvent::Received(message), audit);
        }
    }

    /// Whether the engine hosts ranks.
    ///
    /// An engine that steps by itself takes no orders. Its agent's campaigns would fail for ever,
    /// and one would see idle agents that keep the links of their group busy.
    fn takes_part(&self) -> bool {
        self.running.as_ref().is_some_and(|running| running.hosts_ranks)
    }

    /// Load that another member reports to this one.
    pub(crate) fn load(&mut self, now: Now, load: RankLoad) {
        if let Some(balancer) = self.running.as_mut().and_then(|one| one.balancer.as_mut()) {
            balancer.take(now, load);
        }
    }

    /// Time has passed.
    pub(crate) fn tick(&mut self, now: Now, audit: &mut Vec<Change>) {
        if !self.takes_part() {
            return;
        }
        self.peers.tick(now);
        self.handle(now, GroupEvent::Tick, audit);
        let news = self.running.as_mut().and_then(|running| running.loading.tick(now));
        if let Some(event) = news {
            self.handle(now, event, audit);
        }
        if let Some(running) = &mut self.running
            && let Some(balancer) = &mut running.balancer
        {
            balancer.begin(now, &running.member);
        }
    }

    /// Proposes the map that a decision asks for, unless the group has changed meanwhile.
    fn decided(&mut self, now: Now, decision: Decision, audit: &mut Vec<Change>) {
        let balancer = self.running.as_mut().and_then(|running| running.balancer.as_mut());
        let proposal = balancer.and_then(|balancer| balancer.end(decision));
        if let Some(map) = proposal {
            self.handle(now, GroupEvent::Propose(map), audit);
        }
    }

    /// The engine answered or reported.
    pub(crate) fn on_engine(&mut self, now: Now, event: EngineEvent, audit: &mut Vec<Change>) {
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
                // A reading tells nothing of the engine's state. Unless its order is settled, the
                // core takes the engine for busy and passes no grants on: the group stands still.
                self.handle(now, GroupEvent::EngineFailed { id }, audit);
            }
            EngineEvent::Ranks(report) => self.on_ranks(now, report, audit),
            EngineEvent::Load(load) => self.pass_on_load(now, load),
            EngineEvent::Decided(decision) => self.decided(now, *decision, audit),
        }
    }

    fn on_ranks(&mut self, now: Now, report: RanksReport, audit: &mut Vec<Change>) {
        if let Some(running) = &mut self.running {
            running.hosts_ranks = true;
        }
        for step in report.steps {
            self.handle(now, GroupEvent::EngineReported(step), audit);
        }
        let Some(running) = &mut self.running else { return };
        let before = std::mem::replace(&mut running.resident, report.resident.clone());
        let failed_before = std::mem::replace(&mut running.stage_failed, report.stage_failed);
        for map in report.resident.into_iter().filter(|map| !before.contains(map)) {
            self.staged(now, map, audit);
        }
        if let Some(map) = report.stage_failed
            && failed_before != Some(map)
        {
            self.stage_failed(now, map, audit);
        }
    }

    fn staged(&mut self, now: Now, map: MapRef, audit: &mut Vec<Change>) {
        let Some(running) = &mut self.running else { return };
        running.loading.staged(map);
        self.handle(now, GroupEvent::EngineStaged(map), audit);
    }

    fn stage_failed(&mut self, now: Now, map: MapRef, audit: &mut Vec<Change>) {
        let Some(running) = &mut self.running else { return };
        let event = running.loading.failed(now, map);
        self.handle(now, event, audit);
    }

    /// Gives the engine an order, or keeps a load back until the weight store's rate allows it.
    fn order(&mut self, now: Now, order: FencedOrder) -> Option<GroupEvent> {
        let running = self.running.as_mut()?;
        let EngineOrder::Stage { map } = &order.order else {
            running.engine.order(order);
            return None;
        };
        let reference = map.reference();
        let event = match running.loading.ask(now, &running.member, map) {
            StageDecision::Forward => {
                running.engine.order(order);
                return None;
            }
            StageDecision::Defer => GroupEvent::EngineStageDeferred(reference),
            StageDecision::Reject => GroupEvent::EngineStageFailed(reference),
        };
        running.engine.withhold(order.id);
        Some(event)
    }

    /// Load goes to the coordinator, wherever it is.
    fn pass_on_load(&mut self, now: Now, load: RankLoad) {
        let Some(running) = &mut self.running else { return };
        let Some(coordinator) = running.member.coordinator().cloned() else { return };
        if coordinator == self.ground.own {
            self.load(now, load);
        } else {
            self.peers.send(now, &coordinator, Frame::RankLoad(Box::new(load)));
        }
    }

    fn handle(&mut self, now: Now, event: GroupEvent, audit: &mut Vec<Change>) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let Some(running) = &mut self.running else { return };
            let mut actions = Vec::new();
            running.member.handle(now, event, &mut actions);
            for action in actions {
                events.extend(self.act(now, action, audit));
            }
        }
    }

    /// Carries out an action; gives what the member has to learn after all of its actions.
    ///
    /// Told in between, it might give orders that overtake those it has given before.
    fn act(
        &mut self,
        now: Now,
        action: GroupAction,
        audit: &mut Vec<Change>,
    ) -> Option<GroupEvent> {
        match action {
            GroupAction::Send { to, message } => {
                self.peers.send(now, &to, Frame::Group(Box::new(message)));
            }
            GroupAction::Order(order) => return self.order(now, order),
            GroupAction::ReportViolation(violation) => {
                log::error!(target: "group", violation = violation.to_string().as_str(); "halted");
                audit.push(Change::InvariantViolated { detail: violation.to_string() });
            }
            GroupAction::Audit(record) => self.record(now, record, audit),
        }
        None
    }

    fn record(&mut self, now: Now, record: GroupRecord, audit: &mut Vec<Change>) {
        let Some(running) = &mut self.running else { return };
        let text = format!("{record:?}");
        log::info!(target: "group", group = running.group.id.as_str(), record = text.as_str(); "");
        let Some(balancer) = &mut running.balancer else { return };
        match record {
            GroupRecord::ChangeCommitted { map, from_step } => {
                let outcome = ChangeOutcome::Adopted { first_step: from_step };
                let reason = balancer.settle(now, outcome).map_or_else(
                    || "first map".to_owned(),
                    |change| format!("{:?}", change.prediction),
                );
                let before = running.last_map.map_or(0, |map| map.version);
                running.last_map = Some(map);
                let group = running.group.id.clone();
                audit.push(Change::MapChanged { group, before, after: map.version, reason });
            }
            GroupRecord::ChangeAbandoned { .. }
            | GroupRecord::ProposalRefused { .. }
            | GroupRecord::Deposed { .. } => {
                balancer.settle(now, ChangeOutcome::Abandoned);
            }
            _ => {}
        }
    }
}
