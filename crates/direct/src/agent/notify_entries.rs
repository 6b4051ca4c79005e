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
use crate::exchange_messages::{
    AgedBackendReport, BackendObservation, BackendReport, ExchangeRequest,
};
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

/// Number of entries to which a report is sent. Those that are sent it pass it on, and with several of
/// them the loss of some does no harm.
const NOTIFIED_ENTRIES: usize = 8;

/// Number of entries that are tried in place of one that does not answer.
const TRIES: usize = 2;

/// Maximum number of reports in one message, so that it stays within what entries accept.
const MAX_REPORTS_PER_MESSAGE: usize = 100;

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
        let observation = BackendObservation::Pace { permille };
        notify_some(&member, &client, &[BackendReport { address: backend, observation }]);
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
        let mut reports = Vec::new();
        for Reachability { machine, is_heard } in
            detector.update(boot_now(), &others, member.poll_round_ms.get())
        {
            let line = DecisionLog::fields("hearing").with("machine", machine);
            member.log.note(line.with("outcome", if is_heard { "heard" } else { "unheard" }));
            let observation = BackendObservation::AgentReachability { is_reachable: is_heard };
            let on_machine = addresses.iter().filter(|address| address.ip() == machine);
            reports.extend(on_machine.map(|it| BackendReport { address: *it, observation }));
        }
        if !reports.is_empty() {
            notify_some(&member, &client, &reports);
        }
    }
}

/// Sends reports to some entries, which pass them on to all others.
///
/// One message holds all reports. If each report went to each entry, the connections of a leader would
/// grow with the ranks of its group times the entries.
fn notify_some(member: &Member, client: &reqwest::Client, reports: &[BackendReport]) {
    let entries = member.fleet.sample_entries(NOTIFIED_ENTRIES * TRIES);
    let mut of_task = vec![Vec::new(); NOTIFIED_ENTRIES];
    for (index, entry) in entries.into_iter().enumerate() {
        of_task[index % NOTIFIED_ENTRIES].push(entry);
    }
    for reports in reports.chunks(MAX_REPORTS_PER_MESSAGE) {
        for entries in of_task.iter().filter(|entries| !entries.is_empty()) {
            let notifying = notify_one(client.clone(), entries.clone(), reports.to_vec());
            tokio::task::spawn_local(notifying);
        }
    }
}

/// Sends reports to the first of `entries` that answers.
async fn notify_one(
    client: reqwest::Client,
    entries: Vec<SocketAddr>,
    reports: Vec<BackendReport>,
) {
    let made_at = boot_now();
    // Entries of an earlier release read the first report only.
    let Some((first, others)) = reports.split_first() else { return };
    for entry in entries {
        let age_ms = boot_now().since(made_at);
        let others = others.iter().map(|report| AgedBackendReport { report: *report, age_ms });
        let request = ExchangeRequest {
            backend_report: Some(*first),
            backend_reports: others.collect(),
            ..ExchangeRequest::empty()
        };
        if exchange::send(&client, entry, &request).await.is_ok() {
            return;
        }
        metrics::counter!("hickorycross_exchange_failures_total").increment(1);
    }
}
