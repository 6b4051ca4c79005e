//! Documents as they are passed on.

use googletest::prelude::*;
use hickorycross_config::{Digest, Stamp};
use hickorycross_protocol::{
    ConfigOffer, Frame, LENGTH_BYTES, MAX_DOCUMENT_BYTES, OfferCache, OfferError, decode, encode,
};

const STAMP: Stamp = Stamp { revision: 7, digest: Digest(9) };

struct Case {
    name: &'static str,
    document: Vec<u8>,
    expected: std::result::Result<usize, OfferError>,
}

fn cases() -> [Case; 4] {
    let noise = (0..5_000_u32).map(|index| index.wrapping_mul(2_654_435_761).to_le_bytes()[3]);
    [
        Case { name: "empty", document: Vec::new(), expected: Ok(0) },
        Case { name: "noise", document: noise.collect(), expected: Ok(5_000) },
        Case {
            name: "the longest",
            document: vec![b' '; MAX_DOCUMENT_BYTES],
            expected: Ok(MAX_DOCUMENT_BYTES),
        },
        Case {
            name: "one byte more",
            document: vec![b' '; MAX_DOCUMENT_BYTES + 1],
            expected: Err(OfferError::TooLong),
        },
    ]
}

#[gtest]
fn documents_come_back_byte_for_byte() -> googletest::Result<()> {
    for case in cases() {
        let frame = Frame::ConfigOffer(ConfigOffer::new(STAMP, &case.document));
        let bytes = encode(&frame).or_fail()?;
        let Frame::ConfigOffer(offer) = decode(&bytes[LENGTH_BYTES..]).or_fail()? else {
            return fail!("another frame");
        };
        let found = offer.document();
        expect_that!(found.as_ref().map(Vec::len), eq(case.expected.as_ref().copied()));
        if let Ok(found) = found {
            expect_true!(found == case.document, "{}", case.name);
        }
    }
    Ok(())
}

/// Symptom: a process is out of memory after a frame of a kilobyte.
/// Sequence: a peer with a broken memory sends an offer that inflates without end, or noise.
/// Cause: the length after inflating is not known before.
#[gtest]
fn broken_offers_are_refused() -> googletest::Result<()> {
    let whole = encode(&Frame::ConfigOffer(ConfigOffer::new(STAMP, &[b'x'; 300]))).or_fail()?;
    let mut broken = whole[LENGTH_BYTES..].to_vec();
    let last = broken.len() - 1;
    broken[last - 3..].fill(0xff);
    if let Ok(Frame::ConfigOffer(offer)) = decode(&broken) {
        expect_that!(offer.document(), err(anything()));
    }
    Ok(())
}

#[gtest]
fn the_cache_follows_the_stamp() {
    let mut cache = OfferCache::default();
    let next = Stamp { revision: 8, ..STAMP };
    expect_that!(cache.get_or_compress(STAMP, b"first").document(), ok(eq(b"first")));
    expect_that!(cache.get_or_compress(next, b"second").document(), ok(eq(b"second")));
    expect_that!(cache.get_or_compress(next, b"second").stamp, eq(next));
}
