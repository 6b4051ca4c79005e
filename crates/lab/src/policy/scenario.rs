//! What happens in a run: load, surges, faults.

use super::fleet::{DOMAINS, ENTRIES, START_MS, TEAMS, domain_of, team_rate_per_s};

/// A stretch of virtual time, from its first moment to the one after its last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stretch {
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
}

impl Stretch {
    /// A stretch in seconds after the beginning of the run.
    pub(crate) const fn seconds(from_s: u64, to_s: u64) -> Self {
        Self { from_ms: START_MS + from_s * 1000, to_ms: START_MS + to_s * 1000 }
    }

    /// Whether a moment lies in it.
    pub(crate) const fn has(&self, moment_ms: u64) -> bool {
        self.from_ms <= moment_ms && moment_ms < self.to_ms
    }

    /// Its length.
    pub(crate) const fn seconds_long(&self) -> f64 {
        (self.to_ms - self.from_ms) as f64 / 1000.0
    }
}

/// A team's demand rises.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Surge {
    pub(crate) team: usize,
    pub(crate) factor: f64,
    pub(crate) when: Stretch,
    /// The moment at which the rise is complete.
    pub(crate) risen_ms: u64,
}

impl Surge {
    /// Factor on the team's demand.
    pub(crate) fn factor_at(&self, moment_ms: u64) -> f64 {
        if !self.when.has(moment_ms) {
            return 1.0;
        }
        let rise_ms = (self.risen_ms - self.when.from_ms).max(1) as f64;
        let risen = ((moment_ms - self.when.from_ms) as f64 / rise_ms).min(1.0);
        1.0 + (self.factor - 1.0) * risen
    }
}

/// Something goes wrong.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    /// A backend server takes ten times as long.
    Slow { backend: usize, when: Stretch },
    /// A backend server fails each attempt at once.
    FailFast { backend: usize, when: Stretch },
    /// A failure domain is gone, with its entries; its processes come back as new ones.
    DomainLost { domain: usize, when: Stretch },
    /// A failure domain and the others cannot reach each other; both serve on.
    DomainCut { domain: usize, when: Stretch },
    /// Every process is replaced, one after the other.
    Replacement { when: Stretch },
}

impl Fault {
    /// When it begins.
    pub(crate) const fn begins_ms(&self) -> u64 {
        match self {
            Self::Slow { when, .. }
            | Self::FailFast { when, .. }
            | Self::DomainLost { when, .. }
            | Self::DomainCut { when, .. }
            | Self::Replacement { when } => when.from_ms,
        }
    }
}

/// One scenario.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    /// Its name in the results.
    pub(crate) name: &'static str,
    /// Offered load before surges, in thousandths of capacity.
    pub(crate) load_permille: u32,
    /// Entries.
    pub(crate) entries: usize,
    /// The run.
    pub(crate) run: Stretch,
    /// The part that is counted.
    pub(crate) counted: Stretch,
    /// Limit of each team as a multiple of its rate at full load.
    pub(crate) limit_factors: [f64; TEAMS.len()],
    /// Surges.
    pub(crate) surges: Vec<Surge>,
    /// Faults.
    pub(crate) faults: Vec<Fault>,
    /// When the fault is repaired, if recovery is to be measured.
    pub(crate) repaired_ms: Option<u64>,
}

/// Slowness of a slow backend server.
const SLOW_FACTOR: f64 = 10.0;

/// Limits that do not bind in runs that are not about limits.
const WIDE: f64 = 12.0;

/// Entries of the runs in which each entry sees little.
const MANY_ENTRIES: usize = 40;

/// Time that a leaving process has before it goes.
const LEAVING_MS: u64 = 3000;

/// Time from the end of a process until its successor serves.
const REPLACED_MS: u64 = 2000;

/// Time from the beginning of one replacement to that of the next.
const REPLACEMENT_STEP_MS: u64 = 4000;

/// Where a process stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Life {
    /// It serves.
    Serving,
    /// It takes nothing new.
    Leaving,
    /// It is gone.
    Gone,
}

impl Scenario {
    /// Factor on the service time of a backend server.
    pub(crate) fn slowness(&self, backend: usize, moment_ms: u64) -> f64 {
        let slow = self.faults.iter().any(|fault| {
            matches!(fault, Fault::Slow { backend: slow, when }
                if *slow == backend && when.has(moment_ms))
        });
        if slow { SLOW_FACTOR } else { 1.0 }
    }

    /// Whether a backend server fails attempts at once.
    pub(crate) fn fails_fast(&self, backend: usize, moment_ms: u64) -> bool {
        self.faults.iter().any(|fault| {
            matches!(fault, Fault::FailFast { backend: failing, when }
                if *failing == backend && when.has(moment_ms))
        })
    }

    /// Where the process of a backend server stands.
    pub(crate) fn backend_life(&self, backend: usize, moment_ms: u64) -> Life {
        self.life(domain_of(backend), backend, moment_ms)
    }

    /// Where an entry stands. Entries are replaced between backend servers, half a step later.
    pub(crate) fn entry_life(&self, entry: usize, moment_ms: u64) -> Life {
        let half_step_before = moment_ms.saturating_sub(REPLACEMENT_STEP_MS / 2);
        self.life(domain_of(entry), entry, half_step_before)
    }

