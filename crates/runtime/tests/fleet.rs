//! What a process remembers of others.

use googletest::prelude::*;
use hickorycross_config::{Digest, FailureDomainId, Stamp};
use hickorycross_core::{Incarnation, Instance, InstanceId, InstanceState, LinkId, Role, UnixMs};
use hickorycross_protocol::{Hello, PeerRole, VERSIONS};
use hickorycross_runtime::fleet::Fleet;

const LINK: LinkId = LinkId(7);

fn hello(instance: &str, revision: u64) -> Hello {
    Hello {
        versions: VERSIONS,
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

/// What happens to one process, and what is known of it then.
struct Case {
    name: &'static str,
    happens: fn(&Fleet),
    known: bool,
    heard: Option<(u64, u64)>,
}

const CASES: [Case; 5] = [
    Case {
        name: "listed, never heard",
        happens: |fleet| fleet.update_instances(UnixMs(1), &[listed("a")]),
        known: true,
        heard: None,
    },
    Case {
        name: "heard twice",
        happens: |fleet| {
            fleet.link_opened(UnixMs(1), LINK, &hello("a", 4));
            fleet.record_stamp(UnixMs(9), LINK, stamp(5));
        },
        known: true,
        heard: Some((5, 9)),
    },
    Case {
        name: "its link has ended, the list still names it",
        happens: |fleet| {
            fleet.link_opened(UnixMs(1), LINK, &hello("a", 4));
            fleet.update_instances(UnixMs(2), &[listed("a")]);
            fleet.link_closed(LINK);
            fleet.record_stamp(UnixMs(9), LINK, stamp(5));
        },
        known: true,
        heard: Some((4, 1)),
    },
    Case {
        name: "neither listed nor linked any more",
        happens: |fleet| {
            fleet.update_instances(UnixMs(1), &[listed("a")]);
            fleet.link_opened(UnixMs(2), LINK, &hello("a", 4));
            fleet.update_instances(UnixMs(3), &[listed("b")]);
            fleet.link_closed(LINK);
        },
        known: false,
        heard: None,
    },
    Case {
        name: "no longer listed, its link is up",
        happens: |fleet| {
            fleet.link_opened(UnixMs(2), LINK, &hello("a", 4));
            fleet.update_instances(UnixMs(3), &[listed("b")]);
        },
        known: true,
        heard: Some((4, 2)),
    },
];

#[gtest]
fn word_of_a_process_ages_and_is_forgotten_with_it() -> googletest::Result<()> {
    for case in &CASES {
        let fleet = Fleet::default();
        (case.happens)(&fleet);
        let snapshot = fleet.snapshot();
        let process = snapshot.processes.get(&InstanceId::new("a"));
        let heard =
            process.and_then(|one| one.last_report).map(|one| (one.stamp.revision, one.at.0));
        expect_that!(process.is_some(), eq(case.known), "{}", case.name);
        expect_that!(heard, eq(case.heard), "{}", case.name);
    }
    Ok(())
}
