//! Tests of the routing policy for given load reports and measurements, in virtual time.

use googletest::prelude::*;
use hickorycross_config::{BackendServerId, FailureDomainId};
use hickorycross_core::message::{AgentState, Load, TierWaiting};
use hickorycross_core::routing::{
    Candidate, LeastOutstanding, RoundRobin, RoutingDecision, RoutingPolicy, RoutingRequest,
    TwoChoices,
};
use hickorycross_core::{Now, UnixMs};

const START: Now = Now::at(1_000_000);
const SLOTS: u32 = 8;
const SERVICE_MS: u32 = 400;
const DRAWS: usize = 4000;

/// One backend server as an entry sees it.
#[derive(Clone, Debug)]
struct Server {
    id: BackendServerId,
    domain: FailureDomainId,
    load: Load,
    received: UnixMs,
    outstanding: u32,
    sent_since_report: u32,
    share_permille: u16,
}

impl Server {
    fn new(index: usize, running: u32) -> Self {
        Self {
            id: BackendServerId::new(&format!("runner-{index}")),
            domain: FailureDomainId::new(&format!("domain-{}", index % 2)),
            load: load(START.unix_ms, running, &[]),
            received: START.unix_ms,
            outstanding: 0,
            sent_since_report: 0,
            share_permille: 1000,
        }
    }

    fn waiting(mut self, rank: u8, requests: u32) -> Self {
        self.load.waiting.push(TierWaiting { rank, requests });
        self
    }

    fn share(mut self, share_permille: u16) -> Self {
        self.share_permille = share_permille;
        self
    }

    fn candidate(&self) -> Candidate<'_> {
        Candidate {
            backend_server: &self.id,
            failure_domain: &self.domain,
            load: Some(&self.load),
            load_received: self.received,
            outstanding: self.outstanding,
            sent_since_report: self.sent_since_report,
            slots: SLOTS,
            share_permille: self.share_permille,
        }
    }
}

fn load(sampled: UnixMs, running: u32, waiting: &[TierWaiting]) -> Load {
    Load {
        sampled,
        state: AgentState::Serving,
        running,
        slots: SLOTS,
        waiting: waiting.to_vec(),
        service_ms: SERVICE_MS,
    }
}

fn servers(running: &[u32]) -> Vec<Server> {
    running.iter().enumerate().map(|(index, running)| Server::new(index, *running)).collect()
}

/// The properties of a request to route.
#[derive(Clone, Copy, Debug)]
struct TestRequest {
    rank: u8,
    slack_ms: u64,
    entry_failure_domain: &'static str,
    prefix: Option<u64>,
}

const DEFAULT_REQUEST: TestRequest =
    TestRequest { rank: 0, slack_ms: 2000, entry_failure_domain: "elsewhere", prefix: None };

fn choose(
    policy: &mut dyn RoutingPolicy,
    now: Now,
    servers: &[Server],
    request: TestRequest,
) -> RoutingDecision {
    let candidates: Vec<Candidate<'_>> = servers.iter().map(Server::candidate).collect();
    let routing_request = RoutingRequest {
        rank: request.rank,
        deadline: now.after(request.slack_ms),
        entry_failure_domain: &FailureDomainId::new(request.entry_failure_domain),
        prefix_digest: request.prefix,
        candidates: &candidates,
    };
    policy.choose(now, &routing_request)
}

/// Returns how often each server is chosen, in thousandths of all draws.
fn decisions_permille(
    policy: &mut dyn RoutingPolicy,
    servers: &[Server],
    request: TestRequest,
) -> Vec<usize> {
    let mut picks = vec![0; servers.len()];
    for _ in 0..DRAWS {
        if let RoutingDecision::Candidate(index) = choose(policy, START, servers, request) {
            picks[index] += 1;
        }
    }
    picks.into_iter().map(|count| count * 1000 / DRAWS).collect()
}

fn policy_after_samples(seed: u64, first_chunk_ms: &[u64], servers: &[Server]) -> TwoChoices {
    let mut policy = TwoChoices::new(seed);
    for _ in 0..20 {
        for (server, first_chunk_ms) in servers.iter().zip(first_chunk_ms) {
            policy.record_first_chunk(START, &server.id, *first_chunk_ms);
        }
    }
    policy
}

struct PickCase {
    name: &'static str,
    servers: Vec<Server>,
    request: TestRequest,
    /// Index of a server, with the lowest and highest permitted share of requests in thousandths.
    bounds: Vec<(usize, usize, usize)>,
}

