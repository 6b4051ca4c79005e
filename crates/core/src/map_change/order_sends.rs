//! Tracks whether orders to ranks get lost.

/// Weight of the newest order in the exponential moving average, which spans about ten orders.
const NEWEST_WEIGHT: f64 = 0.1;

/// Mean number of sends per order from which the link counts as lossy; without loss it is 1.
const LOSSY_SENDS: f64 = 1.3;

/// Moving average of the number of sends that an order needs.
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
    /// Records an order that was answered after `sends` sends.
    pub(super) fn note(&mut self, sends: u32) {
        self.mean += (f64::from(sends) - self.mean) * NEWEST_WEIGHT;
    }

    /// Returns whether orders get lost.
    pub(super) fn is_lossy(&self) -> bool {
        self.mean >= LOSSY_SENDS
    }
}
