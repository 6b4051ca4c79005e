//! What the agreement on one expert map costs a coordinator and a member, by members.

use super::cpu::cpu_ns_of;
use super::document::FleetShape;
use super::fit::{Series, SeriesName};
use super::measure::Effort;
use hickorycross_config::{BackendServerId, Digest, ModelGroup, Stamp};
use hickorycross_core::group::{
    EngineOrder, EngineState, FencedOrder, GroupAction, GroupEvent, GroupMember, GroupMessage,
    MapRef, Mechanisms, MemberSettings, Membership, StepReport,
};
use hickorycross_core::{Incarnation, Now};
use indexmap::IndexMap;

const START_MS: u64 = 1_000_000;
const TICK_MS: u64 = 50;
/// A group elects its coordinator, inspects and loads its first map in this time.
const WARM_MS: u64 = 10_000;
const MEASURED_MS: u64 = 20_000;
const STEP_MS: u64 = 5;
/// IP, UDP, QUIC short header, stream frame and authentication tag of one datagram.
const DATAGRAM_BYTES: usize = 28 + 14 + 6 + 16;
const MEMBERS: [u32; 4] = [4, 8, 16, 31];
const MEMBER_SEED: u64 = 0x5eed_0000_0000_0000;

/// An engine that does at once whatever it is told.
#[derive(Default)]
struct Engine {
    state: EngineState,
    maps: IndexMap<MapRef, std::sync::Arc<hickorycross_core::group::ExpertMap>>,
}

impl Engine {
    fn carry_out(&mut self, fenced: FencedOrder) -> Vec<GroupEvent> {
        let mut events = Vec::new();
        match fenced.order {
            EngineOrder::Inspect => {}
            EngineOrder::Grant { grants } => self.state.grants = grants,
            EngineOrder::Stage { map } => {
                let reference = map.reference();
                self.maps.insert(reference, map);
                if !self.state.resident.contains(&reference) {
                    self.state.resident.push(reference);
                    events.push(GroupEvent::EngineStaged(reference));
                }
            }
            EngineOrder::Discard { map } => self.state.resident.retain(|held| *held != map),
            EngineOrder::ReadMap { map } => {
                events.extend(self.maps.get(&map).cloned().map(GroupEvent::EngineMapRead));
            }
        }
        events.insert(0, GroupEvent::EngineAnswered { id: fenced.id, state: self.state.clone() });
        events
    }
}

struct Row {
    member: GroupMember,
    engine: Engine,
    sent_bytes: usize,
    received_bytes: usize,
    sent: usize,
    cpu_ns: f64,
}

/// One group without loss or delay.
struct Group {
    rows: IndexMap<BackendServerId, Row>,
    now_ms: u64,
    step: u64,
}

fn group(members: u32) -> ModelGroup {
    let shape = FleetShape { backends: members, teams: 1, groups: 1, queue_slots: 1 };
    let mut document = super::document::document(shape);
    document.model_groups.remove(0)
}

impl Group {
    fn new(members: u32) -> Self {
        let stamp = Stamp { revision: 400_000, digest: Digest(u64::MAX / 5) };
        let membership = Membership::new(stamp, &group(members));
        let rows = membership.servers.iter().zip(0..).map(|(server, number)| {
            let settings = MemberSettings {
                server: server.clone(),
                incarnation: Incarnation(MEMBER_SEED + number),
                checks_fencing: true,
                membership: membership.clone(),
                mechanisms: Mechanisms::ALL,
            };
            let member = GroupMember::new(Now::at(START_MS), settings);
            let engine = Engine::default();
            let row =
                Row { member, engine, sent_bytes: 0, received_bytes: 0, sent: 0, cpu_ns: 0.0 };
            (server.clone(), row)
        });
        Self { rows: rows.collect(), now_ms: START_MS, step: 0 }
    }

