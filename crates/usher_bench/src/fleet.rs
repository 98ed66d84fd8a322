//! The simulated fleets: regions, engines, entries and links. Not for: their load.

use std::{fmt, str};

use usher_types::EngineRole;

use crate::{engine, error, sim_time};

/// One-way delay between failure domains of a region.
const LOCAL_DELAY: u64 = sim_time::from_millis(1);
/// One-way delay between regions.
const REMOTE_DELAY: u64 = sim_time::from_millis(30);

/// Name of a cooperative's fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FleetName {
    /// 12 engines in three regions of Tasmania.
    LooRound,
    /// 18 engines in three regions of Brazil.
    ContasTercos,
}

impl fmt::Display for FleetName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LooRound => "loo-round",
            Self::ContasTercos => "contas-tercos",
        })
    }
}

impl str::FromStr for FleetName {
    type Err = error::BenchError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "loo-round" => Ok(Self::LooRound),
            "contas-tercos" => Ok(Self::ContasTercos),
            _ => Err(error::BenchError::unknown(
                "fleet",
                text,
                "loo-round, contas-tercos",
            )),
        }
    }
}

/// Fleet that an experiment runs on.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Name.
    pub name: FleetName,
    /// Service of the engines.
    pub service: &'static str,
    /// Regions.
    pub regions: Vec<&'static str>,
    /// Region of each engine.
    pub engines: Vec<usize>,
    /// Initial role of each engine, from the sheet.
    pub roles: Vec<EngineRole>,
    /// Region of each entry daemon.
    pub entries: Vec<usize>,
    /// Firms.
    pub firms: Vec<&'static str>,
    /// Teams of each firm.
    pub teams_per_firm: usize,
    /// One-way delay from a caller to an entry, in nanoseconds.
    pub caller_delay: u64,
    /// Rates of each engine.
    pub rates: engine::EngineRates,
}

impl FleetSpec {
    /// Creates the fleet of a cooperative.
    pub fn new(name: FleetName) -> Self {
        match name {
            FleetName::LooRound => Self {
                name,
                service: "assist",
                regions: vec!["south-a", "north-a", "west-a"],
                engines: assign_regions(12, 3),
                roles: vec![EngineRole::Mixed; 12],
                entries: assign_regions(8, 3),
                firms: vec!["firm-a", "firm-b", "firm-c", "firm-d"],
                teams_per_firm: 8,
                caller_delay: sim_time::from_millis(4),
                rates: engine::ENGINE_RATES,
            },
            FleetName::ContasTercos => Self {
                name,
                service: "assistente",
                regions: vec!["recife-a", "fortaleza-a", "salvador-a"],
                engines: assign_regions(18, 3),
                roles: vec![EngineRole::Mixed; 18],
                entries: assign_regions(7, 3),
                firms: vec!["firm-a", "firm-b", "firm-c"],
                teams_per_firm: 12,
                caller_delay: sim_time::from_millis(1),
                rates: engine::ENGINE_RATES,
            },
        }
    }

    /// Returns the one-way delay between two regions, or within one, in nanoseconds.
    pub fn delay(&self, from: usize, to: usize) -> u64 {
        if from == to {
            LOCAL_DELAY
        } else {
            REMOTE_DELAY
        }
    }

    /// Returns the calls per second that the fleet sustains with mixed engines only.
    pub fn capacity(&self, prompt: f64, output: f64) -> f64 {
        self.rates.capacity(prompt, output) * self.engines.len() as f64
    }
}

fn assign_regions(count: usize, regions: usize) -> Vec<usize> {
    (0..count).map(|at| at % regions).collect()
}
