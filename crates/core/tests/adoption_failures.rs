//! Tests of the document exchange and the start gate when requests for documents fail.

use hickorycross_config::{BackendServerId, FailureDomainId, Stamp};
use hickorycross_core::adoption::{Exchange, ExchangeAction, Published, StartGate};
use hickorycross_core::{Instance, InstanceId, InstanceState, LinkId, Now, Role};

const REQUEST_TIMEOUT_MS: u64 = 500;
const CONFLICT_REPEAT_MS: u64 = 4_000;
const FIRST: LinkId = LinkId(1);
const SECOND: LinkId = LinkId(2);

fn newer_stamp() -> Stamp {
    published(2).stamp()
}

fn published(revision: u64) -> Published {
    let bytes = serde_json::json!({
        "schema_version": 1,
        "title": format!("revision {revision}"),
        "failure_domains": [{"id": "fd-a", "region": "r"}],
        "tiers": [{"id": "gold", "rank": 0, "first_chunk_target_ms": 500}],
        "teams": [{"id": "clerks", "tier": "gold", "key_hashes": ["0".repeat(64)],
                   "limit": {"requests_per_s": 1, "burst_requests": 1}}],
        "backend_servers": [{"id": "s-0", "failure_domain": "fd-a", "kind": "service", "slots": 1,
                             "queue_slots": 0}],
        "routes": [{"id": "read", "idempotent": true, "default_deadline_ms": 1000,
                    "target": {"service": {"path_prefix": "/r/", "backend_servers": ["s-0"]}},
                    "max_deadline_ms": 1000, "key_horizon_ms": 1000,
                    "retry_budget_permille": 0}],
        "balance": {"skew_weight": 1.0, "rebalance_cost_weight": 1.0,
                    "weight_store_bytes_per_s": 1}
    });
    hickorycross_config::parse(bytes.to_string().as_bytes()).expect("the document is valid");
    Published { revision, bytes: bytes.to_string().into_bytes().into() }
}

fn agent(number: u16) -> Instance {
    Instance {
        id: InstanceId::new(&format!("i-{number}")),
        role: Role::Agent { backend_server: BackendServerId::new(&format!("s-{number}")) },
        link_address: ([10, 0, 0, 1], 1_000 + number).into(),
        failure_domain: FailureDomainId::new("fd-a"),
        state: InstanceState::Live,
    }
}

fn requests(link: LinkId) -> Vec<ExchangeAction> {
    vec![ExchangeAction::Request { link }]
}

/// An event that must cause a second request.
struct Case {
    name: &'static str,
    event: fn(&mut Exchange) -> Vec<ExchangeAction>,
}

const CASES: &[Case] = &[
    Case {
        name: "the answer is lost",
        event: |exchange| exchange.tick(Now::at(REQUEST_TIMEOUT_MS)),
    },
    Case { name: "the link ends", event: |exchange| exchange.link_closed(Now::at(1), FIRST) },
];

// Guards against a process that stays on the old revision for ten seconds and more after a change,
// although all its peers have announced the new one. It requests the document from a starting
// process whose link closes before the answer. The other peers announce the revision only once,
// while that request is pending, so without a second request the process would wait for the next
// heartbeat.
#[test]
fn a_document_that_does_not_arrive_is_requested_from_another_peer() {
    for case in CASES {
        let mut exchange = Exchange::default();
        assert_eq!(
            exchange.learn_peer_stamp(Now::at(0), FIRST, newer_stamp()),
            requests(FIRST),
            "{}",
            case.name
        );
        assert_eq!(
            exchange.learn_peer_stamp(Now::at(1), SECOND, newer_stamp()),
            [],
            "{}",
            case.name
        );
        assert_eq!(exchange.tick(Now::at(2)), [], "{}", case.name);
        assert_eq!((case.event)(&mut exchange), requests(SECOND), "{}", case.name);
        let _ = exchange.offer(Now::at(REQUEST_TIMEOUT_MS), &published(2));
        assert_eq!(exchange.tick(Now::at(9 * REQUEST_TIMEOUT_MS)), [], "{}", case.name);
    }
}

// Guards against a new process that serves with a revision that the fleet left long ago. The
// platform is stale, and the process requests the newer revision from the first of two peers. If
// the start gate then closes the link to the second one and the first fails before it answers,
// nothing but the stale document is left.
#[test]
fn the_start_gate_keeps_every_newer_peer_until_its_document_arrives() {
    let mut exchange = Exchange::default();
    let mut gate = StartGate::new(InstanceId::new("own"), FIRST);
    assert_eq!(gate.update_instances(Now::at(0), &[agent(0), agent(1)]).len(), 2);
    let _ = exchange.offer(Now::at(0), &published(1));
    for link in [FIRST, SECOND] {
        let _ = exchange.learn_peer_stamp(Now::at(1), link, newer_stamp());
        gate.peer_answered(link);
        assert_eq!(gate.finish_peers(|link| exchange.awaits_document_from(link)), []);
    }
    gate.link_closed(FIRST);
    assert_eq!(exchange.link_closed(Now::at(2), FIRST), requests(SECOND));
    assert!(!gate.is_open(Now::at(2)), "the answer of the second peer is pending");
    let _ = exchange.peer_offer(Now::at(3), newer_stamp(), &published(2).bytes);
    assert_eq!(gate.finish_peers(|link| exchange.awaits_document_from(link)), [SECOND]);
    assert!(gate.is_open(Now::at(3)) && exchange.stamp() == newer_stamp());
}

// Guards against two processes that hold different contents of one revision without knowing the
// other's. The platform publishes a second content of a revision; a starting process adopts it and
// its peers keep theirs. This happens when stamps with the same revision and different digests are
// ignored.
#[test]
fn a_conflicting_document_is_fetched_and_reported() {
    let mut exchange = Exchange::default();
    let _ = exchange.offer(Now::at(0), &published(2));
    let conflicting = Published { revision: 2, ..published(3) };
    let learn_stamp = |exchange: &mut Exchange, at_ms| {
        exchange.learn_peer_stamp(Now::at(at_ms), FIRST, conflicting.stamp())
    };
    let reports_conflict = |actions: &[ExchangeAction]| {
        actions.iter().any(|action| matches!(action, ExchangeAction::Conflict(_)))
    };
    assert_eq!(
        learn_stamp(&mut exchange, 1),
        requests(FIRST),
        "the conflicting document is requested"
    );
    assert_eq!(learn_stamp(&mut exchange, 2), [], "it is requested only once");
    assert_eq!(
        learn_stamp(&mut exchange, 1 + CONFLICT_REPEAT_MS),
        requests(FIRST),
        "the request is repeated, as the answer may be lost"
    );
    let offered = exchange.peer_offer(
        Now::at(CONFLICT_REPEAT_MS + 5),
        conflicting.stamp(),
        &conflicting.bytes,
    );
    assert!(reports_conflict(&offered), "{offered:?}");
    assert_eq!(exchange.stamp(), published(2).stamp(), "the document in force stays");
    assert_eq!(
        learn_stamp(&mut exchange, CONFLICT_REPEAT_MS + 6),
        [],
        "it is not reported again at once"
    );
    assert!(
        reports_conflict(&learn_stamp(&mut exchange, 3 * CONFLICT_REPEAT_MS)),
        "it is still in force at the peer"
    );
    let _ = exchange.offer(Now::at(4 * CONFLICT_REPEAT_MS), &published(3));
    assert!(
        !reports_conflict(&learn_stamp(&mut exchange, 5 * CONFLICT_REPEAT_MS)),
        "a newer revision ends the conflict"
    );
}
