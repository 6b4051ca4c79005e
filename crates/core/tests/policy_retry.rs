//! Tests of retry budgets while every request fails, in virtual time.

use googletest::prelude::*;
use hickorycross_config::{Balance, Document, Route, RouteId, SCHEMA_VERSION, Target};
use hickorycross_core::retry::{FixedBudget, RetryBudget, RetryDecision, TokenBudget};
use hickorycross_core::{Now, UnixMs};

const ROUTE: &str = "cases";

fn document(retry_budget_permille: u16) -> Document {
    let target = Target::Service { path_prefix: "/cases/".to_owned(), backend_servers: Vec::new() };
    let route = Route {
        id: RouteId::new(ROUTE),
        target,
        idempotent: true,
        default_deadline_ms: 1000,
        max_deadline_ms: 1000,
        key_horizon_ms: 0,
        retry_budget_permille,
    };
    Document {
        schema_version: SCHEMA_VERSION,
        title: String::new(),
        failure_domains: Vec::new(),
        tiers: Vec::new(),
        teams: Vec::new(),
        backend_servers: Vec::new(),
        model_groups: Vec::new(),
        routes: vec![route],
        balance: Balance {
            skew_weight: 1.0,
            rebalance_cost_weight: 1.0,
            weight_store_bytes_per_s: 1,
        },
    }
}

fn token_budget(retry_budget_permille: u16, seed: u64) -> TokenBudget {
    let mut budget = TokenBudget::new(seed);
    budget.adopt(&document(retry_budget_permille));
    budget
}

/// Returns the number of retries when every try of `first_tries` requests fails.
fn retries_when_all_fail(budget: &mut dyn RetryBudget, first_tries: u32, every_ms: u64) -> u32 {
    let route = RouteId::new(ROUTE);
    let mut retries = 0;
    for request in 0..first_tries {
        let now = Now::at(1_000_000 + u64::from(request) * every_ms);
        budget.record_first_try(now, &route);
        let mut tries = 1;
        while budget.decide(now, &route, tries, now.after(60_000)) != RetryDecision::GiveUp {
            tries += 1;
            retries += 1;
        }
    }
    retries
}

struct Case {
    name: &'static str,
    permille: u16,
    first_tries: u32,
    every_ms: u64,
    max_retries: u32,
    min_retries: u32,
}

// Guards against retries that double or triple the load on the backend servers while they fail: a
// fault affects every request, and retries are bounded per request but not for all requests
// together.
#[googletest::test]
fn retries_stay_bounded_when_every_request_fails() {
    let cases = [
        Case {
            name: "busy route",
            permille: 50,
            first_tries: 2000,
            every_ms: 20,
            max_retries: 125,
            min_retries: 95,
        },
        Case {
            name: "route with little traffic keeps its floor",
            permille: 50,
            first_tries: 5,
            every_ms: 60_000,
            max_retries: 25,
            min_retries: 5,
        },
        Case {
            name: "no budget",
            permille: 0,
            first_tries: 500,
            every_ms: 20,
            max_retries: 0,
            min_retries: 0,
        },
    ];
    for case in cases {
        let mut budget = token_budget(case.permille, 1);
        let retries = retries_when_all_fail(&mut budget, case.first_tries, case.every_ms);
        expect_that!(retries, le(case.max_retries), "{}", case.name);
        expect_that!(retries, ge(case.min_retries), "{}", case.name);
    }
    let baseline = retries_when_all_fail(&mut FixedBudget::default(), 2000, 20);
    expect_that!(baseline, eq(4000), "the baseline triples the load");
}

// Guards against a retry after the deadline, which delays the failure response and wastes work: an
// attempt fails shortly before the deadline, and the pause before the retry is not compared with
// the deadline.
#[googletest::test]
fn no_retry_starts_at_or_after_the_deadline() {
    let route = RouteId::new(ROUTE);
    for left_ms in 0..200 {
        let mut budget = token_budget(100, left_ms);
        let now = Now::at(1_000_000);
        let deadline = now.after(left_ms);
        if let RetryDecision::RetryAt(at) = budget.decide(now, &route, 1, deadline) {
            expect_that!(at, lt(deadline));
        }
    }
}

// Guards against synchronized retries: one backend server fails, all entries detect it together,
// and pauses without jitter make them retry at the same time into the same full queue.
#[googletest::test]
fn pauses_differ_between_entries_and_grow() {
    let route = RouteId::new(ROUTE);
    let now = Now::at(1_000_000);
    let pause_ms = |seed: u64, tries: u16| match token_budget(100, seed).decide(
        now,
        &route,
        tries,
        UnixMs::NEVER,
    ) {
        RetryDecision::RetryAt(at) => at.since(now.unix_ms),
        RetryDecision::GiveUp => u64::MAX,
    };
    let mut first: Vec<u64> = (0..40).map(|seed| pause_ms(seed, 1)).collect();
    let mean = |pauses: &[u64]| pauses.iter().sum::<u64>() / pauses.len() as u64;
    let third: Vec<u64> = (0..40).map(|seed| pause_ms(seed, 3)).collect();
    expect_that!(mean(&third), gt(2 * mean(&first)));
    first.sort_unstable();
    first.dedup();
    expect_that!(first.len(), ge(5));
    expect_that!(pause_ms(1, 4), eq(u64::MAX), "no more than four tries");
}

#[googletest::test]
fn a_new_document_keeps_tokens_and_unknown_routes_have_none() {
    let mut budget = token_budget(50, 1);
    let used = retries_when_all_fail(&mut budget, 1, 0);
    budget.adopt(&document(50));
    expect_that!(retries_when_all_fail(&mut budget, 1, 0), le(5 - used));
    let unknown = RouteId::new("unknown");
    let decision = budget.decide(Now::at(1), &unknown, 1, UnixMs::NEVER);
    expect_that!(decision, eq(RetryDecision::GiveUp));
}
