//! Compares rebalancing policies on seeded drift traces and writes JSON, CSV and SVG files.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use hickorycross_lab::rebalance::{
    Experiment, ExperimentResult, PolicyKind, SeedRun, compare, experiments, plot_frontier,
    plot_skew, plot_timeline, read_json, summarise, weight_sweep, write_csv, write_json,
};
use miette::{Context, IntoDiagnostic, Result};
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Seeds of the sweep over weights, which is run on fewer than the comparison.
const SWEEP_SEEDS: usize = 3;

fn main() -> Result<()> {
    let arguments = command().get_matches();
    let out: Option<&PathBuf> = arguments.get_one("out");
    if let Some(out) = out {
        std::fs::create_dir_all(out).into_diagnostic().wrap_err("making the output directory")?;
    }
    if let Some(out) = out.filter(|_| arguments.get_flag("replot")) {
        return replot(out);
    }
    let only: &String = arguments.get_one("only").expect("has a default");
    let mut results = Vec::new();
    for experiment in experiments().iter().filter(|experiment| experiment.name.contains(only)) {
        let runs = run(experiment, &PolicyKind::ALL, &seeds(&arguments), &arguments);
        results.push(result(experiment, &runs));
        if let Some(out) = out {
            plot_course(out, experiment, &runs)?;
        }
    }
    if let Some(out) = out {
        write(out, "comparison", &results)?;
        sweep(out, &arguments)?;
        replot(out)?;
    }
    Ok(())
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let parser = value_parser!(u64);
        Arg::new(name).long(name).default_value(default).value_parser(parser).help(help)
    };
    let out = Arg::new("out").long("out").value_parser(value_parser!(PathBuf));
    Command::new("rebalance")
        .about("Compares rebalancing policies on seeded drift traces")
        .arg(number("first-seed", "1000", "First seed"))
        .arg(number("seeds", "10", "Number of seeds"))
        .arg(number("threads", "5", "Threads"))
        .arg(Arg::new("only").long("only").default_value("").help("Part of an experiment's name"))
        .arg(
            Arg::new("replot")
                .long("replot")
                .action(ArgAction::SetTrue)
                .help("Run nothing; plot the summaries in the output directory again"),
        )
        .arg(out.help("Directory for result files; without it, results are only printed"))
}

fn number(arguments: &ArgMatches, name: &str) -> u64 {
    *arguments.get_one(name).expect("has a default")
}

fn seeds(arguments: &ArgMatches) -> Vec<u64> {
    let first = number(arguments, "first-seed");
    (first..first + number(arguments, "seeds")).collect()
}

fn run(
    experiment: &Experiment,
    policies: &[PolicyKind],
    seeds: &[u64],
    arguments: &ArgMatches,
) -> Vec<SeedRun> {
    let started = Instant::now();
    let runs = compare(experiment, policies, seeds, number(arguments, "threads") as usize);
    let elapsed_s = started.elapsed().as_secs_f64();
    println!("{} ({} seeds, {elapsed_s:.1} s)", experiment.name, seeds.len());
    print(&result(experiment, &runs));
    runs
}

fn result(experiment: &Experiment, runs: &[SeedRun]) -> ExperimentResult {
    let mut seeds: Vec<u64> = runs.iter().map(|run| run.seed).collect();
    seeds.dedup();
    ExperimentResult {
        experiment: experiment.name.clone(),
        skew_weight: experiment.balance.skew_weight,
        rebalance_cost_weight: experiment.balance.rebalance_cost_weight,
        seeds,
        policies: summarise(runs, experiment.length_s),
    }
}

fn print(result: &ExperimentResult) {
    for policy in &result.policies {
        println!(
            "  {:<10} skew {:>6.1} us (p50 {:>5.1} p99 {:>6.1}) ratio {:.4} of bound {:.3} \
             [{:.3}, {:.3}] steps of bound {:.4} moved {:>8.2} GB changes {:>6.1} stalls {:>6.1}",
            policy.policy.as_str(),
            policy.skew_mean_us.mean,
            policy.skew_p50_us.mean,
            policy.skew_p99_us.mean,
            policy.skew_mean_ratio.mean,
            policy.skew_of_bound.mean,
            policy.skew_of_bound.min,
            policy.skew_of_bound.max,
            policy.steps_of_bound.mean,
            policy.moved_bytes.mean / 1e9,
            policy.changes.mean,
            policy.stall_steps.mean,
        );
    }
}

fn sweep(out: &Path, arguments: &ArgMatches) -> Result<()> {
    let policies = [PolicyKind::Weighted, PolicyKind::Bound];
    let seeds: Vec<u64> = seeds(arguments).into_iter().take(SWEEP_SEEDS).collect();
    let swept = weight_sweep();
    let results = swept.iter().map(|experiment| {
        let runs = run(experiment, &policies, &seeds, arguments);
        result(experiment, &runs)
    });
    let results: Vec<ExperimentResult> = results.collect();
    write(out, "weights", &results)
}

/// Plots the summaries that stand in the directory.
fn replot(out: &Path) -> Result<()> {
    let read = |name| read_json(&out.join(name)).into_diagnostic().wrap_err("reading results");
    let comparison = read("comparison.json")?;
    plot_skew(&out.join("skew.svg"), &comparison).into_diagnostic().wrap_err("plotting skew")?;
    let weights = read("weights.json")?;
    let plot = out.join("weights.svg");
    plot_frontier(&plot, &weights).into_diagnostic().wrap_err("plotting weights")
}

fn write(out: &Path, name: &str, results: &[ExperimentResult]) -> Result<()> {
    let json = out.join(name).with_extension("json");
    write_json(&json, results).into_diagnostic().wrap_err("writing JSON")?;
    let csv = out.join(name).with_extension("csv");
    write_csv(&csv, results).into_diagnostic().wrap_err("writing CSV")
}

/// Plots the first seed's trace.
fn plot_course(out: &Path, experiment: &Experiment, runs: &[SeedRun]) -> Result<()> {
    let Some(seed) = runs.first().map(|run| run.seed) else { return Ok(()) };
    let first: Vec<&SeedRun> = runs.iter().filter(|run| run.seed == seed).collect();
    let path = out.join(format!("course-{}.svg", experiment.name));
    plot_timeline(&path, experiment, &first).into_diagnostic().wrap_err("plotting a course")
}
