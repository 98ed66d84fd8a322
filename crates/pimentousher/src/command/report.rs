//! Implements `report burn`, which shows how fast services use up their service-level budgets. Not
//! for: recording outcomes (`daemon`).

use std::{ffi, fs, path, time};

use crate::{args, command::CommandOutput, error, file};

const HELP: &str = "\
Shows how fast each service uses up its service-level budget, and why.

usage: pimentousher report burn --records PATH [OPTIONS]

Each entry keeps its records in its data folder. Copy the folders or the files `burn.records` of
all entries and give each with --records: their counts are added up.

options:
  --records PATH     file of records or data folder of an entry; may be repeated
  --settings FILE    settings with the objectives, of an entry or operator
                     (default: $PIMENTOUSHER_SETTINGS, else the default objectives)
  --format FORMAT    table, json or html (default: table)
  --output FILE      write to a file
  --help             print this help

exit codes: 0 no alert fires, 1 some alert fires or the report failed, 2 wrong command line";

#[derive(Debug, Default)]
struct ReportArgs {
    records: Vec<path::PathBuf>,
    settings: Option<path::PathBuf>,
    format: args::OutputFormat,
    output: Option<path::PathBuf>,
}

pub(super) fn run(mut reader: args::ArgReader<'_>) -> Result<CommandOutput, error::CommandError> {
    let Some(arguments) = parse_args(&mut reader)? else {
        return Ok(CommandOutput::ok(format!("{HELP}\n")));
    };
    report(&arguments, time::SystemTime::now())
}

fn parse_args(reader: &mut args::ArgReader<'_>) -> Result<Option<ReportArgs>, error::CommandError> {
    let mut parsed = ReportArgs {
        settings: std::env::var_os(args::SETTINGS_VARIABLE).map(path::PathBuf::from),
        ..ReportArgs::default()
    };
    let mut kind: Option<ffi::OsString> = None;
    while let Some(argument) = reader.next()? {
        match &argument {
            args::OwnedArg::Long(name) => match name.as_str() {
                "help" => return Ok(None),
                "records" => parsed.records.push(reader.value()?.into()),
                "settings" => parsed.settings = Some(reader.value()?.into()),
                "format" => parsed.format = reader.parse("table, json or html")?,
                "output" => parsed.output = Some(reader.value()?.into()),
                _ => return Err(reader.unexpected_argument(&argument)),
            },
            args::OwnedArg::Value(value) if kind.is_none() && value == "burn" => {
                kind = Some(value.clone());
            }
            args::OwnedArg::Value(_) => return Err(reader.unexpected_argument(&argument)),
        }
    }
    if kind.is_none() {
        return Err(reader.missing_argument("the report `burn`"));
    }
    if parsed.records.is_empty() {
        return Err(reader.missing_argument("--records PATH"));
    }
    Ok(Some(parsed))
}

fn report(
    arguments: &ReportArgs,
    now: time::SystemTime,
) -> Result<CommandOutput, error::CommandError> {
    let objectives = read_objectives(arguments.settings.as_deref())?;
    let mut counts = usher_report::BurnCounts::default();
    let mut damage = String::new();
    for path in &arguments.records {
        let path = records_file(path)?;
        let loaded =
            usher_report::LoadedCounts::read(&path).map_err(error::CommandError::failed)?;
        if loaded.skipped > 0 || loaded.torn_bytes > 0 {
            damage.push_str(&format!(
                "{}: skipped {} damaged lines and {} bytes of a torn end\n",
                path.display(),
                loaded.skipped,
                loaded.torn_bytes
            ));
        }
        counts.merge(&loaded.counts);
    }
    let report = usher_report::BurnReport::new(&counts, objectives, now);
    let text = match arguments.format {
        args::OutputFormat::Table => format!("{}{damage}", usher_report::burn_table(&report)),
        args::OutputFormat::Html => {
            usher_report::burn_html(&report).map_err(error::CommandError::failed)?
        }
        args::OutputFormat::Json => {
            let json = serde_json::to_string_pretty(&report);
            json.map_err(error::CommandError::failed)? + "\n"
        }
    };
    let failed = report.is_firing();
    let Some(output) = &arguments.output else {
        return Ok(CommandOutput { text, failed });
    };
    fs::write(output, text).map_err(|error| {
        error::CommandError::Failed(format!("{} can't be written: {error}", output.display()))
    })?;
    let text = format!("{} is written\n{damage}", output.display());
    Ok(CommandOutput { text, failed })
}

/// Finds the burn-records file of a path; a path without one is an error, because it is more likely
/// mistyped than the folder of an idle entry.
fn records_file(path: &path::Path) -> Result<path::PathBuf, error::CommandError> {
    let file = if path.is_dir() {
        path.join(usher_report::RECORDS_FILE)
    } else {
        path.to_owned()
    };
    if file.is_file() {
        return Ok(file);
    }
    Err(error::CommandError::Usage(format!(
        "{} holds no records: give the data folder of an entry, or its file {}",
        path.display(),
        usher_report::RECORDS_FILE
    )))
}

fn read_objectives(
    settings: Option<&path::Path>,
) -> Result<usher_report::ObjectiveSet, error::CommandError> {
    let Some(path) = settings else {
        return Ok(objective_set(&usher_config::ObjectiveSettings::default()));
    };
    match file::read_settings(path)? {
        usher_config::ProcessSettings::Entry(settings) => Ok(objective_set(&settings.objectives)),
        usher_config::ProcessSettings::Operator(settings) => {
            Ok(objective_set(&settings.objectives))
        }
        _ => Err(error::CommandError::Usage(format!(
            "{} has no objectives: give the settings of an entry or operator",
            path.display()
        ))),
    }
}

fn objective_set(settings: &usher_config::ObjectiveSettings) -> usher_report::ObjectiveSet {
    usher_report::ObjectiveSet {
        availability: settings.availability.get(),
        first_token_share: settings.first_token_share.get(),
        first_token: settings.first_token,
        in_time: settings.in_time.get(),
        window: settings.window,
    }
}
