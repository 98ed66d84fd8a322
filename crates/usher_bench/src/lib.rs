//! Load and experiment tool that compares the decisions of the product with baselines, in virtual
//! time.
//!
//! It runs the decision code of the daemons on simulated engines, with results that are
//! reproducible for a seed. Not for: modelling hosts, or networks other than a fixed delay per
//! link.

mod engine;
mod error;
mod experiments;
mod fleet;
mod limits;
mod metrics;
mod options;
mod plot;
mod report;
mod router;
mod sim;
mod sim_call;
mod sim_control;
mod sim_fleet;
mod sim_time;
mod workload;

pub use engine::{EngineRates, ENGINE_RATES, KV_TRANSFER_PER_SECOND, ROLE_CHANGE_SECONDS};
pub use error::BenchError;
pub use experiments::run;
pub use fleet::{FleetName, FleetSpec};
pub use limits::LimitRow;
pub use metrics::{Percentiles, ResultRow};
pub use options::{BenchOptions, ExperimentName};
pub use plot::write_plots;
pub use report::{ExperimentReport, GoalCheck};
pub use router::{PolicyName, StaticSplit};
pub use workload::{parse_workload, read_workload, LoadPhase, WorkItem, WorkloadPlan};
