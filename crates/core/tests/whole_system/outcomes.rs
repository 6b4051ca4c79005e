//! Many seeds, and what came of them.

use crate::world::World;
use crate::world::adapter::Switches;
use crate::world::observer::Tally;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

const THREADS: usize = 4;
const HOUR_MS: f64 = 3_600_000.0;

/// What came of some seeds.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) sums: Sums,
    pub(crate) failures: Vec<String>,
}

/// Sums over seeds.
#[derive(Debug, Default)]
pub(crate) struct Sums {
    pub(crate) seeds: u64,
    pub(crate) virtual_hours: f64,
    pub(crate) excused_by_clocks: usize,
    pub(crate) tally: Tally,
}

/// Runs seeds of the general run on a few threads; each seed runs in one.
#[allow(dead_code, reason = "each test program uses a part of it")]
pub(crate) fn run_all(seeds: Range<u64>, switches: Switches) -> Outcomes {
    run_each(seeds, |seed| World::new(seed, switches))
}

/// Runs seeds of any kind of run on a few threads.
pub(crate) fn run_each(seeds: Range<u64>, new_world: impl Fn(u64) -> World + Sync) -> Outcomes {
    let next = AtomicU64::new(seeds.start);
    let outcomes = Mutex::new(Outcomes::default());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let mut world = new_world(seed);
                    let failure = world.run().err();
                    let mut all = outcomes.lock().expect("no run panics while it holds this");
                    all.sums.seeds += 1;
                    all.sums.virtual_hours += world.elapsed_ms() as f64 / HOUR_MS;
                    all.sums.excused_by_clocks += world.observer.excused.len();
                    all.sums.tally.add(&world.observer.tally);
                    all.failures.extend(
                        failure.map(|fault| format!("HICKORYCROSS_SEED={seed} fails at {fault}")),
                    );
                }
            });
        }
    });
    outcomes.into_inner().expect("no run panicked")
}
