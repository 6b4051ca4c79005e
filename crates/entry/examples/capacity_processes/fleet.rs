//! A fleet of real processes around stand-ins, with relays that count the bytes of links.

use crate::process::{Process, Usage, program};
use hickorycross_core::audit::Change;
use hickorycross_entry::demo::{Stage, StageOptions};
use hickorycross_lab::capacity::{FleetShape, document};
use hickorycross_runtime::trail::TrailEntry;
use hickorycross_standins::Knobs;
use hickorycross_standins::relay::UdpRelay;
use miette::IntoDiagnostic;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const RELAY_SEED: u64 = 7;
/// Teams of the design size.
const TEAMS: u32 = 260;
/// Servers of one group: its ranks are bounded to 32.
const GROUP_SERVERS: u32 = 31;
const PAUSE: Duration = Duration::from_millis(50);
const READY_BOUND: Duration = Duration::from_secs(120);
const CHANGE_BOUND: Duration = Duration::from_secs(60);
const READS_WINDOW: usize = 20;

/// How many processes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    pub(crate) entries: u8,
    pub(crate) agents: u32,
}

impl FleetSize {
    pub(crate) fn processes(self) -> u32 {
        u32::from(self.entries) + self.agents
    }

    pub(crate) fn shape(self) -> FleetShape {
        let groups = self.agents.div_ceil(GROUP_SERVERS);
        FleetShape { backends: self.agents, teams: TEAMS, groups, queue_slots: 1_024 }
    }
}

/// What the start of all processes at once asked of the platform.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartReads {
    pub(crate) reads: u64,
    pub(crate) peak_reads_per_s: u64,
    pub(crate) refused: u64,
    pub(crate) ready_s: f64,
}

/// How long a change took.
#[derive(Clone, Debug)]
pub(crate) struct Spread {
    /// Time from publishing to adoption of each process, sorted.
    pub(crate) adopted_ms: Vec<f64>,
    /// Processes that had not adopted when the wait ended.
    pub(crate) missing: usize,
}

pub(crate) struct Fleet {
    pub(crate) size: FleetSize,
    pub(crate) stage: Stage,
    pub(crate) relays: Vec<UdpRelay>,
    pub(crate) agents: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) client: reqwest::Client,
}

impl Fleet {
    /// Starts everything at once.
    pub(crate) async fn start(size: FleetSize, knobs: Knobs) -> miette::Result<(Self, StartReads)> {
        let options = StageOptions {
            document: document(size.shape()).canonical_json(),
            entries: size.entries,
            network: network(),
            knobs,
            lock_step: None,
            log_filter: "error".to_owned(),
        };
        let mut stage = Stage::set_up(&options).await?;
        let mut relays = Vec::new();
        for (agent, instance) in stage.agents.iter().zip(&mut stage.instances) {
            let relay = UdpRelay::start(agent.link_address, RELAY_SEED).await.into_diagnostic()?;
            instance.link_address = relay.address();
            relays.push(relay);
        }
        stage.platform.set_instances(stage.instances.clone());
        let client = reqwest::Client::builder().no_proxy().build().into_diagnostic()?;
        let mut fleet =
            Self { size, stage, relays, agents: Vec::new(), entries: Vec::new(), client };
        fleet.spawn_all()?;
        let reads = fleet.wait_until_ready().await?;
        Ok((fleet, reads))
    }

    fn spawn_all(&mut self) -> miette::Result<()> {
        let agent = program("hickorycross-agent")?;
        for settings in &self.stage.agents {
            self.agents.push(Process::spawn(&agent, &settings.instance, settings)?);
        }
        let entry = program("hickorycross-entry")?;
        for settings in &self.stage.entries {
            self.entries.push(Process::spawn(&entry, &settings.instance, settings)?);
        }
        Ok(())
    }

