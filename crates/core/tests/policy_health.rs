//! Tests of the circuit breaker: signals and the standing that must follow, in virtual time.

use googletest::prelude::*;
use hickorycross_core::Now;
use hickorycross_core::health::{CircuitBreaker, HealthPolicy, Signal, Standing};

const START_MS: u64 = 1_000_000;

/// An event, with its time in milliseconds since the start of the test.
#[derive(Clone, Copy, Debug)]
enum Step {
    Signal(u64, Signal),
    ProbeSent(u64),
}

/// The expected standing.
#[derive(Clone, Copy, Debug)]
enum Expected {
    Full,
    Reduced,
    Open,
    Probe,
    /// Exactly this share, in thousandths.
    Share(u16),
}

struct Case {
    name: &'static str,
    steps: Vec<Step>,
    at_ms: u64,
    expected: Expected,
}

fn health_after(steps: &[Step], seed: u64) -> CircuitBreaker {
    let mut health = CircuitBreaker::new(seed);
    for step in steps {
        match *step {
            Step::Signal(at_ms, signal) => health.signal(Now::at(START_MS + at_ms), signal),
            Step::ProbeSent(at_ms) => health.probe_sent(Now::at(START_MS + at_ms)),
        }
    }
    health
}

fn repeated(signal: Signal, from_ms: u64, every_ms: u64, times: u64) -> Vec<Step> {
    (0..times).map(|index| Step::Signal(from_ms + index * every_ms, signal)).collect()
}

fn run(cases: Vec<Case>) {
    for case in cases {
        for seed in 0..20 {
            let health = health_after(&case.steps, seed);
            let standing = health.standing(Now::at(START_MS + case.at_ms));
            let holds = match case.expected {
                Expected::Full => standing == Standing::Share(1000),
                Expected::Reduced => matches!(standing, Standing::Share(1..1000)),
                Expected::Open => standing == Standing::Open,
                Expected::Probe => standing == Standing::Probe,
                Expected::Share(share) => standing == Standing::Share(share),
            };
            expect_true!(holds, "{}: {standing:?} is not {:?}", case.name, case.expected);
        }
    }
}

fn followed_by(mut steps: Vec<Step>, more: &[Step]) -> Vec<Step> {
    steps.extend_from_slice(more);
    steps
}

// Guards against requests that are sent to a backend server with a dead link and wait for their
// timeouts. Overdue heartbeats and acknowledgements must count before the connection breaks.
#[googletest::test]
fn missed_replies_reduce_the_share_and_then_open_the_circuit() {
    let missed = |times| repeated(Signal::Missed, 0, 200, times);
    run(vec![
        Case { name: "none", steps: vec![], at_ms: 0, expected: Expected::Full },
        Case { name: "one", steps: missed(1), at_ms: 10, expected: Expected::Reduced },
        Case { name: "two", steps: missed(2), at_ms: 210, expected: Expected::Reduced },
        Case { name: "three", steps: missed(3), at_ms: 410, expected: Expected::Open },
        Case {
            name: "a reply resets the count",
            steps: followed_by(missed(2), &[Step::Signal(300, Signal::Acknowledged)]),
            at_ms: 310,
            expected: Expected::Full,
        },
    ]);
}

// Guards against a pause of a tenth of a second that opens the circuit for seconds: twenty
// acknowledgements become overdue at the same time, and each counts separately.
#[googletest::test]
fn replies_missed_together_count_once() {
    let steps = repeated(Signal::Missed, 0, 1, 20);
    run(vec![Case { name: "one pause", steps, at_ms: 30, expected: Expected::Reduced }]);
}

// Guards against a backend server that fails at once and keeps receiving a large part of all
// requests: its agent acknowledges each attempt before it reports the failure, and acknowledgements
// that count as successes keep the share of failures low.
#[googletest::test]
fn fast_failures_open_the_circuit_although_the_agent_replies() {
    let busy = repeated(Signal::Answered, 0, 100, 50);
    let open = followed_by(busy.clone(), &acknowledged_failures(5000, 4));
    let probing = followed_by(open.clone(), &[Step::ProbeSent(6000)]);
    run(vec![
        Case {
            name: "from idle",
            steps: acknowledged_failures(0, 4),
            at_ms: 310,
            expected: Expected::Open,
        },
        Case { name: "from busy", steps: open.clone(), at_ms: 5310, expected: Expected::Open },
        Case {
            name: "heartbeats do not close it",
            steps: followed_by(open.clone(), &[Step::Signal(5320, Signal::Acknowledged)]),
            at_ms: 5330,
            expected: Expected::Open,
        },
        Case {
            name: "nor while a probe is pending",
            steps: followed_by(probing, &[Step::Signal(6010, Signal::Acknowledged)]),
            at_ms: 6020,
            expected: Expected::Open,
        },
        Case {
            name: "the agent's report does not close it",
            steps: followed_by(open, &[Step::Signal(5320, Signal::BackendUp)]),
            at_ms: 5330,
            expected: Expected::Open,
        },
        Case {
            name: "a few failures among many answers only reduce the share",
            steps: followed_by(busy, &answered_failures(5000, 8)),
            at_ms: 6600,
            expected: Expected::Reduced,
        },
    ]);
}

