//! Sends long messages one after another at a limited rate, so that they do not saturate the link.

use super::member::Member;
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use hickorycross_core::map_change::LinkPace;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Maximum number of queued messages: two map changes of a group of 512 ranks. The leader repeats
/// orders that are dropped.
const MAX_QUEUED: usize = 64;

/// Queue of long messages that wait to be sent.
#[derive(Default)]
pub(super) struct PacedQueue {
    queued: RefCell<VecDeque<(SocketAddr, Vec<u8>)>>,
    added: Notify,
}

impl PacedQueue {
    /// Appends a message, or returns it if the queue is full.
    pub(super) fn push(&self, to: SocketAddr, bytes: Vec<u8>) -> Result<(), Vec<u8>> {
        let mut queued = self.queued.borrow_mut();
        if queued.len() >= MAX_QUEUED {
            return Err(bytes);
        }
        queued.push_back((to, bytes));
        self.added.notify_one();
        Ok(())
    }

    /// Waits for the next message and removes it from the queue.
    async fn next(&self) -> (SocketAddr, Vec<u8>) {
        loop {
            let next = self.queued.borrow_mut().pop_front();
            match next {
                Some(next) => return next,
                None => self.added.notified().await,
            }
        }
    }
}

/// Sends queued messages continuously.
pub(super) async fn run(member: Rc<Member>) {
    let mut pace = LinkPace::default();
    loop {
        let (to, bytes) = member.paced_queue.next().await;
        let length = bytes.len() as u64;
        let wait_ms = pace.wait_ms(boot_now(), length);
        if wait_ms > 0 {
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
        pace.note_sent(boot_now(), length);
        if let Err(error) = member.socket.send_to(&bytes, to).await {
            let line = DecisionLog::fields("datagram").with("to", to).with("error", error);
            member.log.note_routine(line.with("outcome", "lost"));
        }
    }
}
