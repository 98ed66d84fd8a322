//! Results of experiments as table and JSON. Not for: running experiments.

use std::fmt;

use crate::{error, fleet, limits, metrics, router};

/// Result of checking one goal (section 15 of the design) in one run.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct GoalCheck {
    /// Experiment.
    pub experiment: String,
    /// Fleet.
    pub fleet: fleet::FleetName,
    /// Seed.
    pub seed: u64,
    /// Goal.
    pub goal: String,
    /// Bound of the goal, from the design.
    pub bound: f64,
    /// Whether the bound is an upper bound; otherwise it is a lower bound.
    pub at_most: bool,
    /// Measured value.
    pub measured: f64,
    /// Whether the goal holds.
    pub holds: bool,
}

/// Result rows and goal checks of experiments.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct ExperimentReport {
    /// Metrics of each policy in each scenario.
    pub rows: Vec<metrics::ResultRow>,
    /// Goal checks.
    pub goals: Vec<GoalCheck>,
    /// Results of the experiment on limits.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub limits: Vec<limits::LimitRow>,
    /// Split found by the oracle's search, reasons for refusals, and other remarks.
    pub notes: Vec<String>,
}

/// Experiment, fleet and seed that a goal check belongs to.
pub(crate) struct GoalContext<'a> {
    pub(crate) experiment: &'a str,
    pub(crate) fleet: fleet::FleetName,
    pub(crate) seed: u64,
}

impl ExperimentReport {
    /// Appends the results of another report.
    pub fn extend(&mut self, other: Self) {
        self.rows.extend(other.rows);
        self.goals.extend(other.goals);
        self.limits.extend(other.limits);
        self.notes.extend(other.notes);
    }

    /// Returns whether all goals hold.
    pub fn all_hold(&self) -> bool {
        self.goals.iter().all(|goal| goal.holds)
    }

    /// Returns the report as JSON.
    pub fn to_json(&self) -> Result<String, error::BenchError> {
        serde_json::to_string_pretty(self)
            .map_err(|error| error::BenchError::Json(error.to_string()))
    }

    pub(crate) fn at_most(
        &mut self,
        context: &GoalContext<'_>,
        goal: &str,
        bound: f64,
        measured: f64,
    ) {
        self.check(context, goal, bound, measured, true);
    }

    pub(crate) fn at_least(
        &mut self,
        context: &GoalContext<'_>,
        goal: &str,
        bound: f64,
        measured: f64,
    ) {
        self.check(context, goal, bound, measured, false);
    }

    fn check(
        &mut self,
        context: &GoalContext<'_>,
        goal: &str,
        bound: f64,
        measured: f64,
        at_most: bool,
    ) {
        let holds = if at_most {
            measured <= bound
        } else {
            measured >= bound
        };
        self.goals.push(GoalCheck {
            experiment: context.experiment.to_owned(),
            fleet: context.fleet,
            seed: context.seed,
            goal: goal.to_owned(),
            bound,
            at_most,
            measured,
            holds,
        });
    }

    pub(crate) fn row(
        &self,
        scenario: &str,
        policy: router::PolicyName,
    ) -> Option<&metrics::ResultRow> {
        let mut rows = self.rows.iter();
        rows.find(|row| row.scenario == scenario && row.policy == policy)
    }
}

/// Writes the tables that the tool prints.
impl fmt::Display for ExperimentReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.rows.is_empty() {
            writeln!(f, "{}", rows_table(&self.rows))?;
        }
        if !self.limits.is_empty() {
            writeln!(f, "{}", limits::table(&self.limits))?;
        }
        if !self.goals.is_empty() {
            writeln!(f, "{}", goals_table(&self.goals))?;
        }
        for note in &self.notes {
            writeln!(f, "{note}")?;
        }
        Ok(())
    }
}

fn millis(seconds: f64) -> String {
    format!("{:.0}", seconds * 1e3)
}

fn percentile_text(times: &metrics::Percentiles) -> String {
    format!(
        "{}/{}/{}",
        millis(times.p50),
        millis(times.p95),
        millis(times.p99)
    )
}

fn percent(share: f64) -> String {
    format!("{:.1}", share * 100.0)
}

fn rows_table(rows: &[metrics::ResultRow]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.set_header([
        "experiment",
        "scenario",
        "policy",
        "seed",
        "goodput/s",
        "%",
        "TTFT short ms",
        "TTFT long ms",
        "ITL short ms",
        "ITL long ms",
        "refused",
        "late",
        "failed",
        "roles",
        "far MB",
        "hit %",
        "extra %",
    ]);
    for row in rows {
        table.add_row([
            row.experiment.clone(),
            row.scenario.clone(),
            row.policy.to_string(),
            row.seed.to_string(),
            format!("{:.2}", row.goodput),
            percent(row.goodput_share),
            percentile_text(&row.ttft_short),
            percentile_text(&row.ttft_long),
            percentile_text(&row.itl_short),
            percentile_text(&row.itl_long),
            row.refusals.to_string(),
            row.late.to_string(),
            row.failed.to_string(),
            row.role_changes.to_string(),
            format!("{:.1}", row.cross_region_bytes as f64 / 1e6),
            percent(row.prefix_hit_share),
            percent(row.extra_share),
        ]);
    }
    table
}

fn goals_table(goals: &[GoalCheck]) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.set_header([
        "experiment",
        "fleet",
        "seed",
        "goal",
        "bound",
        "measured",
        "holds",
    ]);
    for goal in goals {
        let sign = if goal.at_most { "<=" } else { ">=" };
        table.add_row([
            goal.experiment.clone(),
            goal.fleet.to_string(),
            goal.seed.to_string(),
            goal.goal.clone(),
            format!("{sign} {:.4}", goal.bound),
            format!("{:.4}", goal.measured),
            (if goal.holds { "yes" } else { "NO" }).to_owned(),
        ]);
    }
    table
}