#[googletest::test]
fn requests_follow_load_failure_domain_and_share() {
    let near = TestRequest { entry_failure_domain: "domain-0", ..DEFAULT_REQUEST };
    let cases = vec![
        PickCase {
            name: "equal servers share evenly",
            servers: servers(&[4, 4, 4, 4]),
            request: DEFAULT_REQUEST,
            bounds: (0..4).map(|index| (index, 150, 350)).collect(),
        },
        PickCase {
            name: "a full server gets nothing while another one has room",
            servers: servers(&[8, 0]),
            request: DEFAULT_REQUEST,
            bounds: vec![(0, 0, 0)],
        },
        PickCase {
            name: "servers in the entry's failure domain first",
            servers: servers(&[3, 0, 3, 0]),
            request: near,
            bounds: vec![(1, 0, 0), (3, 0, 0)],
        },
        PickCase {
            name: "other failure domains once that one is full",
            servers: servers(&[8, 0, 8, 0]),
            request: near,
            bounds: vec![(0, 0, 0), (2, 0, 0)],
        },
        PickCase {
            name: "a share of 10% yields at most 10% of an even part",
            servers: vec![
                Server::new(0, 0).share(100),
                Server::new(1, 4),
                Server::new(2, 4),
                Server::new(3, 4),
                Server::new(4, 4),
            ],
            request: DEFAULT_REQUEST,
            bounds: vec![(0, 1, 60)],
        },
        PickCase {
            name: "reduced shares of all servers are not an outage",
            servers: vec![Server::new(0, 0).share(100), Server::new(1, 0).share(300)],
            request: DEFAULT_REQUEST,
            bounds: vec![(0, 150, 450), (1, 550, 850)],
        },
    ];
    for case in cases {
        let picks = decisions_permille(&mut TwoChoices::new(7), &case.servers, case.request);
        for (index, lowest, highest) in case.bounds {
            expect_that!(picks[index], ge(lowest), "{} {index}", case.name);
            expect_that!(picks[index], le(highest), "{} {index}", case.name);
        }
    }
}

// Guards against a backend server that fails every attempt and attracts nearly all requests: as it
// fails within a millisecond it always has the least load, so load alone must not decide.
#[googletest::test]
fn a_server_that_fails_fast_attracts_no_requests() {
    let servers = servers(&[0, 4, 4, 4]);
    let mut policy = policy_after_samples(3, &[80, 80, 80, 80], &servers);
    let before = decisions_permille(&mut policy, &servers, DEFAULT_REQUEST);
    expect_that!(before[0], ge(900), "an idle and healthy server is the best");
    for _ in 0..8 {
        policy.record_failure(START, &servers[0].id);
    }
    let after = decisions_permille(&mut policy, &servers, DEFAULT_REQUEST);
    expect_that!(after[0], le(10));
    let baseline = decisions_permille(&mut LeastOutstanding::default(), &servers, DEFAULT_REQUEST);
    expect_that!(baseline[0], ge(200), "the baseline continues to use it");
}

// Guards against a slow backend server that gets as many requests as the others, because its load
// reports look the same and measured latency is ignored. Also guards against never using it again
// after it recovers, because old measurements do not decay.
#[googletest::test]
fn a_slow_server_gets_less_and_is_tried_again_later() {
    let servers = servers(&[2, 2, 2, 2]);
    let mut policy = policy_after_samples(3, &[800, 80, 80, 80], &servers);
    expect_that!(decisions_permille(&mut policy, &servers, DEFAULT_REQUEST)[0], le(10));
    let baseline = decisions_permille(&mut RoundRobin::default(), &servers, DEFAULT_REQUEST);
    expect_that!(baseline[0], eq(250), "the baseline sends it an even share");
    let later = Now::at(START.unix_ms.0 + 12_000);
    let picked = (0..400)
        .filter(|_| {
            choose(&mut policy, later, &servers, DEFAULT_REQUEST) == RoutingDecision::Candidate(0)
        })
        .count();
    expect_that!(picked, ge(40));
}

