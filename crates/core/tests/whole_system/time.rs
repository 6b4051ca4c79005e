//! Virtual time: what happens next.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One thing that will happen.
struct Due<T> {
    at_ms: u64,
    order: u64,
    what: T,
}

impl<T> PartialEq for Due<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.order) == (other.at_ms, other.order)
    }
}

impl<T> Eq for Due<T> {}

impl<T> PartialOrd for Due<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Due<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.order).cmp(&(other.at_ms, other.order))
    }
}

/// What will happen, in order; equal moments in the order in which they were set.
pub(crate) struct Agenda<T> {
    due: BinaryHeap<Reverse<Due<T>>>,
    next_order: u64,
}

impl<T> Agenda<T> {
    pub(crate) fn new() -> Self {
        Self { due: BinaryHeap::new(), next_order: 0 }
    }

    pub(crate) fn set(&mut self, at_ms: u64, what: T) {
        self.due.push(Reverse(Due { at_ms, order: self.next_order, what }));
        self.next_order += 1;
    }

    pub(crate) fn next(&mut self) -> Option<(u64, T)> {
        self.due.pop().map(|Reverse(due)| (due.at_ms, due.what))
    }
}
