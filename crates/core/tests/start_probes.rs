//! Tests which agents a new process contacts before it serves requests.

use googletest::prelude::*;
use hickorycross_core::adoption::StartGate;
use hickorycross_core::{Instance, InstanceId, InstanceState, LinkId, Now, Role};
use indexmap::{IndexMap, IndexSet};

const DOMAINS: u8 = 7;
const AGENTS: u8 = 70;
const NEW_ENTRIES: u32 = 700;

fn agents() -> Vec<Instance> {
    let rows = (0..AGENTS).map(|number| Instance {
        id: InstanceId::new(&format!("agent-{number}")),
        role: Role::Agent { backend_server: format!("runner-{number}").as_str().into() },
        link_address: ([10, 0, 0, number], 7400).into(),
        failure_domain: format!("domain-{}", number % DOMAINS).as_str().into(),
        state: InstanceState::Live,
    });
    rows.collect()
}

/// Guards against three agents that run out of memory when the whole fleet starts, because every
/// process reads the same list and opens links to its first agents.
#[gtest]
fn a_fleet_that_starts_at_once_spreads_its_probes() {
    let list = agents();
    let mut probed: IndexMap<InstanceId, u32> = IndexMap::new();
    for number in 0..NEW_ENTRIES {
        let own = InstanceId::new(&format!("entry-{number}"));
        let probes = StartGate::new(own, LinkId(1)).update_instances(Now::at(0), &list);
        let domain_of = |id: &InstanceId| {
            let row = list.iter().find(|row| row.id == *id);
            row.map(|row| row.failure_domain.clone())
        };
        let domains: IndexSet<_> = probes.iter().map(|probe| domain_of(&probe.instance)).collect();
        expect_that!(domains.len(), eq(3));
        for probe in probes {
            *probed.entry(probe.instance).or_default() += 1;
        }
    }
    // 2,100 probes over 70 agents are 30 each on average; five standard deviations above that are
    // 58.
    expect_that!(probed.len(), eq(usize::from(AGENTS)));
    expect_that!(probed.values().max(), some(le(&58)));
}
