//! Choice of a backend server for each waiting request, and submission of its attempt.

use crate::entry::backend::Backend;
use crate::entry::constants::{RETRY_AFTER_MS, STALL_MS, SUBSET_LINKS_MIN};
use crate::entry::core::EntryCore;
use crate::entry::event_context::EventContext;
use crate::entry::interface::RefusalCode;
use crate::entry::peer::Peer;
use crate::entry::request::{Attempt, Progress, Request};
use crate::entry::response::ResponseAssembly;
use crate::entry::subset::{Eligible, EntryLocation, select_subset};
use crate::health::Standing;
use crate::ids::{AttemptId, InstanceId, RequestId};
use crate::key_home::key_home;
use crate::message::ToAgent;
use crate::routing::{Candidate, RoutingDecision, RoutingRequest};
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, RegionId};
use indexmap::IndexMap;

/// Outcome of choosing a backend server for a waiting request.
enum Selection {
    /// Send an attempt to this backend server.
    Backend(BackendServerId),
    /// Wait for a link that is being opened.
    Wait,
    /// No backend server can start the request before its deadline.
    NoneInTime { retry_at: UnixMs },
    /// No backend server can be reached.
    NoneReachable,
}

impl EntryCore {
    /// Sends every waiting request that is due and has a backend server, higher tiers first.
    pub(super) fn dispatch(&mut self, ctx: &mut EventContext<'_>) {
        let rows = self.waiting.iter().filter_map(|id| Some((*id, self.requests.get(id)?)));
        let due = rows.filter(|(_, row)| row.not_before.is_past(ctx.now));
        let mut due: Vec<(u8, RequestId)> = due.map(|(id, row)| (row.rank, id)).collect();
        due.sort_by_key(|(rank, _)| *rank);
        for (_, request) in due {
            self.dispatch_one(ctx, request);
        }
    }

    fn dispatch_one(&mut self, ctx: &mut EventContext<'_>, request: RequestId) {
        if self.is_expired(ctx, request) {
            return self.refuse_expired(ctx, request);
        }
        let targets = self.targets(ctx.now, request);
        self.open_links_to(ctx, request, &targets);
        match self.select(ctx.now, request, &targets) {
            Selection::Wait => {}
            Selection::Backend(backend_server) => self.submit(ctx, request, &backend_server),
            Selection::NoneInTime { retry_at } => {
                let detail = "no backend server can begin it in time".to_owned();
                self.give_up(ctx, request, RefusalCode::Overloaded, Some(retry_at), detail);
            }
            Selection::NoneReachable => {
                let detail = "no backend server of the route can be reached".to_owned();
                let retry_at = Some(ctx.now.after(RETRY_AFTER_MS));
                self.give_up(ctx, request, RefusalCode::NoBackend, retry_at, detail);
            }
        }
    }

    /// Returns the backend servers that a request may be sent to: the home of its idempotency key,
    /// or the entry's subset for the route.
    fn targets(&mut self, now: Now, request: RequestId) -> Vec<BackendServerId> {
        let (Some(row), Some(document)) = (self.requests.get(&request), self.document.clone())
        else {
            return Vec::new();
        };
        let Some(route) = document.route(row.route.as_str()) else { return Vec::new() };
        let route_backends = document.backends_of(&route.target);
        if let Some(key) = row.key
            && self.mechanisms.key_home_only
        {
            return key_home(&route_backends, key).cloned().into_iter().collect();
        }
        if let Some(known) = self.subsets.get(&route.id) {
            return known.clone();
        }
        let members = self.compute_subset(now, &route_backends);
        self.subsets.insert(route.id.clone(), members.clone());
        members
    }

    fn compute_subset(
        &self,
        now: Now,
        route_backends: &[&BackendServerId],
    ) -> Vec<BackendServerId> {
        let eligible: Vec<Eligible<'_>> = route_backends
            .iter()
            .copied()
            .filter(|one| self.accepts_work(now, one))
            .filter_map(|one| {
                let backend = self.backends.get(one)?;
                Some(Eligible {
                    backend_server: one,
                    failure_domain: &backend.failure_domain,
                    region: backend.region.as_ref(),
                })
            })
            .collect();
        let location = EntryLocation {
            incarnation: self.identity.incarnation,
            failure_domain: &self.identity.failure_domain,
            region: self.region(),
        };
        select_subset(location, &eligible)
    }

