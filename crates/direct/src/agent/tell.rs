//! Tells entries when the rank beside this agent is slow.
//!
//! A group advances as slowly as its slowest rank's own work. Entries that send nothing new there
//! shorten every pass; only the rank itself knows early that it is slow.

use super::member::Member;
use crate::decision_log::DecisionLog;
use crate::exchange::{self, BackendPace, Question};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Pause between looks at what the rank last said of its pace; the leader has it asked about as often.
const LOOK_MS: u64 = 100;

/// Pace in thousandths from which a rank counts as slow.
const SLOW_PERMILLE: u32 = 1_200;

/// Looks after which a slow pace is said again: entries believe it for 3 s.
const LOOKS_UNTIL_SAID_AGAIN: u32 = 20;

/// Looks at the rank's pace for ever.
pub(crate) async fn follow(member: Rc<Member>, backend: SocketAddr) {
    let client = exchange::client();
    let mut said_permille = 1_000;
    let mut looks = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let permille = member.pace_permille.get();
        let is_slow = permille >= SLOW_PERMILLE;
        let has_changed = permille.abs_diff(said_permille) > SLOW_PERMILLE - 1_000;
        looks += 1;
        if !has_changed && (!is_slow || looks < LOOKS_UNTIL_SAID_AGAIN) {
            continue;
        }
        looks = 0;
        said_permille = permille;
        let line = DecisionLog::fields("pace").with("pace_permille", permille);
        member.log.note(line.with("outcome", "told"));
        for entry in member.fleet.entries() {
            tokio::task::spawn_local(tell(client.clone(), entry, backend, permille));
        }
    }
}

async fn tell(client: reqwest::Client, entry: SocketAddr, backend: SocketAddr, permille: u32) {
    let pace = Some(BackendPace { address: backend, permille });
    // The versions say that nothing is to be sent back.
    let question = Question { from: None, version: u64::MAX, backends_as_of: u64::MAX, pace };
    if exchange::call(&client, entry, &question).await.is_err() {
        metrics::counter!("hickorycross_exchange_failures_total").increment(1);
    }
}