    async fn wait_until_ready(&self) -> miette::Result<StartReads> {
        let begun = Instant::now();
        let mut reads = vec![0];
        let mut waiting = self.operator_addresses();
        while !waiting.is_empty() {
            if begun.elapsed() > READY_BOUND {
                return Err(miette::miette!("{} processes are not ready", waiting.len()));
            }
            tokio::time::sleep(PAUSE).await;
            reads.push(self.stage.platform.read_counts().accepted());
            if let Some(address) = waiting.last()
                && self.is_ready(*address).await
            {
                waiting.pop();
            }
        }
        let ready_s = begun.elapsed().as_secs_f64();
        let counts = self.stage.platform.read_counts();
        reads.push(counts.accepted());
        let peak = (0..reads.len())
            .map(|end| reads[end] - reads[end.saturating_sub(READS_WINDOW)])
            .max()
            .unwrap_or(0);
        let refused = counts.refused;
        Ok(StartReads { reads: counts.accepted(), peak_reads_per_s: peak, refused, ready_s })
    }

    async fn is_ready(&self, address: SocketAddr) -> bool {
        let answer = self.client.get(format!("http://{address}/health/ready")).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    fn operator_addresses(&self) -> Vec<SocketAddr> {
        let agents = self.stage.agents.iter().map(|settings| settings.operator_address);
        agents.chain(self.stage.entries.iter().map(|settings| settings.operator_address)).collect()
    }

    /// Publishes a change and reads from every audit trail when it was adopted.
    pub(crate) async fn change(&self, title: &str) -> miette::Result<Spread> {
        let mut document = document(self.size.shape());
        document.title = title.to_owned();
        let published_ms = unix_ms();
        let revision = self.stage.platform.publish(&document.canonical_json()).into_diagnostic()?;
        let begun = Instant::now();
        let mut waiting = self.operator_addresses();
        let mut adopted_ms = Vec::new();
        while !waiting.is_empty() && begun.elapsed() < CHANGE_BOUND {
            // Asking rarely keeps the asking itself out of the measured time.
            tokio::time::sleep(Duration::from_secs(2)).await;
            let mut left = Vec::new();
            for address in waiting {
                match self.adopted_at(address, revision).await {
                    Some(at_ms) => adopted_ms.push(at_ms - published_ms),
                    None => left.push(address),
                }
            }
            waiting = left;
        }
        adopted_ms.sort_by(f64::total_cmp);
        Ok(Spread { adopted_ms, missing: waiting.len() })
    }

    async fn adopted_at(&self, address: SocketAddr, revision: u64) -> Option<f64> {
        let answer = self.client.get(format!("http://{address}/audit")).send().await.ok()?;
        let trail: Vec<TrailEntry> = answer.json().await.ok()?;
        trail.iter().find_map(|entry| match entry.record.change {
            Change::DocumentAdopted { after, .. } if after.revision == revision => {
                Some(entry.record.at.0 as f64)
            }
            _ => None,
        })
    }

    /// Datagrams and their payload bytes on all links so far, both directions.
    pub(crate) fn link_traffic(&self) -> (f64, f64) {
        let counts = self.relays.iter().map(UdpRelay::counts);
        counts.fold((0.0, 0.0), |(datagrams, bytes), one| {
            let count = one.to_server + one.to_clients;
            let length = one.to_server_bytes + one.to_clients_bytes;
            (datagrams + count as f64, bytes + length as f64)
        })
    }

    /// Flows from a port of an entry, that is links opened so far.
    pub(crate) fn links(&self) -> usize {
        self.relays.iter().map(UdpRelay::flows).sum()
    }

    pub(crate) fn usage(processes: &[Process]) -> Usage {
        let count = processes.len().max(1) as f64;
        processes.iter().map(Process::usage).fold(Usage::default(), |sum, one| Usage {
            cpu_s: sum.cpu_s + one.cpu_s / count,
            resident_bytes: sum.resident_bytes + one.resident_bytes / count,
            peak_resident_bytes: sum.peak_resident_bytes.max(one.peak_resident_bytes),
        })
    }
}

fn unix_ms() -> f64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_secs_f64() * 1e3
}

/// Two bytes of a loopback network that no other run uses at the same time.
fn network() -> [u8; 2] {
    let [.., third, fourth] = std::process::id().to_be_bytes();
    [third.wrapping_add(96) | 1, fourth]
}
