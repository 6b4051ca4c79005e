//! A fleet that runs in the test's own process, with stand-ins for backend servers and platform.
#![allow(dead_code, reason = "each test file uses the parts that it needs")]

use hickorycross_agent::Agent;
use hickorycross_entry::demo::{BackendStandIn, Stage, StageOptions};
use hickorycross_entry::{Entry, Settings};
use hickorycross_runtime::exposition::Exposition;
use hickorycross_standins::{EngineStandIn, Knobs, ServiceStandIn};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// The example document of a school spelling service.
pub(crate) const SCHOOL_DOCUMENT: &str = include_str!("../../../../examples/saraswati.json");
/// API key of a team in [`SCHOOL_DOCUMENT`].
pub(crate) const API_KEY: &str = "example-key-spelling-school-1";
const MAX_POLLS: u32 = 600;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

static NEXT_NETWORK: AtomicU8 = AtomicU8::new(1);

/// Stand-ins, agents and one entry that end with the test.
pub(crate) struct LocalFleet {
    pub(crate) stage: Stage,
    pub(crate) client: reqwest::Client,
    agents: Vec<Agent>,
    entry: Entry,
}

/// Adjusts settings before the processes start.
pub(crate) trait AdjustSettings {
    /// Adjusts the settings of entries and agents.
    fn adjust(&self, stage: &mut Stage);
}

impl<F: Fn(&mut Stage)> AdjustSettings for F {
    fn adjust(&self, stage: &mut Stage) {
        self(stage);
    }
}

impl LocalFleet {
    /// Starts one entry without agents.
    pub(crate) async fn start_entry_only(adjust: impl AdjustSettings) -> Self {
        Self::start_with(adjust, false).await
    }

    /// Starts one entry and every agent.
    pub(crate) async fn start(adjust: impl AdjustSettings) -> Self {
        Self::start_with(adjust, true).await
    }

    async fn start_with(adjust: impl AdjustSettings, has_agents: bool) -> Self {
        let mut stage = Stage::set_up(&options()).await.expect("a stage");
        adjust.adjust(&mut stage);
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

    /// Returns the address for callers' requests.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.stage.entries[0].caller_address
    }

    /// Creates a request with [`API_KEY`].
    pub(crate) fn request(&self, method: reqwest::Method, path: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.caller_address());
        self.client.request(method, url).bearer_auth(API_KEY)
    }

    /// Returns the stand-ins for engines.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &EngineStandIn> {
        self.stage.backends.values().filter_map(|backend| match backend {
            BackendStandIn::Engine(engine) => Some(engine),
            BackendStandIn::Service(_) => None,
        })
    }

    /// Returns the stand-ins for services.
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

/// Starts an entry, without waiting until it is ready.
pub(crate) async fn start_entry(settings: &Settings) -> Entry {
    Entry::start(settings, Exposition::detached()).await.expect("an entry")
}

fn options() -> StageOptions {
    StageOptions {
        document: SCHOOL_DOCUMENT.to_owned(),
        entries: 2,
        network: unique_network(),
        knobs: Knobs::default(),
        log_filter: "off".to_owned(),
        lock_step: None,
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

/// Returns two bytes of a loopback network address that no concurrent test process uses.
fn unique_network() -> [u8; 2] {
    let [.., third, fourth] = std::process::id().to_be_bytes();
    let own = NEXT_NETWORK.fetch_add(1, Ordering::Relaxed);
    [(third ^ own.rotate_left(4)) | 1, fourth]
}
