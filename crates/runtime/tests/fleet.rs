//! Tests of the table of other processes.

use googletest::prelude::*;
use hickorycross_config::{Digest, FailureDomainId, Stamp};
use hickorycross_core::{Incarnation, Instance, InstanceId, InstanceState, LinkId, Role, UnixMs};
use hickorycross_protocol::{Hello, PeerRole, SUPPORTED_VERSIONS};
use hickorycross_runtime::fleet::Fleet;

const LINK: LinkId = LinkId(7);

fn hello(instance: &str, revision: u64) -> Hello {
    Hello {
        versions: SUPPORTED_VERSIONS,
        instance: InstanceId::new(instance),
        incarnation: Incarnation(1),
        role: PeerRole::Entry,
        stamp: stamp(revision),
    }
}

fn stamp(revision: u64) -> Stamp {
    Stamp { revision, digest: Digest(revision) }
}

fn listed(instance: &str) -> Instance {
    Instance {
        id: InstanceId::new(instance),
        role: Role::Entry,
        link_address: "127.0.0.1:1".parse().expect("an address"),
        failure_domain: FailureDomainId::new("east"),
        state: InstanceState::Live,
    }
}

/// Events that concern the process `a`, and the expected content of the table afterwards.
struct Case {
    name: &'static str,
    events: fn(&Fleet),
    is_known: bool,
    /// Revision and time of the last report.
    last_report: Option<(u64, u64)>,
}

const CASES: [Case; 5] = [
    Case {
        name: "listed, without a report",
        events: |fleet| fleet.update_instances(UnixMs(1), &[listed("a")]),
        is_known: true,
        last_report: None,
    },
    Case {
        name: "two reports",
        events: |fleet| {
            fleet.link_opened(UnixMs(1), LINK, &hello("a", 4));
            fleet.record_stamp(UnixMs(9), LINK, stamp(5));
        },
        is_known: true,
        last_report: Some((5, 9)),
    },
    Case {
        name: "link ended, still listed",
        events: |fleet| {
            fleet.link_opened(UnixMs(1), LINK, &hello("a", 4));
            fleet.update_instances(UnixMs(2), &[listed("a")]);
            fleet.link_closed(LINK);
            fleet.record_stamp(UnixMs(9), LINK, stamp(5));
        },
        is_known: true,
        last_report: Some((4, 1)),
    },
    Case {
        name: "no longer listed, link ended",
        events: |fleet| {
            fleet.update_instances(UnixMs(1), &[listed("a")]);
            fleet.link_opened(UnixMs(2), LINK, &hello("a", 4));
            fleet.update_instances(UnixMs(3), &[listed("b")]);
            fleet.link_closed(LINK);
        },
        is_known: false,
        last_report: None,
    },
    Case {
        name: "no longer listed, link open",
        events: |fleet| {
            fleet.link_opened(UnixMs(2), LINK, &hello("a", 4));
            fleet.update_instances(UnixMs(3), &[listed("b")]);
        },
        is_known: true,
        last_report: Some((4, 2)),
    },
];

#[gtest]
fn last_report_is_kept_until_the_process_is_neither_listed_nor_linked() -> googletest::Result<()> {
    for case in &CASES {
        let fleet = Fleet::default();
        (case.events)(&fleet);
        let snapshot = fleet.snapshot();
        let process = snapshot.processes.get(&InstanceId::new("a"));
        let last_report = process
            .and_then(|process| process.last_report)
            .map(|report| (report.stamp.revision, report.at.0));
        expect_that!(process.is_some(), eq(case.is_known), "{}", case.name);
        expect_that!(last_report, eq(case.last_report), "{}", case.name);
    }
    Ok(())
}
