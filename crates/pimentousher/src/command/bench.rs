//! Implements `bench`, which measures routing decisions in virtual time, and the resource use of
//! real entries and control nodes on this machine. Not for: load on an installation.

use std::{io, path, str};

use crate::{args, command::CommandOutput, error, overhead, scale};

const HELP: &str = "\
Measures the routing decisions in virtual time against baselines, with small fake engines.
A fixed seed gives identical figures.

usage: pimentousher bench EXPERIMENT [OPTIONS]

experiments: mix, crest, blocking, slowdown, drain, region, limits, overhead, scale, all

options:
  --policy NAME      only this policy (default: the product's and all baselines)
  --fleet NAME       loo-round or contas-tercos (default: loo-round)
  --seed N           seed (default: 1)
  --workload FILE    CSV that replaces the made workload of mix
  --format FORMAT    table or json (default: table)
  --plot DIR         write plots into a folder
  --quick            shorten the phases
  --help             print this help

exit codes: 0 all goals hold, 1 some goal is missed, 2 wrong command line";

#[derive(Debug, Default)]
struct BenchArgs {
    experiment: Option<String>,
    policy: Option<String>,
    fleet: Option<String>,
    seed: u64,
    workload: Option<path::PathBuf>,
    plot: Option<path::PathBuf>,
    quick: bool,
    format: args::OutputFormat,
}

pub(super) fn run(mut reader: args::ArgReader<'_>) -> Result<CommandOutput, error::CommandError> {
    let Some(arguments) = parse_args(&mut reader)? else {
        return Ok(CommandOutput::ok(format!("{HELP}\n")));
    };
    match arguments.experiment.as_deref() {
        Some("scale") => return scale_output(scale::measure_scale(), &arguments),
        Some("overhead") => return overhead_output(&arguments),
        _ => {}
    }
    let options = bench_options(&reader, &arguments)?;
    let report = usher_bench::run(&options).map_err(error::CommandError::failed)?;
    let text = match arguments.format {
        args::OutputFormat::Json => report.to_json().map_err(error::CommandError::failed)? + "\n",
        _ => report.to_string(),
    };
    let failed = !report.all_hold();
    Ok(CommandOutput { text, failed })
}

/// Formats the figures of the `scale` experiment, which docs/CAPACITY.md reports.
///
/// The experiment measures real components, so the figures vary from run to run.
fn scale_output(
    report: io::Result<scale::ScaleReport>,
    arguments: &BenchArgs,
) -> Result<CommandOutput, error::CommandError> {
    let report = report.map_err(error::CommandError::failed)?;
    let text = match arguments.format {
        args::OutputFormat::Json => report.to_json().map_err(error::CommandError::failed)? + "\n",
        _ => report.to_string(),
    };
    Ok(CommandOutput::ok(text))
}

fn overhead_output(arguments: &BenchArgs) -> Result<CommandOutput, error::CommandError> {
    let options = overhead::OverheadOptions::default();
    let report = overhead::measure_overhead(&options).map_err(error::CommandError::failed)?;
    let text = match arguments.format {
        args::OutputFormat::Json => {
            let body = serde_json::json!({
                "p50_ratio": report.p50_ratio(),
                "p99_ratio": report.p99_ratio(),
                "rate_ratio": report.rate_ratio(),
                "calls_per_core": report.calls_per_core(),
            });
            format!("{body}\n")
        }
        _ => report.to_string(),
    };
    Ok(CommandOutput::ok(text))
}

fn parse_args(reader: &mut args::ArgReader<'_>) -> Result<Option<BenchArgs>, error::CommandError> {
    let mut parsed = BenchArgs {
        seed: 1,
        ..BenchArgs::default()
    };
    while let Some(argument) = reader.next()? {
        match &argument {
            args::OwnedArg::Long(name) => match name.as_str() {
                "help" => return Ok(None),
                "policy" => parsed.policy = Some(reader.parse("a policy")?),
                "fleet" => parsed.fleet = Some(reader.parse("a fleet")?),
                "seed" => parsed.seed = reader.parse("a whole number")?,
                "workload" => parsed.workload = Some(reader.value()?.into()),
                "plot" => parsed.plot = Some(reader.value()?.into()),
                "format" => parsed.format = reader.parse("table or json")?,
                "quick" => parsed.quick = true,
                _ => return Err(reader.unexpected_argument(&argument)),
            },
            args::OwnedArg::Value(value) if parsed.experiment.is_none() => {
                parsed.experiment = Some(value.to_string_lossy().into_owned());
            }
            args::OwnedArg::Value(_) => return Err(reader.unexpected_argument(&argument)),
        }
    }
    Ok(Some(parsed))
}

fn bench_options(
    reader: &args::ArgReader<'_>,
    arguments: &BenchArgs,
) -> Result<usher_bench::BenchOptions, error::CommandError> {
    let Some(experiment) = &arguments.experiment else {
        return Err(reader.missing_argument("EXPERIMENT"));
    };
    let mut options = usher_bench::BenchOptions::new(parse(reader, experiment)?);
    options = options.with_seed(arguments.seed);
    if let Some(policy) = &arguments.policy {
        options = options.with_policy(parse(reader, policy)?);
    }
    if let Some(fleet) = &arguments.fleet {
        options = options.with_fleet(parse(reader, fleet)?);
    }
    if let Some(workload) = &arguments.workload {
        options = options.with_workload(workload.clone());
    }
    if let Some(folder) = &arguments.plot {
        options = options.with_plot(folder.clone());
    }
    if arguments.quick {
        options = options.with_quick();
    }
    Ok(options)
}

fn parse<T>(reader: &args::ArgReader<'_>, text: &str) -> Result<T, error::CommandError>
where
    T: str::FromStr<Err = usher_bench::BenchError>,
{
    text.parse().map_err(|error| reader.usage_error(error))
}
