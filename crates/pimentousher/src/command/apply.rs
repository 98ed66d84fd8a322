//! Implements `apply`, which submits a fleet sheet as the new configuration. Not for: the orders
//! that control derives from it.

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
    let Some(arguments) = parse_args(&mut reader)? else {
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

fn parse_args(reader: &mut args::ArgReader<'_>) -> Result<Option<ApplyArgs>, error::CommandError> {
    let mut parsed = ApplyArgs::default();
    let mut sheet: Option<ffi::OsString> = None;
    while let Some(argument) = reader.next()? {
        if parsed.control.parse_option(&argument, reader)? {
            continue;
        }
        match &argument {
            args::OwnedArg::Long(name) => match name.as_str() {
                "help" => return Ok(None),
                "dry-run" => parsed.dry_run = true,
                "operator" => parsed.operator = Some(reader.parse("a name")?),
                "request-id" => parsed.request_id = Some(reader.parse("an id")?),
                "base" => parsed.base = Some(reader.parse("a version, a whole number")?),
                _ => return Err(reader.unexpected_argument(&argument)),
            },
            args::OwnedArg::Value(value) if sheet.is_none() => sheet = Some(value.clone()),
            args::OwnedArg::Value(_) => return Err(reader.unexpected_argument(&argument)),
        }
    }
    parsed.sheet = sheet
        .ok_or_else(|| reader.missing_argument("SHEET"))?
        .into();
    Ok(Some(parsed))
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

/// Current configuration of the leader.
struct CurrentConfig {
    version: u64,
    operator: String,
    sheet: usher_config::FleetSheet,
}

async fn fetch_current(
    leader: &leader::LeaderClient,
) -> Result<CurrentConfig, error::CommandError> {
    let response = leader.get("/v1/config").await?;
    if response.status != http::StatusCode::OK {
        return Err(refusal_error(&response));
    }
    let text = |name: &str| response.body.get(name).and_then(|value| value.as_str());
    let version = response
        .body
        .get("version")
        .and_then(|value| value.as_u64());
    let sheet = usher_config::FleetSheet::parse(text("sheet").unwrap_or_default());
    match (version, sheet) {
        (Some(version), Ok(sheet)) => Ok(CurrentConfig {
            version,
            operator: text("operator").unwrap_or_default().to_owned(),
            sheet,
        }),
        _ => Err(refusal_error(&response)),
    }
}

async fn apply(
    arguments: &ApplyArgs,
    sheet: &usher_config::FleetSheet,
    leader: &leader::LeaderClient,
) -> Result<CommandOutput, error::CommandError> {
    let current = fetch_current(leader).await?;
    let difference = sheet.difference(&current.sheet);
    if arguments.dry_run {
        return Ok(dry_run_output(arguments, &current, &difference));
    }
    // An explicit id or base repeats an earlier attempt: the request is sent again for its result,
    // even if the sheets are equal by now.
    let explicit = arguments.request_id.is_some() || arguments.base.is_some();
    if difference.is_empty() && !explicit {
        return Ok(dry_run_output(arguments, &current, &difference));
    }
    let operator = arguments.operator.clone().unwrap_or_else(default_operator);
    let request_id = arguments.request_id.clone().unwrap_or_else(make_request_id);
    let body = serde_json::json!({
        "operator": operator,
        "request_id": request_id,
        "base_version": arguments.base.unwrap_or(current.version),
        "sheet": sheet.to_csv(),
    });
    let result = leader
        .send(&http::Method::POST, "/v1/config", Some(&body))
        .await;
    let response = result.map_err(|error| {
        error::CommandError::Failed(format!(
            "{error}\nthe change may be in force or not: run the same command again with \
             --operator {operator} --request-id {request_id} --base {}, it takes effect once",
            arguments.base.unwrap_or(current.version)
        ))
    })?;
    interpret_response(arguments, &response, &request_id, &difference)
}

fn interpret_response(
    arguments: &ApplyArgs,
    response: &client::JsonResponse,
    request_id: &str,
    difference: &usher_config::SheetDifference,
) -> Result<CommandOutput, error::CommandError> {
    let version = response
        .body
        .get("version")
        .and_then(|value| value.as_u64());
    match (response.status, version) {
        (http::StatusCode::OK, Some(version)) => {
            if arguments.control.format == args::OutputFormat::Json {
                return Ok(CommandOutput::json(&serde_json::json!({
                    "version": version,
                    "request_id": request_id,
                    "repeated": response.body.get("repeated"),
                    "changes": change_lines(difference),
                })));
            }
            Ok(CommandOutput::ok(format!(
                "{difference}version {version} is accepted and will be in force everywhere within \
                 seconds\n"
            )))
        }
        (http::StatusCode::CONFLICT, Some(version)) => {
            let other = response
                .body
                .get("operator")
                .and_then(|value| value.as_str());
            Err(error::CommandError::Failed(format!(
                "conflict: version {version} by {} is current and nothing was changed\nlook at \
                 the difference with --dry-run, then apply again",
                other.unwrap_or("somebody else")
            )))
        }
        _ => Err(refusal_error(response)),
    }
}

fn dry_run_output(
    arguments: &ApplyArgs,
    current: &CurrentConfig,
    difference: &usher_config::SheetDifference,
) -> CommandOutput {
    if arguments.control.format == args::OutputFormat::Json {
        return CommandOutput::json(&serde_json::json!({
            "version": current.version,
            "operator": current.operator,
            "changes": change_lines(difference),
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

fn change_lines(difference: &usher_config::SheetDifference) -> Vec<String> {
    difference.changes.iter().map(ToString::to_string).collect()
}

fn refusal_error(response: &client::JsonResponse) -> error::CommandError {
    error::CommandError::Failed(format!(
        "control refused with {}: {}",
        response.status,
        response.error_text()
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
