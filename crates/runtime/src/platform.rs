//! Reads the platform's configuration service and instance list, and never writes to them.
//!
//! The platform defines the protocol; docs/PLATFORM.md describes it.

use crate::bounded_body::{BodyError, read_json};
use hickorycross_core::Instance;
use hickorycross_core::adoption::Published;
use hickorycross_core::direct::parse_backoff_ms;
use rand::RngExt;
use reqwest::header::RETRY_AFTER;
use serde::Deserialize;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// Time that the platform may hold one watch (a long poll) open before it answers.
const WATCH_MS: u64 = 10_000;
/// Timeout of a read, after which its connection is dropped too. A watch may take this long on top
/// of its own waiting time.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer: several times the largest document, which is 1 MB, and a list of thousands of
/// instances.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Base of the pause after failed reads, which doubles with each failure up to [`MAX_PAUSE_MS`];
/// also the longest pause while nothing has been published yet.
const FIRST_PAUSE_MS: u64 = 200;
/// Longest pause after a failed read.
const MAX_PAUSE_MS: u64 = 5_000;
/// Longest time for which a process stops reading because the platform asks for it. With a longer
/// one, a wrong value would leave it with an old document.
const MAX_BACKOFF_MS: u64 = 30_000;
/// Longest pause between two polls of a process that does not watch.
///
/// A process without a link to one that already holds a new document, such as an agent whose
/// entries are all idle, receives it only by its own poll. If that came later than the time within
/// which a change has to be in force everywhere, a few processes would keep serving with the old
/// document, and the fleet view would show two revisions. 1,300 polling processes send the platform
/// about 290 reads per second.
const POLL_MS: u64 = 6_000;
/// Longest pause before the instance list is watched again after a change.
///
/// Every process of the fleet watches the list. If watches were renewed immediately, each change
/// would cause one read by every process at the same moment. The many changes during a rack failure
/// or an upgrade would exceed the platform's rate limit, and reads of the document would be
/// answered with status 429 as well. The pause spreads the reads and combines changes in quick
/// succession into one read.
const LIST_PAUSE_MS: u64 = 4_000;

/// A result of reading the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformEvent {
    /// A document has been published.
    Config(Published),
    /// The instance list has changed.
    Instances(Vec<Instance>),
    /// A read failed.
    Unreachable {
        /// What was read and the error.
        detail: String,
    },
}

/// How a process reads the platform's configuration service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowMode {
    /// By a watch that is always open.
    Watch,
    /// By a poll every few seconds; peers usually announce changes earlier.
    Poll,
}

#[derive(Deserialize)]
struct ConfigAnswer {
    revision: u64,
    document: String,
}

#[derive(Deserialize)]
struct InstancesAnswer {
    revision: u64,
    instances: Vec<Instance>,
}

