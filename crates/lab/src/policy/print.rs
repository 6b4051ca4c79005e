//! Results as text.

use super::measure::{Measurement, OvershootRow, Recovery, RunRow};
use std::fmt::Write;

/// The results as a table for a terminal.
#[must_use]
pub fn print(measurement: &Measurement) -> String {
    let mut text = String::new();
    for row in &measurement.runs {
        print_run(&mut text, row);
    }
    for row in &measurement.overshoot {
        print_overshoot(&mut text, row);
    }
    text
}

fn print_run(text: &mut String, row: &RunRow) {
    let recovery = match row.recovery {
        None => String::new(),
        Some(Recovery::WithinMs(within_ms)) => format!(" back={within_ms}ms"),
        Some(Recovery::NotInSeeds(seeds)) => format!(" back=never({seeds})"),
    };
    let _ = writeln!(
        text,
        "{:16} {:18} good={:4.0}/{:4.0} first={:6.1} expired={:5.1} extra={:5.1}{recovery}",
        row.scenario,
        row.policy,
        row.goodput_permille_mean,
        row.goodput_permille_worst,
        row.first_tier_permille_worst,
        row.expired_permille,
        row.extra_tries_permille,
    );
    for tier in &row.tiers {
        let counts = &tier.counts;
        let _ = writeln!(
            text,
            "    {:7} in time {:6.1} of {:6}; late {:5} limited {:5} at once {:6} later {:5} \
             expired {:5} failed {:4}; {} / {} / {} ms",
            tier.tier,
            tier.in_time_permille,
            counts.offered,
            counts.late,
            counts.limited,
            counts.refused_at_once,
            counts.refused_later,
            counts.expired,
            counts.failed,
            tier.p50_ms,
            tier.p95_ms,
            tier.p99_ms,
        );
    }
}

fn print_overshoot(text: &mut String, row: &OvershootRow) {
    let case = &row.case;
    let worst = &row.worst;
    let _ = writeln!(
        text,
        "entries {:2} offered {:.1} {:8?} {:13?} steady {:4.0}/{:4.0} cut {:4.0}/{:4.0} \
         over {:.2} fair shares, {:.0} B/s",
        case.entries,
        case.offered_factor,
        case.spread,
        case.cut,
        worst.steady_mean_permille,
        worst.steady_peak_permille,
        worst.cut_mean_permille,
        worst.cut_peak_permille,
        worst.cut_overshoot_fair_shares,
        worst.report_bytes_per_s,
    );
}
