//! Tests of the sends of one order to a rank. The module is private to the agent, so the test
//! compiles it from its source.

#[allow(dead_code, unreachable_pub, reason = "the test uses a part of the module")]
#[path = "../src/agent/execute.rs"]
mod execute;
#[allow(dead_code, unreachable_pub, reason = "the test uses a part of the module")]
#[path = "../src/agent/rank.rs"]
mod rank;
mod decision_log {
    pub(crate) use hickorycross_direct::DecisionLog;
}

use decision_log::DecisionLog;
use execute::{execute, execute_remotely};
use googletest::prelude::*;
use hickorycross_core::map_change::{EngineOrder, OrderKind, OrderOutcome, OrderResult, RankOrder};
use rank::{
    ExpertCounts, GroupMembership, HeldExperts, OrderReply, RankClient, RankFuture, RankReport,
};
use std::cell::Cell;
use std::future;
use std::time::Duration;

/// The held pass.
const HELD_STEP: u64 = 40;
/// Time in which several copies of an unanswered order would be sent.
const COPIES_MS: u64 = 400;

/// A rank that holds a pass and answers no order. Another leader takes over at its first one, or while
/// its report is read.
struct SilentRank {
    orders: Cell<u32>,
    is_replaced: Cell<bool>,
    is_replaced_by_report: bool,
}

impl SilentRank {
    fn new(is_replaced_by_report: bool) -> Self {
        Self { orders: Cell::new(0), is_replaced: Cell::new(false), is_replaced_by_report }
    }
}

impl RankClient for SilentRank {
    fn report(&self) -> RankFuture<'_, RankReport> {
        self.is_replaced.set(self.is_replaced_by_report);
        let membership =
            GroupMembership { group: "g".to_owned(), rank: 1, ranks: 4, epoch: 1, is_open: true };
        Box::pin(future::ready(Ok(RankReport {
            membership: Some(membership),
            step: HELD_STEP - 1,
            map: 1,
            prepared: Some(2),
            armed: None,
            held_step: Some(HELD_STEP),
            waiting: 0,
            running: 1,
            pace_permille: 1_000,
        })))
    }

    fn counts(&self) -> RankFuture<'_, ExpertCounts> {
        Box::pin(future::pending())
    }

    fn held_experts(&self) -> RankFuture<'_, HeldExperts> {
        Box::pin(future::pending())
    }

    fn order<'a>(&'a self, _: &'a EngineOrder) -> RankFuture<'a, OrderReply> {
        self.orders.set(self.orders.get() + 1);
        self.is_replaced.set(true);
        Box::pin(future::pending())
    }
}

/// Guards against copies of an order that are sent after another leader has taken over, which ranks
/// without fences carry out: to release a pass in the middle of an undo.
#[gtest]
#[tokio::test]
async fn no_copy_of_an_order_is_sent_for_a_replaced_leader() {
    let kinds = [OrderKind::Go { step: HELD_STEP }, OrderKind::Arm { version: 2, step: HELD_STEP }];
    for (kind, is_replaced_by_report) in kinds.iter().flat_map(|it| [(it, false), (it, true)]) {
        for is_remote in [false, true] {
            let name = format!("{kind:?}, by report: {is_replaced_by_report}, remote: {is_remote}");
            let rank = SilentRank::new(is_replaced_by_report);
            let order = RankOrder { epoch: 1, fence: 7, kind: kind.clone() };
            let is_current = || !rank.is_replaced.get();
            let log = DecisionLog::start_with(Box::new(std::io::sink())).expect("the log starts");
            let result = tokio::time::timeout(Duration::from_millis(COPIES_MS), async {
                if is_remote {
                    execute_remotely(&rank, &rank, &order, &is_current, &log).await
                } else {
                    execute(&rank, &order, 5, &is_current, &log).await
                }
            });
            let sends = u32::from(!is_replaced_by_report);
            let expected = OrderResult { end: OrderOutcome::Fenced, sends };
            expect_that!(result.await.ok().flatten(), some(eq(expected)), "{name}");
            expect_that!(rank.orders.get(), eq(sends), "{name}");
        }
    }
}
