//! What an entry knows of the documents that agents hold.

use crate::homes::have_same_homes;
use crate::ids::{InstanceId, LinkId};
use crate::instance::{Instance, Role};
use crate::message::{Adoption, EveryAgent, HeldStamp, Holder};
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendKind, BackendServerId, Document, Stamp};
use indexmap::IndexMap;

/// What the entry knows of the documents that agents hold.
#[derive(Debug, Default)]
pub(super) struct KnownHolders {
    /// The agents on the latest instance list, with their backend servers; none before the first.
    listed: Option<IndexMap<InstanceId, BackendServerId>>,
    heard: IndexMap<InstanceId, HeardDocument>,
    /// Queries for the documents of all agents, by the link of the asking agent.
    surveys: IndexMap<LinkId, Survey>,
    /// The earliest revision from which on all revisions up to the one in force give all keys the
    /// same homes.
    homes_since: u64,
}

/// The document that an agent holds, as heard in two ways that may overtake each other.
#[derive(Clone, Copy, Debug, Default)]
struct HeardDocument {
    announced: Option<Adoption>,
    acknowledged: Option<Acknowledgement>,
}

/// The stamp with which an agent acknowledged a heartbeat.
#[derive(Clone, Copy, Debug)]
struct Acknowledgement {
    /// The stamp. The agent adopted it at the given time or before.
    held: HeldStamp,
    /// When the heartbeat was sent.
    asked_at: UnixMs,
}

impl HeardDocument {
    /// The latest document that the agent is known to have adopted.
    fn latest(self) -> Option<HeldStamp> {
        let acknowledged = self.acknowledged.map(|acknowledged| acknowledged.held);
        // With equal revisions, the announcement is the exact one.
        let announced = self.announced.map(|adoption| adoption.held);
        acknowledged.into_iter().chain(announced).max_by_key(|held| held.stamp.revision)
    }

    /// The adoption of a document that the agent still held at some time since `since`.
    fn adoption_of(self, stamp: Stamp, since: UnixMs) -> Option<Adoption> {
        let held = self.acknowledged.filter(|row| row.asked_at >= since)?.held;
        let announced = self.announced.filter(|announced| announced.held.stamp == stamp);
        let unannounced = Adoption { held, replaced: None };
        (held.stamp == stamp).then_some(announced.unwrap_or(unannounced))
    }
}

/// A query for the documents of all agents. Answers to earlier heartbeats do not count for it: an
/// agent that was heard before may hold another document by now.
#[derive(Clone, Copy, Debug)]
pub(super) struct Survey {
    stamp: Stamp,
    since: UnixMs,
}

/// What the agents have answered to a survey.
#[derive(Debug, Default)]
pub(super) struct Answers {
    /// Agents that have not answered.
    pub(super) missing: Vec<InstanceId>,
    /// What the others have answered.
    known: EveryAgent,
}

impl KnownHolders {
    /// Records a document that comes into force here.
    pub(super) fn adopt(
        &mut self,
        before: Option<&Document>,
        held: Stamp,
        after: &Document,
        stamp: Stamp,
    ) {
        let is_next = stamp.revision == held.revision + 1;
        let is_unchanged = before.is_some_and(|before| have_same_homes(before, after));
        if !(is_next && is_unchanged) {
            self.homes_since = stamp.revision;
        }
    }

    /// Records the agents on an instance list.
    pub(super) fn update_list(&mut self, list: &[Instance]) {
        let agents = list.iter().filter_map(|instance| match &instance.role {
            Role::Agent { backend_server } => Some((instance.id.clone(), backend_server.clone())),
            Role::Entry => None,
        });
        let listed: IndexMap<_, _> = agents.collect();
        self.heard.retain(|instance, _| listed.contains_key(instance));
        self.listed = Some(listed);
    }

    /// Whether the latest instance list names an agent, as live or as leaving.
    pub(super) fn is_listed(&self, instance: &InstanceId) -> bool {
        self.listed.as_ref().is_some_and(|listed| listed.contains_key(instance))
    }

    /// Records that an agent says when it adopted its document.
    pub(super) fn record_adoption(&mut self, instance: &InstanceId, adoption: Adoption) {
        self.heard.entry(instance.clone()).or_default().announced = Some(adoption);
    }

    /// Records the stamp with which an agent acknowledged a heartbeat that was sent at `asked_at`.
    pub(super) fn record_heartbeat(
        &mut self,
        now: Now,
        instance: &InstanceId,
        stamp: Stamp,
        asked_at: UnixMs,
    ) {
        let heard = self.heard.entry(instance.clone()).or_default();
        let earlier = heard.acknowledged.map(|acknowledged| acknowledged.held);
        let first_heard = HeldStamp { stamp, adopted_at: now.unix_ms };
        let held = earlier.filter(|earlier| earlier.stamp == stamp).unwrap_or(first_heard);
        heard.acknowledged = Some(Acknowledgement { held, asked_at });
    }

