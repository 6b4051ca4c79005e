//! Measurements of map changes, takeovers, and the sizes of maps and messages.

#[allow(dead_code, reason = "each test binary uses a part of the support module")]
#[path = "support/group_fleet.rs"]
mod group_fleet;
#[allow(dead_code, reason = "each test binary uses a part of the support module")]
#[path = "support/group_scripts.rs"]
mod group_scripts;

use group_fleet::Fleet;
use group_scripts::{run_until_committed, run_until_finished, start_fleet};
use hickorycross_core::group::{ExpertMap, MapShape, Mechanisms};

/// A group for which the duration of a change and the longest gap between steps are measured.
struct Cost {
    members: usize,
    step_ms: u64,
    delay_ms: u64,
}

const COSTS: [Cost; 7] = [
    Cost { members: 1, step_ms: 5, delay_ms: 2 },
    Cost { members: 4, step_ms: 5, delay_ms: 2 },
    Cost { members: 4, step_ms: 50, delay_ms: 2 },
    Cost { members: 4, step_ms: 5, delay_ms: 100 },
    Cost { members: 8, step_ms: 5, delay_ms: 2 },
    Cost { members: 16, step_ms: 5, delay_ms: 2 },
    Cost { members: 32, step_ms: 5, delay_ms: 2 },
];

#[test]
fn a_change_delays_no_step() {
    for Cost { members, step_ms, delay_ms } in COSTS {
        let mut fleet = Fleet::new(31, members);
        fleet.conditions.step_ms = step_ms;
        fleet.conditions.delay_max_ms = delay_ms;
        fleet.start_all();
        fleet.run_for(12_000);
        fleet.longest_gap_ms = 0;
        let (start_ms, start_messages) = (fleet.now_ms, fleet.messages);
        fleet.propose();
        run_until_committed(&mut fleet);
        let committed_ms = fleet.now_ms - start_ms;
        run_until_finished(&mut fleet);
        let finished_ms = fleet.now_ms - start_ms;
        let messages_per_s = (fleet.messages - start_messages) * 1_000 / finished_ms;
        println!(
            "{members} members, {step_ms} ms a step, {delay_ms} ms one way: committed after \
             {committed_ms} ms, finished after {finished_ms} ms, longest gap {} ms, \
             {messages_per_s} messages/s in all",
            fleet.longest_gap_ms
        );
        assert_eq!(fleet.longest_gap_ms, step_ms);
    }
}

#[test]
fn takeover_time() {
    for members in [4, 8, 16, 32] {
        let mut fleet = start_fleet(32, members, Mechanisms::ALL);
        fleet.run_for(4_000);
        fleet.longest_gap_ms = 0;
        let start_ms = fleet.now_ms;
        fleet.kill(0);
        fleet.run_for(200);
        fleet.start(0);
        let took_over = fleet.run_until(20_000, |fleet| fleet.coordinator().is_some());
        fleet.run_for(4_000);
        println!(
            "{members} members: takeover {took_over:?} ms after the restart (killed at {start_ms}), \
             longest gap {} ms",
            fleet.longest_gap_ms
        );
        assert!(took_over.is_some());
    }
}

#[test]
fn map_references_depend_on_content() {
    let shape = MapShape { ranks: 32, experts: 256, layers: 60 };
    let map = ExpertMap::uniform(1, shape);
    assert!(map.fits(shape));
    assert_eq!(map.reference(), ExpertMap::uniform(1, shape).reference());
    let mut moved = map.clone();
    let expert = moved.layers[59].experts_of_rank[31].pop().expect("holds eight");
    assert!(!moved.fits(shape), "an expert without a rank");
    moved.layers[59].experts_of_rank[0].push(expert);
    assert!(moved.fits(shape));
    assert_ne!(moved.reference(), map.reference());
    assert_ne!(map.reference(), ExpertMap::uniform(2, shape).reference());
    moved.layers[0].experts_of_rank[0].push(256);
    assert!(!moved.fits(shape), "an expert that does not exist");
}

#[test]
fn message_sizes() {
    let shape = MapShape { ranks: 32, experts: 256, layers: 60 };
    let map = postcard::to_stdvec(&ExpertMap::uniform(1, shape)).expect("a map is plain data");
    println!("a map of 60 layers and 256 experts: {} bytes", map.len());
    assert!(map.len() < 64 << 10);
    let mut fleet = start_fleet(33, 4, Mechanisms::ALL);
    fleet.propose();
    run_until_committed(&mut fleet);
    fleet.counts_bytes = true;
    let start_messages = fleet.messages;
    fleet.run_for(2_000);
    let bytes = fleet.bytes;
    let messages = fleet.messages - start_messages;
    println!("heartbeats and reports during a map switch: {} bytes each", bytes / messages);
    println!("4 members: {} bytes/s in all", bytes / 2);
    assert!(bytes / messages < 256);
}
