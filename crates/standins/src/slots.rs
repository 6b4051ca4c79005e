//! Slots of a backend stand-in, given by priority, then by arrival.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// A fixed number of slots.
#[derive(Clone, Debug)]
pub(crate) struct Slots(Arc<Mutex<Table>>);

#[derive(Debug)]
struct Table {
    total: u32,
    taken: u32,
    waiting: Vec<Waiter>,
}

#[derive(Debug)]
struct Waiter {
    priority: u8,
    sender: oneshot::Sender<Slot>,
}

/// A slot; given back when dropped.
#[derive(Debug)]
pub(crate) struct Slot(Slots);

impl Slots {
    pub(crate) fn new(total: u32) -> Self {
        Self(Arc::new(Mutex::new(Table { total, taken: 0, waiting: Vec::new() })))
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_total(&self, total: u32) {
        self.lock().total = total;
        self.hand_out();
    }

    pub(crate) fn taken(&self) -> u32 {
        self.lock().taken
    }

    /// Waits for a slot; lower `priority` goes first.
    pub(crate) async fn take(&self, priority: u8) -> Option<Slot> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut table = self.lock();
            // Behind all of the same priority, so that these stay in order of arrival.
            let place = table.waiting.partition_point(|other| other.priority <= priority);
            table.waiting.insert(place, Waiter { priority, sender });
        }
        self.hand_out();
        receiver.await.ok()
    }

    fn hand_out(&self) {
        loop {
            let sender = {
                let mut table = self.lock();
                table.waiting.retain(|waiter| !waiter.sender.is_closed());
                if table.taken >= table.total || table.waiting.is_empty() {
                    return;
                }
                table.taken += 1;
                table.waiting.remove(0).sender
            };
            // A waiter that has just gone gives the slot back by dropping it.
            let _left = sender.send(Slot(self.clone()));
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        {
            let mut table = self.0.lock();
            table.taken = table.taken.saturating_sub(1);
        }
        self.0.hand_out();
    }
}
