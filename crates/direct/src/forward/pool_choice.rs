//! Chooses the pool of backend servers that a request is sent to or waits for.

use super::active_request::ActiveRequest;
use super::room::Room;
use crate::clock::boot_now;
use hickorycross_core::direct::{
    BootMs, PoolView, Selection, SendPermission, probes_beside_others,
};
use rand::RngExt;
use std::sync::Arc;

impl ActiveRequest {
    /// Chooses the pool of the request, and returns whether it may be sent there now as far as the
    /// availability of its group is concerned.
    ///
    /// While groups are unavailable, requests go to the others. A request is sent to an unavailable
    /// one as a probe if no group is available, or if the group rejects requests and the others have
    /// no room, otherwise only now and then.
    pub(super) fn choose_pool(
        &mut self,
        urgency: u8,
        entered_at: BootMs,
        now: BootMs,
    ) -> SendPermission {
        let pools = self.selectable_pools(now);
        if let [pool] = &pools[..] {
            self.pool = Arc::clone(pool);
            return self.send_permission(now);
        }
        let waited_for = Arc::clone(&self.pool);
        let views: Vec<PoolView> =
            pools.into_iter().map(|pool| self.view_pool(pool, urgency, entered_at, now)).collect();
        let draw = self.state.random.borrow_mut().random::<f64>();
        let chosen = self.state.pool_choice.borrow().choose(&views, &waited_for, now, draw);
        let Some(chosen) = chosen.map(|index| &views[index]) else {
            return self.permission_in_outage(&views, now);
        };
        let probes = !chosen.has_room || probes_beside_others(self.draw_for_probe());
        if probes && self.sends == 0 && self.may_retry() && self.probes_rejecting(&views, now) {
            return SendPermission::Probe;
        }
        self.pool = Arc::clone(&chosen.name);
        SendPermission::Allowed
    }

    /// Returns whether another pool than that of the request is available.
    pub(super) fn has_other_pool(&self) -> bool {
        if !self.state.backends.borrow().has_several_pools(&self.service) {
            return false;
        }
        let now = boot_now();
        let others = self.selectable_pools(now).into_iter().filter(|pool| **pool != *self.pool);
        others.into_iter().any(|pool| self.pool_back_at(&pool, now).is_none())
    }

    /// Returns the pools with a backend server that takes the request, or all if there is none.
    fn selectable_pools(&self, now: BootMs) -> Vec<Arc<str>> {
        let backends = self.state.backends.borrow();
        let pools = backends.pools(&self.service);
        if pools.len() == 1 {
            return pools;
        }
        let excluded_servers = self.excluded_servers();
        let domains = self.allowed_domains();
        let selection =
            Selection::new(&self.service, &excluded_servers).in_domains(domains.as_ref());
        let is_selectable = |pool: &&Arc<str>| backends.has_choice(&selection.in_pool(pool), now);
        let selectable: Vec<Arc<str>> = pools.iter().filter(is_selectable).cloned().collect();
        if selectable.is_empty() { pools } else { selectable }
    }

    /// Returns what is known of a pool.
    fn view_pool(
        &mut self,
        pool: Arc<str>,
        urgency: u8,
        entered_at: BootMs,
        now: BootMs,
    ) -> PoolView {
        let is_available = self.pool_back_at(&pool, now).is_none();
        self.pool = Arc::clone(&pool);
        let has_room = is_available && matches!(self.room(urgency, entered_at), Room::Now);
        let entries = self.state.live_entry_count() as f64;
        let backends = self.state.backends.borrow();
        let slots = backends.usable_slots(&pool, now);
        let passes = self.state.passes.borrow();
        PoolView {
            is_available,
            has_room,
            slots,
            servers: backends.ready_count(&pool, now),
            even_share: f64::from(slots) / entries,
            open_requests: backends.outstanding(&pool),
            not_begun: backends.not_begun(&pool),
            pass_ms: passes.get(&*pool).and_then(|passes| passes.mean_pass_ms(now)),
            name: pool,
        }
    }

    /// Returns whether the request is sent as a probe to a pool that rejects requests.
    fn probes_rejecting(&mut self, views: &[PoolView], now: BootMs) -> bool {
        for view in views.iter().filter(|view| !view.is_available) {
            self.pool = Arc::clone(&view.name);
            if self.availability(|availability| availability.is_rejecting())
                && self.may_probe()
                && self.send_permission(now) == SendPermission::Probe
            {
                return true;
            }
        }
        false
    }

    /// Returns whether the request is a probe while no pool is available, or when the first is
    /// expected back and the next probe is due.
    fn permission_in_outage(&mut self, views: &[PoolView], now: BootMs) -> SendPermission {
        let mut earliest: Option<(BootMs, BootMs)> = None;
        for view in views {
            self.pool = Arc::clone(&view.name);
            match self.send_permission(now) {
                SendPermission::Unavailable { expected_back_at, retry_at } => {
                    let known = earliest.unwrap_or((expected_back_at, retry_at));
                    earliest = Some((known.0.min(expected_back_at), known.1.min(retry_at)));
                }
                permission => return permission,
            }
        }
        match earliest {
            Some((expected_back_at, retry_at)) => {
                SendPermission::Unavailable { expected_back_at, retry_at }
            }
            None => SendPermission::Allowed,
        }
    }

    fn draw_for_probe(&self) -> f64 {
        self.state.random.borrow_mut().random()
    }
}
