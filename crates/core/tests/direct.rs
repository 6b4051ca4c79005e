//! Decisions of an entry that reaches backend servers without agents.

use googletest::prelude::*;
use hickorycross_core::Verdict;
use hickorycross_core::direct::{
    Adoption, AttemptEnd, BackendServer, BackendShare, BackendState, BackendTable, BootMs,
    CallerLimits, Catalog, CatalogState, EventSplitter, PeerTable, RequestKind, RetryBudget,
    RetryBudgetSettings, Route, judge_attempt,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        target_gap_ms: None,
        priority: 1,
        backends: vec![BackendShare { service: "svc".to_owned(), weight: 1 }],
        max_attempts: 2,
        public: false,
    }
}

fn catalog(version: u64, routes: Vec<Route>) -> Catalog {
    Catalog { version, routes, limits: CallerLimits::default(), ..Catalog::default() }
}

struct RouteCase {
    host: &'static str,
    path: &'static str,
    route: Option<&'static str>,
}

/// The longest prefix of the host's routes decides, whatever the order.
#[gtest]
fn routes_are_chosen_by_their_longest_prefix() {
    let catalog = catalog(
        1,
        vec![route("short", "a", "/x/"), route("long", "a", "/x/y/"), route("other", "b", "/x/")],
    );
    let cases = [
        RouteCase { host: "a", path: "/x/z", route: Some("short") },
        RouteCase { host: "a", path: "/x/y/z", route: Some("long") },
        RouteCase { host: "A", path: "/x/y/", route: Some("long") },
        RouteCase { host: "b", path: "/x/y/z", route: Some("other") },
        RouteCase { host: "a", path: "/x", route: None },
        RouteCase { host: "a", path: "/xy/", route: None },
        RouteCase { host: "c", path: "/x/", route: None },
    ];
    for case in cases {
        let found = catalog.route(case.host, case.path).map(|route| route.name.as_str());
        expect_that!(found, eq(case.route), "{} {}", case.host, case.path);
    }
}

/// Symptom: a route or key that was dropped works again for a while.
///
/// Events: a stale replica or a peer that was cut off offers an older version, or confirms one that
/// is no longer in force.
///
/// Cause: taking whatever is heard last.
#[gtest]
fn a_belief_never_goes_back_and_knows_its_age() {
    let mut belief = CatalogState::default();
    expect_that!(belief.is_fresh(BootMs(0), u64::MAX), eq(false), "nothing is known");
    expect_that!(belief.offer(catalog(5, vec![])), eq(Adoption::Adopted));
    expect_true!(belief.confirm(5, BootMs(1_000)));
    expect_that!(belief.offer(catalog(4, vec![])), eq(Adoption::Older));
    expect_that!(belief.offer(catalog(5, vec![])), eq(Adoption::Known));
    expect_false!(belief.confirm(4, BootMs(9_000)), "an older version says nothing of this one");
    expect_true!(belief.confirm(5, BootMs(500)), "an older word does not make it older");
    expect_that!(belief.age_ms(BootMs(1_700)), some(eq(700)));
    expect_that!(belief.is_fresh(BootMs(1_700), 700), eq(true));
    expect_that!(belief.is_fresh(BootMs(1_701), 700), eq(false));
    expect_that!(belief.offer(catalog(6, vec![])), eq(Adoption::Adopted));
    expect_that!(belief.version(), eq(6));
}

struct CutCase {
    name: &'static str,
    pieces: &'static [&'static str],
    ids: &'static [Option<u64>],
    incomplete_bytes: usize,
}

