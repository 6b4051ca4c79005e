//! Minimal dispatch loop of an entry: enough to drive the policies, no more.

use super::arrivals::Request;
use super::fleet::{BACKENDS, DOMAINS, ROUTE, backend_id, domain_id, domain_of, team_id};
use super::ledger::{Ledger, Outcome};
use super::link::Link;
use super::open::OpenTable;
use super::policies::PolicySet;
use super::queue::Attempt;
use super::wire::{Effect, ToBackend, ToEntry};
use hickorycross_config::{BackendServerId, Document, FailureDomainId, RouteId, TeamId};
use hickorycross_core::health::Signal;
use hickorycross_core::limits::{Admission, TeamLimiter};
use hickorycross_core::message::TeamTotal;
use hickorycross_core::retry::RetryBudget;
use hickorycross_core::routing::{Candidate, RoutingDecision, RoutingPolicy, RoutingRequest};
use hickorycross_core::{Now, UnixMs};

/// What all entries look at.
pub(crate) struct Shared<'a> {
    pub(crate) requests: &'a [Request],
    pub(crate) ledger: &'a mut Ledger,
}

/// One entry.
pub(crate) struct Entry {
    pub(super) index: usize,
    pub(super) home: FailureDomainId,
    pub(super) route: RouteId,
    pub(super) teams: Vec<TeamId>,
    pub(super) routing: Box<dyn RoutingPolicy>,
    pub(super) limits: Box<dyn TeamLimiter>,
    pub(super) retry: Box<dyn RetryBudget>,
    pub(super) links: Vec<Link>,
    pub(super) open: OpenTable,
    pub(super) effects: Vec<Effect>,
}

impl Entry {
    /// An entry that has just started. `incarnations` are those of the backend servers.
    pub(crate) fn new(
        now: Now,
        index: usize,
        entries: usize,
        seed: u64,
        set: PolicySet,
        document: &Document,
        incarnations: &[u64],
    ) -> Self {
        let mut limits = set.limits();
        limits.set_entry_count(now, entries as u32);
        limits.adopt(now, document);
        let mut retry = set.retry(seed);
        retry.adopt(document);
        let mut routing = set.routing(seed);
        routing.adopt(document);
        let link = |backend: usize| {
            let health = set.health(seed ^ (backend as u64) << 32);
            Link::new(now, index, backend, incarnations[backend], health)
        };
        Self {
            index,
            home: domain_id(index % DOMAINS),
            route: RouteId::new(ROUTE),
            teams: (0..document.teams.len()).map(team_id).collect(),
            routing,
            limits,
            retry,
            links: (0..BACKENDS).map(link).collect(),
            open: OpenTable::default(),
            effects: Vec::new(),
        }
    }

    /// Failure domain.
    pub(crate) const fn domain(&self) -> usize {
        domain_of(self.index)
    }

    /// What is to be done since the last call.
    pub(crate) fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Handles a caller's request.
    pub(crate) fn arrived(&mut self, now: Now, shared: &mut Shared<'_>, request: usize) {
        let team = &self.teams[shared.requests[request].team];
        if self.limits.admit(now, team) != Admission::Within {
            shared.ledger.ended(request, Outcome::Limited);
            return;
        }
        self.retry.record_first_try(now, &self.route);
        self.open.add(request);
        self.dispatch(now, shared, request);
    }

    /// Tries a request again.
    pub(crate) fn retry(&mut self, now: Now, shared: &mut Shared<'_>, request: usize) {
        if self.open.has(request) {
            self.dispatch(now, shared, request);
        }
    }

    /// Handles a message of the agent of a backend server.
    pub(crate) fn message(
        &mut self,
        now: Now,
        shared: &mut Shared<'_>,
        backend: usize,
        incarnation: u64,
        message: ToEntry,
    ) {
        self.links[backend].heard(now, incarnation);
        match message {
            ToEntry::Accepted { attempt, load } => {
                self.links[backend].report(now, load);
                self.accepted(shared, attempt);
            }
            ToEntry::Refused { attempt, reason, load } => {
                self.links[backend].report(now, load);
                self.refused(now, shared, attempt, reason);
            }
            ToEntry::FirstChunk { attempt } => self.first_chunk(now, shared, backend, attempt),
            ToEntry::End { attempt, load } => {
                self.links[backend].report(now, load);
                self.links[backend].health.signal(now, Signal::Answered);
                if self.close(attempt.request, attempt.ordinal).is_some() {
                    self.open.remove(attempt.request);
                }
            }
            ToEntry::Failed { attempt, load } => {
                self.links[backend].report(now, load);
                self.failed(now, shared, attempt.request, attempt.ordinal);
            }
            ToEntry::HeartbeatAck { load } => self.links[backend].report(now, load),
            ToEntry::Totals(totals) => self.learn(now, backend, &totals),
            ToEntry::Leaving => self.links[backend].leaving = true,
        }
    }

