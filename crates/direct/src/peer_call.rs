//! Calls to other processes of the fleet.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for an answer: some times the way between failure domains and a peer's turn on a core.
const ANSWER_TIMEOUT_MS: u64 = 500;

/// Why a peer's answer could not be had.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerCallError {
    #[error("no answer: {0}")]
    Unanswered(#[from] reqwest::Error),
    #[error("unreadable: {0}")]
    Unreadable(#[from] postcard::Error),
}

/// A client for questions to peers.
pub(crate) fn client() -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy();
    let builder = builder.timeout(Duration::from_millis(ANSWER_TIMEOUT_MS));
    // A kept connection may have gone silent; a question every few seconds bears a fresh one.
    builder.pool_max_idle_per_host(0).build().unwrap_or_default()
}

/// Sends a question to `path` of a peer.
pub(crate) async fn post<Q: Serialize, A: DeserializeOwned>(
    client: &reqwest::Client,
    peer: SocketAddr,
    path: &str,
    question: &Q,
) -> Result<A, PeerCallError> {
    let body = postcard::to_stdvec(question)?;
    let request = client.post(format!("http://{peer}{path}")).body(body);
    let response = request.send().await?.error_for_status()?;
    Ok(postcard::from_bytes(&response.bytes().await?)?)
}
