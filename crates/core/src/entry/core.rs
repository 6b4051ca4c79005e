//! The core of an entry.

use crate::entry::border::{Arrival, EntryAction, EntryEvent, Refusal, RefusalCode, Wanted};
use crate::entry::setup::{EntryIdentity, EntryPolicies};
use crate::ids::{AttemptId, Incarnation, LinkId, RequestId};
use crate::instance::{Instance, InstanceState, Role};
use crate::limits::Admission;
use crate::message::{KeyDigest, Submit, ToAgent, ToEntry};
use crate::routing::{Candidate, Choice, Pick};
use crate::time::{Now, UnixMs};
use crate::verdict::Verdict;
use hickorycross_config::{BackendServerId, Document, Route, Stamp, Target};
use indexmap::IndexMap;
use std::sync::Arc;

#[derive(Debug)]
struct Link {
    backend_server: BackendServerId,
    incarnation: Option<Incarnation>,
}

#[derive(Debug)]
struct Request {
    submit: Submit,
    backends: Vec<BackendServerId>,
    rank: u8,
    sent: Option<LinkId>,
    begun: bool,
    next_chunk: u32,
    byte_count: u64,
}

/// The decisions of one entry.
#[derive(Debug)]
pub struct EntryCore {
    identity: EntryIdentity,
    policies: EntryPolicies,
    document: Option<Arc<Document>>,
    stamp: Stamp,
    instances: IndexMap<BackendServerId, Instance>,
    links: IndexMap<LinkId, Link>,
    requests: IndexMap<RequestId, Request>,
    next_link: u64,
    draining: bool,
    drained: bool,
}

impl EntryCore {
    /// Makes an entry that has adopted nothing yet; equal seeds give equal choices.
    #[must_use]
    pub fn new(identity: EntryIdentity, policies: EntryPolicies, _seed: u64) -> Self {
        Self {
            identity,
            policies,
            document: None,
            stamp: Stamp::NONE,
            instances: IndexMap::new(),
            links: IndexMap::new(),
            requests: IndexMap::new(),
            next_link: 0,
            draining: false,
            drained: false,
        }
    }

    /// What the entry has adopted.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Handles one event and appends what is to be done.
    pub fn handle(&mut self, now: Now, event: EntryEvent, actions: &mut Vec<EntryAction>) {
        match event {
            EntryEvent::Tick => {}
            EntryEvent::Adopted { stamp, document } => {
                self.policies.limits.adopt(now, &document);
                self.policies.retries.adopt(&document);
                self.stamp = stamp;
                self.document = Some(document);
            }
            EntryEvent::Instances(list) => self.learn_instances(now, list),
            EntryEvent::LinkOpened { link, incarnation, .. } => {
                if let Some(row) = self.links.get_mut(&link) {
                    row.incarnation = Some(incarnation);
                }
            }
            EntryEvent::LinkClosed { link } => self.lose_link(link, actions),
            EntryEvent::Message { message, .. } => self.receive(message, actions),
            EntryEvent::Arrived(arrival) => self.arrive(now, *arrival, actions),
            EntryEvent::CallerGone { request } => {
                if let Some(row) = self.requests.shift_remove(&request)
                    && let Some(link) = row.sent
                {
                    let message = ToAgent::Cancel { attempt: row.submit.attempt };
                    actions.push(EntryAction::Send { link, message });
                }
            }
            EntryEvent::Drain => self.draining = true,
        }
        self.expire(now, actions);
        self.dispatch(now, actions);
        if self.draining && !self.drained && self.requests.is_empty() {
            self.drained = true;
            actions.push(EntryAction::Drained);
        }
    }

    fn learn_instances(&mut self, now: Now, list: Vec<Instance>) {
        let entries = list.iter().filter(|one| one.role == Role::Entry).count();
        self.policies.limits.set_entries(now, u32::try_from(entries).unwrap_or(u32::MAX));
        self.instances = list
            .into_iter()
            .filter(|one| one.state == InstanceState::Live)
            .filter_map(|one| match one.role.clone() {
                Role::Agent { backend_server } => Some((backend_server, one)),
                Role::Entry => None,
            })
            .collect();
    }

    fn arrive(&mut self, now: Now, arrival: Arrival, actions: &mut Vec<EntryAction>) {
        let request = arrival.request;
        match self.admit(now, arrival) {
            Ok(row) => {
                self.requests.insert(request, row);
            }
            Err((code, retry_at)) => {
                let refusal =
                    Refusal { code, verdict: Verdict::NotRun, retry_at, detail: String::new() };
                actions.push(EntryAction::Refuse { request, refusal });
            }
        }
    }

