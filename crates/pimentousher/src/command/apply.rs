//! `apply`: puts a sheet in force. Not for: the orders that follow from it.

use std::{ffi, path};

use crate::{args, client, command, command::CommandOutput, error, file, leader};

const HELP: &str = "\
Puts a sheet of the fleet in force: the planners' morning export, or a correction.

usage: pimentousher apply SHEET [OPTIONS]

The whole sheet is checked first; errors name line and column. A change is made against the
version that is current when the command starts: when somebody else changes it meanwhile, the
command fails and names both versions. After a lost answer the same request is sent again and
takes effect once.

options:
  --dry-run          print what would change, and change nothing
  --operator NAME    who makes the change (default: $USER)
  --request-id ID    id of the change; give the id of an earlier attempt whose result is unknown
  --base VERSION     version that the change is made against (default: the current one)";

#[derive(Debug, Default)]
struct ApplyArgs {
    sheet: path::PathBuf,
    dry_run: bool,
    operator: Option<String>,
    request_id: Option<String>,
    base: Option<u64>,
    control: args::ControlArgs,
}

pub(super) fn run(mut reader: args::ArgReader<'_>) -> Result<CommandOutput, error::CommandError> {
    let Some(arguments) = read(&mut reader)? else {
        return Ok(CommandOutput::ok(format!(
            "{HELP}\n{}\n",
            args::CONTROL_HELP
        )));
    };
    let sheet = read_sheet(&arguments.sheet)?;
    let addresses = arguments.control.addresses()?;
    let leader = leader::LeaderClient::new(addresses, arguments.control.timeout);
    command::block_on(apply(&arguments, &sheet, &leader))
}

fn read(reader: &mut args::ArgReader<'_>) -> Result<Option<ApplyArgs>, error::CommandError> {
    let mut found = ApplyArgs::default();
    let mut sheet: Option<ffi::OsString> = None;
    while let Some(argument) = reader.next()? {
        if found.control.take(&argument, reader)? {
            continue;
        }
        match &argument {
            args::OwnedArg::Long(name) => match name.as_str() {
                "help" => return Ok(None),
                "dry-run" => found.dry_run = true,
                "operator" => found.operator = Some(reader.parse("a name")?),
                "request-id" => found.request_id = Some(reader.parse("an id")?),
                "base" => found.base = Some(reader.parse("a version, a whole number")?),
                _ => return Err(reader.unexpected(&argument)),
            },
            args::OwnedArg::Value(value) if sheet.is_none() => sheet = Some(value.clone()),
            args::OwnedArg::Value(_) => return Err(reader.unexpected(&argument)),
        }
    }
    found.sheet = sheet.ok_or_else(|| reader.missing("SHEET"))?.into();
    Ok(Some(found))
}

fn read_sheet(path: &path::Path) -> Result<usher_config::FleetSheet, error::CommandError> {
    let bytes = file::read_file(path)?;
    usher_config::FleetSheet::parse_bytes(&bytes).map_err(|errors| {
        let name = path.display();
        let lines = errors
            .errors()
            .iter()
            .map(|error| format!("{name}: {error}"));
        error::CommandError::Usage(lines.collect::<Vec<_>>().join("\n"))
    })
}

/// The configuration that is in force.
struct CurrentConfig {
    version: u64,
    operator: String,
    sheet: usher_config::FleetSheet,
}

async fn read_current(leader: &leader::LeaderClient) -> Result<CurrentConfig, error::CommandError> {
    let answer = leader.get("/v1/config").await?;
    if answer.status != http::StatusCode::OK {
        return Err(unexpected(&answer));
    }
    let text = |name: &str| answer.body.get(name).and_then(|value| value.as_str());
    let version = answer.body.get("version").and_then(|value| value.as_u64());
    let sheet = usher_config::FleetSheet::parse(text("sheet").unwrap_or_default());
    match (version, sheet) {
        (Some(version), Ok(sheet)) => Ok(CurrentConfig {
            version,
            operator: text("operator").unwrap_or_default().to_owned(),
            sheet,
        }),
        _ => Err(unexpected(&answer)),
    }
}

