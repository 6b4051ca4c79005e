//! The ranks of the group, which run each pass together.

use super::request::Request;
use hickorycross_core::direct::{BackendServer, BackendState};

pub(crate) const SERVICE: &str = "model";

/// Streams that a rank begins in a pass, and runs at a time.
const BEGUN_PER_PASS: usize = 2;
const SLOTS: u32 = 12;
/// Requests that a rank queues before it rejects more.
const MAX_QUEUED: usize = 24;

/// A request at a rank, by its number and that of the send.
#[derive(Clone, Copy)]
pub(crate) struct Job {
    pub(crate) request: usize,
    pub(crate) send: u32,
    /// Its urgency, and when it was sent.
    pub(crate) key: (u8, u64),
    pub(crate) events_left: u32,
}

/// A rank, and the state of the instance beside it.
#[derive(Default)]
pub(crate) struct Rank {
    pub(crate) queue: Vec<Job>,
    pub(crate) running: Vec<Job>,
    /// Whether the instance is frozen: the rank takes part in passes, but neither takes in requests
    /// and cancellations nor gives out events.
    pub(crate) is_frozen: bool,
}

impl Rank {
    pub(crate) fn rejects(&self) -> bool {
        !self.is_frozen && self.queue.len() >= MAX_QUEUED
    }

    pub(crate) fn take_in(&mut self, job: Job) {
        if !self.is_frozen {
            self.queue.push(job);
        }
    }

    /// Drops the last attempt of a request, if the cancellation arrives.
    pub(crate) fn cancel(&mut self, index: usize, request: &Request) {
        if self.is_frozen {
            return;
        }
        let is_kept = |job: &Job| job.request != index || job.send != request.sends;
        self.queue.retain(is_kept);
        self.running.retain(is_kept);
    }

    /// Runs a pass, and returns the streams that made an event in it.
    pub(crate) fn pass(&mut self) -> Vec<Job> {
        for job in &mut self.running {
            job.events_left -= 1;
        }
        let advanced = self.running.clone();
        self.running.retain(|job| job.events_left > 0);
        self.begin();
        advanced
    }

    /// Begins the most urgent requests of the queue.
    fn begin(&mut self) {
        self.queue.sort_by_key(|job| job.key);
        let free = (SLOTS as usize).saturating_sub(self.running.len());
        let count = free.min(BEGUN_PER_PASS).min(self.queue.len());
        self.running.extend(self.queue.drain(..count));
    }
}

/// Returns the backend server that entries know for a rank.
pub(crate) fn server(rank: usize) -> BackendServer {
    BackendServer {
        id: format!("r{rank}"),
        born_ms: 1,
        service: SERVICE.to_owned(),
        address: ([10, 0, 0, 1], rank as u16 + 1).into(),
        failure_domain: "a".to_owned(),
        slots: SLOTS,
        state: BackendState::Ready,
        listed_at_revision: 1,
    }
}