    fn admit(
        &mut self,
        now: Now,
        arrival: Arrival,
    ) -> Result<Request, (RefusalCode, Option<UnixMs>)> {
        let document = self.document.clone().filter(|_| !self.draining);
        let document = document.ok_or((RefusalCode::NotReady, None))?;
        let team =
            document.team_by_key(&arrival.key_hash).ok_or((RefusalCode::UnknownKey, None))?;
        let route = find_route(&document, &arrival.wanted)?;
        let latest = now.after(route.max_deadline_ms.into());
        let default = now.after(route.default_deadline_ms.into());
        let deadline = arrival.deadline.map_or(default, |asked| asked.min(latest));
        if deadline.is_past(now) {
            return Err((RefusalCode::DeadlinePassed, None));
        }
        if let Admission::Exceeded { retry_at } = self.policies.limits.admit(now, &team.id) {
            return Err((RefusalCode::TeamLimit, Some(retry_at)));
        }
        self.policies.retries.first_try(now, &route.id);
        let submit = Submit {
            attempt: AttemptId { request: arrival.request, ordinal: 0 },
            agent: Incarnation(0),
            team: team.id.clone(),
            tier: team.tier.clone(),
            route: route.id.clone(),
            idempotent: route.idempotent && !arrival.non_idempotent,
            key: arrival.idempotency_key.as_deref().map(|key| KeyDigest::of(&team.id, key)),
            content: xxhash_rust::xxh3::xxh3_64(&arrival.body),
            deadline,
            head: arrival.head,
            body: arrival.body,
        };
        Ok(Request {
            submit,
            backends: document.backends_of(&route.target).to_vec(),
            rank: document.tier(team.tier.as_str()).map_or(u8::MAX, |tier| tier.rank),
            sent: None,
            begun: false,
            next_chunk: 0,
            byte_count: 0,
        })
    }

