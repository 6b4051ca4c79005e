//! Bytes of demand reports by the number of teams that ask at one entry.

use super::document::{FleetShape, document};
use super::fit::{Series, SeriesName};
use super::measure::Effort;
use hickorycross_config::TeamId;
use hickorycross_core::Now;
use hickorycross_core::limits::{SharedLimits, TeamLimiter, report_bytes};

const TEAMS: [u32; 5] = [8, 16, 65, 130, 260];
const BACKENDS: u32 = 899;
const ENTRIES: u32 = 400;
const TICK_MS: u64 = 20;
const WARM_MS: u64 = 10_000;
const MEASURED_MS: u64 = 60_000;
/// Each team asks once in this time at one entry: 43 requests a second over 260 teams.
const BETWEEN_REQUESTS_MS: u64 = 6_000;

/// Estimated bytes a second of reports and their answers, and messages a second.
fn report_rates(teams: u32) -> (f64, f64) {
    let shape = FleetShape { backends: BACKENDS, teams, groups: 29, queue_slots: 256 };
    let mut limits = SharedLimits::new();
    limits.set_entry_count(Now::at(0), ENTRIES);
    limits.adopt(Now::at(0), &document(shape));
    let mut bytes = 0;
    let mut messages = 0_u32;
    for now_ms in (0..WARM_MS + MEASURED_MS).step_by(TICK_MS as usize) {
        let now = Now::at(now_ms);
        for team in (0..teams).filter(|team| is_asking(*team, now_ms)) {
            limits.admit(now, &TeamId::new(&format!("team-{team:03}")));
        }
        let reports = limits.due_reports(now);
        if now_ms >= WARM_MS {
            bytes += reports.iter().map(report_bytes).sum::<u64>();
            messages += u32::try_from(reports.len()).unwrap_or(u32::MAX);
        }
    }
    let seconds = MEASURED_MS as f64 / 1e3;
    (bytes as f64 / seconds, f64::from(messages) / seconds)
}

fn is_asking(team: u32, now_ms: u64) -> bool {
    (now_ms + u64::from(team) * 37).is_multiple_of(BETWEEN_REQUESTS_MS)
        || (now_ms + u64::from(team) * 37) % BETWEEN_REQUESTS_MS < TICK_MS
}

/// Bytes and messages of demand reports.
pub(super) fn limits_series(effort: Effort) -> Vec<Series> {
    let design_x = f64::from(effort.design.teams);
    let name = |measured| SeriesName { role: "entry", measured, varied: "teams_with_demand" };
    vec![
        Series::measure(name("demand_bytes_per_s_estimated"), &TEAMS, 1, design_x, |x| {
            report_rates(x).0
        }),
        Series::measure(name("demand_reports_per_s"), &TEAMS, 1, design_x, |x| report_rates(x).1),
    ]
}
