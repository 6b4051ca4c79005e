//! What the random run of the whole system sees when one mechanism is missing.
//!
//! The agent's own guard is off as well, so that the observer is alone. Mechanisms that are not in
//! the table are covered by focused tests; `docs/PROMISES.md` lists them.

#[path = "whole_system/mod.rs"]
mod world;

use hickorycross_core::{agent, entry};
use world::World;
use world::adapter::Switches;

/// Seeds that are tried for each mechanism when the table is worked out anew.
const SEARCHED: u64 = 60;
/// Set to work the table out anew.
const SEARCH: &str = "HICKORYCROSS_SEARCH";

type Off<T> = fn(&mut T);

struct AgentCase {
    name: &'static str,
    off: Off<agent::Mechanisms>,
}

struct EntryCase {
    name: &'static str,
    off: Off<entry::Mechanisms>,
}

macro_rules! off {
    ($case:ident, $($name:ident),*) => {
        [$($case { name: stringify!($name), off: |m| m.$name = false }),*]
    };
}

fn agents() -> Vec<AgentCase> {
    off!(
        AgentCase,
        duplicate_detection,
        refusal_records,
        tombstones,
        forgotten_watermark,
        deadline_recheck,
        expiry_sweep,
        incarnation_check,
        owner_check,
        eviction,
        team_fairness,
        tier_floors,
        orphan_abort,
        retention,
        retention_cap,
        key_table,
        key_content_check,
        key_home_check,
        key_recheck_at_start,
        key_unknown_horizon,
        key_moved_homes,
        key_future_check,
        keyed_run_kept,
        hand_back_on_drain,
        hand_back_on_backend_down,
        drain_waits_for_acknowledgement
    )
    .into()
}

fn entries() -> Vec<EntryCase> {
    off!(
        EntryCase,
        revoke,
        reattach,
        fresh_link_on_silence,
        heartbeats,
        end_marker_check,
        chunk_order,
        attempt_id_check,
        incarnation_binding,
        retry_only_not_run,
        no_retry_after_begin,
        deadline_check,
        agent_leaving,
        key_home_only
    )
    .into()
}

#[test]
fn search() {
    if std::env::var_os(SEARCH).is_none() {
        return;
    }
    let mut cases: Vec<(String, Switches)> = vec![("none".into(), Switches::default())];
    for case in agents() {
        let mut mechanisms = agent::Mechanisms { start_guard: false, ..Default::default() };
        (case.off)(&mut mechanisms);
        cases.push((
            format!("agent {}", case.name),
            Switches { agent: Some(mechanisms), entry: None },
        ));
    }
    for case in entries() {
        let mut mechanisms = entry::Mechanisms::ALL;
        (case.off)(&mut mechanisms);
        cases.push((
            format!("entry {}", case.name),
            Switches { entry: Some(mechanisms), agent: None },
        ));
    }
    for (name, switches) in cases {
        let outcomes = world::run_all(0..SEARCHED, switches);
        println!("{name}: {} of {SEARCHED}", outcomes.failures.len());
        for failure in outcomes.failures.iter().take(4) {
            println!("    {}", &failure[..failure.len().min(230)]);
        }
    }
}