/// Events come out whole, however their bytes arrive.
#[gtest]
fn streams_are_cut_into_whole_events() {
    let cases = [
        CutCase {
            name: "at once",
            pieces: &["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"],
            ids: &[Some(1), Some(2)],
            incomplete_bytes: 0,
        },
        CutCase {
            name: "in pieces",
            pieces: &["id: 1\nda", "ta: a\n", "\nid: 2"],
            ids: &[Some(1)],
            incomplete_bytes: 5,
        },
        CutCase {
            name: "with a line before the id",
            pieces: &["weights: 7\nid:3\ndata: a\n\n"],
            ids: &[Some(3)],
            incomplete_bytes: 0,
        },
        CutCase {
            name: "with other line ends and without an id",
            pieces: &["data: a\r\n\r\n"],
            ids: &[None],
            incomplete_bytes: 0,
        },
    ];
    for case in cases {
        let mut cutter = EventSplitter::default();
        let mut ids = Vec::new();
        let mut bytes = String::new();
        for piece in case.pieces {
            cutter.push(piece.as_bytes());
            while let Some(event) = cutter.next_event() {
                ids.push(event.id);
                bytes.push_str(std::str::from_utf8(&event.bytes).unwrap());
            }
        }
        expect_that!(&ids[..], eq(case.ids), "{}", case.name);
        expect_that!(cutter.incomplete_bytes(), eq(case.incomplete_bytes), "{}", case.name);
        expect_true!(case.pieces.concat().starts_with(&bytes), "{}", case.name);
    }
}

/// Only the backend server's word, or no byte sent, proves that a request has not run.
#[gtest]
fn only_proof_makes_a_request_not_run() {
    let cases = [
        (AttemptEnd::NothingSent, Verdict::NotRun),
        (AttemptEnd::Rejected, Verdict::NotRun),
        (AttemptEnd::OtherIncarnation, Verdict::NotRun),
        (AttemptEnd::Broken, Verdict::MayHaveRun),
        (AttemptEnd::TimedOut, Verdict::MayHaveRun),
        (AttemptEnd::InvalidAnswer, Verdict::MayHaveRun),
    ];
    for (end, verdict) in cases {
        expect_that!(judge_attempt(end).verdict, eq(verdict), "{}", end.as_str());
    }
}

/// Symptom: load at the backend servers rises with their failures.
///
/// Events: every request fails, at all entries at once.
///
/// Cause: second sends without a common budget. Here ten entries, cut off from each other, keep it
/// together.
#[gtest]
fn second_sends_keep_the_common_budget_without_exchange() {
    const ENTRIES: usize = 10;
    const RATIO: f64 = 0.2;
    const SLACK: f64 = 90.0;
    let settings =
        RetryBudgetSettings { window_ms: 10_000, ratio: RATIO, slack: SLACK / ENTRIES as f64 };
    let mut entries = vec![RetryBudget::new(settings); ENTRIES];
    let (mut first, mut second) = (0, 0);
    for at in 0..1_000 {
        let now = BootMs(at * 10);
        for (index, entry) in entries.iter_mut().enumerate() {
            // The load is uneven.
            if at % (index as u64 + 1) == 0 {
                entry.note_first_send(now, "svc");
                first += 1;
                while entry.try_spend(now, "svc") {
                    second += 1;
                }
            }
        }
    }
    expect_that!(f64::from(second), le(RATIO * f64::from(first) + SLACK));
    expect_that!(f64::from(second), ge(0.9 * RATIO * f64::from(first)), "it is used as well");
    let later = BootMs(30_000);
    expect_true!(entries[0].try_spend(later, "svc"), "old sends are forgotten");
}