    fn run(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.make_steps();
            let servers: Vec<_> = self.rows.keys().cloned().collect();
            for server in servers {
                self.deliver(server, GroupEvent::Tick);
            }
        }
    }

    /// Engines step together as far as all are granted, and report the last step.
    fn make_steps(&mut self) {
        let granted = |row: &Row| row.engine.state.grants.last().map_or(0, |one| one.through_step);
        let through_step = self.rows.values().map(granted).min().unwrap_or(0);
        self.step = through_step.min(self.step + TICK_MS / STEP_MS);
        let reports: Vec<_> = self
            .rows
            .iter_mut()
            .zip(0..)
            .filter_map(|((server, row), rank)| {
                let grants = &row.engine.state.grants;
                let map = grants.iter().find(|grant| grant.covers(self.step))?.map;
                row.engine.state.completed_step = self.step;
                let report = StepReport { rank, step: self.step, map };
                Some((server.clone(), GroupEvent::EngineReported(report)))
            })
            .collect();
        for (server, report) in reports {
            self.deliver(server, report);
        }
    }

    /// Handles an event and whatever follows from it at once.
    fn deliver(&mut self, to: BackendServerId, event: GroupEvent) {
        let mut queue = std::collections::VecDeque::from([(to, event)]);
        while let Some((server, event)) = queue.pop_front() {
            let Some(row) = self.rows.get_mut(&server) else { continue };
            let mut actions = Vec::new();
            let now = Now::at(self.now_ms);
            row.cpu_ns += cpu_ns_of(|| row.member.handle(now, event, &mut actions));
            for action in actions {
                self.act(&server, action, &mut queue);
            }
        }
    }

    fn act(
        &mut self,
        from: &BackendServerId,
        action: GroupAction,
        queue: &mut std::collections::VecDeque<(BackendServerId, GroupEvent)>,
    ) {
        match action {
            GroupAction::Send { to, message } => {
                let bytes = wire_bytes(&message);
                let sender = &mut self.rows[from];
                sender.sent_bytes += bytes;
                sender.sent += 1;
                if let Some(receiver) = self.rows.get_mut(&to) {
                    receiver.received_bytes += bytes;
                }
                queue.push_back((to, GroupEvent::Received(message)));
            }
            GroupAction::Order(order) => {
                let events = self.rows[from].engine.carry_out(order);
                queue.extend(events.into_iter().map(|event| (from.clone(), event)));
            }
            GroupAction::ReportViolation(_) | GroupAction::Audit(_) => {}
        }
    }

    fn forget_counts(&mut self) {
        for row in self.rows.values_mut() {
            (row.sent_bytes, row.received_bytes, row.sent, row.cpu_ns) = (0, 0, 0, 0.0);
        }
    }

    fn coordinator(&self) -> Option<&Row> {
        self.rows.values().find(|row| row.member.is_coordinator())
    }

    fn follower(&self) -> Option<&Row> {
        self.rows.values().find(|row| !row.member.is_coordinator())
    }
}

/// Bytes of a message on the network, in one datagram of its own, without acknowledgements.
fn wire_bytes(message: &GroupMessage) -> usize {
    postcard::to_stdvec(message).map_or(0, |body| body.len() + DATAGRAM_BYTES)
}

/// Rates of a role in a group that runs undisturbed.
struct Rates {
    bytes_per_s: f64,
    messages_per_s: f64,
    cpu_us_per_s: f64,
}

fn rates(members: u32, pick: impl Fn(&Group) -> Option<&Row>) -> Rates {
    let mut group = Group::new(members);
    group.run(WARM_MS);
    group.forget_counts();
    group.run(MEASURED_MS);
    let seconds = MEASURED_MS as f64 / 1e3;
    pick(&group).map_or(
        Rates { bytes_per_s: f64::NAN, messages_per_s: f64::NAN, cpu_us_per_s: f64::NAN },
        |row| Rates {
            bytes_per_s: (row.sent_bytes + row.received_bytes) as f64 / seconds,
            messages_per_s: row.sent as f64 / seconds,
            cpu_us_per_s: row.cpu_ns / 1e3 / seconds,
        },
    )
}

/// All series of a group.
pub(super) fn group_series(effort: Effort) -> Vec<Series> {
    let trials = effort.trials;
    let coordinator = |measured| SeriesName { role: "coordinator", measured, varied: "members" };
    let member = |measured| SeriesName { role: "member", measured, varied: "members" };
    let design_x = 31.0;
    vec![
        Series::measure(coordinator("bytes_per_s"), &MEMBERS, 1, design_x, |x| {
            rates(x, Group::coordinator).bytes_per_s
        }),
        Series::measure(coordinator("messages_per_s"), &MEMBERS, 1, design_x, |x| {
            rates(x, Group::coordinator).messages_per_s
        }),
        Series::measure(coordinator("cpu_us_per_s"), &MEMBERS, trials, design_x, |x| {
            rates(x, Group::coordinator).cpu_us_per_s
        }),
        Series::measure(member("bytes_per_s"), &MEMBERS, 1, design_x, |x| {
            rates(x, Group::follower).bytes_per_s
        }),
        Series::measure(member("cpu_us_per_s"), &MEMBERS, trials, design_x, |x| {
            rates(x, Group::follower).cpu_us_per_s
        }),
    ]
}

/// Bytes of one whole map as it is handed out: 60 layers, 256 experts, one replica each.
pub(super) fn map_bytes(members: u32) -> usize {
    let stamp = Stamp { revision: 1, digest: Digest(1) };
    let membership = Membership::new(stamp, &group(members));
    let map = hickorycross_core::group::ExpertMap::uniform(1, membership.shape);
    postcard::to_stdvec(&map).map_or(0, |bytes| bytes.len())
}
