//! Sends long messages one after the other, so that they do not fill the link.

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

/// Messages that wait: two changes of a group of 512 ranks. What is over is asked for again.
const MOST_WAITING: usize = 64;

/// Long messages that wait for the link.
#[derive(Default)]
pub(super) struct BulkQueue {
    waiting: RefCell<VecDeque<(SocketAddr, Vec<u8>)>>,
    added: Notify,
}

impl BulkQueue {
    /// Adds a message; gives it back when too many wait.
    pub(super) fn add(&self, to: SocketAddr, bytes: Vec<u8>) -> Result<(), Vec<u8>> {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MOST_WAITING {
            return Err(bytes);
        }
        waiting.push_back((to, bytes));
        self.added.notify_one();
        Ok(())
    }

    async fn next(&self) -> (SocketAddr, Vec<u8>) {
        loop {
            let next = self.waiting.borrow_mut().pop_front();
            match next {
                Some(next) => return next,
                None => self.added.notified().await,
            }
        }
    }
}

/// Sends what waits, for ever.
pub(super) async fn follow(member: Rc<Member>) {
    let mut pace = LinkPace::default();
    loop {
        let (to, bytes) = member.bulk.next().await;
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
