//! Measures how long a rank holds passes, as its agent observes it.

use crate::direct::BootMs;

/// A change of the hold that an agent observes at its rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldEvent {
    /// The rank has begun to hold a pass.
    Begun {
        /// Number of the pass.
        step: u64,
    },
    /// The rank has released the pass.
    Ended {
        /// Number of the pass.
        step: u64,
        /// Time for which the pass was held.
        held_ms: u64,
        /// Part of that time in which no earlier pass was left to begin: the duration of the last
        /// earlier pass, followed by the time for which the group was stalled.
        last_pass_ms: u64,
    },
}

/// Tracks the pass that a rank holds.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldClock {
    held: Option<Held>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    step: u64,
    since: BootMs,
    last_pass_since: Option<BootMs>,
}

impl HoldClock {
    /// Records the last pass that has begun and the held pass. Returns the change since the
    /// previous call, if any.
    pub fn note(&mut self, now: BootMs, step: u64, held_step: Option<u64>) -> Option<HoldEvent> {
        if let Some(held) = self.held.filter(|held| Some(held.step) != held_step) {
            self.held = None;
            return Some(HoldEvent::Ended {
                step: held.step,
                held_ms: now.since(held.since),
                last_pass_ms: held.last_pass_since.map_or(0, |since| now.since(since)),
            });
        }
        let held_step = held_step?;
        let begun = self.held.is_none().then_some(HoldEvent::Begun { step: held_step });
        let held =
            self.held.get_or_insert(Held { step: held_step, since: now, last_pass_since: None });
        if step + 1 >= held_step {
            held.last_pass_since.get_or_insert(now);
        }
        begun
    }
}
