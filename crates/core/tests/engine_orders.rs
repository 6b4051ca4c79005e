//! Tests of which orders may be passed to an engine.

use googletest::prelude::*;
use hickorycross_core::map_change::{
    EngineOrder, EngineOrderKind, KnownMaps, OrderKind, RankOrder,
};
use hickorycross_core::placement::{ExpertMap, MapDelta};
use std::sync::Arc;

const RANKS: u16 = 2;
const EXPERTS: u16 = 4;

fn map(experts_of_first: &[u16]) -> Arc<ExpertMap> {
    Arc::new(ExpertMap::from_known_rank(0, RANKS, &[experts_of_first.to_vec()], EXPERTS))
}

fn order(kind: OrderKind) -> RankOrder {
    RankOrder { epoch: 1, fence: 2, kind }
}

struct Case {
    kind: OrderKind,
    engine_order: Option<EngineOrderKind>,
}

/// Guards against an order that reaches an engine without its map or the number of its pass.
#[gtest]
fn only_complete_orders_reach_the_engine() {
    let (before, after) = (map(&[0, 1]), map(&[0, 2]));
    let change = Arc::new(MapDelta::between(&before, &after));
    let cases = [
        Case {
            kind: OrderKind::Prepare { version: 5, map: Arc::clone(&after) },
            engine_order: Some(EngineOrderKind::Prepare { version: 5, map: Arc::clone(&after) }),
        },
        Case { kind: OrderKind::PrepareChange { version: 5, base: 4, change }, engine_order: None },
        Case {
            kind: OrderKind::Void { version: 5, experts_per_layer: EXPERTS },
            engine_order: None,
        },
        Case { kind: OrderKind::HoldAhead { steps: 1 }, engine_order: None },
        Case {
            kind: OrderKind::Arm { version: 5, step: 7 },
            engine_order: Some(EngineOrderKind::Arm { version: 5, step: 7 }),
        },
        Case {
            kind: OrderKind::Disarm { version: 5 },
            engine_order: Some(EngineOrderKind::Disarm { version: 3 }),
        },
        Case { kind: OrderKind::Fence { step: 7 }, engine_order: Some(EngineOrderKind::Fence) },
        Case {
            kind: OrderKind::Hold { step: 7 },
            engine_order: Some(EngineOrderKind::Hold { step: 7 }),
        },
        Case {
            kind: OrderKind::Go { step: 7 },
            engine_order: Some(EngineOrderKind::Go { step: 7 }),
        },
    ];
    for case in cases {
        let name = case.kind.as_str();
        let engine_order =
            EngineOrder::of(&order(case.kind), Some(3)).map(|engine_order| engine_order.kind);
        expect_that!(engine_order, eq(&case.engine_order), "{name}");
    }
}

/// Guards against a change that is rejected although the agent knows its base map.
#[gtest]
fn a_change_of_a_known_map_resolves_to_the_complete_map() {
    let (before, after) = (map(&[0, 1]), map(&[0, 2]));
    let change = Arc::new(MapDelta::between(&before, &after));
    let mut known = KnownMaps::default();
    let changed = OrderKind::PrepareChange { version: 5, base: 4, change };
    expect_that!(known.resolve(&changed), err(anything()), "the base map was never received");
    let base = OrderKind::Prepare { version: 4, map: before };
    expect_that!(known.resolve(&base), ok(eq(&base)));
    let resolved = known.resolve(&changed).ok();
    let engine_order = resolved
        .and_then(|kind| EngineOrder::of(&order(kind), None))
        .map(|engine_order| engine_order.kind);
    expect_that!(engine_order, some(eq(&EngineOrderKind::Prepare { version: 5, map: after })));
}
