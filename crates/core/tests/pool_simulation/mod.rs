//! Simulates entries that send streams to groups of one service, each of which runs its own passes.

use hickorycross_core::direct::{
    BootMs, FleetRetryBudget, GroupAvailability, OutageDurations, PassTracker, PoolChoice,
    PoolView, QueueLimit, QueueTarget, RetryBudget, RetryShare,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::sync::Arc;

const SERVICE: &str = "svc";
const TICK_MS: u64 = 5;
const STREAM_MS: u64 = 1_500;
const TARGET_MS: u64 = 500;
/// Time without an event after which a caller gives up.
const PATIENCE_MS: u64 = 2_000;
/// Time for which a request waits at its entry for room, as entries set it.
const CAPACITY_WAIT_MS: u64 = TARGET_MS / 10;
/// Time without an event after which a request leaves a stalled group, as entries set it.
const UNBEGUN_TIMEOUT_MS: u64 = 700;
const MAX_SENDS: u32 = 2;
const BUDGET: FleetRetryBudget = FleetRetryBudget { window_ms: 10_000, ratio: 0.2, slack: 90.0 };
const MAX_ENTRY_SHARE: f64 = 1.6;
const MIN_REQUESTS: f64 = 4.0;
const OUTAGE: OutageDurations = OutageDurations { stall_ms: 1_500, forming_ms: 600 };
/// Interval in which arrivals at a group are counted.
const WINDOW_MS: u64 = 200;

/// A group of ranks, taken as one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Group {
    pub(crate) ranks: usize,
    pub(crate) slots: u32,
    pub(crate) pass_ms: u64,
    /// Streams that it begins in a pass.
    pub(crate) begun_per_pass: usize,
}

/// What happens to the first group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// It stalls, then rejects requests while it forms again, and then runs again.
    Outage,
    /// It rejects requests until the end.
    Rejects,
    /// It neither runs passes nor answers until the end.
    Silent,
    /// It is empty at first and begins to take requests then.
    Joins,
}

pub(crate) struct Setup {
    pub(crate) entries: usize,
    pub(crate) groups: Vec<Group>,
    /// Requests as a share of what all groups can run.
    pub(crate) load: f64,
    pub(crate) fault: Fault,
    pub(crate) fault_at_ms: u64,
    pub(crate) end_ms: u64,
    /// Share of the requests that arrive at the first third of the entries in every other second;
    /// nothing for an even spread.
    pub(crate) wave_share: Option<f64>,
    /// Whether entries know the groups. Otherwise they take all as one.
    pub(crate) are_groups_known: bool,
    pub(crate) seed: u64,
}

/// What became of the requests that arrived after the fault, or of all without one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) wanted: u32,
    pub(crate) on_time: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
    /// Requests whose callers gave up.
    pub(crate) lost: u32,
    /// Streams that broke, and those of them that went on.
    pub(crate) broken: u32,
    pub(crate) resumed: u32,
    /// Most requests sent to a group within [`WINDOW_MS`], as a multiple of what it can begin then.
    pub(crate) peak: f64,
    /// Most requests of one entry that were refused or lost.
    pub(crate) max_failed_per_entry: u32,
}

impl Outcome {
    pub(crate) fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.wanted.max(1))
    }

    pub(crate) fn served_share(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.wanted.max(1))
    }
}

struct Request {
    entry: usize,
    arrived_at: u64,
    /// When the caller last got an event, or sent its request.
    since: u64,
    entered_at: u64,
    sent_at: u64,
    sends: u32,
    is_resumed: bool,
    is_counted: bool,
    waits_for: usize,
    /// Passes of the other pools when it was sent.
    other_passes: u64,
}

struct Running {
    request: Request,
    ends_at: u64,
}

#[derive(Default)]
struct GroupState {
    queue: VecDeque<Request>,
    running: Vec<Running>,
    next_pass_at: u64,
    window_arrivals: u32,
}