    /// Heartbeats, overdue acknowledgements, demand reports.
    pub(crate) fn tick(&mut self, now: Now, shared: &mut Shared<'_>) {
        for backend in 0..self.links.len() {
            if self.links[backend].tick(now) {
                let message = ToBackend::Heartbeat;
                self.effects.push(Effect::SendBackend { backend, message });
            }
        }
        self.give_up_lost(now, shared);
        for report in self.limits.due_reports(now) {
            let Some(backend) = self.backend_index(&report.to) else { continue };
            let message = ToBackend::Demand(report.demands);
            self.effects.push(Effect::SendBackend { backend, message });
        }
    }

    /// The process ends: whatever is open is cut off.
    pub(crate) fn cut_off(&mut self, shared: &mut Shared<'_>) {
        for request in self.open.take_all() {
            shared.ledger.ended(request, Outcome::Failed);
        }
    }

    fn backend_index(&self, id: &BackendServerId) -> Option<usize> {
        (0..BACKENDS).find(|&backend| backend_id(backend) == *id)
    }

    fn learn(&mut self, now: Now, backend: usize, totals: &[TeamTotal]) {
        let from = self.links[backend].id().clone();
        self.limits.receive_totals(now, &from, totals);
    }

    fn dispatch(&mut self, now: Now, shared: &mut Shared<'_>, request: usize) {
        let wanted = &shared.requests[request];
        let first = self.open.tried(request).is_empty();
        if wanted.deadline_ms <= now.unix_ms.0 {
            self.end(shared, request, Outcome::RefusedLater);
            return;
        }
        let picked = self.probe(now, request).or_else(|| self.choose(now, request, wanted));
        match picked {
            Some(backend) => self.send(now, shared, request, backend),
            None if first => self.end(shared, request, Outcome::RefusedAtOnce),
            None => self.end(shared, request, Outcome::RefusedLater),
        }
    }

    /// Uses a first try as a probe if a circuit is half open.
    fn probe(&mut self, now: Now, request: usize) -> Option<usize> {
        if !self.open.tried(request).is_empty() {
            return None;
        }
        let backend = self.links.iter().position(|link| link.wants_probe(now))?;
        self.links[backend].health.probe_sent(now);
        Some(backend)
    }

    fn choose(&mut self, now: Now, request: usize, wanted: &Request) -> Option<usize> {
        let tried = self.open.tried(request);
        let (indices, candidates): (Vec<usize>, Vec<Candidate<'_>>) = self
            .links
            .iter()
            .enumerate()
            .filter(|(backend, _)| !tried.contains(backend))
            .filter_map(|(backend, link)| Some((backend, link.candidate(now)?)))
            .unzip();
        if candidates.is_empty() {
            return None;
        }
        let choice = RoutingRequest {
            rank: wanted.rank,
            deadline: UnixMs(wanted.deadline_ms),
            entry_failure_domain: &self.home,
            prefix_digest: None,
            candidates: &candidates,
        };
        match self.routing.choose(now, &choice) {
            RoutingDecision::Candidate(index) => Some(indices[index]),
            RoutingDecision::Refuse { .. } => None,
        }
    }

    fn send(&mut self, now: Now, shared: &mut Shared<'_>, request: usize, backend: usize) {
        let wanted = &shared.requests[request];
        let ordinal = self.open.sent(now, request, backend);
        let attempt = Attempt {
            request,
            ordinal,
            entry: self.index,
            team: wanted.team,
            rank: wanted.rank,
            deadline_ms: wanted.deadline_ms,
            service_ms: wanted.service_ms,
        };
        self.links[backend].sent(now);
        shared.ledger.tried(request);
        self.effects.push(Effect::SendBackend { backend, message: ToBackend::Submit(attempt) });
    }
}
