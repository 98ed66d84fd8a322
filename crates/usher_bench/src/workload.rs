//! Workloads, generated from a seed or read from a CSV file. Not for: running them.

use std::{fs, path};

use rand::{Rng as _, SeedableRng as _};
use usher_policy::PromptPrefix;
use usher_types::{TokenCount, WorkClass};

use crate::{error, fleet, sim_time};

/// Mean prompt and output of short work, in tokens.
pub(crate) const SHORT_PROMPT: f64 = 350.0;
pub(crate) const SHORT_OUTPUT: f64 = 150.0;
/// Mean prompt and output of long work, in tokens.
pub(crate) const LONG_PROMPT: f64 = 6_000.0;
pub(crate) const LONG_OUTPUT: f64 = 320.0;
/// Share of stragglers, and the factor on their output.
const STRAGGLER_SHARE: f64 = 0.01;
const STRAGGLER_FACTOR: f64 = 8.0;
/// Deadline after arrival in seconds: a base, and a time per output token. The inter-token goal of
/// 79 ms applies to 95 of 100 tokens, so a complete short answer is expected at a better mean of
/// 20 tokens/s.
const SHORT_DEADLINE: (f64, f64) = (1.0, 0.050);
const LONG_DEADLINE: (f64, f64) = (10.0, 0.079);
/// Length in tokens of the prompt prefix that all calls of a team share.
const TEAM_PREFIX: u64 = 128;
/// Length in tokens of a document that several long calls of a team share, and the share of long
/// calls with a document.
const DOCUMENT_PREFIX: u64 = 3_072;
const DOCUMENT_SHARE: f64 = 0.3;
/// Documents per team.
const DOCUMENTS: u64 = 4;

/// One call of a workload.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkItem {
    /// Arrival, in nanoseconds from the start.
    pub at: u64,
    /// Region of the caller.
    pub region: usize,
    /// Firm.
    pub firm: String,
    /// Team.
    pub team: String,
    /// Prompt tokens.
    pub prompt: u64,
    /// Output tokens that the call actually generates.
    pub output: u64,
    /// Output tokens that the entry expects.
    pub estimate: u64,
    /// Shared prefixes, shortest first.
    pub prefixes: Vec<PromptPrefix>,
    /// Deadline, in nanoseconds from the start.
    pub deadline: u64,
    /// Whether the call may safely run twice.
    pub idempotent: bool,
    /// Short or long work.
    pub class: WorkClass,
}

/// Period with a constant rate of each class.
#[derive(Clone, Copy, Debug)]
pub struct LoadPhase {
    /// Duration in seconds.
    pub seconds: f64,
    /// Short calls per second.
    pub short_rate: f64,
    /// Long calls per second.
    pub long_rate: f64,
}

/// Phases and weights from which the calls of a workload are generated.
#[derive(Clone, Debug)]
pub struct WorkloadPlan {
    /// Phases.
    pub phases: Vec<LoadPhase>,
    /// Weight of each firm in the demand.
    pub firm_weights: Vec<f64>,
    /// Weight of each region in the demand.
    pub region_weights: Vec<f64>,
}

impl WorkloadPlan {
    /// Creates a plan with equal weights of firms and regions.
    pub fn new(fleet: &fleet::FleetSpec, phases: Vec<LoadPhase>) -> Self {
        Self {
            phases,
            firm_weights: vec![1.0; fleet.firms.len()],
            region_weights: vec![1.0; fleet.regions.len()],
        }
    }

    /// Generates the calls. Short and long calls are drawn from separate random streams, so that
    /// the short work is the same with and without long work.
    pub fn generate(&self, fleet: &fleet::FleetSpec, seed: u64) -> Vec<WorkItem> {
        let mut items = Vec::new();
        for class in [WorkClass::Short, WorkClass::Long] {
            let stream = seed.wrapping_mul(2) + u64::from(class == WorkClass::Long);
            let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(stream);
            self.generate_class(fleet, class, &mut random, &mut items);
        }
        items.sort_by_key(|item| item.at);
        items
    }

