//! Tests of the reports about an uneven group that keeps its map.

#[path = "support/rank_status.rs"]
mod rank_status;

use googletest::prelude::*;
use hickorycross_core::direct::{BootMs, GroupDimensions};
use hickorycross_core::map_change::{Armed, CountsSample, Leader, Obstacle, RankStatus};
use rank_status::open_rank;

const RANKS: u16 = 4;
const DIMENSIONS: GroupDimensions = GroupDimensions {
    layers: 1,
    experts_per_layer: 8,
    expert_slots_per_rank: 4,
    spare_slots_per_rank: 2,
};
const TICK_MS: u64 = 50;
/// Time from which the fault of a case is present.
const FAULT_AT_MS: u64 = 1_000;
/// Time from which one expert is in demand. A rank that went silent with the fault has no recent
/// status by then.
const UNEVEN_AT_MS: u64 = 2_200;
const END_MS: u64 = 5_000;

struct Case {
    name: &'static str,
    /// Changes the status of a rank during the fault; nothing if the rank is silent.
    report: fn(RankStatus) -> Option<RankStatus>,
    obstacle: Option<Obstacle>,
}

/// Returns the status of a rank of a group in which one expert is in demand.
fn uneven_rank(rank: u16) -> RankStatus {
    let choices: Vec<u32> =
        (0..8).map(|expert| if expert == 0 { 90_000 } else { 10_000 }).collect();
    let own = (0..8).filter(|expert| expert % RANKS == rank).collect();
    let counts = CountsSample::of(&choices);
    RankStatus { counts, experts: Some(vec![own]), ..open_rank(rank, RANKS) }
}

/// Returns the status of a rank of a group with balanced demand.
fn even_rank(rank: u16) -> RankStatus {
    RankStatus { counts: CountsSample::of(&[50_000; 8]), ..uneven_rank(rank) }
}

fn on_rank_2(status: RankStatus, report: impl Fn(RankStatus) -> RankStatus) -> Option<RankStatus> {
    Some(if status.rank == 2 { report(status) } else { status })
}

// Guards against a leader that begins no change in an uneven group and does not report why.
#[gtest]
fn the_leader_reports_why_an_uneven_group_keeps_its_map() {
    let cases = [
        Case { name: "balanced", report: |it| Some(even_rank(it.rank)), obstacle: None },
        Case {
            name: "a rank is silent",
            report: |status| (status.rank != 2).then_some(status),
            obstacle: Some(Obstacle::RankMissed { rank: 2, age_ms: Some(4_050) }),
        },
        Case {
            name: "a rank reports a later epoch",
            report: |status| on_rank_2(status, |it| RankStatus { epoch: 2, ..it }),
            obstacle: Some(Obstacle::OtherEpoch { rank: 2 }),
        },
        Case {
            name: "the group is not open",
            report: |status| on_rank_2(status, |it| RankStatus { is_open: false, ..it }),
            obstacle: Some(Obstacle::NotOpen { rank: 2 }),
        },
        Case {
            name: "a rank is armed and no pass is held",
            report: |status| {
                let armed = Some(Armed { version: 7 << 20, step: 99 });
                on_rank_2(status, |it| RankStatus { armed, ..it })
            },
            obstacle: Some(Obstacle::Armed { rank: 2 }),
        },
        Case {
            name: "a rank is read over the network",
            report: |status| on_rank_2(status, |it| RankStatus { is_read_remotely: true, ..it }),
            obstacle: Some(Obstacle::NotAligned { rank: 2 }),
        },
        Case {
            name: "no rank answers the order to prepare",
            report: Some,
            obstacle: Some(Obstacle::Phase("preparing")),
        },
    ];
    for case in cases {
        let mut leader = Leader::new("g", 0, 1 << 20, 1);
        let mut notes = Vec::new();
        for now_ms in (0..=END_MS).step_by(TICK_MS as usize) {
            let now = BootMs(10_000 + now_ms);
            let statuses = (0..RANKS).filter_map(|rank| {
                let is_even = now_ms < UNEVEN_AT_MS;
                let status = if is_even { even_rank(rank) } else { uneven_rank(rank) };
                if now_ms < FAULT_AT_MS { Some(status) } else { (case.report)(status) }
            });
            statuses.for_each(|status| leader.on_status(now, status, &DIMENSIONS));
            leader.tick(now, &DIMENSIONS);
            notes.extend(leader.uneven_note(now).map(|note| (now_ms, note)));
        }
        let last = notes.last().map(|(_, note)| note.obstacle);
        let is_same_kind = last.map(|it| (it.as_str(), it.rank()))
            == case.obstacle.map(|it| (it.as_str(), it.rank()));
        expect_true!(is_same_kind, "{}: {last:?}", case.name);
        let has_age = |it: Option<Obstacle>| it.and_then(|it| it.age_ms()).is_some();
        expect_that!(has_age(last), eq(has_age(case.obstacle)), "{}", case.name);
        let pauses = notes.windows(2).map(|pair| pair[1].0 - pair[0].0);
        expect_that!(pauses.min().unwrap_or(1_000), ge(1_000), "{}: once a second", case.name);
        if case.obstacle.is_some() {
            expect_that!(leader.uneven_ms(BootMs(10_000 + END_MS)), ge(2_500), "{}", case.name);
        }
    }
}
