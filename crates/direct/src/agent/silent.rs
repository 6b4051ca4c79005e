//! Stands in for agents that are not heard.
//!
//! A leader that dies between two orders leaves its group standing until somebody lets it go. The
//! machine may be frozen for seconds while its rank works on; the new leader then reads the rank and
//! gives it orders over the network. That costs more than on the own machine, so it is done only
//! while an agent is silent.

use super::member::Member;
use super::rank::RankEngine;
use super::status::status_of;
use crate::clock::boot_now;
use crate::decision_log::DecisionLog;
use hickorycross_core::direct::BootMs;
use hickorycross_core::map_change::{Leader, RankStatus};
use indexmap::IndexMap;
use std::cell::RefCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Silence of an agent from which its rank is read from afar: several polls, two in a large group.
const SILENT_MS: u64 = 800;

/// Pause between readings from afar; the leader decides on words up to 1 s old.
const READ_PAUSE_MS: u64 = 350;

/// Ranks that are read and ordered from afar, and when agents of machines were heard.
#[derive(Default)]
pub(crate) struct SilentRanks {
    engines: RefCell<IndexMap<u16, Rc<dyn RankEngine>>>,
    heard_at: RefCell<IndexMap<IpAddr, BootMs>>,
}

impl SilentRanks {
    /// Notes that the agent of a machine is heard.
    pub(crate) fn heard(&self, machine: IpAddr) {
        self.heard_at.borrow_mut().insert(machine, boot_now());
    }

    /// The client of a rank whose agent is silent.
    pub(crate) fn engine(&self, rank: u16) -> Option<Rc<dyn RankEngine>> {
        self.engines.borrow().get(&rank).cloned()
    }

    /// Whether a rank's agent is not heard.
    pub(crate) fn has(&self, rank: u16) -> bool {
        self.engines.borrow().contains_key(&rank)
    }

    fn is_silent(&self, machine: IpAddr) -> bool {
        let heard_at = self.heard_at.borrow().get(&machine).copied();
        heard_at.is_none_or(|at| boot_now().since(at) > SILENT_MS)
    }
}

/// Reads silent ranks for ever, while this agent leads.
pub(crate) async fn follow(member: Rc<Member>) {
    loop {
        tokio::time::sleep(Duration::from_millis(READ_PAUSE_MS)).await;
        let silent = match member.leader.borrow().as_ref() {
            Some(leader) => leader.silent_ranks(boot_now(), SILENT_MS),
            None => Vec::new(),
        };
        member.silent.engines.borrow_mut().retain(|rank, _| silent.contains(rank));
        if silent.is_empty() {
            continue;
        }
        let addresses = member.fleet.addresses();
        for address in addresses.into_iter().filter(|it| member.silent.is_silent(it.ip())) {
            tokio::task::spawn_local(read(Rc::clone(&member), address));
        }
    }
}

async fn read(member: Rc<Member>, address: SocketAddr) {
    let engine = member.engines.at(address);
    let report = match engine.report().await {
        Ok(report) => report,
        Err(error) => {
            let line = DecisionLog::fields("rank-from-afar").with("address", address);
            member.log.note(line.with("error", error).with("outcome", "unanswered"));
            return;
        }
    };
    let Some(told) = status_of(report) else { return };
    let status = RankStatus { is_from_afar: true, ..told };
    let is_ours = |leader: &Leader| leader.group() == status.group;
    if !member.leader.borrow().as_ref().is_some_and(is_ours) {
        return;
    }
    let line = DecisionLog::fields("rank-from-afar").with("address", address);
    let line = line.with("rank", status.rank).with("epoch", status.epoch);
    member.log.note(line.with_some("held_step", status.held_step).with("outcome", "read"));
    member.silent.engines.borrow_mut().insert(status.rank, engine);
    let Some(dimensions) = member.fleet.dimensions() else { return };
    if let Some(leader) = member.leader.borrow_mut().as_mut() {
        leader.on_status(boot_now(), status, &dimensions);
        member.news.notify_one();
    }
}