    fn generate_class(
        &self,
        fleet: &fleet::FleetSpec,
        class: WorkClass,
        random: &mut rand_chacha::ChaCha8Rng,
        items: &mut Vec<WorkItem>,
    ) {
        let mut start = 0.0;
        for phase in &self.phases {
            let rate = match class {
                WorkClass::Short => phase.short_rate,
                WorkClass::Long => phase.long_rate,
            };
            let mut at = start;
            if rate <= 0.0 {
                start += phase.seconds;
                continue;
            }
            loop {
                at += exponential(random) / rate;
                if at >= start + phase.seconds {
                    break;
                }
                items.push(self.generate_item(fleet, class, at, random));
            }
            start += phase.seconds;
        }
    }

    fn generate_item(
        &self,
        fleet: &fleet::FleetSpec,
        class: WorkClass,
        at: f64,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> WorkItem {
        let firm = pick(random, &self.firm_weights);
        let region = pick(random, &self.region_weights);
        let team = random.random_range(0..fleet.teams_per_firm);
        let (prompt, output, (base, per_token)) = match class {
            WorkClass::Short => (
                draw_around(random, SHORT_PROMPT).clamp(TEAM_PREFIX as f64 + 8.0, 1_024.0),
                draw_around(random, SHORT_OUTPUT).clamp(8.0, 256.0),
                SHORT_DEADLINE,
            ),
            WorkClass::Long => (
                draw_around(random, LONG_PROMPT).clamp(DOCUMENT_PREFIX as f64 + 64.0, 24_000.0),
                draw_around(random, LONG_OUTPUT).clamp(64.0, 1_024.0),
                LONG_DEADLINE,
            ),
        };
        let straggler = random.random::<f64>() < STRAGGLER_SHARE;
        let factor = if straggler { STRAGGLER_FACTOR } else { 1.0 };
        let actual = (output * factor).round() as u64;
        let account = (firm * 1_000 + team) as u64;
        let mut prefixes = vec![prefix(account << 8, TEAM_PREFIX)];
        if class == WorkClass::Long && random.random::<f64>() < DOCUMENT_SHARE {
            let document = random.random_range(1..=DOCUMENTS);
            prefixes.push(prefix((account << 8) + document, DOCUMENT_PREFIX));
        }
        let deadline = at + base + per_token * actual as f64;
        WorkItem {
            at: sim_time::from_seconds(at),
            region,
            firm: fleet.firms[firm].to_owned(),
            team: format!("team-{team}"),
            prompt: prompt.round() as u64,
            output: actual,
            estimate: output.round() as u64,
            prefixes,
            deadline: sim_time::from_seconds(deadline),
            idempotent: true,
            class,
        }
    }
}

fn prefix(hash: u64, tokens: u64) -> PromptPrefix {
    PromptPrefix {
        hash,
        tokens: TokenCount::new(tokens),
    }
}

fn exponential(random: &mut rand_chacha::ChaCha8Rng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

/// Draws a value around a mean, mostly from half to double, as the sum of half the mean and an
/// exponential part.
fn draw_around(random: &mut rand_chacha::ChaCha8Rng, mean: f64) -> f64 {
    mean * (0.5 + 0.5 * exponential(random))
}

fn pick(random: &mut rand_chacha::ChaCha8Rng, weights: &[f64]) -> usize {
    let total: f64 = weights.iter().sum();
    let mut left = random.random::<f64>() * total;
    for (at, weight) in weights.iter().enumerate() {
        left -= weight;
        if left <= 0.0 {
            return at;
        }
    }
    weights.len().saturating_sub(1)
}

/// Columns of the workload file, in order.
pub(crate) const COLUMNS: [&str; 9] = [
    "arrival_s",
    "region",
    "service",
    "team",
    "prompt_tokens",
    "shared_prefix",
    "output_tokens",
    "deadline_s",
    "idempotent",
];

/// Reads a workload file. The team is written as `firm/team`, the shared prefix as `name:tokens`
/// or empty, and the deadline in seconds after arrival.
pub fn read_workload(
    path: &path::Path,
    fleet: &fleet::FleetSpec,
) -> Result<Vec<WorkItem>, error::BenchError> {
    let text = fs::read_to_string(path).map_err(|source| error::BenchError::Read {
        path: path.display().to_string(),
        source,
    })?;
    parse_workload(&text, fleet)
}

/// Parses the text of a workload file.
pub fn parse_workload(
    text: &str,
    fleet: &fleet::FleetSpec,
) -> Result<Vec<WorkItem>, error::BenchError> {
    let mut reader = csv::ReaderBuilder::new()
        .flexible(true)
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let header = reader.headers().map_err(|e| csv_error(&e))?.clone();
    if header.iter().ne(COLUMNS) {
        let text = header.iter().collect::<Vec<_>>().join(",");
        return Err(workload_error(1, "header", &text, "arrival_s,region,service,team,prompt_tokens,shared_prefix,output_tokens,deadline_s,idempotent"));
    }
    let mut items = Vec::new();
    for record in reader.records() {
        let record = record.map_err(|e| csv_error(&e))?;
        items.push(parse_line(&record, fleet)?);
    }
    items.sort_by_key(|item| item.at);
    Ok(items)
}

fn csv_error(error: &csv::Error) -> error::BenchError {
    let line = error.position().map_or(0, csv::Position::line);
    workload_error(
        line,
        "line",
        &error.to_string(),
        "UTF-8 text separated by commas",
    )
}

fn workload_error(
    line: u64,
    column: &str,
    text: &str,
    accepted: &'static str,
) -> error::BenchError {
    error::BenchError::Workload {
        line,
        column: column.to_owned(),
        text: text.to_owned(),
        accepted,
    }
}

fn parse_line(
    record: &csv::StringRecord,
    fleet: &fleet::FleetSpec,
) -> Result<WorkItem, error::BenchError> {
    let line = record.position().map_or(0, csv::Position::line);
    let field = |at: usize| record.get(at).unwrap_or("");
    let field_error = |at: usize, accepted| workload_error(line, COLUMNS[at], field(at), accepted);
    let seconds = |at: usize| -> Result<f64, error::BenchError> {
        let value = field(at).parse::<f64>().ok();
        // A day is much longer than any experiment.
        value
            .filter(|value| (0.0..=86_400.0).contains(value))
            .ok_or_else(|| field_error(at, "seconds from 0 to 86400"))
    };
    let tokens = |at: usize| -> Result<u64, error::BenchError> {
        let value = field(at).parse::<u64>().ok();
        value
            .filter(|value| (1..=1_000_000).contains(value))
            .ok_or_else(|| field_error(at, "a whole number from 1 to 1000000"))
    };
    if record.len() != COLUMNS.len() {
        let found = format!("{} columns", record.len());
        return Err(workload_error(line, "line", &found, "9 columns"));
    }
    let arrival = seconds(0)?;
    let region = fleet.regions.iter().position(|region| *region == field(1));
    let region = region.ok_or_else(|| field_error(1, "a region of the fleet"))?;
    if field(2) != fleet.service {
        return Err(field_error(2, "the engine service of the fleet"));
    }
    let account = field(3).split_once('/');
    let (firm, team) = account
        .filter(|(firm, team)| !firm.is_empty() && !team.is_empty())
        .ok_or_else(|| field_error(3, "firm/team"))?;
    let prompt = tokens(4)?;
    let prefixes =
        parse_prefix(field(5)).ok_or_else(|| field_error(5, "name:tokens or nothing"))?;
    let output = tokens(6)?;
    let deadline = seconds(7)?;
    let idempotent = match field(8) {
        "true" => true,
        "false" => false,
        _ => return Err(field_error(8, "true or false")),
    };
    Ok(WorkItem {
        at: sim_time::from_seconds(arrival),
        region,
        firm: firm.to_owned(),
        team: team.to_owned(),
        prompt,
        output,
        estimate: output,
        prefixes,
        deadline: sim_time::from_seconds(arrival + deadline),
        idempotent,
        class: WorkClass::of(TokenCount::new(prompt), TokenCount::new(output)),
    })
}

fn parse_prefix(text: &str) -> Option<Vec<PromptPrefix>> {
    if text.is_empty() {
        return Some(Vec::new());
    }
    let (name, tokens) = text.rsplit_once(':')?;
    let tokens = tokens.parse::<u64>().ok().filter(|tokens| *tokens > 0)?;
    // FNV-1a gives the same hash for a name in every run.
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    Some(vec![prefix(hash, tokens)])
}
