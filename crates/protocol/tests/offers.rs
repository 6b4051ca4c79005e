//! Tests of compressed configuration documents.

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
            name: "maximum size",
            document: vec![b' '; MAX_DOCUMENT_BYTES],
            expected: Ok(MAX_DOCUMENT_BYTES),
        },
        Case {
            name: "one byte above the maximum",
            document: vec![b' '; MAX_DOCUMENT_BYTES + 1],
            expected: Err(OfferError::TooLong),
        },
    ]
}

#[gtest]
fn documents_are_unchanged_by_a_round_trip() -> googletest::Result<()> {
    for case in cases() {
        let frame = Frame::ConfigOffer(ConfigOffer::new(STAMP, &case.document));
        let bytes = encode(&frame).or_fail()?;
        let Frame::ConfigOffer(offer) = decode(&bytes[LENGTH_BYTES..]).or_fail()? else {
            return fail!("decoded to a different frame");
        };
        let found = offer.document();
        expect_that!(found.as_ref().map(Vec::len), eq(case.expected.as_ref().copied()));
        if let Ok(found) = found {
            expect_true!(found == case.document, "{}", case.name);
        }
    }
    Ok(())
}

/// A peer with faulty memory can send an offer that does not decompress, or one of a kilobyte that
/// decompresses without end and exhausts the receiver's memory: the decompressed length is not
/// known in advance.
#[gtest]
fn corrupt_offers_are_rejected() -> googletest::Result<()> {
    let intact = encode(&Frame::ConfigOffer(ConfigOffer::new(STAMP, &[b'x'; 300]))).or_fail()?;
    let mut corrupt = intact[LENGTH_BYTES..].to_vec();
    let last = corrupt.len() - 1;
    corrupt[last - 3..].fill(0xff);
    if let Ok(Frame::ConfigOffer(offer)) = decode(&corrupt) {
        expect_that!(offer.document(), err(anything()));
    }
    Ok(())
}

#[gtest]
fn the_cache_returns_the_document_of_the_requested_stamp() {
    let mut cache = OfferCache::default();
    let next = Stamp { revision: 8, ..STAMP };
    expect_that!(cache.get_or_compress(STAMP, b"first").document(), ok(eq(b"first")));
    expect_that!(cache.get_or_compress(next, b"second").document(), ok(eq(b"second")));
    expect_that!(cache.get_or_compress(next, b"second").stamp, eq(next));
}
