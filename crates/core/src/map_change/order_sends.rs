//! Whether ranks leave orders unanswered.

/// Weight of the newest order in the running mean, for about the last ten.
const NEWEST_WEIGHT: f64 = 0.1;

/// Mean copies of an order from which on orders count as lost; one is enough where none is.
const LOSSY_SENDS: f64 = 1.3;

/// How many copies of an order ranks need lately.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrderSends {
    mean: f64,
}

impl Default for OrderSends {
    fn default() -> Self {
        Self { mean: 1.0 }
    }
}

impl OrderSends {
    /// Notes an order that was answered after `sends` copies.
    pub(super) fn note(&mut self, sends: u32) {
        self.mean += (f64::from(sends) - self.mean) * NEWEST_WEIGHT;
    }

    /// Whether orders get lost.
    pub(super) fn are_lost(&self) -> bool {
        self.mean >= LOSSY_SENDS
    }
}
