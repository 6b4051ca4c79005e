//! Sending waiting requests to backend servers.

use crate::entry::answer::Answer;
use crate::entry::backend::Backend;
use crate::entry::border::RefusalCode;
use crate::entry::constants::{COME_BACK_MS, QUIET_MS, SUBSET_LINKS_MIN};
use crate::entry::core::EntryCore;
use crate::entry::peer::Peer;
use crate::entry::request::{Attempt, Progress, Request};
use crate::entry::subset::{Eligible, Place, subset};
use crate::entry::turn::Turn;
use crate::health::Standing;
use crate::ids::{AttemptId, InstanceId, RequestId};
use crate::key_home::key_home;
use crate::message::ToAgent;
use crate::routing::{Candidate, RoutingDecision, RoutingRequest};
use crate::time::{Now, UnixMs};
use hickorycross_config::{BackendServerId, RegionId};
use indexmap::IndexMap;

/// What is to be done with a waiting request now.
enum Selected {
    /// Send it there.
    Backend(BackendServerId),
    /// A link is about to open.
    Wait,
    /// None can begin it in time.
    NoneInTime { retry_at: UnixMs },
    /// None can be reached.
    Nobody,
}

impl EntryCore {
    /// Sends every waiting request that can go, higher tiers first.
    pub(super) fn dispatch(&mut self, turn: &mut Turn<'_>) {
        let rows = self.waiting.iter().filter_map(|id| Some((*id, self.requests.get(id)?)));
        let due = rows.filter(|(_, row)| row.not_before.is_past(turn.now));
        let mut due: Vec<(u8, RequestId)> = due.map(|(id, row)| (row.rank, id)).collect();
        due.sort_by_key(|(rank, _)| *rank);
        for (_, request) in due {
            self.dispatch_one(turn, request);
        }
    }

    fn dispatch_one(&mut self, turn: &mut Turn<'_>, request: RequestId) {
        if self.is_expired(turn, request) {
            return self.expire(turn, request);
        }
        let targets = self.targets(turn.now, request);
        self.open_towards(turn, request, &targets);
        match self.select(turn.now, request, &targets) {
            Selected::Wait => {}
            Selected::Backend(backend_server) => self.submit(turn, request, &backend_server),
            Selected::NoneInTime { retry_at } => {
                let detail = "no backend server can begin it in time".to_owned();
                self.give_up(turn, request, RefusalCode::Overloaded, Some(retry_at), detail);
            }
            Selected::Nobody => {
                let detail = "no backend server of the route can be reached".to_owned();
                let retry_at = Some(turn.now.after(COME_BACK_MS));
                self.give_up(turn, request, RefusalCode::NoBackend, retry_at, detail);
            }
        }
    }

    /// The backend servers that a request may go to: the home of its key, or the entry's subset.
    fn targets(&mut self, now: Now, request: RequestId) -> Vec<BackendServerId> {
        let (Some(row), Some(document)) = (self.requests.get(&request), self.document.clone())
        else {
            return Vec::new();
        };
        let Some(route) = document.route(row.route.as_str()) else { return Vec::new() };
        let named = document.backends_of(&route.target);
        if let Some(key) = row.key
            && self.mechanisms.key_home_only
        {
            return key_home(&named, key).cloned().into_iter().collect();
        }
        if let Some(known) = self.subsets.get(&route.id) {
            return known.clone();
        }
        let members = self.work_out_subset(now, &named);
        self.subsets.insert(route.id.clone(), members.clone());
        members
    }

    fn work_out_subset(&self, now: Now, named: &[&BackendServerId]) -> Vec<BackendServerId> {
        let eligible: Vec<Eligible<'_>> = named
            .iter()
            .copied()
            .filter(|one| self.takes_work(now, one))
            .filter_map(|one| {
                let backend = self.backends.get(one)?;
                Some(Eligible {
                    backend_server: one,
                    failure_domain: &backend.failure_domain,
                    region: backend.region.as_ref(),
                })
            })
            .collect();
        let place = Place {
            incarnation: self.identity.incarnation,
            failure_domain: &self.identity.failure_domain,
            region: self.region(),
        };
        subset(place, &eligible)
    }

    fn region(&self) -> Option<&RegionId> {
        let domains = &self.document.as_ref()?.failure_domains;
        let own = domains.iter().find(|one| one.id == self.identity.failure_domain)?;
        Some(&own.region)
    }

    /// Whether a backend server may get new work, link or not.
    fn takes_work(&self, now: Now, backend_server: &BackendServerId) -> bool {
        let Some(backend) = self.backends.get(backend_server) else { return false };
        let peer = backend.instance.as_ref().and_then(|instance| self.peers.get(instance));
        peer.is_some_and(|peer| !peer.leaving) && !backend.is_open(now)
    }

    /// Whether a link to a backend server is in use.
    fn is_linked(&self, backend_server: &BackendServerId) -> bool {
        let instance = self.backends.get(backend_server).and_then(|one| one.instance.as_ref());
        instance.and_then(|one| self.peers.get(one)).is_some_and(|peer| peer.active.is_some())
    }

