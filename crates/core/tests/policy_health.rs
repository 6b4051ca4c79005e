//! Graded health: sequences of signals and the standing that must follow, in virtual time.

use googletest::prelude::*;
use hickorycross_core::Now;
use hickorycross_core::health::{CircuitBreaker, HealthPolicy, Signal, Standing};

const START_MS: u64 = 1_000_000;

/// What happens at a moment, counted from the start.
#[derive(Clone, Copy, Debug)]
enum Step {
    Signal(u64, Signal),
    ProbeSent(u64),
}

/// What the standing must be at a moment.
#[derive(Clone, Copy, Debug)]
enum Expected {
    Full,
    Reduced,
    Open,
    Probe,
    /// On a ramp, with this share.
    Share(u16),
}

struct Case {
    name: &'static str,
    steps: Vec<Step>,
    at_ms: u64,
    expected: Expected,
}

fn after(steps: &[Step], seed: u64) -> CircuitBreaker {
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
            let health = after(&case.steps, seed);
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

fn then(mut steps: Vec<Step>, more: &[Step]) -> Vec<Step> {
    steps.extend_from_slice(more);
    steps
}

// Symptom: requests keep going to a backend server whose link is dead; each waits for its timeout.
// Sequence: heartbeats and acknowledgements are overdue, one after the other.
// Cause: nothing was made of missed signs of life until a connection broke.
#[googletest::test]
fn missed_signs_of_life_reduce_and_then_open() {
    let missed = |times| repeated(Signal::Missed, 0, 200, times);
    run(vec![
        Case { name: "none", steps: vec![], at_ms: 0, expected: Expected::Full },
        Case { name: "one", steps: missed(1), at_ms: 10, expected: Expected::Reduced },
        Case { name: "two", steps: missed(2), at_ms: 210, expected: Expected::Reduced },
        Case { name: "three", steps: missed(3), at_ms: 410, expected: Expected::Open },
        Case {
            name: "an answer takes them back",
            steps: then(missed(2), &[Step::Signal(300, Signal::Acknowledged)]),
            at_ms: 310,
            expected: Expected::Full,
        },
    ]);
}

// Symptom: a pause of a tenth of a second at one agent takes it out of use for seconds.
// Sequence: twenty attempts are unacknowledged; all become overdue in the same moment.
// Cause: each of them counted as a missed sign of life of its own.
#[googletest::test]
fn one_pause_counts_once() {
    let steps = repeated(Signal::Missed, 0, 1, 20);
    run(vec![Case { name: "one pause", steps, at_ms: 30, expected: Expected::Reduced }]);
}

// Symptom: a backend server that fails at once swallows a large part of all requests.
// Sequence: its agent acknowledges each attempt and reports its failure a moment later.
// Cause: the acknowledgement counted as an answer, so failures were never in the majority.
#[googletest::test]
fn fast_failures_open_although_the_agent_answers() {
    let busy = repeated(Signal::Answered, 0, 100, 50);
    let open = then(busy.clone(), &acknowledged_failures(5000, 4));
    let probing = then(open.clone(), &[Step::ProbeSent(6000)]);
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
            steps: then(open.clone(), &[Step::Signal(5320, Signal::Acknowledged)]),
            at_ms: 5330,
            expected: Expected::Open,
        },
        Case {
            name: "nor while a probe is under way",
            steps: then(probing, &[Step::Signal(6010, Signal::Acknowledged)]),
            at_ms: 6020,
            expected: Expected::Open,
        },
        Case {
            name: "the agent's word does not close it",
            steps: then(open, &[Step::Signal(5320, Signal::BackendUp)]),
            at_ms: 5330,
            expected: Expected::Open,
        },
        Case {
            name: "a few failures among many answers only reduce",
            steps: then(busy, &mixed(5000, 8)),
            at_ms: 6600,
            expected: Expected::Reduced,
        },
    ]);
}

/// Failures, each acknowledged a moment before.
fn acknowledged_failures(from_ms: u64, failures: u64) -> Vec<Step> {
    let mut steps = Vec::new();
    for index in 0..failures {
        steps.push(Step::Signal(from_ms + index * 100, Signal::Acknowledged));
        steps.push(Step::Signal(from_ms + index * 100 + 5, Signal::Failed));
    }
    steps
}