// Guards against queues that oscillate between empty and full although each entry chooses the
// shortest one. Reports are a second old, one server seems empty, and all entries send it every
// request until its next report.
#[googletest::test]
fn old_reports_do_not_send_all_entries_to_one_server() {
    let old = UnixMs(START.unix_ms.0 - 900);
    let mut stale = servers(&[0, 6, 6, 6, 6, 6, 6, 6]);
    for server in &mut stale {
        server.received = old;
        server.load.sampled = old;
    }
    let drawn = |servers: &[Server]| {
        let picks = |seed| choose(&mut TwoChoices::new(seed), START, servers, DEFAULT_REQUEST);
        (0..400).filter(|&seed| picks(seed) == RoutingDecision::Candidate(0)).count()
    };
    expect_that!(drawn(&stale), le(140));
    let fresh = servers(&[0, 6, 6, 6, 6, 6, 6, 6]);
    expect_that!(drawn(&fresh), eq(400), "fresh reports are followed");
}

/// Whether a request is sent rather than refused.
fn is_sent(pick: RoutingDecision) -> bool {
    matches!(pick, RoutingDecision::Candidate(_))
}

struct AdmissionCase {
    name: &'static str,
    /// Waiting requests of ranks 0 and 2 at every server.
    waiting: (u32, u32),
    /// Requests of ranks 0 and 2 that have started recently.
    started: (u32, u32),
    rank: u8,
    slack_ms: u64,
    sent: bool,
}

// Guards against low tiers that wait until their deadline and expire, and against refusals of the
// first tier because of low-tier requests that it would overtake. Under overload both happen when
// the wait is projected from the length of the queue alone, without the tiers in it and without the
// starts that higher tiers will take.
#[googletest::test]
fn admission_follows_the_tier() {
    let cases = [
        AdmissionCase {
            name: "an empty queue takes any tier",
            waiting: (0, 0),
            started: (50, 50),
            rank: 2,
            slack_ms: 500,
            sent: true,
        },
        AdmissionCase {
            name: "the first tier overtakes a long queue of the third",
            waiting: (0, 60),
            started: (50, 50),
            rank: 0,
            slack_ms: 1000,
            sent: true,
        },
        AdmissionCase {
            name: "the third tier waits behind the long queue",
            waiting: (0, 60),
            started: (50, 50),
            rank: 2,
            slack_ms: 2000,
            sent: false,
        },
        AdmissionCase {
            name: "short queue, and most starts are of the own tier",
            waiting: (0, 10),
            started: (10, 90),
            rank: 2,
            slack_ms: 2000,
            sent: true,
        },
        AdmissionCase {
            name: "short queue, but higher tiers take nearly all starts",
            waiting: (0, 10),
            started: (90, 10),
            rank: 2,
            slack_ms: 2000,
            sent: false,
        },
        AdmissionCase {
            name: "a long queue of the own tier",
            waiting: (40, 0),
            started: (100, 0),
            rank: 0,
            slack_ms: 1000,
            sent: false,
        },
    ];
    for case in cases {
        let mut policy = TwoChoices::new(5);
        for (rank, count) in [(0, case.started.0), (2, case.started.1)] {
            (0..count).for_each(|_| policy.record_start(START, rank));
        }
        let server =
            |index| Server::new(index, SLOTS).waiting(0, case.waiting.0).waiting(2, case.waiting.1);
        let servers: Vec<Server> = (0..4).map(server).collect();
        let request = TestRequest { rank: case.rank, slack_ms: case.slack_ms, ..DEFAULT_REQUEST };
        let sent = is_sent(choose(&mut policy, START, &servers, request));
        expect_that!(sent, eq(case.sent), "{}", case.name);
        expect_true!(is_sent(choose(&mut RoundRobin::default(), START, &servers, request)));
    }
}

// Guards against a second refusal for a caller that retries at the time named in the first one. The
// time must follow from how long the queue takes to drain, rather than being a constant.
#[googletest::test]
fn a_retry_at_the_named_time_is_accepted() {
    for waiting in [40, 60, 90, 200] {
        let full = vec![Server::new(0, SLOTS).waiting(0, waiting)];
        let mut policy = TwoChoices::new(1);
        let RoutingDecision::Refuse { retry_at } =
            choose(&mut policy, START, &full, DEFAULT_REQUEST)
        else {
            panic!("a queue of {waiting} must be refused");
        };
        expect_that!(retry_at, gt(START.unix_ms));
        let served = (retry_at.since(START.unix_ms) * u64::from(SLOTS)) / u64::from(SERVICE_MS);
        let left = waiting.saturating_sub(served as u32);
        let mut later = vec![Server::new(0, SLOTS).waiting(0, left)];
        later[0].received = retry_at;
        later[0].load.sampled = retry_at;
        let pick = choose(&mut policy, Now { unix_ms: retry_at }, &later, DEFAULT_REQUEST);
        expect_true!(is_sent(pick), "with {left} left of {waiting}");
    }
}

