//! Plays a group that gets more than it can do, and checks what becomes of requests that an entry sends.

use googletest::prelude::*;
use hickorycross_core::direct::{Admission, AdmissionSettings, BootMs};

const SERVICE: &str = "model";
/// Slots of the group, and the entry's share of them.
const SLOTS: usize = 30;
/// Bounds as entries have them.
const SETTINGS: AdmissionSettings = AdmissionSettings {
    min_requests: 4.0,
    max_share: 1.6,
    decrease_ratio: 0.08,
    increase_requests: 0.05,
    decrease_interval_ms: 250,
};
/// Time after which callers leave that got no event.
const PATIENCE_MS: u64 = 2_000;
const PLAY_MS: u64 = 30_000;
const TICK_MS: u64 = 10;
/// From when on the outcome counts: the bound has had time to adapt.
const COUNTED_FROM_MS: u64 = 5_000;

struct Case {
    name: &'static str,
    /// Time between two callers.
    every_ms: u64,
    /// Time for which a stream takes a slot.
    stream_ms: u64,
    /// Largest share of sent requests that may end unbegun.
    most_unbegun: f64,
    /// Least part of the slots that is taken.
    least_taken: f64,
}

#[derive(Default)]
struct Play {
    /// Until when slots are taken.
    running: Vec<u64>,
    /// When requests were sent that have not begun.
    queue: Vec<u64>,
    sent: u32,
    unbegun: u32,
    taken: usize,
    looks: usize,
}

impl Play {
    fn step(&mut self, case: &Case, admission: &mut Admission, now_ms: u64) {
        let now = BootMs(now_ms);
        let is_counted = now_ms >= COUNTED_FROM_MS;
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
        self.unbegun += if is_counted { (queued - self.queue.len()) as u32 } else { 0 };
        let open = (self.running.len() + self.queue.len()) as u32;
        if now_ms.is_multiple_of(case.every_ms)
            && admission.admits(SERVICE, open, SLOTS as f64, SETTINGS.max_share)
        {
            self.queue.push(now_ms);
            self.sent += u32::from(is_counted);
        }
        if is_counted {
            self.taken += self.running.len();
            self.looks += 1;
        }
    }
}

// Guards against requests that lie unrun at a rank until their callers leave, while the entry sends more.
#[gtest]
fn few_requests_are_sent_that_never_begin() {
    let cases = [
        Case {
            name: "a little too much",
            every_ms: 70,
            stream_ms: 2_600,
            most_unbegun: 0.02,
            least_taken: 0.95,
        },
        Case {
            name: "far too much, slow passes",
            every_ms: 30,
            stream_ms: 4_600,
            most_unbegun: 0.1,
            least_taken: 0.9,
        },
        Case {
            name: "enough room",
            every_ms: 100,
            stream_ms: 1_500,
            most_unbegun: 0.0,
            least_taken: 0.45,
        },
    ];
    for case in cases {
        let mut admission = Admission::new(SETTINGS);
        let mut play = Play::default();
        for now_ms in (0..PLAY_MS).step_by(TICK_MS as usize) {
            play.step(&case, &mut admission, now_ms);
        }
        let unbegun = f64::from(play.unbegun) / f64::from(play.sent.max(1));
        let taken = play.taken as f64 / (play.looks * SLOTS) as f64;
        expect_that!(unbegun, le(case.most_unbegun), "{}: {taken:.2} taken", case.name);
        expect_that!(taken, ge(case.least_taken), "{}: {unbegun:.2} unbegun", case.name);
    }
}