    fn region(&self) -> Option<&RegionId> {
        let domains = &self.document.as_ref()?.failure_domains;
        let own = domains.iter().find(|one| one.id == self.identity.failure_domain)?;
        Some(&own.region)
    }

    /// Returns whether a backend server accepts new attempts, whether or not a link to it is open.
    fn accepts_work(&self, now: Now, backend_server: &BackendServerId) -> bool {
        let Some(backend) = self.backends.get(backend_server) else { return false };
        let peer = backend.instance.as_ref().and_then(|instance| self.peers.get(instance));
        peer.is_some_and(|peer| !peer.leaving) && !backend.is_open(now)
    }

    /// Returns whether a link to a backend server's agent is active.
    fn is_linked(&self, backend_server: &BackendServerId) -> bool {
        let instance = self.backends.get(backend_server).and_then(|one| one.instance.as_ref());
        instance.and_then(|one| self.peers.get(one)).is_some_and(|peer| peer.active.is_some())
    }

    /// Returns whether a link to a backend server's agent is being opened and no earlier try
    /// failed.
    fn is_opening(&self, backend_server: &BackendServerId) -> bool {
        let instance = self.backends.get(backend_server).and_then(|one| one.instance.as_ref());
        let peer = instance.and_then(|one| self.peers.get(one));
        peer.is_some_and(|peer| peer.opening.is_some() && peer.failed_opens == 0)
    }

    /// Opens links to the first targets; each outstanding attempt and each earlier try of the
    /// request adds one.
    fn open_links_to(
        &mut self,
        ctx: &mut EventContext<'_>,
        request: RequestId,
        targets: &[BackendServerId],
    ) {
        let tries = self.requests.get(&request).map_or(0, |row| usize::from(row.tries));
        let instances: Vec<_> =
            targets.iter().filter_map(|one| self.backends.get(one)?.instance.clone()).collect();
        let peers = instances.iter().filter_map(|one| self.peers.get(one));
        let outstanding: usize = peers.map(|peer| peer.requests.len()).sum();
        let wanted = SUBSET_LINKS_MIN + tries + outstanding;
        for instance in instances.iter().take(wanted) {
            self.ensure_link(ctx, instance);
        }
    }

    fn select(&mut self, now: Now, request: RequestId, targets: &[BackendServerId]) -> Selection {
        let Some(row) = self.requests.get(&request) else { return Selection::Wait };
        let accepting = targets.iter().filter(|one| self.accepts_work(now, one));
        let (linked, unlinked): (Vec<_>, Vec<_>) = accepting.partition(|one| self.is_linked(one));
        let may_wait = !row.link_wait_until.is_past(now);
        let untried: Vec<_> =
            linked.iter().copied().filter(|one| !row.tried.contains(*one)).collect();
        if !untried.is_empty() {
            return self.choose_backend(now, request, &untried);
        }
        let untried_soon =
            unlinked.iter().any(|one| !row.tried.contains(*one) && self.is_opening(one));
        if may_wait && (untried_soon || (linked.is_empty() && !unlinked.is_empty())) {
            return Selection::Wait;
        }
        if linked.is_empty() {
            return Selection::NoneReachable;
        }
        self.choose_backend(now, request, &linked)
    }