/// Returns failures, each preceded by an acknowledgement.
fn acknowledged_failures(from_ms: u64, failures: u64) -> Vec<Step> {
    let mut steps = Vec::new();
    for index in 0..failures {
        steps.push(Step::Signal(from_ms + index * 100, Signal::Acknowledged));
        steps.push(Step::Signal(from_ms + index * 100 + 5, Signal::Failed));
    }
    steps
}

/// Returns failures, each followed by an answer.
fn answered_failures(from_ms: u64, failures: u64) -> Vec<Step> {
    let mut steps = Vec::new();
    for index in 0..failures {
        steps.push(Step::Signal(from_ms + index * 200, Signal::Failed));
        steps.push(Step::Signal(from_ms + index * 200 + 100, Signal::Answered));
    }
    steps
}

// Guards against a half-open circuit that treats every request as a probe, so that a dead backend
// server fails one request after another. Only one probe may be pending.
#[googletest::test]
fn only_one_probe_is_pending_at_a_time() {
    let open = repeated(Signal::Failed, 0, 10, 4);
    let probing = followed_by(open.clone(), &[Step::ProbeSent(1000)]);
    let failed = followed_by(probing.clone(), &[Step::Signal(1010, Signal::Failed)]);
    let answered = followed_by(probing.clone(), &[Step::Signal(1100, Signal::Answered)]);
    run(vec![
        Case { name: "too early", steps: open.clone(), at_ms: 300, expected: Expected::Open },
        Case { name: "half open", steps: open, at_ms: 1000, expected: Expected::Probe },
        Case { name: "one pending", steps: probing.clone(), at_ms: 1001, expected: Expected::Open },
        Case { name: "unanswered", steps: probing, at_ms: 3100, expected: Expected::Probe },
        Case { name: "failed", steps: failed.clone(), at_ms: 1500, expected: Expected::Open },
        Case { name: "later again", steps: failed, at_ms: 2500, expected: Expected::Probe },
        Case { name: "answered", steps: answered, at_ms: 1101, expected: Expected::Share(100) },
    ]);
}

// Guards against a recovered backend server that is overloaded at once and fails again: it is idle
// when its circuit closes, so every entry sends it everything unless its share rises in stages.
#[googletest::test]
fn recovery_is_staged_and_colder_after_a_restart() {
    let open = repeated(Signal::Missed, 0, 200, 3);
    let warm = followed_by(open.clone(), &[Step::Signal(1000, Signal::Acknowledged)]);
    let cold = followed_by(open, &[Step::Signal(1000, Signal::Restarted)]);
    let share = |name, steps: &[Step], at_ms, share| Case {
        name,
        steps: steps.to_vec(),
        at_ms,
        expected: Expected::Share(share),
    };
    run(vec![
        share("warm, first", &warm, 1500, 100),
        share("warm, second", &warm, 2500, 250),
        share("warm, third", &warm, 3500, 500),
        share("warm, over", &warm, 4500, 1000),
        share("cold, first", &cold, 1500, 50),
        share("cold, second", &cold, 3000, 150),
        share("cold, third", &cold, 4500, 400),
        share("cold, over", &cold, 5600, 1000),
        Case {
            name: "failures during the ramp open it again",
            steps: followed_by(warm.clone(), &repeated(Signal::Failed, 1600, 10, 2)),
            at_ms: 1620,
            expected: Expected::Open,
        },
    ]);
}

// Guards against a backend server that stays unused permanently after its agent reported it as
// down, because the report that it is up again was lost.
#[googletest::test]
fn a_down_report_of_an_agent_expires() {
    let down = vec![Step::Signal(0, Signal::BackendDown)];
    let up = followed_by(down.clone(), &[Step::Signal(100, Signal::BackendUp)]);
    run(vec![
        Case { name: "down", steps: down.clone(), at_ms: 4000, expected: Expected::Open },
        Case { name: "up was lost", steps: down, at_ms: 5000, expected: Expected::Probe },
        Case { name: "up", steps: up, at_ms: 101, expected: Expected::Share(100) },
    ]);
}

// Guards against entries that all probe a backend server at the same time, which happens when they
// detect its fault together and the backoff has no jitter.
#[googletest::test]
fn probes_of_many_entries_spread() {
    let open = repeated(Signal::Failed, 0, 0, 4);
    let first_probe_ms = |seed| {
        let health = health_after(&open, seed);
        let is_probe = |at_ms: &u64| health.standing(Now::at(START_MS + at_ms)) == Standing::Probe;
        (0..1000).find(is_probe).unwrap_or(1000)
    };
    let mut probe_times: Vec<u64> = (0..40).map(first_probe_ms).collect();
    probe_times.sort_unstable();
    expect_that!(probe_times[39] - probe_times[0], ge(150));
    probe_times.dedup();
    expect_that!(probe_times.len(), ge(20));
}
