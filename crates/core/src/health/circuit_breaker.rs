//! The production policy: a circuit breaker that reduces traffic in stages.

use super::attempt_counts::AttemptCounts;
use super::backoff::{AFTER_FAILURES, AFTER_SILENCE, Backoff};
use super::policy::{HealthPolicy, Signal, Standing};
use super::ramp::Ramp;
use crate::time::{Now, UnixMs};

/// The full share of traffic.
const FULL_PERMILLE: u16 = 1000;

/// Shares after one and after two missed heartbeats or acknowledgements; a third opens the circuit.
const MISSED_SHARES_PERMILLE: [u16; 2] = [600, 300];

/// Heartbeats and acknowledgements missed within this time count once: a link that stalls briefly
/// makes every acknowledgement on it overdue at the same time.
const MISSED_DEDUP_MS: u64 = 150;

/// Consecutive failures that open the circuit.
const FAILURES_TO_OPEN: u32 = 4;

/// Consecutive failures that open the circuit again during a ramp.
const RAMP_FAILURES_TO_OPEN: u32 = 2;

/// Share of failed attempts that opens the circuit.
const FAILED_SHARE_TO_OPEN: f64 = 0.3;

/// Share of failed attempts that reduces the share of traffic.
const FAILED_SHARE_TO_REDUCE: f64 = 0.1;

/// Share of traffic while some attempts fail.
const REDUCED_PERMILLE: u16 = 500;

/// How long a probe may remain without a result before another one is sent.
const PROBE_TIMEOUT_MS: u64 = 2000;

/// How long an agent's report that its backend server is down holds before a probe is sent. The
/// report of its recovery may be lost.
const DOWN_REPORT_TTL_MS: u64 = 5000;

/// Why a circuit is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Heartbeats or acknowledgements are overdue; any reply ends this.
    Silence,
    /// Attempts fail although the agent replies; only a successful probe ends this.
    Failures,
    /// The agent reports that its backend server does not respond.
    Down,
}

/// State of the circuit of one backend server.
#[derive(Clone, Copy, Debug)]
enum Circuit {
    Closed,
    Ramping(Ramp),
    Open { cause: Cause, probe_at: UnixMs },
    Probing { cause: Cause, answer_by: UnixMs },
}

/// A circuit breaker for one backend server that reduces its traffic before it opens.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    circuit: Circuit,
    counts: AttemptCounts,
    missed: u32,
    ignore_missed_until: UnixMs,
    backoff: Backoff,
}