/// Why a read failed.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("{0}")]
    Transport(#[from] reqwest::Error),
    #[error("{0}")]
    Body(#[from] BodyError),
    #[error("status {status}, asks for a backoff of {backoff_ms} ms")]
    Status { status: u16, backoff_ms: u64 },
}

impl ReadError {
    /// Returns the error for a response, with the backoff that it asks for.
    fn of_response(response: &reqwest::Response) -> Self {
        let retry_after = response.headers().get(RETRY_AFTER).and_then(|it| it.to_str().ok());
        let backoff_ms = retry_after.and_then(|text| parse_backoff_ms(text).ok()).unwrap_or(0);
        Self::Status { status: response.status().as_u16(), backoff_ms }
    }

    /// Returns the time for which the platform wants no reads.
    fn backoff_ms(&self) -> u64 {
        match self {
            Self::Transport(_) | Self::Body(_) => 0,
            Self::Status { backoff_ms, .. } => (*backoff_ms).min(MAX_BACKOFF_MS),
        }
    }
}

/// Reads the platform and sends events until their receiver is dropped.
///
/// Spawns one task that reads the configuration in the current `mode` and another that watches the
/// instance list.
pub fn follow(
    base_url: &str,
    mode: watch::Receiver<FollowMode>,
    events: UnboundedSender<PlatformEvent>,
) {
    let config = Reader::new(base_url, "config", events.clone());
    tokio::spawn(follow_config(config, mode));
    let instances = Reader::new(base_url, "instances", events);
    tokio::spawn(follow_instances(instances));
}

struct Reader {
    base_url: String,
    resource: &'static str,
    client: reqwest::Client,
    events: UnboundedSender<PlatformEvent>,
    failures: u32,
}

impl Reader {
    fn new(base_url: &str, resource: &'static str, events: UnboundedSender<PlatformEvent>) -> Self {
        let base_url = base_url.trim_end_matches('/').to_owned();
        Self { base_url, resource, client: new_client(), events, failures: 0 }
    }

    /// Reads the resource once.
    ///
    /// Without `after`, the platform answers immediately. Otherwise it answers as soon as there is
    /// a revision newer than `after`, or `None` after `wait_ms` without one.
    ///
    /// A poll passes the revision it already has as `after` and a wait of zero. Reading the whole
    /// document each time would cost more than all other control traffic of a process together.
    async fn read<T: serde::de::DeserializeOwned>(
        &self,
        after: Option<u64>,
        wait_ms: u64,
    ) -> Result<Option<T>, ReadError> {
        let (url, timeout) = match after {
            None => (format!("{}/v1/{}", self.base_url, self.resource), READ_TIMEOUT),
            Some(after) => (
                format!(
                    "{}/v1/{}/watch?after={after}&wait_ms={wait_ms}",
                    self.base_url, self.resource
                ),
                READ_TIMEOUT + Duration::from_millis(wait_ms),
            ),
        };
        let response = self.client.get(url).timeout(timeout).send().await?;
        match response.status().as_u16() {
            200 => Ok(Some(read_json(response, MAX_BODY_BYTES).await?)),
            204 | 404 => Ok(None),
            _ => Err(ReadError::of_response(&response)),
        }
    }

    /// Waits before the next attempt and reports the failure; returns false if nobody receives
    /// events any more.
    ///
    /// A new client replaces the old one, so that the connection is not reused. A middlebox may
    /// have dropped its state for that connection, and every read on it would time out for minutes
    /// although the platform is healthy and new connections work.
    async fn back_off(&mut self, error: &ReadError) -> bool {
        self.client = new_client();
        self.failures = self.failures.saturating_add(1);
        let detail = format!("{}: {error}", self.resource);
        // Processes that were refused at the same moment come back at different ones.
        tokio::time::sleep(Duration::from_millis(error.backoff_ms())).await;
        let doubled = FIRST_PAUSE_MS.saturating_mul(1 << self.failures.min(6));
        pause(doubled.min(MAX_PAUSE_MS)).await;
        self.events.send(PlatformEvent::Unreachable { detail }).is_ok()
    }
}

fn new_client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap_or_default()
}

/// Waits for a random time between half of `longest_ms` and `longest_ms`, so that processes whose
/// reads failed at the same moment do not retry at the same moment.
async fn pause(longest_ms: u64) {
    let span_ms = rand::rng().random_range(longest_ms / 2..=longest_ms);
    tokio::time::sleep(Duration::from_millis(span_ms)).await;
}

async fn follow_config(mut reader: Reader, mut modes: watch::Receiver<FollowMode>) {
    let mut held_revision: Option<u64> = None;
    loop {
        let mode = *modes.borrow_and_update();
        let wait_ms = if mode == FollowMode::Watch { WATCH_MS } else { 0 };
        match reader.read::<ConfigAnswer>(held_revision, wait_ms).await {
            Ok(answer) => {
                reader.failures = 0;
                let is_unpublished = answer.is_none() && held_revision.is_none();
                if let Some(answer) = answer {
                    held_revision = Some(answer.revision);
                    let bytes = answer.document.into_bytes().into();
                    let offer = Published { revision: answer.revision, bytes };
                    if reader.events.send(PlatformEvent::Config(offer)).is_err() {
                        return;
                    }
                }
                if is_unpublished {
                    pause(FIRST_PAUSE_MS).await;
                } else if mode == FollowMode::Poll {
                    tokio::select! {
                        () = pause(POLL_MS) => {}
                        changed = modes.changed() => if changed.is_err() { return },
                    }
                }
            }
            Err(error) => {
                if !reader.back_off(&error).await {
                    return;
                }
            }
        }
    }
}

async fn follow_instances(mut reader: Reader) {
    let mut held_revision: Option<u64> = None;
    loop {
        match reader.read::<InstancesAnswer>(held_revision, WATCH_MS).await {
            Ok(Some(answer)) => {
                reader.failures = 0;
                held_revision = Some(answer.revision);
                if reader.events.send(PlatformEvent::Instances(answer.instances)).is_err() {
                    return;
                }
                pause(LIST_PAUSE_MS).await;
            }
            Ok(None) if held_revision.is_none() => pause(FIRST_PAUSE_MS).await,
            Ok(None) => {}
            Err(error) => {
                if !reader.back_off(&error).await {
                    return;
                }
            }
        }
    }
}
