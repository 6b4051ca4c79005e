//! Tests of the instances that the leader of a group knows about.

use googletest::prelude::*;
use hickorycross_core::direct::{BackendServer, BackendState, BootMs};
use hickorycross_core::map_change::Roster;
use std::net::{IpAddr, SocketAddr};

/// Time for which instances behind a network cut are unlisted: the cut, a heartbeat and a query.
const CUT_MS: u64 = 10_000;

/// Time after which an unlisted backend server is no longer known.
const EXPIRED_MS: u64 = 60_000;

struct Case {
    name: &'static str,
    /// Times of the lists, with the last address octets of the listed instances.
    listings: &'static [(u64, &'static [u8])],
    known: &'static [u8],
    listed: usize,
}

fn server(machine: u8) -> BackendServer {
    BackendServer {
        id: format!("server-{machine}"),
        born_ms: 0,
        service: "model".to_owned(),
        address: SocketAddr::from(([10, 0, 0, machine], 8_000)),
        failure_domain: "a".to_owned(),
        slots: 12,
        state: BackendState::Ready,
        listed_at_revision: 1,
    }
}

// Guards against a leader that stops polling a rank whose instance was cut off for some seconds.
// The leader could then not end a change, and the group would stall.
#[gtest]
fn an_instance_that_is_briefly_unlisted_stays_known() {
    let cases = [
        Case { name: "all listed", listings: &[(0, &[1, 2])], known: &[1, 2], listed: 2 },
        Case {
            name: "one is not listed while it is cut off",
            listings: &[(0, &[1, 2, 3]), (CUT_MS, &[1, 3])],
            known: &[1, 2, 3],
            listed: 2,
        },
        Case {
            name: "one is listed again",
            listings: &[(0, &[1, 2, 3]), (CUT_MS, &[1, 3]), (2 * CUT_MS, &[1, 2, 3])],
            known: &[1, 2, 3],
            listed: 3,
        },
        Case {
            name: "one has been unlisted for long",
            listings: &[(0, &[1, 2, 3]), (EXPIRED_MS, &[1, 3])],
            known: &[1, 3],
            listed: 2,
        },
        Case {
            name: "one is replaced on another instance",
            listings: &[(0, &[1, 2]), (CUT_MS, &[1, 4])],
            known: &[1, 2, 4],
            listed: 2,
        },
    ];
    for case in cases {
        let mut roster = Roster::default();
        for (at_ms, machines) in case.listings {
            let listed: Vec<BackendServer> = machines.iter().copied().map(server).collect();
            roster.update(BootMs(*at_ms), &listed);
        }
        let machines = roster.machines().map(|(_, machine)| machine);
        let mut known: Vec<IpAddr> = machines.collect();
        known.sort_unstable();
        let expected: Vec<IpAddr> =
            case.known.iter().map(|machine| server(*machine).address.ip()).collect();
        expect_that!(known, eq(&expected), "{}", case.name);
        expect_that!(roster.listed_count(), eq(case.listed), "{}", case.name);
    }
}