/// Failures, each followed by an answer.
fn mixed(from_ms: u64, failures: u64) -> Vec<Step> {
    let mut steps = Vec::new();
    for index in 0..failures {
        steps.push(Step::Signal(from_ms + index * 200, Signal::Failed));
        steps.push(Step::Signal(from_ms + index * 200 + 100, Signal::Answered));
    }
    steps
}

// Symptom: probes of a dead backend server cost one request after the other.
// Sequence: the circuit half-opens; every request that comes meanwhile is taken for a probe.
// Cause: it was not noted that a probe is under way.
#[googletest::test]
fn one_probe_at_a_time() {
    let open = repeated(Signal::Failed, 0, 10, 4);
    let probing = then(open.clone(), &[Step::ProbeSent(1000)]);
    let failed = then(probing.clone(), &[Step::Signal(1010, Signal::Failed)]);
    let answered = then(probing.clone(), &[Step::Signal(1100, Signal::Answered)]);
    run(vec![
        Case { name: "too early", steps: open.clone(), at_ms: 300, expected: Expected::Open },
        Case { name: "half open", steps: open, at_ms: 1000, expected: Expected::Probe },
        Case {
            name: "one under way",
            steps: probing.clone(),
            at_ms: 1001,
            expected: Expected::Open,
        },
        Case { name: "unanswered", steps: probing, at_ms: 3100, expected: Expected::Probe },
        Case { name: "failed", steps: failed.clone(), at_ms: 1500, expected: Expected::Open },
        Case { name: "later again", steps: failed, at_ms: 2500, expected: Expected::Probe },
        Case { name: "answered", steps: answered, at_ms: 1101, expected: Expected::Share(100) },
    ]);
}

// Symptom: a backend server that comes back is buried at once and fails again.
// Sequence: its circuit closes; it is idle, so every entry sends it everything.
// Cause: its full share was given back in one step.
#[googletest::test]
fn recovery_is_staged_and_colder_after_a_restart() {
    let open = repeated(Signal::Missed, 0, 200, 3);
    let warm = then(open.clone(), &[Step::Signal(1000, Signal::Acknowledged)]);
    let cold = then(open, &[Step::Signal(1000, Signal::Restarted)]);
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
            name: "failures on the ramp open again",
            steps: then(warm.clone(), &repeated(Signal::Failed, 1600, 10, 2)),
            at_ms: 1620,
            expected: Expected::Open,
        },
    ]);
}

// Symptom: a backend server stays out of use for good after its agent said that it was down.
// Sequence: the message that says it is up again is lost.
// Cause: only that message ended the state.
#[googletest::test]
fn the_word_of_an_agent_holds_for_a_while_only() {
    let down = vec![Step::Signal(0, Signal::BackendDown)];
    let up = then(down.clone(), &[Step::Signal(100, Signal::BackendUp)]);
    run(vec![
        Case { name: "down", steps: down.clone(), at_ms: 4000, expected: Expected::Open },
        Case { name: "up was lost", steps: down, at_ms: 5000, expected: Expected::Probe },
        Case { name: "up", steps: up, at_ms: 101, expected: Expected::Share(100) },
    ]);
}

// Symptom: all entries probe a backend server in the same moment, again and again.
// Sequence: they see its fault in the same moment.
// Cause: a backoff without jitter.
#[googletest::test]
fn probes_of_many_entries_spread() {
    let open = repeated(Signal::Failed, 0, 0, 4);
    let first_probe_ms = |seed| {
        let health = after(&open, seed);
        let is_probe = |at_ms: &u64| health.standing(Now::at(START_MS + at_ms)) == Standing::Probe;
        (0..1000).find(is_probe).unwrap_or(1000)
    };
    let mut moments: Vec<u64> = (0..40).map(first_probe_ms).collect();
    moments.sort_unstable();
    expect_that!(moments[39] - moments[0], ge(150));
    moments.dedup();
    expect_that!(moments.len(), ge(20));
}