    fn choose_backend(
        &mut self,
        now: Now,
        request: RequestId,
        linked: &[&BackendServerId],
    ) -> Selection {
        let Some(row) = self.requests.get(&request) else { return Selection::Wait };
        let (probes, normal): (Vec<_>, Vec<_>) =
            linked.iter().copied().partition(|one| self.standing(now, one) == Standing::Probe);
        let probe = probes.first().map(|one| (*one).clone());
        if let Some(probe) = probe
            && (normal.is_empty() || may_probe(row))
        {
            if let Some(backend) = self.backends.get_mut(&probe) {
                backend.health.probe_sent(now);
            }
            return Selection::Backend(probe);
        }
        let candidates: Vec<Candidate<'_>> = normal
            .iter()
            .filter_map(|one| candidate(&self.backends, &self.peers, now, one))
            .collect();
        let choice = RoutingRequest {
            rank: row.rank,
            deadline: row.deadline,
            entry_failure_domain: &self.identity.failure_domain,
            prefix_digest: row.prefix_digest,
            candidates: &candidates,
        };
        match self.policies.routing.choose(now, &choice) {
            RoutingDecision::Refuse { retry_at } => Selection::NoneInTime { retry_at },
            RoutingDecision::Candidate(index) => candidates
                .get(index)
                .or(candidates.first())
                .map_or(Selection::NoneReachable, |one| {
                    Selection::Backend(one.backend_server.clone())
                }),
        }
    }

    fn standing(&self, now: Now, backend_server: &BackendServerId) -> Standing {
        self.backends.get(backend_server).map_or(Standing::Open, |one| one.health.standing(now))
    }

    /// Submits an attempt to the agent of a backend server.
    fn submit(
        &mut self,
        ctx: &mut EventContext<'_>,
        request: RequestId,
        backend_server: &BackendServerId,
    ) {
        let instance = self.backends.get(backend_server).and_then(|one| one.instance.clone());
        let Some(instance) = instance else { return };
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        let (Some(link), Some(incarnation)) = (peer.active, peer.incarnation) else { return };
        let Some(row) = self.requests.get_mut(&request) else { return };
        let id = AttemptId { request, ordinal: row.tries };
        if let Err(violation) = self.guard.record_attempt(id, row.idempotent) {
            self.report_violation(ctx, &violation);
            let detail = "another attempt is not permitted".to_owned();
            return self.give_up(ctx, request, RefusalCode::Interrupted, None, detail);
        }
        if row.tries == 0 {
            self.policies.retries.record_first_try(ctx.now, &row.route);
        } else {
            self.counters.retried += 1;
        }
        self.counters.submitted += 1;
        row.tries = row.tries.saturating_add(1);
        row.tried.insert(backend_server.clone());
        let ack_due = peer.round_trip.ack_due(ctx.now);
        row.attempt = Some(Attempt {
            id,
            backend_server: backend_server.clone(),
            instance,
            incarnation,
            sent: ctx.now.unix_ms,
            progress: Progress::Submitted { ack_due },
            recover_until: None,
            reattach_due: ctx.now.after(STALL_MS),
            reattaches: 0,
            server_error: false,
            response: ResponseAssembly::default(),
        });
        peer.requests.insert(request);
        peer.sent_since_report += 1;
        let submit = row.submit_message(id, incarnation);
        self.waiting.shift_remove(&request);
        self.postpone_idle_close(ctx.now, link);
        self.schedule_wake(ack_due);
        ctx.send(link, ToAgent::Submit(Box::new(submit)));
    }
}

/// Returns whether a request may probe a failed backend server: only a first attempt of an
/// idempotent request, which can be retried elsewhere.
fn may_probe(row: &Request) -> bool {
    row.idempotent && row.tries == 0
}

fn candidate<'a>(
    backends: &'a IndexMap<BackendServerId, Backend>,
    peers: &'a IndexMap<InstanceId, Peer>,
    now: Now,
    backend_server: &'a BackendServerId,
) -> Option<Candidate<'a>> {
    let backend = backends.get(backend_server)?;
    let peer = peers.get(backend.instance.as_ref()?)?;
    let share_permille = match backend.health.standing(now) {
        Standing::Share(permille) => permille,
        Standing::Open | Standing::Probe => 0,
    };
    Some(Candidate {
        backend_server,
        failure_domain: &backend.failure_domain,
        load: peer.load.as_ref(),
        load_received: peer.load_received,
        outstanding: u32::try_from(peer.requests.len()).unwrap_or(u32::MAX),
        sent_since_report: peer.sent_since_report,
        slots: backend.slots,
        share_permille,
    })
}
