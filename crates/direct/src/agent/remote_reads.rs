//! Reads ranks whose agents are silent over the network, while this agent leads.

use super::member::Member;
use super::silent_ranks::MAX_SILENCE_MS;
use super::status::status_from_report;
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use hickorycross_core::map_change::{Leader, RankStatus, servers_to_read};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Interval between reads. The leader bases decisions on statuses that are up to 1 s old.
const READ_PAUSE_MS: u64 = 350;

/// The same while a pass is held, when the group may be stalled.
const HELD_READ_PAUSE_MS: u64 = 60;

/// Reads silent ranks continuously while this agent leads.
pub(crate) async fn run(member: Rc<Member>) {
    let mut read_at = boot_now();
    loop {
        tokio::time::sleep(Duration::from_millis(HELD_READ_PAUSE_MS)).await;
        let now = boot_now();
        let (silent, is_held, silent_ms) = match member.leader.borrow().as_ref() {
            Some(leader) => {
                let is_held = leader.is_held();
                let silent_ms = if is_held { leader.max_silence_ms() } else { MAX_SILENCE_MS };
                (leader.silent_ranks(now, silent_ms), is_held, silent_ms)
            }
            None => (Vec::new(), false, MAX_SILENCE_MS),
        };
        if !is_held && now.since(read_at) < READ_PAUSE_MS {
            continue;
        }
        read_at = now;
        member.silent_ranks.clients.borrow_mut().retain(|rank, _| silent.contains(rank));
        if silent.is_empty() {
            continue;
        }
        let is_silent = |it: &SocketAddr| member.silent_ranks.is_silent(it.ip(), silent_ms);
        let servers: Vec<SocketAddr> =
            member.fleet.addresses().into_iter().filter(is_silent).collect();
        let servers = servers_to_read(&silent, &member.agents.borrow(), &servers, &mut rand::rng());
        for address in servers {
            tokio::task::spawn_local(read_rank(Rc::clone(&member), address));
        }
    }
}

/// Reads the rank at an address and passes its status to the leader if it is of the leader's group.
async fn read_rank(member: Rc<Member>, address: SocketAddr) {
    let client = member.rank_clients.remote(address);
    let report = match client.report().await {
        Ok(report) => report,
        Err(error) => {
            let line = DecisionLog::fields("rank-from-afar").with("address", address);
            member.log.note(line.with("error", error).with("outcome", "unanswered"));
            return;
        }
    };
    let Some(status) = status_from_report(report) else { return };
    let status = RankStatus { is_read_remotely: true, ..status };
    let is_ours = |leader: &Leader| leader.group() == status.group;
    if !member.leader.borrow().as_ref().is_some_and(is_ours) {
        return;
    }
    let line = DecisionLog::fields("rank-from-afar").with("address", address);
    let line = line.with("rank", status.rank).with("epoch", status.epoch);
    member.log.note(line.with_some("held_step", status.held_step).with("outcome", "read"));
    member.silent_ranks.clients.borrow_mut().insert(status.rank, client);
    let Some(dimensions) = member.fleet.dimensions() else { return };
    if let Some(leader) = member.leader.borrow_mut().as_mut() {
        leader.on_status(boot_now(), status, &dimensions);
        member.leader_wakeup.notify_one();
    }
}
