//! Simulates an overloaded group, and checks how many requests that an entry sends never begin.

use googletest::prelude::*;
use hickorycross_core::direct::{Admission, AdmissionSettings, BootMs};

const SERVICE: &str = "model";
/// Slots of the group, all of them this entry's share.
const SLOTS: usize = 30;
/// Settings as entries use them.
const SETTINGS: AdmissionSettings = AdmissionSettings {
    min_requests: 4.0,
    max_share: 1.6,
    decrease_ratio: 0.08,
    increase_requests: 0.05,
    decrease_interval_ms: 250,
};
/// Time after which callers without an event give up.
const PATIENCE_MS: u64 = 2_000;
const DURATION_MS: u64 = 30_000;
const TICK_MS: u64 = 10;
/// Start of the measurement, when the bound has had time to adapt.
const MEASURED_FROM_MS: u64 = 5_000;

struct Case {
    name: &'static str,
    /// Time between two requests.
    every_ms: u64,
    /// Time for which a stream uses a slot.
    stream_ms: u64,
    /// Largest share of sent requests that may end without having begun.
    max_not_begun: f64,
    /// Smallest share of the slots that must be in use.
    min_used: f64,
}

#[derive(Default)]
struct Simulation {
    /// When the running streams end.
    running: Vec<u64>,
    /// When the requests that have not begun were sent.
    queue: Vec<u64>,
    sent: u32,
    not_begun: u32,
    used: usize,
    samples: usize,
}

impl Simulation {
    fn step(&mut self, case: &Case, admission: &mut Admission, now_ms: u64) {
        let now = BootMs(now_ms);
        let is_measured = now_ms >= MEASURED_FROM_MS;
        self.running.retain(|until| *until > now_ms);
        while self.running.len() < SLOTS && !self.queue.is_empty() {
            let sent_at = self.queue.remove(0);
            admission.note_first_event(SERVICE, now_ms - sent_at, now);
            self.running.push(now_ms + case.stream_ms);
        }
        let queued = self.queue.len();
        self.queue.retain(|sent_at| {
            let waits = now_ms - sent_at < PATIENCE_MS;
            if !waits {
                admission.note_not_begun(SERVICE, now_ms - sent_at, now);
            }
            waits
        });
        self.not_begun += if is_measured { (queued - self.queue.len()) as u32 } else { 0 };
        let open = (self.running.len() + self.queue.len()) as u32;
        if now_ms.is_multiple_of(case.every_ms)
            && admission.admits(SERVICE, open, SLOTS as f64, SETTINGS.max_share)
        {
            self.queue.push(now_ms);
            self.sent += u32::from(is_measured);
        }
        if is_measured {
            self.used += self.running.len();
            self.samples += 1;
        }
    }
}

/// Guards against requests that stay queued at a rank until their callers give up, while the entry
/// sends more.
#[gtest]
fn few_requests_are_sent_that_never_begin() {
    let cases = [
        Case {
            name: "slight overload",
            every_ms: 70,
            stream_ms: 2_600,
            max_not_begun: 0.02,
            min_used: 0.95,
        },
        Case {
            name: "heavy overload, slow passes",
            every_ms: 30,
            stream_ms: 4_600,
            max_not_begun: 0.1,
            min_used: 0.9,
        },
        Case {
            name: "no overload",
            every_ms: 100,
            stream_ms: 1_500,
            max_not_begun: 0.0,
            min_used: 0.45,
        },
    ];
    for case in cases {
        let mut admission = Admission::new(SETTINGS);
        let mut simulation = Simulation::default();
        for now_ms in (0..DURATION_MS).step_by(TICK_MS as usize) {
            simulation.step(&case, &mut admission, now_ms);
        }
        let not_begun = f64::from(simulation.not_begun) / f64::from(simulation.sent.max(1));
        let used = simulation.used as f64 / (simulation.samples * SLOTS) as f64;
        expect_that!(not_begun, le(case.max_not_begun), "{}: {used:.2} in use", case.name);
        expect_that!(used, ge(case.min_used), "{}: {not_begun:.2} not begun", case.name);
    }
}
