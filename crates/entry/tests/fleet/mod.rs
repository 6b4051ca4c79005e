//! A fleet of real entry and agent processes, with stand-ins for backend servers and platform.
//!
//! Links to agents pass through UDP relays, so that tests can interrupt them.

mod process;

use hickorycross_config::{Document, hash_api_key};
use hickorycross_core::InstanceState;
use hickorycross_entry::demo::{LockStep, Stage, StageOptions};
use hickorycross_runtime::operators::Status;
use hickorycross_standins::Knobs;
use hickorycross_standins::relay::UdpRelay;
use indexmap::IndexMap;

#[allow(unused_imports, reason = "each test file uses the parts that it needs")]
pub(crate) use process::{Process, agent_program, entry_program};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// The example document of a school spelling service.
#[allow(dead_code, reason = "each test file uses the parts that it needs")]
pub(crate) const SCHOOL_DOCUMENT: &str = include_str!("../../../../examples/saraswati.json");
const SMALL_DOCUMENT: &str = include_str!("small.json");
const MAX_POLLS: u32 = 2_400;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const RELAY_SEED: u64 = 7;

static NEXT_NETWORK: AtomicU8 = AtomicU8::new(1);

/// Stand-ins and processes, which are stopped when this is dropped.
#[allow(dead_code, reason = "each test file uses the parts that it needs")]
pub(crate) struct Fleet {
    pub(crate) stage: Stage,
    pub(crate) relays: IndexMap<String, UdpRelay>,
    pub(crate) agents: IndexMap<String, Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) client: reqwest::Client,
}

/// Returns a small document in which the API key of a team is `example-key-<team>`.
#[allow(dead_code, reason = "each test file uses the parts that it needs")]
pub(crate) fn small_document() -> String {
    let hash = |team| {
        let hash = hash_api_key(&format!("example-key-{team}"));
        serde_json::to_value(hash).ok().and_then(|hash| hash.as_str().map(str::to_owned))
    };
    SMALL_DOCUMENT
        .replace("KEY_CLERKS", &hash("clerks").expect("a hash"))
        .replace("KEY_ARCHIVE", &hash("archive").expect("a hash"))
}

#[allow(dead_code, reason = "each test file uses the parts that it needs")]
impl Fleet {
    /// Starts stand-ins, all agents of a document and some entries, and waits until they are
    /// ready.
    pub(crate) async fn start(document: &str, entries: u8, knobs: Knobs) -> Self {
        Self::start_with_lock_step(document, entries, knobs, None).await
    }

    /// Like [`Fleet::start`], with engines that run their steps in lock-step if `lock_step` is set.
    pub(crate) async fn start_with_lock_step(
        document: &str,
        entries: u8,
        knobs: Knobs,
        lock_step: Option<LockStep>,
    ) -> Self {
        let options = StageOptions {
            document: document.to_owned(),
            entries,
            network: unique_network(),
            knobs,
            lock_step,
            log_filter: "warn,audit=off,platform=off".to_owned(),
        };
        let mut stage = Stage::set_up(&options).await.expect("a stage");
        let relays = insert_relays(&mut stage).await;
        let agents = stage.agents.iter().map(|settings| {
            let process = Process::spawn(&agent_program(), &settings.instance, settings);
            (settings.backend_server.as_str().to_owned(), process)
        });
        let agents = agents.collect();
        let entries = stage
            .entries
            .iter()
            .map(|settings| Process::spawn(entry_program(), &settings.instance, settings))
            .collect();
        let client = reqwest::Client::builder().no_proxy().build().expect("a client");
        let fleet = Self { stage, relays, agents, entries, client };
        for address in fleet.operator_addresses() {
            fleet.wait_until_ready(address).await;
        }
        fleet
    }

    /// Creates a POST request to an entry with a team's API key and a JSON body.
    pub(crate) fn post<T: Serialize>(
        &self,
        entry: usize,
        team: &str,
        path: &str,
        body: &T,
    ) -> reqwest::RequestBuilder {
        let address = self.stage.entries[entry].caller_address;
        self.client
            .post(format!("http://{address}{path}"))
            .bearer_auth(format!("example-key-{team}"))
            .json(body)
    }

    /// Returns the operator addresses of all processes, agents first.
    pub(crate) fn operator_addresses(&self) -> Vec<SocketAddr> {
        let agents = self.stage.agents.iter().map(|settings| settings.operator_address);
        agents.chain(self.stage.entries.iter().map(|settings| settings.operator_address)).collect()
    }

    /// Fetches the status of a process. Returns `None` if it does not answer.
    pub(crate) async fn status(&self, address: SocketAddr) -> Option<Status> {
        self.client.get(format!("http://{address}/status")).send().await.ok()?.json().await.ok()
    }

    /// Waits until the readiness check of a process succeeds.
    pub(crate) async fn wait_until_ready(&self, address: SocketAddr) {
        let url = format!("http://{address}/health/ready");
        wait_for(&url, async || {
            let answer = self.client.get(&url).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await;
    }

    /// Waits until a process has adopted a revision.
    pub(crate) async fn wait_for_revision(&self, address: SocketAddr, revision: u64) {
        wait_for(&format!("revision {revision} at {address}"), async || {
            let status = self.status(address).await;
            status.is_some_and(|status| status.stamp.revision == revision)
        })
        .await;
    }

    /// Sets the state of an agent's instance in the platform's list.
    pub(crate) fn list_as(&mut self, backend_server: &str, state: InstanceState) {
        let id = format!("agent-of-{backend_server}");
        let rows = self.stage.instances.iter_mut();
        rows.filter(|instance| *instance.id.0 == *id).for_each(|instance| instance.state = state);
        self.stage.platform.set_instances(self.stage.instances.clone());
    }
}

/// Polls until a condition holds; panics after [`MAX_POLLS`], so that a failing test ends.
pub(crate) async fn wait_for(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if condition().await {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting for {description}");
}

async fn insert_relays(stage: &mut Stage) -> IndexMap<String, UdpRelay> {
    let mut relays = IndexMap::new();
    for (agent, instance) in stage.agents.iter().zip(&mut stage.instances) {
        let relay = UdpRelay::start(agent.link_address, RELAY_SEED).await.expect("a relay");
        instance.link_address = relay.address();
        relays.insert(agent.backend_server.as_str().to_owned(), relay);
    }
    stage.platform.set_instances(stage.instances.clone());
    relays
}

/// Returns the document with another title, to publish it as another revision.
#[allow(dead_code, reason = "each test file uses the parts that it needs")]
pub(crate) fn with_title(document: &str, title: &str) -> String {
    let mut document: Document = serde_json::from_str(document).expect("a document");
    document.title = title.to_owned();
    document.canonical_json()
}

/// Returns two bytes of a loopback network address that no concurrent test process uses.
fn unique_network() -> [u8; 2] {
    let [.., third, fourth] = std::process::id().to_be_bytes();
    let own = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
    [(third ^ own.rotate_left(4)) | 1, fourth]
}
