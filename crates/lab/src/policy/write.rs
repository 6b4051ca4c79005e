//! Results as files.

use super::chart::{self, Bars};
use super::measure::{Measurement, OvershootRow, Recovery, RunRow};
use std::fmt::Write;
use std::io;
use std::path::Path;

/// Writes the results as JSON, CSV and SVG into a directory.
///
/// # Errors
///
/// When the directory or a file cannot be written.
pub fn write(measurement: &Measurement, directory: &Path) -> io::Result<()> {
    std::fs::create_dir_all(directory)?;
    let save = |name: &str, text: &str| std::fs::write(directory.join(name), text);
    save("policy.json", &serde_json::to_string(measurement)?)?;
    save("runs.csv", &runs_csv(&measurement.runs))?;
    save("tiers.csv", &tiers_csv(&measurement.runs))?;
    save("teams.csv", &teams_csv(&measurement.runs))?;
    save("overshoot.csv", &overshoot_csv(&measurement.overshoot))?;
    save("first-tier.svg", &chart::draw(&first_tier(&measurement.runs))?)?;
    save("expired.svg", &chart::draw(&expired(&measurement.runs))?)?;
    save("extra-tries.svg", &chart::draw(&extra_tries(&measurement.runs))?)?;
    save("overshoot.svg", &chart::draw(&overshoot(&measurement.overshoot))?)
}

fn runs_csv(runs: &[RunRow]) -> String {
    let mut text = String::from(
        "scenario,policy,goodput_permille_mean,goodput_permille_worst,first_tier_permille_worst,\
         expired_permille,extra_tries_permille,recovery\n",
    );
    for row in runs {
        let _ = writeln!(
            text,
            "{},{},{:.1},{:.1},{:.1},{:.2},{:.2},{}",
            row.scenario,
            row.policy,
            row.goodput_permille_mean,
            row.goodput_permille_worst,
            row.first_tier_permille_worst,
            row.expired_permille,
            row.extra_tries_permille,
            recovery(row.recovery),
        );
    }
    text
}

fn recovery(recovery: Option<Recovery>) -> String {
    match recovery {
        None => String::new(),
        Some(Recovery::WithinMs(within_ms)) => format!("{within_ms} ms"),
        Some(Recovery::NotInSeeds(seeds)) => format!("not in {seeds} seeds"),
    }
}

fn tiers_csv(runs: &[RunRow]) -> String {
    let mut text = String::from(
        "scenario,policy,tier,offered,in_time,late,limited,refused_at_once,refused_later,expired,\
         failed,open,accepted,p50_ms,p95_ms,p99_ms\n",
    );
    for row in runs {
        for tier in &row.tiers {
            let counts = &tier.counts;
            let _ = writeln!(
                text,
                "{},{},{},{},{},{},{},{},{},{},{},{},{},{},{},{}",
                row.scenario,
                row.policy,
                tier.tier,
                counts.offered,
                counts.in_time,
                counts.late,
                counts.limited,
                counts.refused_at_once,
                counts.refused_later,
                counts.expired,
                counts.failed,
                counts.open,
                counts.accepted,
                tier.p50_ms,
                tier.p95_ms,
                tier.p99_ms,
            );
        }
    }
    text
}

fn teams_csv(runs: &[RunRow]) -> String {
    let mut text =
        String::from("scenario,policy,team,within_of_entitled_permille,in_time_permille\n");
    for row in runs {
        for team in &row.teams {
            let _ = writeln!(
                text,
                "{},{},{},{:.1},{:.1}",
                row.scenario,
                row.policy,
                team.team,
                team.within_of_entitled_permille,
                team.in_time_permille,
            );
        }
    }
    text
}

fn overshoot_csv(rows: &[OvershootRow]) -> String {
    let mut text = String::from(
        "entries,offered_factor,spread,cut,steady_mean_permille,steady_peak_permille,\
         cut_mean_permille,cut_peak_permille,cut_overshoot_fair_shares,\
         cut_peak_overshoot_fair_shares,report_bytes_per_s\n",
    );
    for row in rows {
        let case = &row.case;
        let worst = &row.worst;
        let _ = writeln!(
            text,
            "{},{},{:?},{:?},{:.1},{:.1},{:.1},{:.1},{:.2},{:.2},{:.0}",
            case.entries,
            case.offered_factor,
            case.spread,
            case.cut,
            worst.steady_mean_permille,
            worst.steady_peak_permille,
            worst.cut_mean_permille,
            worst.cut_peak_permille,
            worst.cut_overshoot_fair_shares,
            worst.cut_peak_overshoot_fair_shares,
            worst.report_bytes_per_s,
        );
    }
    text
}

fn first_tier(runs: &[RunRow]) -> Bars {
    let title = "first tier answered in time, worst seed, per mille";
    by_policy(title, runs, |row| row.first_tier_permille_worst)
}

fn expired(runs: &[RunRow]) -> Bars {
    by_policy("accepted work that expired, per mille", runs, |row| row.expired_permille)
}

fn extra_tries(runs: &[RunRow]) -> Bars {
    let title = "further tries, per mille of first ones, cut at 200";
    by_policy(title, runs, |row| row.extra_tries_permille.min(200.0))
}

/// One group of bars for each scenario, one bar in it for each set of policies.
fn by_policy(title: &str, runs: &[RunRow], value: fn(&RunRow) -> f64) -> Bars {
    let mut bars = Bars::new(title);
    for row in runs {
        bars.add(row.scenario, row.policy, value(row));
    }
    bars
}

fn overshoot(rows: &[OvershootRow]) -> Bars {
    let mut bars = Bars::new("highest 5 s window admitted, per mille of the limit");
    for row in rows {
        let case = &row.case;
        let group = format!("{:?} {:?} x{}", case.spread, case.cut, case.offered_factor);
        let peak = row.worst.steady_peak_permille.max(row.worst.cut_peak_permille);
        bars.add(&group, &format!("{} entries", case.entries), peak);
    }
    bars
}