async fn apply(
    arguments: &ApplyArgs,
    sheet: &usher_config::FleetSheet,
    leader: &leader::LeaderClient,
) -> Result<CommandOutput, error::CommandError> {
    let current = read_current(leader).await?;
    let difference = sheet.difference(&current.sheet);
    if arguments.dry_run {
        return Ok(show(arguments, &current, &difference));
    }
    // An explicit id or base asks for the answer to that very change.
    let explicit = arguments.request_id.is_some() || arguments.base.is_some();
    if difference.is_empty() && !explicit {
        return Ok(show(arguments, &current, &difference));
    }
    let operator = arguments.operator.clone().unwrap_or_else(default_operator);
    let request_id = arguments.request_id.clone().unwrap_or_else(make_request_id);
    let body = serde_json::json!({
        "operator": operator,
        "request_id": request_id,
        "base_version": arguments.base.unwrap_or(current.version),
        "sheet": sheet.to_csv(),
    });
    let sent = leader
        .send(&http::Method::POST, "/v1/config", Some(&body))
        .await;
    let answer = sent.map_err(|error| {
        error::CommandError::Failed(format!(
            "{error}\nthe change may be in force or not: run the same command again with \
             --operator {operator} --request-id {request_id} --base {}, it takes effect once",
            arguments.base.unwrap_or(current.version)
        ))
    })?;
    read_answer(arguments, &answer, &request_id, &difference)
}

fn read_answer(
    arguments: &ApplyArgs,
    answer: &client::JsonAnswer,
    request_id: &str,
    difference: &usher_config::SheetDifference,
) -> Result<CommandOutput, error::CommandError> {
    let version = answer.body.get("version").and_then(|value| value.as_u64());
    match (answer.status, version) {
        (http::StatusCode::OK, Some(version)) => {
            if arguments.control.format == args::OutputFormat::Json {
                return Ok(CommandOutput::json(&serde_json::json!({
                    "version": version,
                    "request_id": request_id,
                    "repeated": answer.body.get("repeated"),
                    "changes": changes(difference),
                })));
            }
            Ok(CommandOutput::ok(format!(
                "{difference}version {version} is accepted and will be in force everywhere within \
                 seconds\n"
            )))
        }
        (http::StatusCode::CONFLICT, Some(version)) => {
            let other = answer.body.get("operator").and_then(|value| value.as_str());
            Err(error::CommandError::Failed(format!(
                "conflict: version {version} by {} is current and nothing was changed\nlook at \
                 the difference with --dry-run, then apply again",
                other.unwrap_or("somebody else")
            )))
        }
        _ => Err(unexpected(answer)),
    }
}

fn show(
    arguments: &ApplyArgs,
    current: &CurrentConfig,
    difference: &usher_config::SheetDifference,
) -> CommandOutput {
    if arguments.control.format == args::OutputFormat::Json {
        return CommandOutput::json(&serde_json::json!({
            "version": current.version,
            "operator": current.operator,
            "changes": changes(difference),
        }));
    }
    let by = if current.operator.is_empty() {
        String::new()
    } else {
        format!(" by {}", current.operator)
    };
    CommandOutput::ok(format!(
        "{difference}current version: {}{by}; nothing was changed\n",
        current.version
    ))
}

fn changes(difference: &usher_config::SheetDifference) -> Vec<String> {
    difference.changes.iter().map(ToString::to_string).collect()
}

fn unexpected(answer: &client::JsonAnswer) -> error::CommandError {
    error::CommandError::Failed(format!(
        "control refused with {}: {}",
        answer.status,
        answer.error_text()
    ))
}

pub(super) fn default_operator() -> String {
    std::env::var("USER")
        .ok()
        .filter(|name| !name.is_empty())
        .unwrap_or_else(|| "operator".to_owned())
}

fn make_request_id() -> String {
    format!("apply-{}", usher_types::IncarnationSource::random())
}
