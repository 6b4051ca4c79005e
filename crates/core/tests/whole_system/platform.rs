//! A stand-in for the platform: a configuration that can be stale or wrong, and a lagging list.

use crate::world::BACKENDS;
use hickorycross_config::{Stamp, hash_api_key, parse};
use hickorycross_core::Instance;
use hickorycross_core::adoption::Published;
use rand::RngExt;
use rand::seq::IndexedRandom as _;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

/// Backend servers of each route, where the document starts.
const SERVICE: [&str; 4] = ["s-0", "s-1", "s-2", "s-3"];
const MODEL: [&str; 3] = ["s-4", "s-5", "s-6"];
/// A key is remembered for so long.
pub(crate) const KEY_HORIZON_MS: u64 = 30_000;
pub(crate) const DEFAULT_DEADLINE_MS: u64 = 8_000;
pub(crate) const MAX_DEADLINE_MS: u64 = 15_000;

/// What the platform answers.
pub(crate) struct Platform {
    pub(crate) down: bool,
    /// Everything that was ever published, the latest last.
    published: Vec<Published>,
    /// What it serves; not the latest while it is stale.
    pub(crate) serves: usize,
    pub(crate) list_lag_ms: u64,
    lists: Vec<(u64, Vec<Instance>)>,
}

impl Platform {
    pub(crate) fn new() -> Self {
        let mut platform = Self {
            down: false,
            published: Vec::new(),
            serves: 0,
            list_lag_ms: 500,
            lists: Vec::new(),
        };
        platform.publish(&document(&SERVICE, 4, 1_000));
        platform
    }

    pub(crate) fn config(&self) -> Published {
        self.published[self.serves].clone()
    }

    /// The instance list as it was some time ago.
    pub(crate) fn list(&self, now_ms: u64) -> Vec<Instance> {
        let seen_ms = now_ms.saturating_sub(self.list_lag_ms);
        let known = self.lists.iter().rev().find(|(at_ms, _)| *at_ms <= seen_ms);
        known.or(self.lists.first()).map(|(_, list)| list.clone()).unwrap_or_default()
    }

    pub(crate) fn note_list(&mut self, now_ms: u64, list: Vec<Instance>) {
        self.lists.push((now_ms, list));
    }

    /// Publishes bytes under the next revision.
    pub(crate) fn publish(&mut self, document: &Value) {
        let highest = self.published.iter().map(|one| one.revision).max();
        let revision = highest.unwrap_or(0) + 1;
        let bytes = serde_json::to_vec(document).expect("JSON").into();
        self.published.push(Published { revision, bytes });
        self.serves = self.published.len() - 1;
    }

    /// Publishes another valid document: routes, slots and limits change.
    pub(crate) fn publish_change(&mut self, random: &mut ChaCha8Rng) -> Stamp {
        let first = random.random_range(0..SERVICE.len());
        let dropped = random.random_range(0..=1);
        let kept: Vec<&str> =
            SERVICE.iter().cycle().skip(first).take(SERVICE.len() - dropped).copied().collect();
        let slots = random.random_range(2..6);
        let limit = [1_000, 1_000, 50].choose(random).copied().unwrap_or(50);
        self.publish(&document(&kept, slots, limit));
        self.published[self.serves].stamp()
    }

    /// Publishes a document whose non-idempotent route is served by these backend servers.
    pub(crate) fn publish_service(&mut self, service: &[&str]) {
        self.publish(&document(service, 4, 1_000));
    }

    /// Serves the document before the present one, as a stale copy does.
    pub(crate) fn go_back_one(&mut self) {
        self.serves = self.serves.saturating_sub(1);
    }

    /// Publishes bytes that no process may adopt.
    pub(crate) fn publish_invalid(&mut self) {
        self.publish(&json!({"schema_version": 1}));
    }

    /// Serves the latest revision with another content.
    pub(crate) fn publish_conflict(&mut self) {
        let revision = self.published[self.serves].revision;
        let bytes = serde_json::to_vec(&document(&SERVICE[1..], 3, 900)).expect("JSON").into();
        self.published.push(Published { revision, bytes });
        self.serves = self.published.len() - 1;
    }

    /// Serves something older, as after a restore from a backup.
    pub(crate) fn go_back(&mut self) {
        self.serves = self.serves.saturating_sub(2);
    }
}

fn document(service: &[&str], slots: u32, limit: u32) -> Value {
    let server = |index: usize| {
        let kind = if index < SERVICE.len() { "service" } else { "engine" };
        let domain = ["fd-a", "fd-b", "fd-c"][index % 3];
        json!({"id": format!("s-{index}"), "failure_domain": domain, "kind": kind,
               "slots": slots, "queue_slots": 16})
    };
    let route = |id: &str, target: Value, idempotent: bool| {
        json!({"id": id, "target": target, "idempotent": idempotent,
               "default_deadline_ms": DEFAULT_DEADLINE_MS, "max_deadline_ms": MAX_DEADLINE_MS,
               "key_horizon_ms": KEY_HORIZON_MS, "retry_budget_permille": 300})
    };
    let under =
        |prefix: &str| json!({"service": {"path_prefix": prefix, "backend_servers": service}});
    let team = |id: &str, limit: u32| {
        json!({"id": id, "tier": id, "key_hashes": [hash_api_key(id)],
               "limit": {"requests_per_s": limit, "burst_requests": limit}})
    };
    let tier = |id: &str, rank: u8| json!({"id": id, "rank": rank, "first_chunk_target_ms": 500});
    let servers: Vec<Value> = (0..BACKENDS).map(server).collect();
    let value = json!({
        "schema_version": 1,
        "title": "whole system",
        "failure_domains": [{"id": "fd-a", "region": "r"}, {"id": "fd-b", "region": "r"},
                            {"id": "fd-c", "region": "r"}],
        "tiers": [tier("gold", 0), tier("silver", 1)],
        "teams": [team("gold", limit), team("silver", limit)],
        "backend_servers": servers,
        "model_groups": [{"id": "group", "models": ["reviewer"], "weights_version": "1",
                          "backend_servers": MODEL, "ranks_per_server": 1, "layers": 1,
                          "experts_per_layer": 3, "expert_bytes": 1, "expert_slots_per_rank": 1}],
        "routes": [route("lodge", under("/lodge/"), false), route("read", under("/read/"), true),
                   route("model", json!({"model": {"groups": ["group"]}}), true)],
        "balance": {"skew_weight": 1.0, "rebalance_cost_weight": 1.0,
                    "weight_store_bytes_per_s": 1}
    });
    let bytes = serde_json::to_vec(&value).expect("JSON");
    parse(&bytes).expect("the document is valid");
    value
}
