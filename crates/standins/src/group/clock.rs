//! The clock of a group: a step is made only when every rank may make it.

use super::demand::Demand;
use super::host::RankHost;
use super::step::Step;
use super::window::Windows;
use super::work::Work;
use hickorycross_core::group::{ExpertMap, MapShape};
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Wait after which a stalled group looks again by itself.
const STALL_POLL: Duration = Duration::from_millis(5);
/// Time by which a busy machine may fall behind and still make up for it by shorter waits.
const MAX_BEHIND: Duration = Duration::from_millis(50);
/// Thousandths of the normal time.
const NORMAL_PERMILLE: f64 = 1_000.0;

/// Shape and pace of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupOptions {
    /// Ranks.
    pub ranks: u16,
    /// Layers with experts.
    pub layers: u16,
    /// Experts of each layer.
    pub experts: u16,
    /// Time of a step in which every rank has the same work.
    pub even_step_us: u64,
    /// Steps of a window over which load is reported.
    pub window_steps: u64,
    /// How long after the end of a window its load can be read.
    pub report_lag_ms: u64,
    /// Steps whose records are kept; older ones are forgotten.
    pub kept_steps: usize,
}

impl Default for GroupOptions {
    fn default() -> Self {
        Self {
            ranks: 4,
            layers: 2,
            experts: 16,
            even_step_us: 5_000,
            window_steps: 40,
            report_lag_ms: 200,
            kept_steps: 4_096,
        }
    }
}

/// The shared clock of a group's engines. It ends when its last copy is dropped.
#[derive(Clone, Debug)]
pub struct GroupClock(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    options: GroupOptions,
    table: Mutex<Table>,
    made: watch::Sender<u64>,
    woken: Notify,
}

#[derive(Debug)]
struct Table {
    hosts: IndexMap<u16, Weak<RankHost>>,
    demand: Demand,
    kept: VecDeque<Step>,
    mixed_steps: u64,
    windows: Windows,
}

impl GroupClock {
    /// Starts a group. No step is made before engines host all of its ranks and hold grants.
    #[must_use]
    pub fn start(options: GroupOptions) -> Self {
        let table = Table {
            hosts: IndexMap::new(),
            demand: Demand::even(options.layers, options.experts, 1_000.0),
            kept: VecDeque::new(),
            mixed_steps: 0,
            windows: Windows::default(),
        };
        let shared = Arc::new(Shared {
            options,
            table: Mutex::new(table),
            made: watch::Sender::new(0),
            woken: Notify::new(),
        });
        tokio::spawn(run(Arc::downgrade(&shared)));
        Self(shared)
    }

    /// Sets the tokens that each step brings to each expert, by layer.
    pub fn set_demand(&self, tokens_of_expert: Vec<Vec<f64>>) {
        self.0.lock().demand = Demand::new(tokens_of_expert);
    }

    /// Steps made so far.
    #[must_use]
    pub fn steps_made(&self) -> u64 {
        *self.0.made.borrow()
    }

    /// Resolves once this many steps have been made.
    pub async fn wait_for_step(&self, step: u64) {
        let mut made = self.0.made.subscribe();
        // The sender lives as long as this handle.
        let _reached = made.wait_for(|made| *made >= step).await;
    }

    /// The latest steps, as many as are kept.
    #[must_use]
    pub fn steps(&self) -> Vec<Step> {
        self.0.lock().kept.iter().cloned().collect()
    }

    /// Steps in which ranks used different maps, forgotten ones included.
    #[must_use]
    pub fn mixed_steps(&self) -> u64 {
        self.0.lock().mixed_steps
    }

    /// Follows the steps as they are made.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.0.made.subscribe()
    }

    /// Whether a map has the shape of the group.
    pub(super) fn fits(&self, map: &ExpertMap) -> bool {
        let options = &self.0.options;
        let (ranks, experts, layers) = (options.ranks, options.experts, options.layers);
        map.fits(MapShape { ranks, experts, layers })
    }

    /// Gives an engine its ranks, in place of the engine that hosted them before.
    pub(super) fn seat(&self, host: &Arc<RankHost>) {
        self.0.lock().hosts.insert(host.first_rank(), Arc::downgrade(host));
        self.wake();
    }

    /// Takes an engine's ranks away from it, unless another engine hosts them by now.
    pub(super) fn leave(&self, host: &RankHost) {
        let mut table = self.0.lock();
        let current = table.hosts.get(&host.first_rank()).map(Weak::as_ptr);
        if current.is_some_and(|current| std::ptr::eq(current, host)) {
            table.hosts.swap_remove(&host.first_rank());
        }
    }

    /// Makes a stalled group look again.
    pub(super) fn wake(&self) {
        self.0.woken.notify_one();
    }
}

