//! Experiments of section 14 of the design. Not for: the simulation itself.

mod blocking;
mod common;
mod crest;
mod drain;
mod limits;
mod mix;
mod region;
mod slowdown;

use crate::{error, options, plot, report};

/// Runs an experiment.
///
/// ```no_run
/// use usher_bench::{run, BenchOptions, ExperimentName};
/// let report = run(&BenchOptions::new(ExperimentName::Blocking)).unwrap();
/// println!("{report}");
/// ```
pub fn run(options: &options::BenchOptions) -> Result<report::ExperimentReport, error::BenchError> {
    let report = run_each(options)?;
    if let Some(folder) = &options.plot {
        plot::write_plots(&report, folder)?;
    }
    Ok(report)
}

fn run_each(
    options: &options::BenchOptions,
) -> Result<report::ExperimentReport, error::BenchError> {
    let mut report = report::ExperimentReport::default();
    match options.experiment {
        options::ExperimentName::All => {
            for experiment in options::ExperimentName::EACH {
                let mut options = options.clone();
                options.experiment = experiment;
                report.extend(run_each(&options)?);
            }
        }
        options::ExperimentName::Blocking => report.extend(blocking::run(options)),
        options::ExperimentName::Slowdown => report.extend(slowdown::run(options)),
        options::ExperimentName::Crest => report.extend(crest::run(options)),
        options::ExperimentName::Drain => report.extend(drain::run(options)),
        options::ExperimentName::Mix => report.extend(mix::run(options)?),
        options::ExperimentName::Region => report.extend(region::run(options)),
        options::ExperimentName::Limits => report.extend(limits::run(options)),
    }
    Ok(report)
}