fn server(id: &str, port: u16, domain: &str) -> BackendServer {
    BackendServer {
        id: id.to_owned(),
        born_ms: 0,
        service: "svc".to_owned(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        failure_domain: domain.to_owned(),
        slots: 4,
        state: BackendState::Ready,
        listed_at_revision: 0,
    }
}

fn table() -> BackendTable {
    let mut table = BackendTable::new("a");
    table.put(server("one", 1, "a"));
    table.put(server("two", 2, "b"));
    table
}

fn chosen(table: &BackendTable, tried: &[&str], at: u64) -> Option<String> {
    let tried: Vec<String> = tried.iter().map(|id| (*id).to_owned()).collect();
    table.choose("svc", &tried, BootMs(at), 0.0).map(|choice| choice.server.id)
}

/// The least loaded backend server is chosen; ties go to the own failure domain.
#[gtest]
fn the_least_loaded_backend_server_is_chosen() {
    let mut table = table();
    expect_that!(chosen(&table, &[], 0), some(eq("one")));
    table.note_sent(&server("one", 1, "a"));
    expect_that!(chosen(&table, &[], 0), some(eq("two")));
    table.note_ended(&server("one", 1, "a"));
    expect_that!(chosen(&table, &["one"], 0), some(eq("two")));
    expect_that!(chosen(&table, &["one", "two"], 0), none());
    table.note_pace(SocketAddr::from(([10, 0, 0, 1], 1)), 5_000, BootMs(0));
    expect_that!(chosen(&table, &[], 0), some(eq("two")), "a slow one is no choice when idle");
    expect_that!(
        chosen(&table, &[], 10_000),
        some(eq("one")),
        "an old word on pace counts no more"
    );
}

struct SlowRanks {
    name: &'static str,
    ranks: u16,
    /// Ranks, from the first one on, that are slow, and how slow in thousandths.
    slow: u16,
    pace_permille: u32,
    /// Whether the first rank is left, and gets no new work.
    is_left: bool,
}

const SLOW_RANKS: &[SlowRanks] = &[
    SlowRanks { name: "one", ranks: 16, slow: 1, pace_permille: 3_300, is_left: true },
    SlowRanks { name: "a little slow", ranks: 16, slow: 1, pace_permille: 1_300, is_left: false },
    SlowRanks { name: "few of many", ranks: 72, slow: 7, pace_permille: 2_000, is_left: true },
    SlowRanks { name: "more than few", ranks: 72, slow: 8, pace_permille: 2_000, is_left: false },
    SlowRanks { name: "all", ranks: 16, slow: 16, pace_permille: 3_300, is_left: false },
];

/// Symptom: all streams of a group pause for longer than promised while one of its ranks is slow.
///
/// Events: a rank turns slow with streams under way, and idle ones are few.
///
/// Cause: work that stays at the slow rank, or goes there because the others have more. When many are
/// slow the others could not take it over.
#[gtest]
fn slow_ranks_are_left_while_they_are_few() {
    for case in SLOW_RANKS {
        let mut table = BackendTable::new("a");
        let ranks: Vec<BackendServer> =
            (0..case.ranks).map(|rank| server(&format!("r{rank}"), rank, "a")).collect();
        for (index, rank) in (0..).zip(&ranks) {
            table.put(rank.clone());
            if index < case.slow {
                table.note_pace(rank.address, case.pace_permille, BootMs(0));
            } else {
                // Busy enough for an idle rank to be chosen though it is slow.
                (0..9).for_each(|_| table.note_sent(rank));
            }
        }
        let choice = table.choose("svc", &[], BootMs(10), 0.0).map(|choice| choice.server.id);
        expect_that!(choice.as_deref() != Some("r0"), eq(case.is_left), "{}: new work", case.name);
        expect_that!(
            table.should_move_streams(&ranks[0], BootMs(10)),
            eq(case.is_left),
            "{}",
            case.name
        );
        expect_false!(
            table.should_move_streams(&ranks[0], BootMs(10_000)),
            "{}: an old word",
            case.name
        );
    }
}

struct UnheardRanks {
    name: &'static str,
    ranks: u16,
    /// Ranks, from the first one on, beside which no agent is heard.
    unheard: u16,
    /// Whether the first rank gets no new work.
    is_avoided: bool,
}

const UNHEARD_RANKS: &[UnheardRanks] = &[
    UnheardRanks { name: "one", ranks: 12, unheard: 1, is_avoided: true },
    UnheardRanks { name: "one of two", ranks: 2, unheard: 1, is_avoided: true },
    UnheardRanks { name: "more than few", ranks: 12, unheard: 2, is_avoided: false },
    UnheardRanks { name: "all", ranks: 12, unheard: 12, is_avoided: false },
];

/// Symptom: requests lie unrun at a frozen machine until their callers leave.
///
/// Events: the machine of a rank freezes; its open requests do not end, but other entries have none there.
///
/// Cause: new work for a rank of whose machine nothing is heard.
#[gtest]
fn ranks_beside_which_no_agent_is_heard_get_no_new_work_while_they_are_few() {
    for case in UNHEARD_RANKS {
        let mut table = BackendTable::new("a");
        let ranks: Vec<BackendServer> =
            (0..case.ranks).map(|rank| server(&format!("r{rank}"), rank, "a")).collect();
        for (index, rank) in (0..).zip(&ranks) {
            table.put(rank.clone());
            if index < case.unheard {
                table.note_agent_reachable(rank.address, false, BootMs(0));
            }
            if index > 0 {
                table.note_sent(rank);
            }
        }
        let expect_avoided = |at_ms: u64, is_avoided: bool| {
            let choice = table.choose("svc", &[], BootMs(at_ms), 0.0).map(|it| it.server.id);
            expect_that!(choice.as_deref() != Some("r0"), eq(is_avoided), "{}", case.name);
            expect_that!(table.should_time_out_early(&ranks[0], BootMs(at_ms)), eq(is_avoided));
        };
        expect_avoided(10, case.is_avoided);
        expect_avoided(10_000, false);
        let first = ranks[0].address;
        table.note_agent_reachable(first, false, BootMs(20_000));
        table.note_agent_reachable(first, true, BootMs(20_100));
        expect_false!(
            table.should_time_out_early(&ranks[0], BootMs(20_200)),
            "{}: heard again",
            case.name
        );
    }
}

/// Failures in a row pause a backend server, unless no other is left.
#[gtest]
fn failing_backend_servers_are_paused() {
    let mut table = table();
    expect_that!(
        table.note_failure(&server("one", 1, "a"), BootMs(0)),
        none(),
        "one failure is no sign"
    );
    expect_that!(table.note_failure(&server("one", 1, "a"), BootMs(0)), some(eq(BootMs(400))));
    expect_that!(table.note_failure(&server("one", 1, "a"), BootMs(0)), some(eq(BootMs(800))));
    expect_that!(chosen(&table, &[], 100), some(eq("two")));
    expect_that!(chosen(&table, &["two"], 100), some(eq("one")), "better than none");
    for _ in 0..8 {
        table.note_failure(&server("one", 1, "a"), BootMs(0));
    }
    expect_that!(
        table.note_failure(&server("one", 1, "a"), BootMs(0)),
        some(eq(BootMs(2_000))),
        "bounded"
    );
}

struct LapseCase {
    name: &'static str,
    returned_at: Option<u64>,
    usable_at: u64,
    usable: bool,
}

/// Symptom: after an outage of the store no backend server is left for seconds.
///
/// Events: entries lapse while the store is away, and are back a little after its return.
///
/// Cause: taking a missing entry for a backend server that is gone, at any time.
#[gtest]
fn lapsed_entries_stay_usable_for_a_short_time() {
    let cases = [
        LapseCase { name: "no outage", returned_at: None, usable_at: 10_000, usable: false },
        LapseCase { name: "just back", returned_at: Some(9_900), usable_at: 11_000, usable: true },
        LapseCase { name: "long back", returned_at: Some(9_900), usable_at: 12_200, usable: false },
        LapseCase {
            name: "back before",
            returned_at: Some(1_000),
            usable_at: 10_000,
            usable: false,
        },
    ];
    for case in cases {
        let mut table = table();
        let listed = vec![server("two", 2, "b")];
        table.replace_all(listed, BootMs(10_000), case.returned_at.map(BootMs));
        table.expire(BootMs(case.usable_at));
        let is_usable = chosen(&table, &["two"], case.usable_at).is_some();
        expect_that!(is_usable, eq(case.usable), "{}", case.name);
    }
    let mut table = table();
    table.replace_all(vec![server("two", 2, "b")], BootMs(10_000), Some(BootMs(9_900)));
    table.put(server("one", 1, "a"));
    table.expire(BootMs(20_000));
    expect_that!(chosen(&table, &["two"], 20_000), some(eq("one")), "it came back");
}

/// Symptom: a backend server that leaves gets new work.
///
/// Events: it says that it leaves, then an older entry of it is read from a stale replica.
///
/// Cause: forgetting that an incarnation which leaves never comes back.
#[gtest]
fn leaving_is_for_good() {
    let mut table = table();
    expect_true!(table.note_leaving(&server("one", 1, "a")));
    table.put(server("one", 1, "a"));
    expect_that!(chosen(&table, &["two"], 0), none());
    expect_false!(table.takes_work("one", 0));
}

struct BirthCase {
    name: &'static str,
    /// Births of the entries that are heard one after the other, and the state that each tells.
    heard: &'static [(u64, BackendState)],
    /// Whether the backend server gets work after that.
    takes_work: bool,
    /// Its open requests, of one that was sent to the first incarnation.
    outstanding: u32,
}

/// Symptom: a backend server that started again under its name never gets work, or a request that its
/// earlier life held is counted for ever.
///
/// Events: it leaves or crashes, starts again under the same name and says a newer birth; a stale
/// replica or a peer's late word shows the older entry after that.
///
/// Cause: taking the name alone for the incarnation.
#[gtest]
fn a_newer_birth_knows_nothing_of_before() {
    use BackendState::{Leaving, Ready};
    let cases = [
        BirthCase { name: "the same", heard: &[(5, Ready)], takes_work: true, outstanding: 1 },
        BirthCase { name: "newer", heard: &[(6, Ready)], takes_work: true, outstanding: 0 },
        BirthCase {
            name: "newer after leaving",
            heard: &[(5, Leaving), (6, Ready)],
            takes_work: true,
            outstanding: 0,
        },
        BirthCase {
            name: "older after newer",
            heard: &[(6, Ready), (5, Leaving)],
            takes_work: true,
            outstanding: 0,
        },
        BirthCase { name: "unsaid", heard: &[(0, Leaving)], takes_work: false, outstanding: 1 },
    ];
    for case in cases {
        let born = |born_ms, state| BackendServer { born_ms, state, ..server("one", 1, "a") };
        let mut table = BackendTable::new("a");
        let first = born(5, Ready);
        table.put(first.clone());
        table.note_sent(&first);
        for (born_ms, state) in case.heard {
            table.put(born(*born_ms, *state));
        }
        expect_that!(chosen(&table, &[], 0).is_some(), eq(case.takes_work), "{}", case.name);
        expect_that!(table.outstanding("svc"), eq(case.outstanding), "{}", case.name);
        let newest_ms = case.heard.iter().map(|(born_ms, _)| *born_ms).max().unwrap_or(0);
        expect_that!(table.is_superseded(&first), eq(newest_ms > 5), "{}", case.name);
        table.note_ended(&first);
        expect_that!(table.outstanding("svc"), eq(0), "{}", case.name);
    }
}

/// Symptom: half of all requests are turned away by a backend server that is another than meant.
///
/// Events: all machines lose power; the backend servers start again under new names, and the entries of
/// the earlier ones stay in the store for some heartbeats.
///
/// Cause: taking both entries of one address for backend servers that take work.
#[gtest]
fn of_two_entries_with_one_address_the_later_one_holds() {
    let mut table = table();
    let later = BackendServer { listed_at_revision: 7, ..server("three", 1, "a") };
    table.put(later.clone());
    expect_that!(table.ready_count("svc"), eq(2));
    expect_that!(chosen(&table, &["two"], 0), some(eq("three")));
    table.note_leaving(&later);
    expect_that!(chosen(&table, &["two"], 0), some(eq("one")), "it was not there, after all");
}

/// Symptom: requests go to a backend server of which the store says nothing that can be read.
///
/// Events: another writer overwrites its entry; later it writes its own again.
///
/// Cause: keeping what was in force for want of something better.
#[gtest]
fn an_overwritten_entry_names_nobody_until_it_is_back() {
    let mut table = table();
    expect_true!(table.note_unreadable("one"));
    expect_false!(table.note_unreadable("one"), "it is said once");
    expect_that!(chosen(&table, &["two"], 0), none());
    expect_true!(table.put(server("one", 1, "a")));
    expect_that!(chosen(&table, &["two"], 0), some(eq("one")));
}

/// All peers and seeds are asked; silent peers are forgotten, seeds are not.
#[gtest]
fn peers_come_and_go() {
    let address = |port| SocketAddr::from(([10, 0, 0, 1], port));
    let mut peers = PeerTable::new(&[address(1), address(2)], Some(address(1)));
    let mut random = ChaCha8Rng::seed_from_u64(1);
    expect_that!(peers.random_peer(&mut random), some(eq(address(2))), "not oneself");
    expect_true!(peers.note(address(3), BootMs(0)));
    expect_false!(peers.note(address(3), BootMs(10)));
    expect_false!(peers.note(address(1), BootMs(0)), "not oneself");
    let asked: Vec<_> = (0..32).filter_map(|_| peers.random_peer(&mut random)).collect();
    expect_false!(asked.contains(&address(1)), "not oneself");
    expect_true!(asked.contains(&address(2)) && asked.contains(&address(3)));
    expect_that!(peers.expire(BootMs(70_011)), elements_are![eq(&address(3))]);
    expect_that!(peers.random_peer(&mut random), some(eq(address(2))));
}
