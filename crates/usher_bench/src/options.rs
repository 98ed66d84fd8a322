//! Options of a run of the tool. Not for: parsing a command line.

use std::{fmt, path, str};

use crate::{error, fleet, router};

/// Name of an experiment.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExperimentName {
    /// The mix of long and short work shifts every minute.
    Mix,
    /// Demand rises to twice the capacity within seconds.
    Crest,
    /// Long work runs beside short work.
    Blocking,
    /// One in six targets is temporarily slowed.
    Slowdown,
    /// Engines are drained and return, and a third of the targets fail.
    Drain,
    /// One region has most of the demand, and one region is lost.
    Region,
    /// Capacity leases are compared with a sliding-window counter.
    Limits,
    /// All experiments.
    All,
}

impl ExperimentName {
    /// Experiments that `All` runs, in order.
    pub const EACH: [Self; 7] = [
        Self::Mix,
        Self::Crest,
        Self::Blocking,
        Self::Slowdown,
        Self::Drain,
        Self::Region,
        Self::Limits,
    ];
}

impl fmt::Display for ExperimentName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Mix => "mix",
            Self::Crest => "crest",
            Self::Blocking => "blocking",
            Self::Slowdown => "slowdown",
            Self::Drain => "drain",
            Self::Region => "region",
            Self::Limits => "limits",
            Self::All => "all",
        })
    }
}

impl str::FromStr for ExperimentName {
    type Err = error::BenchError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let all = Self::EACH.into_iter().chain([Self::All]);
        let found = all.into_iter().find(|name| name.to_string() == text);
        found.ok_or_else(|| {
            let accepted = "mix, crest, blocking, slowdown, drain, region, limits, all";
            error::BenchError::unknown("experiment", text, accepted)
        })
    }
}

/// Options of a run.
///
/// ```
/// use usher_bench::{BenchOptions, ExperimentName};
/// let options = BenchOptions::new(ExperimentName::Blocking).with_seed(2);
/// assert_eq!(options.seed, 2);
/// ```
#[derive(Clone, Debug)]
pub struct BenchOptions {
    /// Experiment.
    pub experiment: ExperimentName,
    /// Only policy to run; all policies when absent.
    pub policy: Option<router::PolicyName>,
    /// Fleet.
    pub fleet: fleet::FleetName,
    /// Seed.
    pub seed: u64,
    /// Workload file that replaces the generated workload of `mix`.
    pub workload: Option<path::PathBuf>,
    /// Folder for plots.
    pub plot: Option<path::PathBuf>,
    /// Whether to shorten the phases, for tests.
    pub quick: bool,
}

impl BenchOptions {
    /// Creates options for an experiment with all policies on the smaller fleet.
    pub fn new(experiment: ExperimentName) -> Self {
        Self {
            experiment,
            policy: None,
            fleet: fleet::FleetName::LooRound,
            seed: 1,
            workload: None,
            plot: None,
            quick: false,
        }
    }

    /// Restricts the run to one policy.
    pub fn with_policy(mut self, policy: router::PolicyName) -> Self {
        self.policy = Some(policy);
        self
    }

    /// Sets the fleet.
    pub fn with_fleet(mut self, fleet: fleet::FleetName) -> Self {
        self.fleet = fleet;
        self
    }

    /// Sets the seed.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the workload file.
    pub fn with_workload(mut self, path: path::PathBuf) -> Self {
        self.workload = Some(path);
        self
    }

    /// Sets the folder for plots.
    pub fn with_plot(mut self, folder: path::PathBuf) -> Self {
        self.plot = Some(folder);
        self
    }

    /// Shortens the phases.
    pub fn with_quick(mut self) -> Self {
        self.quick = true;
        self
    }
}