    /// The earliest revision from which on all revisions up to the one in force give all keys the
    /// same homes.
    pub(super) fn homes_since(&self) -> u64 {
        self.homes_since
    }

    /// Drops the surveys for agents whose links have closed.
    pub(super) fn retain_surveys(&mut self, is_open: impl Fn(LinkId) -> bool) {
        self.surveys.retain(|link, _| is_open(*link));
    }

    /// Returns the agents of backend servers that do not hold a document, as far as is known.
    pub(super) fn unheard(
        &self,
        backend_servers: &[BackendServerId],
        stamp: Stamp,
    ) -> Vec<InstanceId> {
        let instances = backend_servers.iter().filter_map(|one| self.instances_of(one)).flatten();
        let is_unheard = |instance: &&InstanceId| {
            let latest = self.heard.get(*instance).and_then(|heard| heard.latest());
            latest.is_none_or(|held| held.stamp != stamp)
        };
        instances.filter(is_unheard).cloned().collect()
    }

    /// Returns the answers to a survey; none before the first instance list.
    pub(super) fn answers(
        &self,
        survey: Survey,
        document: &Document,
        asking: &InstanceId,
        skipped_after: Option<u64>,
    ) -> Option<Answers> {
        let listed = self.listed.as_ref()?;
        let kind = kind_of(document, listed.get(asking)?);
        let mut answers = Answers::default();
        for (instance, hosted) in listed {
            if instance == asking || !may_share_routes(kind, kind_of(document, hosted)) {
                continue;
            }
            match self.answer(survey, instance) {
                Some(adoption) => answers.add(adoption, skipped_after),
                None => answers.missing.push(instance.clone()),
            }
        }
        Some(answers)
    }

    /// The listed instances of a backend server; none before the first list.
    fn instances_of(&self, backend_server: &BackendServerId) -> Option<Vec<&InstanceId>> {
        let listed = self.listed.as_ref()?.iter();
        let matching = listed.filter(|(_, hosted)| *hosted == backend_server);
        Some(matching.map(|(instance, _)| instance).collect())
    }

    /// What is known of a backend server's agents; none unless all listed ones have been heard.
    pub(super) fn holder(&self, backend_server: &BackendServerId) -> Option<Holder> {
        let instances = self.instances_of(backend_server)?;
        let held = instances.into_iter().map(|instance| self.heard.get(instance)?.latest());
        let held = held.collect::<Option<Vec<_>>>()?;
        Some(Holder { backend_server: backend_server.clone(), held })
    }

    /// Begins a survey for the agent on a link, or continues the one for the same document.
    pub(super) fn survey(&mut self, now: Now, link: LinkId, stamp: Stamp) -> Survey {
        let begun = Survey { stamp, since: now.unix_ms };
        let survey = self.surveys.entry(link).or_insert(begun);
        if survey.stamp != stamp {
            *survey = begun;
        }
        *survey
    }

    /// How an agent adopted the document of a survey; none unless it has answered since.
    fn answer(&self, survey: Survey, instance: &InstanceId) -> Option<Adoption> {
        self.heard.get(instance)?.adoption_of(survey.stamp, survey.since)
    }
}

impl Answers {
    /// What is known of all agents; none while some have not answered.
    pub(super) fn complete(&self) -> Option<EveryAgent> {
        self.missing.is_empty().then_some(self.known)
    }

    fn add(&mut self, adoption: Adoption, skipped_after: Option<u64>) {
        let held = adoption.held;
        let is_before_skipped = |replaced: &HeldStamp| {
            skipped_after.is_some_and(|last| replaced.stamp.revision <= last)
        };
        let since = adoption.replaced.filter(is_before_skipped).unwrap_or(held).adopted_at;
        let known = &mut self.known;
        known.holds_since = known.holds_since.max(held.adopted_at);
        known.holds_no_skipped_since = known.holds_no_skipped_since.max(since);
    }
}

fn kind_of(document: &Document, backend_server: &BackendServerId) -> Option<BackendKind> {
    document.backend(backend_server.as_str()).map(|server| server.kind)
}

/// Whether two backend servers may serve one route, now or under another document. One that the
/// document does not name may be of any kind.
fn may_share_routes(one: Option<BackendKind>, other: Option<BackendKind>) -> bool {
    one.is_none() || other.is_none() || one == other
}
