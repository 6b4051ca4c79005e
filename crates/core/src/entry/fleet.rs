//! Documents and instance lists: which backend servers there are and where they run.

use crate::audit::Change;
use crate::entry::backend::Backend;
use crate::entry::core::EntryCore;
use crate::entry::peer::Peer;
use crate::entry::turn::Turn;
use crate::health::Signal;
use crate::ids::InstanceId;
use crate::instance::{Instance, InstanceState, Role};
use crate::message::ToAgent;
use hickorycross_config::{BackendServer, BackendServerId, Document, RegionId, Stamp};
use indexmap::IndexMap;
use std::sync::Arc;

impl EntryCore {
    pub(super) fn adopt(&mut self, turn: &mut Turn<'_>, stamp: Stamp, document: Arc<Document>) {
        self.policies.limits.adopt(turn.now, &document);
        self.policies.routing.adopt(&document);
        self.policies.retries.adopt(&document);
        self.backends.retain(|id, _| document.backend(id.as_str()).is_some());
        for server in &document.backend_servers {
            let region = region_of(&document, server);
            let new_health_policy = &self.policies.health;
            let row = self.backends.entry(server.id.clone());
            row.or_insert_with(|| Backend::new(server, new_health_policy())).update(server, region);
        }
        self.stamp = stamp;
        turn.stamp = stamp;
        self.document = Some(document);
        self.rebind();
    }

    pub(super) fn learn_instances(&mut self, turn: &mut Turn<'_>, list: &[Instance]) {
        let entries = list.iter().filter(|one| is_live(one) && one.role == Role::Entry).count();
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        self.policies.limits.set_entry_count(turn.now, entries);
        for peer in self.peers.values_mut() {
            peer.listed_live = false;
        }
        for instance in list {
            self.learn_instance(instance);
        }
        self.forget_peers();
        self.rebind();
    }

    fn learn_instance(&mut self, instance: &Instance) {
        let Role::Agent { backend_server } = &instance.role else { return };
        let peer = self
            .peers
            .entry(instance.id.clone())
            .or_insert_with(|| Peer::new(backend_server.clone(), instance.link_address));
        peer.address = instance.link_address;
        if peer.requests.is_empty() && peer.links().next().is_none() {
            peer.backend_server = backend_server.clone();
        }
        peer.listed_live = is_live(instance) && peer.backend_server == *backend_server;
    }

    /// Peers that the list no longer names and that hold nothing of ours.
    fn forget_peers(&mut self) {
        self.peers.retain(|_, peer| {
            peer.listed_live || !peer.requests.is_empty() || peer.links().next().is_some()
        });
    }

    /// Binds each backend server to the instance that gets its new work.
    ///
    /// The list lags: an old instance may still be named beside its successor. One that said it
    /// leaves is left out, and a binding that still holds is kept.
    pub(super) fn rebind(&mut self) {
        self.subsets.clear();
        self.dispatch_due = true;
        let best = best_hosts(&self.peers);
        for (id, backend) in &mut self.backends {
            let held = backend.instance.as_ref().and_then(|one| self.peers.get(one));
            if held.is_some_and(|peer| peer.is_usable() && peer.failed_opens == 0) {
                continue;
            }
            backend.instance = best.get(id).map(|one| (*one).clone());
        }
    }

    /// Passes a signal about an instance to the health policy of its backend server.
    ///
    /// Signals about an instance that has a successor already must not count against that one.
    pub(super) fn signal(&mut self, turn: &mut Turn<'_>, instance: &InstanceId, signal: Signal) {
        let Some(peer) = self.peers.get(instance) else { return };
        let backend_server = peer.backend_server.clone();
        let Some(backend) = self.backends.get_mut(&backend_server) else { return };
        if backend.instance.as_ref().is_some_and(|bound| bound != instance) {
            return;
        }
        backend.signal(turn.now, signal);
        if signal == Signal::Failed {
            self.policies.routing.record_failure(turn.now, &backend_server);
        }
        self.note_circuit(turn, &backend_server);
    }

    /// Records a circuit that opened or closed; the subsets follow.
    fn note_circuit(&mut self, turn: &mut Turn<'_>, backend_server: &BackendServerId) {
        let Some(backend) = self.backends.get_mut(backend_server) else { return };
        let open = backend.is_open(turn.now);
        if open == backend.circuit_open {
            return;
        }
        backend.circuit_open = open;
        let backend_server = backend_server.clone();
        let fault = backend.last_fault;
        self.subsets.clear();
        self.dispatch_due = true;
        turn.audit(if open {
            let reason = fault.map_or_else(String::new, |signal| format!("{signal:?}"));
            Change::CircuitOpened { backend_server, reason }
        } else {
            Change::CircuitClosed { backend_server }
        });
    }

    /// What is looked at a few times a second: circuits that change with time, demand reports.
    pub(super) fn run_periodic(&mut self, turn: &mut Turn<'_>) {
        let backends: Vec<BackendServerId> = self.backends.keys().cloned().collect();
        for backend_server in &backends {
            self.note_circuit(turn, backend_server);
        }
        for report in self.policies.limits.due_reports(turn.now) {
            self.demands.insert(report.to.clone(), report.demands);
            self.report_demand(turn, &report.to);
        }
        self.forget_peers();
    }

    /// Sends a demand report, or opens the link that it needs.
    fn report_demand(&mut self, turn: &mut Turn<'_>, to: &BackendServerId) {
        let instance = self.backends.get(to).and_then(|one| one.instance.clone());
        let Some(instance) = instance else {
            self.demands.swap_remove(to);
            return;
        };
        self.ensure_link(turn, &instance);
        self.send_demand(turn, to);
    }

    /// Sends the latest demand report for an agent whose link is up.
    pub(super) fn send_demand(&mut self, turn: &mut Turn<'_>, to: &BackendServerId) {
        let instance = self.backends.get(to).and_then(|one| one.instance.as_ref());
        let Some(link) = instance.and_then(|one| self.peers.get(one)?.active) else { return };
        if let Some(demands) = self.demands.swap_remove(to) {
            self.touch_link(turn.now, link);
            turn.send(link, ToAgent::Demand(demands));
        }
    }
}

/// The instance of each backend server that is easiest to reach, among those that take work.
fn best_hosts(peers: &IndexMap<InstanceId, Peer>) -> IndexMap<&BackendServerId, &InstanceId> {
    let mut best: IndexMap<&BackendServerId, &InstanceId> = IndexMap::new();
    for (instance, peer) in peers.iter().filter(|(_, peer)| peer.is_usable()) {
        let held = best.entry(&peer.backend_server).or_insert(instance);
        if peer.failed_opens < peers[*held].failed_opens {
            *held = instance;
        }
    }
    best
}

fn is_live(instance: &Instance) -> bool {
    instance.state == InstanceState::Live
}

fn region_of(document: &Document, server: &BackendServer) -> Option<RegionId> {
    let domain = document.failure_domains.iter().find(|one| one.id == server.failure_domain)?;
    Some(domain.region.clone())
}
