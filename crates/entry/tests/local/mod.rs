//! A fleet within the test's own process.
#![allow(dead_code, reason = "each test file uses the parts that it needs")]

use hickorycross_agent::Agent;
use hickorycross_entry::demo::{BackendStandIn, Stage, StageOptions};
use hickorycross_entry::{Entry, Settings};
use hickorycross_runtime::exposition::Exposition;
use hickorycross_standins::{EngineStandIn, Knobs, ServiceStandIn};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// The school spelling example.
pub(crate) const SCHOOL: &str = include_str!("../../../../examples/saraswati.json");
/// A team of it, and its key.
pub(crate) const KEY: &str = "example-key-spelling-school-1";
const TRIES: u32 = 600;
const PAUSE: Duration = Duration::from_millis(50);

static NEXT_NETWORK: AtomicU8 = AtomicU8::new(1);

/// Stand-ins, agents and one entry that end with the test.
pub(crate) struct Local {
    pub(crate) stage: Stage,
    pub(crate) client: reqwest::Client,
    agents: Vec<Agent>,
    entry: Entry,
}

/// What a test changes before the processes start.
pub(crate) trait Prepare {
    /// Changes settings.
    fn prepare(&self, stage: &mut Stage);
}

impl<F: Fn(&mut Stage)> Prepare for F {
    fn prepare(&self, stage: &mut Stage) {
        self(stage);
    }
}

impl Local {
    /// Starts one entry without agents.
    pub(crate) async fn entry_alone(prepare: impl Prepare) -> Self {
        Self::start_some(prepare, false).await
    }

    /// Starts one entry and every agent.
    pub(crate) async fn whole(prepare: impl Prepare) -> Self {
        Self::start_some(prepare, true).await
    }

    async fn start_some(prepare: impl Prepare, has_agents: bool) -> Self {
        let mut stage = Stage::set_up(&options()).await.expect("a stage");
        prepare.prepare(&mut stage);
        let mut agents = Vec::new();
        for settings in stage.agents.iter().filter(|_| has_agents) {
            agents.push(Agent::start(settings, Exposition::detached()).await.expect("an agent"));
        }
        let entry = start_entry(&stage.entries[0]).await;
        let client = reqwest::Client::builder().no_proxy().build().expect("a client");
        let local = Self { stage, client, agents, entry };
        local.wait_until_ready().await;
        local
    }

    /// Where callers reach the entry.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.stage.entries[0].caller_address
    }

    /// A request with the team's key.
    pub(crate) fn request(&self, method: reqwest::Method, path: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.callers());
        self.client.request(method, url).bearer_auth(KEY)
    }

    /// The stand-ins of engines.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &EngineStandIn> {
        self.stage.backends.values().filter_map(|backend| match backend {
            BackendStandIn::Engine(engine) => Some(engine),
            BackendStandIn::Service(_) => None,
        })
    }

    /// The stand-ins of plain services.
    pub(crate) fn services(&self) -> impl Iterator<Item = &ServiceStandIn> {
        self.stage.backends.values().filter_map(|backend| match backend {
            BackendStandIn::Engine(_) => None,
            BackendStandIn::Service(service) => Some(service),
        })
    }

    async fn wait_until_ready(&self) {
        let entry = self.stage.entries[0].operator_address;
        let agents = self.stage.agents.iter().map(|settings| settings.operator_address);
        let agents = agents.take(self.agents.len());
        for address in agents.chain([entry]) {
            let url = format!("http://{address}/health/ready");
            wait_for(&url, async || {
                let answer = self.client.get(&url).send().await;
                answer.is_ok_and(|answer| answer.status().is_success())
            })
            .await;
        }
    }
}

/// Starts a further entry.
pub(crate) async fn start_entry(settings: &Settings) -> Entry {
    Entry::start(settings, Exposition::detached()).await.expect("an entry")
}

fn options() -> StageOptions {
    StageOptions {
        document: SCHOOL.to_owned(),
        entries: 2,
        network: unique_network(),
        knobs: Knobs::default(),
        log_filter: "off".to_owned(),
        lock_step: None,
    }
}

/// Waits until a condition holds; the bound only ends a test that would hang.
pub(crate) async fn wait_for(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    for _ in 0..TRIES {
        if holds().await {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("waited in vain: {what}");
}

/// Two bytes of a loopback network that no other test process uses at the same time.
fn unique_network() -> [u8; 2] {
    let [.., third, fourth] = std::process::id().to_be_bytes();
    let own = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
    [(third ^ own.rotate_left(4)) | 1, fourth]
}
