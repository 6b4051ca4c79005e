//! How long a rank holds passes, as its agent sees it.

use crate::direct::BootMs;

/// What an agent's look at its rank shows of a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldEvent {
    /// The rank holds the pass `step` since this look.
    Begun {
        /// The pass.
        step: u64,
    },
    /// It has let it go.
    Ended {
        /// The pass.
        step: u64,
        /// Time for which it was held.
        held_ms: u64,
        /// Part of that in which no earlier pass was left to begin: the last of them, and after its end the
        /// time for which the group stood.
        last_pass_ms: u64,
    },
}

/// The pass that a rank holds.
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
    /// Notes what the rank says: the last pass that was begun, and the one that it holds.
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
