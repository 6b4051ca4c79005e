//! Collects whole bodies within the budget of buffered bytes.

use bytes::{Bytes, BytesMut};
use hickorycross_core::direct::{BufferBudget, BufferLease};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;

/// Interval at which an answer that finds the budget used up checks again.
const BUDGET_CHECK_MS: u64 = 20;

/// For which request a body is collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BufferUse {
    /// A new request, which is refused if the budget is used up.
    New,
    /// A request that runs. Its answer waits until some of the budget is free.
    Running,
}

/// Why a body was not collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CollectError {
    /// It is larger than allowed.
    TooLarge,
    /// The budget is used up.
    BuffersFull,
    /// The connection broke.
    Broken,
}

/// Bytes that count toward the budget until the last reference to them is dropped.
struct Leased {
    bytes: Bytes,
    _lease: BufferLease,
}

impl AsRef<[u8]> for Leased {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body of at most `max_bytes` to its end.
pub(crate) async fn collect_body(
    mut body: Incoming,
    max_bytes: usize,
    budget: &BufferBudget,
    buffer_use: BufferUse,
) -> Result<Bytes, CollectError> {
    let mut lease = budget.lease();
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CollectError::Broken)?;
        let Ok(bytes) = frame.into_data() else { continue };
        if bytes.len() > max_bytes - collected.len() {
            return Err(CollectError::TooLarge);
        }
        grow(&mut lease, bytes.len(), buffer_use).await?;
        collected.extend_from_slice(&bytes);
    }
    let bytes = collected.freeze();
    Ok(Bytes::from_owner(Leased { bytes, _lease: lease }))
}

/// Adds bytes to a lease. For a request that runs, waits until there is room.
async fn grow(
    lease: &mut BufferLease,
    bytes: usize,
    buffer_use: BufferUse,
) -> Result<(), CollectError> {
    if buffer_use == BufferUse::New {
        return if lease.try_grow_new(bytes) { Ok(()) } else { Err(CollectError::BuffersFull) };
    }
    while !lease.try_grow(bytes) {
        tokio::time::sleep(Duration::from_millis(BUDGET_CHECK_MS)).await;
    }
    Ok(())
}
