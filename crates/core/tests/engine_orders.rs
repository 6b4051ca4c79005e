//! Which orders an engine may be told.

use googletest::prelude::*;
use hickorycross_core::map_change::{
    EngineOrder, EngineOrderKind, KnownMaps, OrderKind, RankOrder,
};
use hickorycross_core::placement::{ExpertMap, MapChange};
use std::sync::Arc;

const RANKS: u16 = 2;
const EXPERTS: u16 = 4;

fn map(of_first: &[u16]) -> Arc<ExpertMap> {
    Arc::new(ExpertMap::around(0, RANKS, &[of_first.to_vec()], EXPERTS))
}

fn order(kind: OrderKind) -> RankOrder {
    RankOrder { epoch: 1, fence: 2, kind }
}

struct Case {
    kind: OrderKind,
    told: Option<EngineOrderKind>,
}

/// Guards against an order that reaches an engine without its map or its pass.
#[gtest]
fn only_whole_orders_are_told() {
    let (before, after) = (map(&[0, 1]), map(&[0, 2]));
    let change = Arc::new(MapChange::between(&before, &after));
    let cases = [
        Case {
            kind: OrderKind::Prepare { version: 5, map: Arc::clone(&after) },
            told: Some(EngineOrderKind::Prepare { version: 5, map: Arc::clone(&after) }),
        },
        Case { kind: OrderKind::PrepareChange { version: 5, base: 4, change }, told: None },
        Case { kind: OrderKind::Void { version: 5, experts_per_layer: EXPERTS }, told: None },
        Case { kind: OrderKind::HoldAhead { steps: 1 }, told: None },
        Case {
            kind: OrderKind::Arm { version: 5, step: 7 },
            told: Some(EngineOrderKind::Arm { version: 5, step: 7 }),
        },
        Case {
            kind: OrderKind::Disarm { version: 5 },
            told: Some(EngineOrderKind::Disarm { version: 3 }),
        },
        Case { kind: OrderKind::Fence { step: 7 }, told: Some(EngineOrderKind::Fence) },
        Case { kind: OrderKind::Hold { step: 7 }, told: Some(EngineOrderKind::Hold { step: 7 }) },
        Case { kind: OrderKind::Go { step: 7 }, told: Some(EngineOrderKind::Go { step: 7 }) },
    ];
    for case in cases {
        let name = case.kind.as_str();
        let told = EngineOrder::of(&order(case.kind), Some(3)).map(|told| told.kind);
        expect_that!(told, eq(&case.told), "{name}");
    }
}

/// Guards against a change of a known map that is told as if the map were not known.
#[gtest]
fn a_change_of_a_known_map_becomes_whole() {
    let (before, after) = (map(&[0, 1]), map(&[0, 2]));
    let change = Arc::new(MapChange::between(&before, &after));
    let mut known = KnownMaps::default();
    let changed = OrderKind::PrepareChange { version: 5, base: 4, change };
    expect_that!(known.resolve(&changed), err(anything()), "the base was never told");
    let base = OrderKind::Prepare { version: 4, map: before };
    expect_that!(known.resolve(&base), ok(eq(&base)));
    let whole = known.resolve(&changed).ok();
    let told = whole.and_then(|kind| EngineOrder::of(&order(kind), None)).map(|told| told.kind);
    expect_that!(told, some(eq(&EngineOrderKind::Prepare { version: 5, map: after })));
}