    /// Whether some team's limit binds.
    pub(crate) fn has_narrow_limits(&self) -> bool {
        self.limit_factors.iter().any(|factor| *factor < WIDE)
    }

    /// Requests a second that a team's limit allows.
    pub(crate) fn limit_per_s(&self, team: usize) -> f64 {
        (team_rate_per_s(team) * self.limit_factors[team]).round().max(1.0)
    }

    /// Whether messages pass between processes of two failure domains.
    pub(crate) fn reachable(&self, one: usize, other: usize, moment_ms: u64) -> bool {
        self.faults.iter().all(|fault| match fault {
            Fault::DomainCut { domain, when } => {
                !when.has(moment_ms) || (one == *domain) == (other == *domain)
            }
            _ => true,
        })
    }

    fn life(&self, domain: usize, index: usize, moment_ms: u64) -> Life {
        for fault in &self.faults {
            match fault {
                Fault::DomainLost { domain: lost, when }
                    if *lost == domain && when.has(moment_ms) =>
                {
                    return Life::Gone;
                }
                Fault::Replacement { when } => return replacement_life(when, index, moment_ms),
                _ => {}
            }
        }
        Life::Serving
    }
}

fn replacement_life(when: &Stretch, index: usize, moment_ms: u64) -> Life {
    let begins_ms = when.from_ms + index as u64 * REPLACEMENT_STEP_MS;
    if moment_ms < begins_ms || moment_ms >= begins_ms + LEAVING_MS + REPLACED_MS {
        return Life::Serving;
    }
    if moment_ms < begins_ms + LEAVING_MS { Life::Leaving } else { Life::Gone }
}

/// All scenarios.
pub(crate) fn all() -> Vec<Scenario> {
    let mut scenarios: Vec<Scenario> = vec![
        steady("steady-060", 600),
        steady("steady-090", 900),
        steady("steady-120", 1200),
        steady("steady-200", 2000),
        Scenario { entries: MANY_ENTRIES, ..steady("many-entries-090", 900) },
        Scenario { entries: MANY_ENTRIES, ..steady("many-entries-200", 2000) },
    ];
    scenarios.extend([class_bell(), wild_team()]);
    scenarios.extend([slow_backend(), failing_backend(), lost_domain(), cut_domain()]);
    scenarios.push(replacement());
    scenarios
}

fn steady(name: &'static str, load_permille: u32) -> Scenario {
    Scenario {
        name,
        load_permille,
        entries: ENTRIES,
        run: Stretch::seconds(0, 50),
        counted: Stretch::seconds(10, 50),
        limit_factors: [WIDE; TEAMS.len()],
        surges: Vec::new(),
        faults: Vec::new(),
        repaired_ms: None,
    }
}

fn faulty(name: &'static str, faults: Vec<Fault>, repaired_s: Option<u64>) -> Scenario {
    let repaired_ms = repaired_s.map(|repaired_s| START_MS + repaired_s * 1000);
    Scenario {
        run: Stretch::seconds(0, 60),
        counted: Stretch::seconds(10, 60),
        faults,
        repaired_ms,
        ..steady(name, 700)
    }
}

fn class_bell() -> Scenario {
    let bell = Surge {
        team: 0,
        factor: 10.0,
        when: Stretch::seconds(20, 40),
        risen_ms: START_MS + 22_000,
    };
    Scenario { surges: vec![bell], ..steady("class-bell", 700) }
}

fn wild_team() -> Scenario {
    let wild = Surge {
        team: 4,
        factor: 20.0,
        when: Stretch::seconds(15, 45),
        risen_ms: START_MS + 15_000,
    };
    let mut limit_factors = [WIDE; TEAMS.len()];
    limit_factors[4] = 1.5;
    Scenario { surges: vec![wild], limit_factors, ..steady("wild-team", 800) }
}

fn slow_backend() -> Scenario {
    let slow = Fault::Slow { backend: 4, when: Stretch::seconds(20, 40) };
    faulty("slow-backend", vec![slow], Some(40))
}

fn failing_backend() -> Scenario {
    let failing = Fault::FailFast { backend: 4, when: Stretch::seconds(20, 40) };
    faulty("failing-backend", vec![failing], Some(40))
}

fn lost_domain() -> Scenario {
    let lost = Fault::DomainLost { domain: DOMAINS - 1, when: Stretch::seconds(20, 40) };
    faulty("lost-domain", vec![lost], Some(40))
}

fn cut_domain() -> Scenario {
    let cut = Fault::DomainCut { domain: DOMAINS - 1, when: Stretch::seconds(20, 40) };
    let wild =
        Surge { team: 4, factor: 20.0, when: Stretch::seconds(5, 60), risen_ms: START_MS + 5_000 };
    let mut limit_factors = [WIDE; TEAMS.len()];
    limit_factors[4] = 1.5;
    let cut = faulty("cut-domain", vec![cut], Some(40));
    Scenario { surges: vec![wild], limit_factors, ..cut }
}

fn replacement() -> Scenario {
    let replacement = Fault::Replacement { when: Stretch::seconds(10, 70) };
    Scenario {
        run: Stretch::seconds(0, 70),
        counted: Stretch::seconds(10, 70),
        faults: vec![replacement],
        ..steady("replacement", 700)
    }
}