/// Makes steps until the last handle of the group is gone.
async fn run(shared: Weak<Shared>) {
    let mut due = Instant::now();
    loop {
        let Some(shared) = shared.upgrade() else { return };
        let Some((step, works)) = shared.next_step() else {
            // A stall is found by looking again: a rank may also come back without an order.
            let _woken = tokio::time::timeout(STALL_POLL, shared.woken.notified()).await;
            due = Instant::now();
            continue;
        };
        let made = shared.time(step, &works);
        due = due.max(Instant::now() - MAX_BEHIND) + Duration::from_micros(made.step_us);
        tokio::time::sleep_until(due).await;
        shared.finish(made, &works);
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The engines in rank order, if they host all ranks.
    fn hosts(&self) -> Option<Vec<Arc<RankHost>>> {
        let hosts: Option<Vec<_>> = self.lock().hosts.values().map(Weak::upgrade).collect();
        let mut hosts = hosts?;
        hosts.sort_by_key(|host| host.first_rank());
        let ranks = hosts.iter().flat_map(|host| host.ranks());
        ranks.eq(0..self.options.ranks).then_some(hosts)
    }

    /// The next step that all ranks are granted, with its work; none while a rank must wait.
    fn next_step(&self) -> Option<(u64, Vec<Work>)> {
        let hosts = self.hosts()?;
        let next = *self.made.borrow() + 1;
        let granted: Option<Vec<u64>> = hosts.iter().map(|host| host.first_granted(next)).collect();
        let step = granted?.into_iter().max()?;
        Some((step, self.works(step, &hosts)?))
    }

    /// The work of all ranks in a step. Ranks find one another under one epoch only.
    fn works(&self, step: u64, hosts: &[Arc<RankHost>]) -> Option<Vec<Work>> {
        let demand = self.lock().demand.clone();
        let mut works: Vec<Work> = Vec::with_capacity(usize::from(self.options.ranks));
        for host in hosts {
            let granted = host.granted(step)?;
            if works.first().is_some_and(|first| first.granted.epoch != granted.epoch) {
                return None;
            }
            let latency_factor = f64::from(host.latency_permille()) / NORMAL_PERMILLE;
            for rank in host.ranks() {
                let tokens = demand.of_rank(&granted.map, rank);
                works.push(Work { rank, granted: granted.clone(), tokens, latency_factor });
            }
        }
        Some(works)
    }

    /// Computes the times of a step.
    fn time(&self, step: u64, works: &[Work]) -> Step {
        let mean = self.lock().demand.mean_of_rank(self.options.ranks);
        let even_us = self.options.even_step_us as f64;
        let us_per_token = if mean > 0.0 { even_us / mean } else { 0.0 };
        let mut step_us = 0.0;
        for layer in 0..usize::from(self.options.layers) {
            let slowest = works.iter().map(|work| work.layer_tokens(layer) * work.latency_factor);
            step_us += slowest.fold(0.0, f64::max) * us_per_token;
        }
        let ranks = works.iter().map(|work| work.record(us_per_token)).collect();
        // Without demand a group still makes steps, at its normal pace.
        let step_us = if mean > 0.0 { step_us } else { even_us };
        Step { step, step_us: step_us as u64, ranks }
    }

    /// Records a step that has been made, and tells everybody.
    fn finish(&self, made: Step, works: &[Work]) {
        let hosts = self.hosts().unwrap_or_default();
        for host in &hosts {
            host.note_step(made.step);
            let closed = self.lock().windows.count(host, &made, works, self.options.window_steps);
            if let Some(window) = closed {
                let lag = Duration::from_millis(self.options.report_lag_ms);
                host.publish(window, Instant::now() + lag);
            }
        }
        let step = made.step;
        let mut table = self.lock();
        table.mixed_steps += u64::from(!made.is_uniform());
        table.kept.push_back(made);
        while table.kept.len() > self.options.kept_steps {
            table.kept.pop_front();
        }
        drop(table);
        self.made.send_replace(step);
    }
}
