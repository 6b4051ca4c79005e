//! Tells entries what they cannot see soon enough by themselves.
//!
//! - That the rank beside this agent is slow. A group advances as slowly as its slowest rank's own work;
//!   entries that send nothing new there shorten every pass.
//! - While this agent leads, that another one is not heard. See [`SilenceDetector`].

use super::member::Member;
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::exchange::{self, BackendWord, ExchangeRequest, Said};
use crate::peer_call;
use hickorycross_core::map_change::{Reachability, SilenceDetector, machines_to_monitor};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Pause between looks at what is to be told. Ranks are asked for their pace, and other agents heard, about as
/// often.
const LOOK_MS: u64 = 100;

/// Pace in thousandths from which a rank counts as slow.
const SLOW_PERMILLE: u32 = 1_200;

/// Looks after which a slow pace is said again: entries believe it for 3 s.
const LOOKS_UNTIL_SAID_AGAIN: u32 = 20;

/// Looks at the rank's pace for ever.
pub(crate) async fn follow(member: Rc<Member>, backend: SocketAddr) {
    let client = peer_call::client();
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
        tell_all(&member, &client, BackendWord { address: backend, said: Said::Pace { permille } });
    }
}

/// While this agent leads, looks for ever at which others it hears.
pub(crate) async fn follow_hearing(member: Rc<Member>) {
    let client = peer_call::client();
    let mut unheard = SilenceDetector::default();
    loop {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        if member.leader.borrow().is_none() {
            unheard.clear();
            continue;
        }
        let given_up = member.silent.given_up_machine();
        let others = machines_to_monitor(&member.ranks.borrow(), given_up, member.machine);
        let others: Vec<_> = others.into_iter().map(|it| member.silent.of(it)).collect();
        let addresses = member.fleet.addresses();
        for Reachability { machine, is_heard } in unheard.update(boot_now(), &others) {
            let line = DecisionLog::fields("hearing").with("machine", machine);
            member.log.note(line.with("outcome", if is_heard { "heard" } else { "unheard" }));
            for address in addresses.iter().filter(|address| address.ip() == machine) {
                let said = Said::Hearing { is_heard };
                tell_all(&member, &client, BackendWord { address: *address, said });
            }
        }
    }
}

fn tell_all(member: &Member, client: &reqwest::Client, word: BackendWord) {
    for entry in member.fleet.entries() {
        tokio::task::spawn_local(tell(client.clone(), entry, word));
    }
}

async fn tell(client: reqwest::Client, entry: SocketAddr, word: BackendWord) {
    let question = ExchangeRequest { word: Some(word), ..ExchangeRequest::of_nothing() };
    if exchange::call(&client, entry, &question).await.is_err() {
        metrics::counter!("hickorycross_exchange_failures_total").increment(1);
    }
}
