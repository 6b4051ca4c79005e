//! Documents, instance lists and health of backend servers.
//!
//! Each backend server is bound to the instance that gets its new attempts. Circuits that open or
//! close change which backend servers are eligible.

use crate::audit::Change;
use crate::entry::backend::Backend;
use crate::entry::core::EntryCore;
use crate::entry::event_context::EventContext;
use crate::entry::peer::Peer;
use crate::health::Signal;
use crate::ids::InstanceId;
use crate::instance::{Instance, InstanceState, Role};
use crate::message::ToAgent;
use hickorycross_config::{BackendServer, BackendServerId, Document, RegionId, Stamp};
use indexmap::IndexMap;
use std::sync::Arc;

impl EntryCore {
    pub(super) fn adopt_document(
        &mut self,
        ctx: &mut EventContext<'_>,
        stamp: Stamp,
        document: Arc<Document>,
    ) {
        self.policies.limits.adopt(ctx.now, &document);
        self.policies.routing.adopt(&document);
        self.policies.retries.adopt(&document);
        self.backends.retain(|id, _| document.backend(id.as_str()).is_some());
        for server in &document.backend_servers {
            let region = region_of(&document, server);
            let new_health_policy = &self.policies.health;
            let row = self.backends.entry(server.id.clone());
            row.or_insert_with(|| Backend::new(server, new_health_policy())).update(server, region);
        }
        self.holders.adopt(self.document.as_deref(), self.stamp, &document, stamp);
        self.stamp = stamp;
        ctx.stamp = stamp;
        self.document = Some(document);
        self.rebind_backends();
    }

    pub(super) fn apply_instance_list(&mut self, ctx: &mut EventContext<'_>, list: &[Instance]) {
        let entries = list.iter().filter(|one| is_live(one) && one.role == Role::Entry).count();
        let entries = u32::try_from(entries).unwrap_or(u32::MAX);
        self.policies.limits.set_entry_count(ctx.now, entries);
        self.holders.update_list(list);
        for peer in self.peers.values_mut() {
            peer.listed_live = false;
        }
        for instance in list {
            self.apply_instance(instance);
        }
        self.remove_unused_peers();
        self.rebind_backends();
    }

    fn apply_instance(&mut self, instance: &Instance) {
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

    /// Removes peers that the list does not name and that hold no attempts or links.
    fn remove_unused_peers(&mut self) {
        let holders = &self.holders;
        self.peers.retain(|instance, peer| {
            holders.is_listed(instance)
                || !peer.requests.is_empty()
                || peer.links().next().is_some()
        });
    }

    /// Binds each backend server to the instance that gets its new attempts.
    ///
    /// The instance list may lag and name an old instance beside its successor. An instance whose
    /// agent reported that it is leaving is skipped, and a binding that is still usable is kept.
    pub(super) fn rebind_backends(&mut self) {
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
    /// Signals about an instance that has been replaced are ignored, so that they do not count
    /// against its successor.
    pub(super) fn signal(
        &mut self,
        ctx: &mut EventContext<'_>,
        instance: &InstanceId,
        signal: Signal,
    ) {
        let Some(peer) = self.peers.get(instance) else { return };
        let backend_server = peer.backend_server.clone();
        let Some(backend) = self.backends.get_mut(&backend_server) else { return };
        if backend.instance.as_ref().is_some_and(|bound| bound != instance) {
            return;
        }
        backend.signal(ctx.now, signal);
        if signal == Signal::Failed {
            self.policies.routing.record_failure(ctx.now, &backend_server);
        }
        self.update_circuit(ctx, &backend_server);
    }

    /// Audits a circuit that opened or closed, and clears the cached subsets.
    fn update_circuit(&mut self, ctx: &mut EventContext<'_>, backend_server: &BackendServerId) {
        let Some(backend) = self.backends.get_mut(backend_server) else { return };
        let open = backend.is_open(ctx.now);
        if open == backend.circuit_open {
            return;
        }
        backend.circuit_open = open;
        let backend_server = backend_server.clone();
        let fault = backend.last_fault;
        self.subsets.clear();
        self.dispatch_due = true;
        ctx.audit(if open {
            let reason = fault.map_or_else(String::new, |signal| format!("{signal:?}"));
            Change::CircuitOpened { backend_server, reason }
        } else {
            Change::CircuitClosed { backend_server }
        });
    }

    /// Runs at every tick: checks for circuits that change with time, and sends due demand reports.
    pub(super) fn run_periodic(&mut self, ctx: &mut EventContext<'_>) {
        let backends: Vec<BackendServerId> = self.backends.keys().cloned().collect();
        for backend_server in &backends {
            self.update_circuit(ctx, backend_server);
        }
        for report in self.policies.limits.due_reports(ctx.now) {
            self.demands.insert(report.to.clone(), report.demands);
            self.report_demand(ctx, &report.to);
        }
        self.remove_unused_peers();
    }

    /// Sends a demand report, or opens a link on which it will be sent.
    fn report_demand(&mut self, ctx: &mut EventContext<'_>, to: &BackendServerId) {
        let instance = self.backends.get(to).and_then(|one| one.instance.clone());
        let Some(instance) = instance else {
            self.demands.swap_remove(to);
            return;
        };
        self.ensure_link(ctx, &instance);
        self.send_demand(ctx, to);
    }

    /// Sends the pending demand report of an agent, if there is one and a link is active.
    pub(super) fn send_demand(&mut self, ctx: &mut EventContext<'_>, to: &BackendServerId) {
        let instance = self.backends.get(to).and_then(|one| one.instance.as_ref());
        let Some(link) = instance.and_then(|one| self.peers.get(one)?.active) else { return };
        if let Some(demands) = self.demands.swap_remove(to) {
            self.postpone_idle_close(ctx.now, link);
            ctx.send(link, ToAgent::Demand(demands));
        }
    }
}

/// Returns, for each backend server, the usable instance with the fewest failures to open a link.
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