// Guards against a third tier that gets nothing under overload although the document reserves a
// floor for it: higher tiers fill the queues, and a projection without the floor yields an endless
// wait, so that entries refuse the tier.
#[googletest::test]
fn the_floor_of_a_tier_is_not_refused() {
    let request = TestRequest { rank: 2, slack_ms: 10_000, ..DEFAULT_REQUEST };
    let servers: Vec<Server> =
        (0..4).map(|index| Server::new(index, SLOTS).waiting(0, 30)).collect();
    for (floor_permille, sent) in [(0, false), (50, true)] {
        let mut policy = TwoChoices::new(1);
        policy.adopt(&floors::document(floor_permille));
        (0..100).for_each(|_| policy.record_start(START, 0));
        expect_that!(is_sent(choose(&mut policy, START, &servers, request)), eq(sent));
    }
}

// Guards against accepted requests that keep expiring in queues. When a queue serves a tier more
// slowly than projected, for whatever reason, expired requests must lower admission.
#[googletest::test]
fn expired_requests_lower_admission() {
    let servers: Vec<Server> =
        (0..4).map(|index| Server::new(index, SLOTS).waiting(1, 16)).collect();
    let request = TestRequest { rank: 1, slack_ms: 2000, ..DEFAULT_REQUEST };
    let mut policy = TwoChoices::new(1);
    expect_true!(is_sent(choose(&mut policy, START, &servers, request)));
    (0..8).for_each(|_| policy.record_expiry(START, 1));
    expect_false!(is_sent(choose(&mut policy, START, &servers, request)));
    let first = TestRequest { rank: 0, ..request };
    expect_true!(
        is_sent(choose(&mut policy, START, &servers, first)),
        "other tiers are not affected"
    );
    (0..2000).for_each(|_| policy.record_start(START, 1));
    expect_true!(is_sent(choose(&mut policy, START, &servers, request)));
}

#[googletest::test]
fn all_entries_route_a_prefix_to_one_server_while_it_has_room() {
    let mut servers = servers(&[2, 2, 2, 2, 2]);
    for prefix in 0..50 {
        let request = TestRequest { prefix: Some(prefix), ..DEFAULT_REQUEST };
        let pick = |seed: u64, servers: &[Server]| {
            choose(&mut TwoChoices::new(seed), START, servers, request)
        };
        let preferred = pick(0, &servers);
        let all_agree = (1..10).all(|seed| pick(seed, &servers) == preferred);
        expect_true!(all_agree, "prefix {prefix}");
        let RoutingDecision::Candidate(index) = preferred else { continue };
        servers[index].load.running = SLOTS;
        expect_that!(
            pick(0, &servers),
            not(eq(preferred)),
            "a full server is not chosen for its prefix cache"
        );
        servers[index].load.running = 2;
    }
}

#[googletest::test]
fn the_same_seed_gives_the_same_decisions() {
    let servers = servers(&[3, 2, 3, 2, 4]);
    let picks = |seed| {
        let mut policy = policy_after_samples(seed, &[80, 90, 70, 60, 80], &servers);
        (0..200).map(|_| choose(&mut policy, START, &servers, DEFAULT_REQUEST)).collect::<Vec<_>>()
    };
    expect_that!(picks(1), eq(&picks(1)));
    expect_that!(picks(1), not(eq(&picks(2))));
}

mod floors {
    use hickorycross_config::{Balance, Document, SCHEMA_VERSION, Tier, TierId};

    /// A document with three tiers, the lowest with a floor.
    pub(super) fn document(floor_permille: u16) -> Document {
        let tier = |rank, floor_permille| Tier {
            id: TierId::new(&format!("tier-{rank}")),
            rank,
            first_chunk_target_ms: 1000,
            floor_permille,
        };
        Document {
            schema_version: SCHEMA_VERSION,
            title: String::new(),
            failure_domains: Vec::new(),
            tiers: vec![tier(0, 0), tier(1, 0), tier(2, floor_permille)],
            teams: Vec::new(),
            backend_servers: Vec::new(),
            model_groups: Vec::new(),
            routes: Vec::new(),
            balance: Balance {
                skew_weight: 1.0,
                rebalance_cost_weight: 1.0,
                weight_store_bytes_per_s: 1,
            },
        }
    }
}
