//! Reports conditions of backend servers to the entries that these cannot detect soon enough
//! themselves.
//!
//! - The rank of this agent is slow. A group advances at the speed of its slowest rank, so
//!   every pass gets shorter when entries send no new requests there.
//! - Another agent does not answer, reported while this agent leads. See [`SilenceDetector`].

use super::member::Member;
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use crate::exchange;
use crate::exchange_messages::{BackendObservation, BackendReport, ExchangeRequest};
use crate::peer_call;
use hickorycross_core::map_change::{Reachability, SilenceDetector, machines_to_monitor};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks for something to report. The pace of the rank and the messages of other
/// agents arrive about as often.
const CHECK_INTERVAL_MS: u64 = 100;

/// Duration of the rank's work, in thousandths of the usual one, from which it counts as slow.
const MIN_SLOW_PERMILLE: u32 = 1_200;

/// Number of checks after which a slow pace is reported again. Entries discard the report after 3
/// s.
const CHECKS_UNTIL_REPEAT: u32 = 20;

/// Reports changes of the pace of the own rank, continuously.
pub(crate) async fn report_pace(member: Rc<Member>, backend: SocketAddr) {
    let client = peer_call::client();
    let mut reported_permille = 1_000;
    let mut checks = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let permille = member.pace_permille.get();
        let is_slow = permille >= MIN_SLOW_PERMILLE;
        let has_changed = permille.abs_diff(reported_permille) > MIN_SLOW_PERMILLE - 1_000;
        checks += 1;
        if !has_changed && (!is_slow || checks < CHECKS_UNTIL_REPEAT) {
            continue;
        }
        checks = 0;
        reported_permille = permille;
        let line = DecisionLog::fields("pace").with("pace_permille", permille);
        member.log.note(line.with("outcome", "told"));
        notify_all(
            &member,
            &client,
            BackendReport { address: backend, observation: BackendObservation::Pace { permille } },
        );
    }
}

/// Reports which other agents of the group answer, continuously while this agent leads.
pub(crate) async fn report_reachability(member: Rc<Member>) {
    let client = peer_call::client();
    let mut detector = SilenceDetector::default();
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        if member.leader.borrow().is_none() {
            detector.clear();
            continue;
        }
        let replaced = member.silent_ranks.replaced_machine();
        let others = machines_to_monitor(&member.agents.borrow(), replaced, member.machine);
        let others: Vec<_> =
            others.into_iter().map(|it| member.silent_ranks.last_contact(it)).collect();
        let addresses = member.fleet.addresses();
        for Reachability { machine, is_heard } in
            detector.update(boot_now(), &others, member.poll_round_ms.get())
        {
            let line = DecisionLog::fields("hearing").with("machine", machine);
            member.log.note(line.with("outcome", if is_heard { "heard" } else { "unheard" }));
            for address in addresses.iter().filter(|address| address.ip() == machine) {
                let observation = BackendObservation::AgentReachability { is_reachable: is_heard };
                notify_all(&member, &client, BackendReport { address: *address, observation });
            }
        }
    }
}

/// Sends a report to all known entries.
fn notify_all(member: &Member, client: &reqwest::Client, report: BackendReport) {
    for entry in member.fleet.entries() {
        tokio::task::spawn_local(notify(client.clone(), entry, report));
    }
}

async fn notify(client: reqwest::Client, entry: SocketAddr, report: BackendReport) {
    let request = ExchangeRequest { backend_report: Some(report), ..ExchangeRequest::empty() };
    if exchange::send(&client, entry, &request).await.is_err() {
        metrics::counter!("hickorycross_exchange_failures_total").increment(1);
    }
}
