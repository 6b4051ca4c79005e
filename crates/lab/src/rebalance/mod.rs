//! The rebalancing experiment: policies on the same drift traces, against an omniscient bound.
//!
//! Everything is drawn from seeds. Steps are modelled, not run; see [`StepTime`].

mod bound;
mod compare;
mod demand;
mod output;
mod plan;
mod plot;
mod policy_run;
mod popularity;
mod step_time;
mod summary;
mod trace;

pub use bound::Bound;
pub use compare::compare;
pub use demand::Demand;
pub use output::{ExperimentResult, read_json, write_csv, write_json};
pub use plan::{Deployment, Experiment, PolicyKind, experiments, weight_sweep};
pub use plot::{PlotError, plot_frontier, plot_skew, plot_timeline};
pub use policy_run::PolicyRun;
pub use step_time::StepTime;
pub use summary::{PolicySummary, RunFigures, SeedRun, Spread, summarise};
pub use trace::{Tick, Trace, Window};
