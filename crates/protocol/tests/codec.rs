//! Tests of the frame encoding and of version negotiation.

use googletest::prelude::*;
use hickorycross_config::{BackendServerId, Digest, Stamp};
use hickorycross_core::message::{
    Adoption, HeldStamp, HolderQuery, HolderReport, ToAgent, ToEntry,
};
use hickorycross_core::{AttemptId, Incarnation, InstanceId, RequestId, UnixMs};
use hickorycross_protocol::{
    CodecError, Frame, Hello, LENGTH_BYTES, MAX_FRAME_BYTES, PeerRole, SUPPORTED_VERSIONS, Version,
    VersionRange, body_length, decode, encode, negotiate,
};
use proptest::prelude::{any, proptest};

const STAMP: Stamp = Stamp { revision: 7, digest: Digest(9) };

fn attempt() -> AttemptId {
    AttemptId { request: RequestId { entry: Incarnation(1), sequence: 2 }, ordinal: 3 }
}

struct RoundTrip {
    name: &'static str,
    frame: Frame,
    attempt: Option<AttemptId>,
}

fn round_trips() -> Vec<RoundTrip> {
    vec![
        RoundTrip {
            name: "hello of an agent",
            frame: Frame::Hello(Hello {
                versions: SUPPORTED_VERSIONS,
                instance: InstanceId::new("agent-1"),
                incarnation: Incarnation(5),
                role: PeerRole::Agent { backend_server: BackendServerId::new("runner-1") },
                stamp: STAMP,
            }),
            attempt: None,
        },
        RoundTrip { name: "announcement", frame: Frame::Announce(STAMP), attempt: None },
        RoundTrip {
            name: "cancel",
            frame: Frame::ToAgent(ToAgent::Cancel { attempt: attempt() }),
            attempt: Some(attempt()),
        },
        RoundTrip {
            name: "chunk",
            frame: Frame::ToEntry(ToEntry::Chunk {
                attempt: attempt(),
                index: 4,
                bytes: bytes::Bytes::from_static(b"word"),
            }),
            attempt: Some(attempt()),
        },
        RoundTrip { name: "leaving", frame: Frame::ToEntry(ToEntry::Leaving), attempt: None },
    ]
}

#[gtest]
fn frames_are_unchanged_by_a_round_trip() -> googletest::Result<()> {
    for case in round_trips() {
        let bytes = encode(&case.frame).or_fail()?;
        let prefix = bytes[..LENGTH_BYTES].try_into().or_fail()?;
        expect_that!(body_length(prefix).or_fail()?, eq(bytes.len() - LENGTH_BYTES));
        expect_that!(decode(&bytes[LENGTH_BYTES..]).or_fail()?, eq(&case.frame), "{}", case.name);
        expect_that!(case.frame.attempt(), eq(case.attempt), "{}", case.name);
    }
    Ok(())
}

// A faulty or malicious process sends a length prefix of four gigabytes. A reader that allocates a
// buffer without checking the length exhausts its memory within seconds of a connection.
#[gtest]
fn a_length_above_the_limit_is_rejected() {
    let too_long = u32::try_from(MAX_FRAME_BYTES).unwrap() + 1;
    let result = body_length(too_long.to_le_bytes());
    expect_that!(result, err(matches_pattern!(CodecError::TooLong { .. })));
}

// Two frames are written under one length prefix. A reader that ignores bytes after the first frame
// loses the second one and mistakes one frame for another.
#[gtest]
fn bytes_after_a_frame_are_rejected() -> googletest::Result<()> {
    let bytes = encode(&Frame::Announce(STAMP)).or_fail()?;
    let mut body = bytes[LENGTH_BYTES..].to_vec();
    body.push(0);
    expect_that!(decode(&body), err(matches_pattern!(CodecError::Trailing { count: eq(&1) })));
    Ok(())
}

// Guards against a message that a process of an earlier release cannot decode, for which it would close the link.
#[gtest]
fn messages_of_a_later_version_say_so() {
    let held = HeldStamp { stamp: STAMP, adopted_at: UnixMs(1) };
    let query = HolderQuery {
        stamp: STAMP,
        backend_servers: Vec::new(),
        every_agent: true,
        skipped_after: None,
    };
    let report =
        HolderReport { stamp: STAMP, homes_since: 1, holders: Vec::new(), every_agent: None };
    let adoption = Adoption { held, replaced: None };
    let cases = [
        (Frame::Announce(STAMP), 1),
        (Frame::ToEntry(ToEntry::Leaving), 1),
        (Frame::ToEntry(ToEntry::HolderQuery(query)), 2),
        (Frame::ToEntry(ToEntry::Adopted(adoption)), 2),
        (Frame::ToAgent(ToAgent::HolderReport(report)), 2),
    ];
    for (frame, version) in cases {
        expect_that!(frame.first_version(), eq(Version(version)), "{frame:?}");
    }
}

struct Negotiation {
    ours: (u16, u16),
    theirs: (u16, u16),
    agreed: Option<u16>,
}

#[gtest]
fn the_highest_common_version_is_agreed() {
    let cases = [
        Negotiation { ours: (1, 1), theirs: (1, 1), agreed: Some(1) },
        Negotiation { ours: (1, 3), theirs: (2, 5), agreed: Some(3) },
        Negotiation { ours: (2, 5), theirs: (1, 3), agreed: Some(3) },
        Negotiation { ours: (1, 2), theirs: (3, 4), agreed: None },
    ];
    let range =
        |(lowest, highest)| VersionRange { lowest: Version(lowest), highest: Version(highest) };
    for case in cases {
        let agreed = negotiate(range(case.ours), range(case.theirs));
        expect_that!(agreed, eq(case.agreed.map(Version)));
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(body in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = decode(&body);
    }
}