    /// Whether a first try to open a link to a backend server is under way.
    fn is_opening(&self, backend_server: &BackendServerId) -> bool {
        let instance = self.backends.get(backend_server).and_then(|one| one.instance.as_ref());
        let peer = instance.and_then(|one| self.peers.get(one));
        peer.is_some_and(|peer| peer.opening.is_some() && peer.failed_opens == 0)
    }

    /// Opens links towards the first targets, more of them the more is outstanding there.
    fn open_towards(
        &mut self,
        turn: &mut Turn<'_>,
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
            self.ensure_link(turn, instance);
        }
    }

    fn select(&mut self, now: Now, request: RequestId, targets: &[BackendServerId]) -> Selected {
        let Some(row) = self.requests.get(&request) else { return Selected::Wait };
        let takers = targets.iter().filter(|one| self.takes_work(now, one));
        let (linked, unlinked): (Vec<_>, Vec<_>) = takers.partition(|one| self.is_linked(one));
        let may_wait = !row.link_wait.is_past(now);
        let untried: Vec<_> =
            linked.iter().copied().filter(|one| !row.tried.contains(*one)).collect();
        if !untried.is_empty() {
            return self.choose(now, request, &untried);
        }
        let untried_soon =
            unlinked.iter().any(|one| !row.tried.contains(*one) && self.is_opening(one));
        if may_wait && (untried_soon || (linked.is_empty() && !unlinked.is_empty())) {
            return Selected::Wait;
        }
        if linked.is_empty() {
            return Selected::Nobody;
        }
        self.choose(now, request, &linked)
    }

    fn choose(&mut self, now: Now, request: RequestId, linked: &[&BackendServerId]) -> Selected {
        let Some(row) = self.requests.get(&request) else { return Selected::Wait };
        let (probes, normal): (Vec<_>, Vec<_>) =
            linked.iter().copied().partition(|one| self.standing(now, one) == Standing::Probe);
        let probe = probes.first().map(|one| (*one).clone());
        if let Some(probe) = probe
            && (normal.is_empty() || may_probe(row))
        {
            if let Some(backend) = self.backends.get_mut(&probe) {
                backend.health.probe_sent(now);
            }
            return Selected::Backend(probe);
        }
        let candidates: Vec<Candidate<'_>> = normal
            .iter()
            .filter_map(|one| candidate(&self.backends, &self.peers, now, one))
            .collect();
        let choice = RoutingRequest {
            rank: row.rank,
            deadline: row.deadline,
            entry_failure_domain: &self.identity.failure_domain,
            prefix_digest: row.prefix,
            candidates: &candidates,
        };
        match self.policies.routing.choose(now, &choice) {
            RoutingDecision::Refuse { retry_at } => Selected::NoneInTime { retry_at },
            RoutingDecision::Candidate(index) => candidates
                .get(index)
                .or(candidates.first())
                .map_or(Selected::Nobody, |one| Selected::Backend(one.backend_server.clone())),
        }
    }

    fn standing(&self, now: Now, backend_server: &BackendServerId) -> Standing {
        self.backends.get(backend_server).map_or(Standing::Open, |one| one.health.standing(now))
    }

    /// Hands a request to the agent of a backend server.
    fn submit(
        &mut self,
        turn: &mut Turn<'_>,
        request: RequestId,
        backend_server: &BackendServerId,
    ) {
        let instance = self.backends.get(backend_server).and_then(|one| one.instance.clone());
        let Some(instance) = instance else { return };
        let Some(peer) = self.peers.get_mut(&instance) else { return };
        let (Some(link), Some(incarnation)) = (peer.active, peer.incarnation) else { return };
        let Some(row) = self.requests.get_mut(&request) else { return };
        let id = AttemptId { request, ordinal: row.tries };
        if let Err(violation) = self.ledger.submit(id, row.idempotent) {
            self.violated(turn, &violation);
            let detail = "another attempt is not permitted".to_owned();
            return self.give_up(turn, request, RefusalCode::Interrupted, None, detail);
        }
        if row.tries == 0 {
            self.policies.retries.record_first_try(turn.now, &row.route);
        } else {
            self.counters.retried += 1;
        }
        self.counters.submitted += 1;
        row.tries = row.tries.saturating_add(1);
        row.tried.insert(backend_server.clone());
        let ack_due = peer.round_trip.ack_due(turn.now);
        row.attempt = Some(Attempt {
            id,
            backend_server: backend_server.clone(),
            instance,
            incarnation,
            sent: turn.now.unix_ms,
            progress: Progress::Submitted { ack_due },
            recover_until: None,
            quiet: turn.now.after(QUIET_MS),
            reattaches: 0,
            server_error: false,
            answer: Answer::default(),
        });
        peer.requests.insert(request);
        peer.sent_since_report += 1;
        let submit = row.submit(id, incarnation);
        self.waiting.shift_remove(&request);
        self.touch_link(turn.now, link);
        self.wake_by(ack_due);
        turn.send(link, ToAgent::Submit(Box::new(submit)));
    }
}

/// Whether a request may probe a backend server that failed: one that can be tried elsewhere.
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
