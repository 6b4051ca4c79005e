//! HTTP calls to other processes of the fleet, with messages in postcard encoding.

use hickorycross_runtime::bounded_body::{BodyError, read_bounded};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call: several times the round trip between failure domains plus the scheduling
/// delay of a busy peer.
pub(crate) const ANSWER_TIMEOUT_MS: u64 = 500;

/// Largest answer of a peer: several times that with a configuration of the largest size that the
/// platform's store takes (1 MB) and a list of a thousand backend servers.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Encoding of fields that are empty lists or `None`, as many as an earlier release may lack.
const EMPTY_FIELDS: [u8; 32] = [0; 32];

/// Error of a call to a peer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerCallError {
    #[error("no answer: {0}")]
    Unanswered(#[from] reqwest::Error),
    #[error("no whole answer: {0}")]
    Incomplete(#[from] BodyError),
    #[error("undecodable answer: {0}")]
    Unreadable(#[from] postcard::Error),
}

/// Creates an HTTP client for calls to peers.
pub(crate) fn client() -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy();
    let builder = builder.timeout(Duration::from_millis(ANSWER_TIMEOUT_MS));
    // A pooled connection may have gone dead unnoticed, and at one call every few seconds a new
    // connection each time is affordable.
    builder.pool_max_idle_per_host(0).build().unwrap_or_default()
}

/// Sends a message to `path` at a peer and returns the decoded answer.
pub(crate) async fn post<M: Serialize, A: DeserializeOwned>(
    client: &reqwest::Client,
    peer: SocketAddr,
    path: &str,
    message: &M,
) -> Result<A, PeerCallError> {
    let timeout = Duration::from_millis(ANSWER_TIMEOUT_MS);
    post_within(client, peer, path, message, timeout).await
}

/// Sends a message to `path` at a peer and returns the decoded answer, which may take longer than
/// that of an ordinary call.
pub(crate) async fn post_within<M: Serialize, A: DeserializeOwned>(
    client: &reqwest::Client,
    peer: SocketAddr,
    path: &str,
    message: &M,
    timeout: Duration,
) -> Result<A, PeerCallError> {
    let body = postcard::to_stdvec(message)?;
    let request = client.post(format!("http://{peer}{path}")).timeout(timeout).body(body);
    let response = request.send().await?.error_for_status()?;
    Ok(decode(&read_bounded(response, MAX_ANSWER_BYTES).await?)?)
}

/// Decodes a message of a peer, which may be of another release.
///
/// Later releases only append fields. Those that an earlier release lacks are read as empty, and
/// those of a later one are passed over.
///
/// # Errors
///
/// When the bytes are not such a message.
pub(crate) fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, postcard::Error> {
    let padded = [bytes, &EMPTY_FIELDS].concat();
    postcard::from_bytes(&padded)
}