    fn dispatch(&mut self, now: Now, actions: &mut Vec<EntryAction>) {
        let waiting: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, row)| row.sent.is_none())
            .map(|(request, _)| *request)
            .collect();
        for request in waiting {
            self.dispatch_one(now, request, actions);
        }
    }

    fn dispatch_one(&mut self, now: Now, request: RequestId, actions: &mut Vec<EntryAction>) {
        let Some(document) = self.document.clone() else { return };
        let backends = self.requests[&request].backends.clone();
        let ready: Vec<(LinkId, Incarnation, &hickorycross_config::BackendServer)> = self
            .links
            .iter()
            .filter(|(_, link)| backends.contains(&link.backend_server))
            .filter_map(|(id, link)| {
                let server = document.backend(link.backend_server.as_str())?;
                Some((*id, link.incarnation?, server))
            })
            .collect();
        if ready.is_empty() {
            return self.open_links(&backends, actions);
        }
        let candidates: Vec<Candidate<'_>> = ready
            .iter()
            .map(|(link, _, server)| Candidate {
                backend_server: &server.id,
                failure_domain: &server.failure_domain,
                load: None,
                load_received: UnixMs(0),
                outstanding: self.outstanding(*link),
                sent_since_report: 0,
                slots: server.slots,
                share_permille: 1000,
            })
            .collect();
        let row = &self.requests[&request];
        let choice = Choice {
            rank: row.rank,
            deadline: row.submit.deadline,
            home: &self.identity.failure_domain,
            prefix: None,
            candidates: &candidates,
        };
        match self.policies.routing.choose(now, &choice) {
            Pick::Candidate(index) => {
                let (link, incarnation, _) = ready[index];
                let row = &mut self.requests[&request];
                row.submit.agent = incarnation;
                row.sent = Some(link);
                let message = ToAgent::Submit(Box::new(row.submit.clone()));
                actions.push(EntryAction::Send { link, message });
            }
            Pick::NoneInTime { retry_at } => {
                let refusal = refusal(RefusalCode::Overloaded, Verdict::NotRun, Some(retry_at));
                self.refuse(request, refusal, actions);
            }
        }
    }

    fn outstanding(&self, link: LinkId) -> u32 {
        let count = self.requests.values().filter(|row| row.sent == Some(link)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn open_links(&mut self, backends: &[BackendServerId], actions: &mut Vec<EntryAction>) {
        for backend_server in backends {
            let Some(instance) = self.instances.get(backend_server) else { continue };
            if self.links.values().any(|link| link.backend_server == *backend_server) {
                continue;
            }
            let link = LinkId(self.next_link);
            self.next_link += 1;
            let row = Link { backend_server: backend_server.clone(), incarnation: None };
            self.links.insert(link, row);
            actions.push(EntryAction::OpenLink {
                link,
                instance: instance.id.clone(),
                address: instance.link_address,
            });
        }
    }

    fn lose_link(&mut self, link: LinkId, actions: &mut Vec<EntryAction>) {
        self.links.shift_remove(&link);
        let lost: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, row)| row.sent == Some(link))
            .map(|(request, _)| *request)
            .collect();
        for request in lost {
            let refusal = refusal(RefusalCode::Interrupted, Verdict::MayHaveRun, None);
            self.refuse(request, refusal, actions);
        }
    }

    fn receive(&mut self, message: ToEntry, actions: &mut Vec<EntryAction>) {
        match message {
            ToEntry::Refused { attempt, retry_at, .. } => {
                let refusal = refusal(RefusalCode::Overloaded, Verdict::NotRun, retry_at);
                self.refuse(attempt.request, refusal, actions);
            }
            ToEntry::Head { attempt, head } => {
                let request = attempt.request;
                let Some(row) = self.requests.get_mut(&request) else { return };
                if !row.begun {
                    row.begun = true;
                    actions.push(EntryAction::Begin { request, head });
                }
            }
            ToEntry::Chunk { attempt, index, bytes } => {
                let request = attempt.request;
                let Some(row) = self.requests.get_mut(&request) else { return };
                if row.begun && row.next_chunk == index {
                    row.next_chunk += 1;
                    row.byte_count += bytes.len() as u64;
                    actions.push(EntryAction::Chunk { request, bytes });
                }
            }
            ToEntry::End { attempt, chunk_count, byte_count, .. } => {
                let request = attempt.request;
                let Some(row) = self.requests.get(&request) else { return };
                let whole = (row.next_chunk, row.byte_count) == (chunk_count, byte_count);
                if !whole || !row.begun {
                    let refusal = refusal(RefusalCode::BadAnswer, Verdict::Ran, None);
                    return self.refuse(request, refusal, actions);
                }
                self.requests.shift_remove(&request);
                actions.push(EntryAction::Finish { request });
            }
            ToEntry::Failed { attempt, verdict, .. } => {
                let refusal = refusal(RefusalCode::Interrupted, verdict, None);
                self.refuse(attempt.request, refusal, actions);
            }
            ToEntry::KeyUsed { attempt, verdict, .. } => {
                let refusal = refusal(RefusalCode::KeyUsed, verdict, None);
                self.refuse(attempt.request, refusal, actions);
            }
            ToEntry::Accepted { .. }
            | ToEntry::Revoked { .. }
            | ToEntry::HeartbeatAck { .. }
            | ToEntry::Totals(_)
            | ToEntry::Leaving => {}
        }
    }

    fn expire(&mut self, now: Now, actions: &mut Vec<EntryAction>) {
        let expired: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, row)| row.submit.deadline.is_past(now))
            .map(|(request, _)| *request)
            .collect();
        for request in expired {
            let row = &self.requests[&request];
            let verdict = row.sent.map_or(Verdict::NotRun, |_| Verdict::MayHaveRun);
            if let Some(link) = row.sent {
                let message = ToAgent::Cancel { attempt: row.submit.attempt };
                actions.push(EntryAction::Send { link, message });
            }
            self.refuse(request, refusal(RefusalCode::DeadlinePassed, verdict, None), actions);
        }
    }

    fn refuse(&mut self, request: RequestId, refusal: Refusal, actions: &mut Vec<EntryAction>) {
        if self.requests.shift_remove(&request).is_some() {
            actions.push(EntryAction::Refuse { request, refusal });
        }
    }
}

fn refusal(code: RefusalCode, verdict: Verdict, retry_at: Option<UnixMs>) -> Refusal {
    Refusal { code, verdict, retry_at, detail: String::new() }
}

fn find_route<'a>(
    document: &'a Document,
    wanted: &Wanted,
) -> Result<&'a Route, (RefusalCode, Option<UnixMs>)> {
    match wanted {
        Wanted::Model(model) => document
            .routes
            .iter()
            .find(|route| match &route.target {
                Target::Model { group } => document
                    .group(group.as_str())
                    .is_some_and(|group| group.models.iter().any(|one| one == model)),
                Target::Service { .. } => false,
            })
            .ok_or((RefusalCode::UnknownModel, None)),
        Wanted::Path(path) => document
            .routes
            .iter()
            .filter_map(|route| match &route.target {
                Target::Service { path_prefix, .. } if path.starts_with(path_prefix.as_str()) => {
                    Some((path_prefix.len(), route))
                }
                _ => None,
            })
            .max_by_key(|(length, _)| *length)
            .map(|(_, route)| route)
            .ok_or((RefusalCode::UnknownPath, None)),
    }
}