struct Pool {
    name: Arc<str>,
    availability: GroupAvailability,
    passes: PassTracker,
    open: u32,
    not_begun: u32,
}

struct Entry {
    pools: Vec<Pool>,
    choice: PoolChoice,
    queue_limit: QueueLimit,
    budget: RetryBudget,
    waiting: VecDeque<Request>,
}

pub(crate) struct Simulation {
    setup: Setup,
    entries: Vec<Entry>,
    groups: Vec<GroupState>,
    random: ChaCha8Rng,
    outcome: Outcome,
    /// Requests that were refused or lost, by entry.
    failed: Vec<u32>,
    now: u64,
}

impl Simulation {
    pub(crate) fn new(setup: Setup) -> Self {
        let pools = if setup.are_groups_known { setup.groups.len() } else { 1 };
        let mut random = ChaCha8Rng::seed_from_u64(setup.seed);
        let mut share = RetryShare::new(BootMs(0));
        share.set_entries(Some(setup.entries));
        let budget = share.settings(BUDGET, BootMs(BUDGET.window_ms));
        let pool = |index: usize| Pool {
            name: Arc::from(format!("{SERVICE}#{index}")),
            availability: GroupAvailability::default(),
            passes: PassTracker::default(),
            open: 0,
            not_begun: 0,
        };
        let entry = |rounding_offset| Entry {
            pools: (0..pools).map(pool).collect(),
            choice: PoolChoice::default(),
            queue_limit: QueueLimit::default(),
            budget: RetryBudget::new(budget).with_rounding(rounding_offset),
            waiting: VecDeque::new(),
        };
        Self {
            entries: (0..setup.entries).map(|_| entry(random.random::<f64>())).collect(),
            groups: setup.groups.iter().map(|_| GroupState::default()).collect(),
            random,
            outcome: Outcome::default(),
            failed: vec![0; setup.entries],
            now: 10_000,
            setup,
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        let begin = self.now;
        let slots: u32 = self.setup.groups.iter().map(|group| group.slots).sum();
        let per_tick = self.setup.load * f64::from(slots) * TICK_MS as f64 / STREAM_MS as f64;
        let mut due = 0.0;
        while self.now < begin + self.setup.end_ms {
            let elapsed_ms = self.now - begin;
            if elapsed_ms.is_multiple_of(WINDOW_MS) {
                self.close_window(elapsed_ms);
            }
            due += per_tick;
            while due >= 1.0 {
                due -= 1.0;
                self.arrive(elapsed_ms);
            }
            for group in 0..self.groups.len() {
                self.advance_group(group, elapsed_ms);
            }
            for entry in 0..self.entries.len() {
                self.advance_entry(entry, elapsed_ms);
            }
            self.now += TICK_MS;
        }
        self.outcome.max_failed_per_entry = self.failed.iter().copied().max().unwrap_or(0);
        self.outcome
    }

    fn note_failed(&mut self, request: &Request, is_refused: bool) {
        let count = u32::from(request.is_counted && !request.is_resumed);
        self.failed[request.entry] += count;
        if is_refused {
            self.outcome.refused += count;
        } else {
            self.outcome.lost += count;
        }
    }

    fn close_window(&mut self, elapsed_ms: u64) {
        for (group, state) in self.setup.groups.iter().zip(&mut self.groups) {
            let arrivals = f64::from(std::mem::take(&mut state.window_arrivals));
            let begins = WINDOW_MS as f64 / group.pass_ms as f64 * group.begun_per_pass as f64;
            if elapsed_ms > self.setup.fault_at_ms {
                self.outcome.peak = self.outcome.peak.max(arrivals / begins);
            }
        }
    }

    fn arrive(&mut self, elapsed_ms: u64) {
        let entries = self.entries.len();
        let in_wave = (elapsed_ms / 1_000) % 2 == 1;
        let entry = match self.setup.wave_share.filter(|_| in_wave) {
            Some(share) if self.random.random::<f64>() < share => {
                self.random.random_range(0..entries.div_ceil(3))
            }
            _ => self.random.random_range(0..entries),
        };
        let is_counted =
            elapsed_ms >= self.setup.fault_at_ms && elapsed_ms + PATIENCE_MS < self.setup.end_ms;
        self.outcome.wanted += u32::from(is_counted);
        let now = BootMs(self.now);
        self.entries[entry].budget.note_first_send(now, SERVICE);
        self.entries[entry].waiting.push_back(Request {
            entry,
            arrived_at: self.now,
            since: self.now,
            entered_at: self.now,
            sent_at: self.now,
            sends: 0,
            is_resumed: false,
            is_counted,
            waits_for: usize::MAX,
            other_passes: 0,
        });
    }

    /// Returns whether a group runs passes, and whether it rejects requests.
    fn condition(&self, group: usize, elapsed_ms: u64) -> (bool, bool) {
        let Some(since_ms) = elapsed_ms.checked_sub(self.setup.fault_at_ms) else {
            return (group != 0 || self.setup.fault != Fault::Joins, false);
        };
        match self.setup.fault {
            _ if group != 0 => (true, false),
            Fault::None | Fault::Joins => (true, false),
            Fault::Outage => {
                let is_stalled = since_ms < OUTAGE.stall_ms;
                let is_back = since_ms >= OUTAGE.stall_ms + OUTAGE.forming_ms;
                (is_back, !is_stalled && !is_back)
            }
            Fault::Rejects => (false, true),
            Fault::Silent => (false, false),
        }
    }

    fn pool_of(&self, group: usize) -> usize {
        if self.setup.are_groups_known { group } else { 0 }
    }

    fn advance_group(&mut self, index: usize, elapsed_ms: u64) {
        let (runs, rejects) = self.condition(index, elapsed_ms);
        let group = self.setup.groups[index];
        if rejects {
            let running = std::mem::take(&mut self.groups[index].running);
            for Running { request, .. } in running {
                self.break_off(index, request);
            }
            for request in std::mem::take(&mut self.groups[index].queue) {
                self.reject(index, request);
            }
            return;
        }
        if !runs || self.now < self.groups[index].next_pass_at {
            return;
        }
        self.groups[index].next_pass_at = self.now + group.pass_ms;
        let pool = self.pool_of(index);
        let running = std::mem::take(&mut self.groups[index].running);
        for stream in running {
            let entry = &mut self.entries[stream.request.entry];
            entry.note_event(pool, self.now);
            if stream.ends_at <= self.now {
                entry.pools[pool].open -= 1;
            } else {
                self.groups[index].running.push(stream);
            }
        }
        for _ in 0..group.begun_per_pass {
            if self.groups[index].running.len() >= group.slots as usize {
                break;
            }
            let Some(request) = self.groups[index].queue.pop_front() else { break };
            self.begin(index, pool, request);
        }
    }

    fn begin(&mut self, group: usize, pool: usize, mut request: Request) {
        let (entry, now) = (&mut self.entries[request.entry], BootMs(self.now));
        let waited_ms = self.now - request.sent_at;
        entry.pools[pool].not_begun -= 1;
        let name = Arc::clone(&entry.pools[pool].name);
        entry.queue_limit.note_begun(&name, waited_ms, now);
        entry.choice.note_first_event(&name, waited_ms, now);
        entry.note_event(pool, self.now);
        if request.is_resumed {
            self.outcome.resumed += 1;
        } else if request.is_counted {
            let is_on_time = self.now - request.arrived_at <= TARGET_MS;
            self.outcome.on_time += u32::from(is_on_time);
            self.outcome.late += u32::from(!is_on_time);
        }
        request.since = self.now;
        self.groups[group].running.push(Running { request, ends_at: self.now + STREAM_MS });
    }

    /// Breaks a running stream, which its entry resumes if the budget allows that.
    fn break_off(&mut self, group: usize, mut request: Request) {
        let pool = self.pool_of(group);
        self.outcome.broken += 1;
        let entry = &mut self.entries[request.entry];
        entry.pools[pool].open -= 1;
        request.is_resumed = true;
        request.sends = 1;
        request.entered_at = self.now;
        entry.waiting.push_back(request);
    }

    /// Rejects a request that had not begun.
    fn reject(&mut self, group: usize, mut request: Request) {
        let (pool, now) = (self.pool_of(group), BootMs(self.now));
        let waited_ms = self.now - request.sent_at;
        let entry = &mut self.entries[request.entry];
        entry.leave(pool, waited_ms, now);
        let is_unavailable = entry.pools[pool].availability.note_rejected(now);
        let has_other = entry.pools.iter().enumerate().any(|(other, it)| {
            other != pool && it.availability.expected_back_at(now, it.open, OUTAGE).is_none()
        });
        let may_repeat = (!is_unavailable || has_other) && request.sends < MAX_SENDS;
        if may_repeat || request.is_resumed {
            request.entered_at = self.now;
            entry.waiting.push_back(request);
        } else {
            self.note_failed(&request, true);
        }
    }

    fn advance_entry(&mut self, index: usize, elapsed_ms: u64) {
        self.leave_groups(index);
        for _ in 0..self.entries[index].waiting.len() {
            let Some(mut request) = self.entries[index].waiting.pop_front() else { break };
            if self.now - request.since > PATIENCE_MS {
                self.note_failed(&request, false);
                continue;
            }
            let draw = self.random.random::<f64>();
            let (views, choice) = self.choose(index, &request, draw);
            let Some(pool) = choice.filter(|pool| views[*pool].has_room) else {
                // Requests wait for groups that are unavailable, and a short time for room.
                let waits = choice.is_none() || request.is_resumed;
                request.waits_for = choice.unwrap_or(usize::MAX);
                if waits || self.now - request.entered_at < CAPACITY_WAIT_MS {
                    self.entries[index].waiting.push_back(request);
                } else {
                    self.note_failed(&request, true);
                }
                continue;
            };
            let now = BootMs(self.now);
            let entry = &mut self.entries[index];
            if request.sends > 0 && !entry.budget.try_spend(now, SERVICE) {
                self.note_failed(&request, true);
                continue;
            }
            self.send(pool, request, elapsed_ms);
        }
    }

    fn choose(
        &mut self,
        index: usize,
        request: &Request,
        draw: f64,
    ) -> (Vec<PoolView>, Option<usize>) {
        let (now, entries) = (BootMs(self.now), self.entries.len());
        let groups = &self.setup.groups;
        let of_pool = |pool: usize| {
            if self.setup.are_groups_known { &groups[pool..=pool] } else { &groups[..] }
        };
        let Entry { pools, choice, queue_limit, .. } = &mut self.entries[index];
        let mut views = Vec::new();
        for (number, pool) in pools.iter().enumerate() {
            let slots: u32 = of_pool(number).iter().map(|group| group.slots).sum();
            let servers = of_pool(number).iter().map(|group| group.ranks).sum();
            let even_share = f64::from(slots) / entries as f64;
            let begun = pool.open - pool.not_begun;
            let target = QueueTarget::new(TARGET_MS, servers, slots, entries, begun);
            let bound = (even_share * MAX_ENTRY_SHARE).max(MIN_REQUESTS);
            let availability = &pool.availability;
            let is_available = availability.expected_back_at(now, pool.open, OUTAGE).is_none();
            let is_short = request.sends > 0 || queue_limit.admits(&pool.name, target, now);
            views.push(PoolView {
                name: Arc::clone(&pool.name),
                is_available,
                has_room: is_available && is_short && f64::from(pool.open) < bound,
                slots,
                servers,
                even_share,
                open_requests: pool.open,
                not_begun: pool.not_begun,
                pass_ms: pool.passes.mean_pass_ms(now),
            });
        }
        let current = pools.get(request.waits_for).map_or(SERVICE, |pool| &pool.name);
        let chosen = choice.choose(&views, current, now, draw);
        (views, chosen)
    }

    fn send(&mut self, pool: usize, mut request: Request, elapsed_ms: u64) {
        let group = if self.setup.are_groups_known { pool } else { self.draw_group() };
        let now = BootMs(self.now);
        let entry = &mut self.entries[request.entry];
        let all_passes: u64 = entry.pools.iter().map(|it| it.passes.ended()).sum();
        request.other_passes = all_passes - entry.pools[pool].passes.ended();
        request.sends += 1;
        request.sent_at = self.now;
        let state = &mut entry.pools[pool];
        state.availability.note_sent(now, state.open);
        state.open += 1;
        state.not_begun += 1;
        entry.queue_limit.note_sent(&state.name, now);
        self.groups[group].window_arrivals += 1;
        if self.condition(group, elapsed_ms).1 {
            self.reject(group, request);
        } else {
            self.groups[group].queue.push_back(request);
        }
    }

    /// Draws the group of a rank, as entries that do not know the groups spread requests over ranks.
    fn draw_group(&mut self) -> usize {
        let ranks: usize = self.setup.groups.iter().map(|group| group.ranks).sum();
        let mut rank = self.random.random_range(0..ranks);
        for (index, group) in self.setup.groups.iter().enumerate() {
            if rank < group.ranks {
                return index;
            }
            rank -= group.ranks;
        }
        0
    }

    /// Takes requests of an entry back from queues that do not move, and drops those whose callers
    /// have left.
    fn leave_groups(&mut self, index: usize) {
        let now = BootMs(self.now);
        for group in 0..self.groups.len() {
            let pool = self.pool_of(group);
            let queue = std::mem::take(&mut self.groups[group].queue);
            for mut request in queue {
                let is_own = request.entry == index;
                let entry = &mut self.entries[request.entry];
                let waited_ms = self.now - request.sent_at;
                let gives_up = is_own && self.now - request.since > PATIENCE_MS;
                let leaves = is_own
                    && waited_ms > UNBEGUN_TIMEOUT_MS
                    && request.sends < MAX_SENDS
                    && entry.should_leave(pool, request.other_passes, now);
                if gives_up {
                    entry.leave(pool, waited_ms, now);
                    self.note_failed(&request, false);
                } else if leaves {
                    entry.leave(pool, waited_ms, now);
                    request.entered_at = self.now;
                    entry.waiting.push_back(request);
                } else {
                    self.groups[group].queue.push_back(request);
                }
            }
        }
    }
}

impl Entry {
    fn note_event(&mut self, pool: usize, now: u64) {
        let pool = &mut self.pools[pool];
        pool.availability.note_event(BootMs(now));
        pool.passes.note_event(BootMs(now), None);
        self.choice.note_event(&pool.name);
    }

    /// Records that a request that had not begun has left its pool.
    fn leave(&mut self, pool: usize, waited_ms: u64, now: BootMs) {
        let state = &mut self.pools[pool];
        state.open -= 1;
        state.not_begun -= 1;
        self.queue_limit.note_not_begun(&state.name, waited_ms, now);
        if waited_ms > 500 {
            self.choice.note_silent(&state.name, waited_ms, now);
        }
    }

    /// Returns whether a request should leave a pool that stalls while others run passes.
    fn should_leave(&mut self, pool: usize, other_passes: u64, now: BootMs) -> bool {
        let is_available =
            |it: &Pool| it.availability.expected_back_at(now, it.open, OUTAGE).is_none();
        let all_passes: u64 = self.pools.iter().map(|it| it.passes.ended()).sum();
        let others = self.pools.iter().enumerate().filter(|(other, _)| *other != pool);
        others.into_iter().any(|(_, it)| is_available(it))
            && all_passes - self.pools[pool].passes.ended() > other_passes
            && !is_available(&self.pools[pool])
            && self.budget.allows_retry(now, SERVICE)
    }
}
