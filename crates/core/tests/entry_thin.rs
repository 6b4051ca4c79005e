//! The shortest whole path of a request through an entry.

use bytes::Bytes;
use googletest::prelude::*;
use hickorycross_config::{
    BackendServerId, Digest, Document, FailureDomainId, Stamp, hash_api_key,
};
use hickorycross_core::entry::{
    Arrival, EntryAction, EntryCore, EntryEvent, EntryIdentity, EntryPolicies, Wanted,
};
use hickorycross_core::message::{AgentState, Load, RequestHead, ResponseHead, ToAgent, ToEntry};
use hickorycross_core::{
    AttemptId, Incarnation, Instance, InstanceId, InstanceState, LinkId, Now, RequestId, Role,
    UnixMs,
};
use std::sync::Arc;

fn document() -> Document {
    serde_json::from_value(serde_json::json!({
        "schema_version": 1,
        "title": "thin",
        "failure_domains": [{"id": "fd-a", "region": "r"}],
        "tiers": [{"id": "gold", "rank": 0, "first_chunk_target_ms": 500}],
        "teams": [{"id": "clerks", "tier": "gold", "key_hashes": [hash_api_key("secret")],
                   "limit": {"requests_per_s": 10, "burst_requests": 10}}],
        "backend_servers": [{"id": "case-1", "failure_domain": "fd-a", "kind": "service",
                             "slots": 4, "queue_slots": 8}],
        "routes": [{"id": "cases",
                    "target": {"service": {"path_prefix": "/cases/", "backend_servers": ["case-1"]}},
                    "idempotent": false, "default_deadline_ms": 1000, "max_deadline_ms": 5000,
                    "key_horizon_ms": 60000, "retry_budget_permille": 50}],
        "balance": {"skew_weight": 1.0, "rebalance_cost_weight": 1.0,
                    "weight_store_bytes_per_s": 1}
    }))
    .expect("the document is well formed")
}

#[gtest]
fn a_request_reaches_its_backend_server_and_its_answer_the_caller() {
    let identity =
        EntryIdentity { incarnation: Incarnation(1), failure_domain: FailureDomainId::new("fd-a") };
    let mut core = EntryCore::new(identity, EntryPolicies::plain(), 1);
    let mut actions = Vec::new();
    let now = Now::at(1_000);
    let stamp = Stamp { revision: 1, digest: Digest(1) };
    let document = Arc::new(document());
    core.handle(now, EntryEvent::Adopted { stamp, document }, &mut actions);
    let instance = Instance {
        id: InstanceId::new("i-1"),
        role: Role::Agent { backend_server: BackendServerId::new("case-1") },
        link_address: "127.0.0.1:7000".parse().expect("an address"),
        failure_domain: FailureDomainId::new("fd-a"),
        state: InstanceState::Live,
    };
    core.handle(now, EntryEvent::Instances(vec![instance]), &mut actions);
    let request = RequestId { entry: Incarnation(1), sequence: 0 };
    let arrival = Arrival {
        request,
        key_hash: hash_api_key("secret"),
        wanted: Wanted::Path("/cases/7".to_owned()),
        non_idempotent: false,
        idempotency_key: None,
        deadline: None,
        head: RequestHead {
            method: "GET".to_owned(),
            path: "/cases/7".to_owned(),
            headers: vec![],
        },
        body: Bytes::new(),
    };
    core.handle(now, EntryEvent::Arrived(Box::new(arrival)), &mut actions);
    let opened = actions.iter().find_map(|action| match action {
        EntryAction::OpenLink { link, .. } => Some(*link),
        _ => None,
    });
    expect_that!(opened, some(anything()));
    let link = opened.unwrap_or(LinkId(0));
    actions.clear();
    let backend_server = BackendServerId::new("case-1");
    let event = EntryEvent::LinkOpened { link, backend_server, incarnation: Incarnation(9) };
    core.handle(now, event, &mut actions);
    let submitted = actions.iter().any(|action| {
        matches!(action, EntryAction::Send { message: ToAgent::Submit(submit), .. }
            if submit.agent == Incarnation(9))
    });
    expect_true!(submitted);
    actions.clear();
    let attempt = AttemptId { request, ordinal: 0 };
    let load = Load {
        sampled: UnixMs(1_000),
        state: AgentState::Serving,
        running: 1,
        slots: 4,
        waiting: vec![],
        service_ms: 10,
    };
    let head = ResponseHead { status: 200, headers: vec![] };
    for message in [
        ToEntry::Accepted { attempt, load: load.clone() },
        ToEntry::Head { attempt, head: head.clone() },
        ToEntry::Chunk { attempt, index: 0, bytes: Bytes::from_static(b"whole") },
        ToEntry::End { attempt, chunk_count: 1, byte_count: 5, load },
    ] {
        core.handle(now, EntryEvent::Message { link, message }, &mut actions);
    }
    actions.retain(|action| !matches!(action, EntryAction::Send { .. }));
    expect_that!(
        actions,
        elements_are![
            eq(&EntryAction::Begin { request, head }),
            eq(&EntryAction::Chunk { request, bytes: Bytes::from_static(b"whole") }),
            eq(&EntryAction::Finish { request }),
        ]
    );
}
