//! Reads the platform's configuration service and instance list. Nothing is ever written to them.
//!
//! The protocol is the platform's; docs/PLATFORM.md describes it.

use hickorycross_core::Instance;
use hickorycross_core::adoption::Published;
use rand::RngExt;
use serde::Deserialize;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

/// Longest time that one watch is left open.
const WATCH_MS: u64 = 10_000;
/// A read that takes longer is given up, and its connection with it; a watch may last its time
/// and this.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed read, and its upper bound as failures follow one another.
const FIRST_PAUSE_MS: u64 = 200;
const LONGEST_PAUSE_MS: u64 = 5_000;
/// Longest pause between the reads of a process that does not watch.
///
/// A process without a link to one that has heard of a change, such as an agent whose entries are
/// all idle, learns of it by its own read alone. Were that read later than the time in which a
/// change has to be in force everywhere, a few processes would serve on the old document; one would
/// see two revisions in the fleet's view. 1,300 such reads cost the platform about 290 a second.
const POLL_MS: u64 = 6_000;
/// Longest pause between two watches of the instance list after a change of it.
///
/// The whole fleet watches the list. Were each watch renewed at once, every change would cost one
/// read of every process in the same moment, and the changes of a failing rack or of an upgrade
/// would add up beyond the platform's rate; one would see status 429 for reads of the document
/// too. The pause spreads the reads and joins changes that follow one another.
const LIST_PAUSE_MS: u64 = 4_000;

/// What the platform says.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformEvent {
    /// A published document.
    Config(Published),
    /// The instance list.
    Instances(Vec<Instance>),
    /// A read failed.
    Unreachable {
        /// Why.
        detail: String,
    },
}

/// How a process follows the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowMode {
    /// It keeps a watch open.
    Watch,
    /// It reads now and then; its peers tell it of changes.
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
    #[error("status {0}")]
    Status(u16),
}

/// Follows the platform until the receiver of the events is dropped.
///
/// One task reads the configuration, as `follow` says at the moment; another watches the instance
/// list.
pub fn follow(
    base_url: &str,
    follow: watch::Receiver<FollowMode>,
    events: UnboundedSender<PlatformEvent>,
) {
    let config = Reader::new(base_url, "config", events.clone());
    tokio::spawn(follow_config(config, follow));
    let instances = Reader::new(base_url, "instances", events);
    tokio::spawn(follow_instances(instances));
}

struct Reader {
    base_url: String,
    what: &'static str,
    client: reqwest::Client,
    events: UnboundedSender<PlatformEvent>,
    failures: u32,
}

impl Reader {
    fn new(base_url: &str, what: &'static str, events: UnboundedSender<PlatformEvent>) -> Self {
        let base_url = base_url.trim_end_matches('/').to_owned();
        Self { base_url, what, client: fresh_client(), events, failures: 0 }
    }

    /// Reads once: at once without `after`, else when something newer is there. Nothing newer
    /// within `wait_ms` gives `None`.
    ///
    /// A poll passes what is held and waits for nothing: reading the whole document each time
    /// would cost more than all other control traffic of a process together.
    async fn read<T: serde::de::DeserializeOwned>(
        &self,
        after: Option<u64>,
        wait_ms: u64,
    ) -> Result<Option<T>, ReadError> {
        let (url, timeout) = match after {
            None => (format!("{}/v1/{}", self.base_url, self.what), READ_TIMEOUT),
            Some(after) => (
                format!("{}/v1/{}/watch?after={after}&wait_ms={wait_ms}", self.base_url, self.what),
                READ_TIMEOUT + Duration::from_millis(wait_ms),
            ),
        };
        let response = self.client.get(url).timeout(timeout).send().await?;
        match response.status().as_u16() {
            200 => Ok(Some(response.json().await?)),
            204 | 404 => Ok(None),
            status => Err(ReadError::Status(status)),
        }
    }

    /// Reports a failure and waits before the next try.
    ///
    /// The connection is not used again: a middlebox may have forgotten it, so that every read on
    /// it would time out while new connections work; one would see reads fail for minutes beside a
    /// healthy platform. A new client opens a new connection.
    async fn back_off(&mut self, error: &ReadError) -> bool {
        self.client = fresh_client();
        self.failures = self.failures.saturating_add(1);
        let detail = format!("{}: {error}", self.what);
        let doubled = FIRST_PAUSE_MS.saturating_mul(1 << self.failures.min(6));
        pause(doubled.min(LONGEST_PAUSE_MS)).await;
        self.events.send(PlatformEvent::Unreachable { detail }).is_ok()
    }
}

fn fresh_client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap_or_default()
}

/// Waits between half and all of a span, so that processes that failed together do not come back
/// together.
async fn pause(longest_ms: u64) {
    let span_ms = rand::rng().random_range(longest_ms / 2..=longest_ms);
    tokio::time::sleep(Duration::from_millis(span_ms)).await;
}

async fn follow_config(mut reader: Reader, mut follow: watch::Receiver<FollowMode>) {
    let mut held: Option<u64> = None;
    loop {
        let mode = *follow.borrow_and_update();
        let wait_ms = if mode == FollowMode::Watch { WATCH_MS } else { 0 };
        match reader.read::<ConfigAnswer>(held, wait_ms).await {
            Ok(answer) => {
                reader.failures = 0;
                let empty = answer.is_none() && held.is_none();
                if let Some(answer) = answer {
                    held = Some(answer.revision);
                    let bytes = answer.document.into_bytes().into();
                    let offer = Published { revision: answer.revision, bytes };
                    if reader.events.send(PlatformEvent::Config(offer)).is_err() {
                        return;
                    }
                }
                if empty {
                    pause(FIRST_PAUSE_MS).await;
                } else if mode == FollowMode::Poll {
                    tokio::select! {
                        () = pause(POLL_MS) => {}
                        changed = follow.changed() => if changed.is_err() { return },
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
    let mut held: Option<u64> = None;
    loop {
        match reader.read::<InstancesAnswer>(held, WATCH_MS).await {
            Ok(Some(answer)) => {
                reader.failures = 0;
                held = Some(answer.revision);
                if reader.events.send(PlatformEvent::Instances(answer.instances)).is_err() {
                    return;
                }
                pause(LIST_PAUSE_MS).await;
            }
            Ok(None) if held.is_none() => pause(FIRST_PAUSE_MS).await,
            Ok(None) => {}
            Err(error) => {
                if !reader.back_off(&error).await {
                    return;
                }
            }
        }
    }
}
