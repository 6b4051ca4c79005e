//! Documents that do not come at the first request: the exchange and the start gate of a process.

use hickorycross_config::{BackendServerId, FailureDomainId, Stamp};
use hickorycross_core::adoption::{Exchange, ExchangeAction, Published, StartGate};
use hickorycross_core::{Instance, InstanceId, InstanceState, LinkId, Now, Role};

const PATIENCE_MS: u64 = 500;
const RIVAL_PAUSE_MS: u64 = 4_000;
const FIRST: LinkId = LinkId(1);
const SECOND: LinkId = LinkId(2);

fn newer() -> Stamp {
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

fn asks(link: LinkId) -> Vec<ExchangeAction> {
    vec![ExchangeAction::Request { link }]
}

/// What brings the second request about.
struct Case {
    name: &'static str,
    happens: fn(&mut Exchange) -> Vec<ExchangeAction>,
}

const CASES: &[Case] = &[
    Case { name: "the answer is lost", happens: |exchange| exchange.tick(Now::at(PATIENCE_MS)) },
    Case { name: "the link ends", happens: |exchange| exchange.link_closed(Now::at(1), FIRST) },
];

// Symptom: one process stays on the old revision for ten seconds and more after a change, although
// all its peers have announced the new one.
// Sequence: a starting process greets it with the new revision; it asks there; the greeting link
// closes before the answer; its other peers announce the revision while it waits, and only once.
// Cause: nothing asked another peer when the answer did not come; the next heartbeat had to.
#[test]
fn a_document_that_does_not_come_is_asked_for_elsewhere() {
    for case in CASES {
        let mut exchange = Exchange::default();
        assert_eq!(
            exchange.learn_peer_stamp(Now::at(0), FIRST, newer()),
            asks(FIRST),
            "{}",
            case.name
        );
        assert_eq!(exchange.learn_peer_stamp(Now::at(1), SECOND, newer()), [], "{}", case.name);
        assert_eq!(exchange.tick(Now::at(2)), [], "{}", case.name);
        assert_eq!((case.happens)(&mut exchange), asks(SECOND), "{}", case.name);
        let _ = exchange.offer(Now::at(PATIENCE_MS), &published(2));
        assert_eq!(exchange.tick(Now::at(9 * PATIENCE_MS)), [], "{}", case.name);
    }
}

// Symptom: a new process serves on a revision that the whole fleet left long ago.
// Sequence: the platform is stale; the process hears two peers with the newer revision and asks
// the first; the link to the second is closed as settled; the first dies before it answers.
// Cause: the start gate took one pending request for enough and gave up the other peers.
#[test]
fn the_start_gate_keeps_every_peer_that_is_ahead_until_its_document_is_here() {
    let mut exchange = Exchange::default();
    let mut gate = StartGate::new(InstanceId::new("own"), FIRST);
    assert_eq!(gate.update_instances(Now::at(0), &[agent(0), agent(1)]).len(), 2);
    let _ = exchange.offer(Now::at(0), &published(1));
    for link in [FIRST, SECOND] {
        let _ = exchange.learn_peer_stamp(Now::at(1), link, newer());
        gate.peer_answered(link);
        assert_eq!(gate.finish_peers(|link| exchange.awaits_document_from(link)), []);
    }
    gate.link_closed(FIRST);
    assert_eq!(exchange.link_closed(Now::at(2), FIRST), asks(SECOND));
    assert!(!gate.is_open(Now::at(2)), "the second peer is still to answer");
    let _ = exchange.peer_offer(Now::at(3), newer(), &published(2).bytes);
    assert_eq!(gate.finish_peers(|link| exchange.awaits_document_from(link)), [SECOND]);
    assert!(gate.is_open(Now::at(3)) && exchange.stamp() == newer());
}

// Symptom: two processes hold distinct contents of one revision, and neither knows the other's.
// Sequence: the platform publishes a second content of a revision; a process that starts takes it,
// and its peers keep what they hold.
// Cause: stamps of one revision with distinct digests were taken for nothing to do.
#[test]
fn another_content_of_the_revision_in_force_is_fetched_and_told() {
    let mut exchange = Exchange::default();
    let _ = exchange.offer(Now::at(0), &published(2));
    let rival = Published { revision: 2, ..published(3) };
    let heard = |exchange: &mut Exchange, at_ms| {
        exchange.learn_peer_stamp(Now::at(at_ms), FIRST, rival.stamp())
    };
    let told = |actions: &[ExchangeAction]| {
        actions.iter().any(|action| matches!(action, ExchangeAction::ConflictingDocument(_)))
    };
    assert_eq!(heard(&mut exchange, 1), asks(FIRST), "it is fetched");
    assert_eq!(heard(&mut exchange, 2), [], "once");
    assert_eq!(heard(&mut exchange, 1 + RIVAL_PAUSE_MS), asks(FIRST), "the answer may be lost");
    let offered = exchange.peer_offer(Now::at(RIVAL_PAUSE_MS + 5), rival.stamp(), &rival.bytes);
    assert!(told(&offered), "{offered:?}");
    assert_eq!(exchange.stamp(), published(2).stamp(), "what is in force stays");
    assert_eq!(heard(&mut exchange, RIVAL_PAUSE_MS + 6), [], "no peer tells more often");
    assert!(told(&heard(&mut exchange, 3 * RIVAL_PAUSE_MS)), "it is in force there still");
    let _ = exchange.offer(Now::at(4 * RIVAL_PAUSE_MS), &published(3));
    assert!(!told(&heard(&mut exchange, 5 * RIVAL_PAUSE_MS)), "a newer revision ends it");
}