impl CircuitBreaker {
    /// Creates a closed circuit. Entries must use different seeds so that their probes spread.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            circuit: Circuit::Closed,
            counts: AttemptCounts::default(),
            missed: 0,
            ignore_missed_until: UnixMs::default(),
            backoff: Backoff::new(seed),
        }
    }

    fn answered(&mut self, now: Now) {
        self.acknowledged(now);
        self.counts.answered(now);
        if let Circuit::Probing { .. } = self.circuit {
            self.begin_ramp(Ramp::warm(now));
        }
    }

    /// Starts the ramp if the circuit opened for missed replies; completes a ramp that is over.
    ///
    /// An agent also acknowledges attempts that its backend server fails a moment later. If that
    /// counted as a success, the circuit of a failing backend server would never open.
    fn acknowledged(&mut self, now: Now) {
        self.missed = 0;
        match self.circuit {
            Circuit::Open { cause: Cause::Silence, .. }
            | Circuit::Probing { cause: Cause::Silence, .. } => self.begin_ramp(Ramp::warm(now)),
            Circuit::Ramping(ramp) => self.finish_ramp(now, ramp),
            Circuit::Closed | Circuit::Open { .. } | Circuit::Probing { .. } => {}
        }
    }

    fn failed(&mut self, now: Now) {
        self.counts.failed(now);
        match self.circuit {
            Circuit::Closed if self.fails_too_often(now, FAILURES_TO_OPEN) => {
                self.open(now, Cause::Failures);
            }
            Circuit::Ramping(_) if self.fails_too_often(now, RAMP_FAILURES_TO_OPEN) => {
                self.open(now, Cause::Failures);
            }
            Circuit::Probing { .. } => self.open(now, Cause::Failures),
            Circuit::Closed | Circuit::Ramping(_) | Circuit::Open { .. } => {}
        }
    }

    fn missed(&mut self, now: Now) {
        if !self.ignore_missed_until.is_past(now) {
            return;
        }
        self.ignore_missed_until = now.after(MISSED_DEDUP_MS);
        self.missed += 1;
        let too_many = self.missed as usize > MISSED_SHARES_PERMILLE.len();
        match self.circuit {
            Circuit::Closed | Circuit::Ramping(_) if too_many => self.open(now, Cause::Silence),
            Circuit::Probing { .. } => self.open(now, Cause::Silence),
            Circuit::Closed | Circuit::Ramping(_) | Circuit::Open { .. } => {}
        }
    }

    /// Starts the ramp unless the circuit opened because attempts failed.
    ///
    /// An agent reports its backend server as up after each of its own health checks, even while
    /// attempts fail. Treating that as recovery would send traffic to the failing backend server
    /// again and again.
    fn backend_up(&mut self, now: Now) {
        let cause = match self.circuit {
            Circuit::Open { cause, .. } | Circuit::Probing { cause, .. } => cause,
            Circuit::Closed | Circuit::Ramping(_) => return,
        };
        if cause != Cause::Failures {
            self.begin_ramp(Ramp::warm(now));
        }
    }

    fn fails_too_often(&self, now: Now, consecutive: u32) -> bool {
        self.counts.consecutive_failures() >= consecutive
            || self.counts.failed_share(now) > FAILED_SHARE_TO_OPEN
    }

    fn open(&mut self, now: Now, cause: Cause) {
        let probe_at = match cause {
            Cause::Down => now.after(DOWN_REPORT_TTL_MS),
            Cause::Silence => self.backoff.next(now, AFTER_SILENCE),
            Cause::Failures => self.backoff.next(now, AFTER_FAILURES),
        };
        self.circuit = Circuit::Open { cause, probe_at };
    }

    fn begin_ramp(&mut self, ramp: Ramp) {
        self.counts = AttemptCounts::default();
        self.missed = 0;
        self.circuit = Circuit::Ramping(ramp);
    }

    fn finish_ramp(&mut self, now: Now, ramp: Ramp) {
        if ramp.share_permille(now).is_none() {
            self.circuit = Circuit::Closed;
            self.backoff.reset();
        }
    }

    /// Returns the lowest of the shares allowed by the ramp, missed replies and failures.
    fn share_permille(&self, now: Now, ramp: Option<Ramp>) -> u16 {
        let by_ramp = ramp.and_then(|ramp| ramp.share_permille(now)).unwrap_or(FULL_PERMILLE);
        by_ramp.min(self.share_by_missed()).min(self.share_by_failures(now))
    }

    fn share_by_missed(&self) -> u16 {
        let Some(index) = self.missed.checked_sub(1) else {
            return FULL_PERMILLE;
        };
        let last = MISSED_SHARES_PERMILLE.len() - 1;
        MISSED_SHARES_PERMILLE[(index as usize).min(last)]
    }

    fn share_by_failures(&self, now: Now) -> u16 {
        let reduces = self.counts.failed_share(now) > FAILED_SHARE_TO_REDUCE;
        if reduces { REDUCED_PERMILLE } else { FULL_PERMILLE }
    }
}

impl HealthPolicy for CircuitBreaker {
    fn signal(&mut self, now: Now, signal: Signal) {
        match signal {
            Signal::Answered => self.answered(now),
            Signal::Acknowledged => self.acknowledged(now),
            Signal::Failed => self.failed(now),
            Signal::Missed => self.missed(now),
            Signal::Restarted => self.begin_ramp(Ramp::cold(now)),
            Signal::BackendDown => self.open(now, Cause::Down),
            Signal::BackendUp => self.backend_up(now),
        }
    }

    fn standing(&self, now: Now) -> Standing {
        match self.circuit {
            Circuit::Closed => Standing::Share(self.share_permille(now, None)),
            Circuit::Ramping(ramp) => Standing::Share(self.share_permille(now, Some(ramp))),
            Circuit::Open { probe_at: due, .. } | Circuit::Probing { answer_by: due, .. } => {
                if due.is_past(now) { Standing::Probe } else { Standing::Open }
            }
        }
    }

    fn probe_sent(&mut self, now: Now) {
        if let Circuit::Open { cause, .. } | Circuit::Probing { cause, .. } = self.circuit {
            self.circuit = Circuit::Probing { cause, answer_by: now.after(PROBE_TIMEOUT_MS) };
        }
    }
}
