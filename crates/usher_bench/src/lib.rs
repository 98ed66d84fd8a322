//! Load and experiment tool: the product's decisions against baselines, in virtual time.
//!
//! For: running the same decision code as the daemons on small fake engines, with figures that
//! repeat for a seed. Not for: models of hosts or networks beyond a stated delay per link.

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
