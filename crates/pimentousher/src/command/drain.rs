//! Implements `drain`, which takes a target out of service. Not for: stopping its process.

use std::time;

use crate::{args, command, command::CommandOutput, error, leader};

const HELP: &str = "\
Takes a target out of service: no new work after a few seconds, running work ends whole.

usage: pimentousher drain TARGET [OPTIONS]

options:
  --operator NAME    who drains it (default: $USER)
  --wait TIME        wait until the target is gone or reports no work, at most this long";

/// Interval between status requests while waiting for a target to leave.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);

#[derive(Debug, Default)]
struct DrainArgs {
    target: String,
    operator: Option<String>,
    wait: Option<time::Duration>,
    control: args::ControlArgs,
}

pub(super) fn run(mut reader: args::ArgReader<'_>) -> Result<CommandOutput, error::CommandError> {
    let Some(arguments) = parse_args(&mut reader)? else {
        return Ok(CommandOutput::ok(format!(
            "{HELP}\n{}\n",
            args::CONTROL_HELP
        )));
    };
    let addresses = arguments.control.addresses()?;
    let leader = leader::LeaderClient::new(addresses, arguments.control.timeout);
    command::block_on(drain(&arguments, &leader))
}

fn parse_args(reader: &mut args::ArgReader<'_>) -> Result<Option<DrainArgs>, error::CommandError> {
    let mut parsed = DrainArgs::default();
    while let Some(argument) = reader.next()? {
        if parsed.control.parse_option(&argument, reader)? {
            continue;
        }
        match &argument {
            args::OwnedArg::Long(name) => match name.as_str() {
                "help" => return Ok(None),
                "operator" => parsed.operator = Some(reader.parse("a name")?),
                "wait" => parsed.wait = Some(reader.duration()?),
                _ => return Err(reader.unexpected_argument(&argument)),
            },
            args::OwnedArg::Value(value) if parsed.target.is_empty() => {
                parsed.target = value.to_string_lossy().into_owned();
            }
            args::OwnedArg::Value(_) => return Err(reader.unexpected_argument(&argument)),
        }
    }
    if parsed.target.is_empty() {
        return Err(reader.missing_argument("TARGET"));
    }
    Ok(Some(parsed))
}

async fn drain(
    arguments: &DrainArgs,
    leader: &leader::LeaderClient,
) -> Result<CommandOutput, error::CommandError> {
    let target = &arguments.target;
    let operator = arguments.operator.clone();
    let body = serde_json::json!({
        "operator": operator.unwrap_or_else(super::apply::default_operator),
        "target": target,
    });
    let response = leader
        .send(&http::Method::POST, "/v1/drain", Some(&body))
        .await?;
    if !response.status.is_success() {
        return Err(error::CommandError::Failed(format!(
            "{target} is not drained: {}\n`pimentousher status` lists the targets",
            response.error_text()
        )));
    }
    let mut state = "leaving: no new work after a few seconds".to_owned();
    if let Some(wait) = arguments.wait {
        state = wait_until_gone(target, wait, leader).await?;
    }
    if arguments.control.format == args::OutputFormat::Json {
        let body = serde_json::json!({ "target": target, "state": state });
        return Ok(CommandOutput::json(&body));
    }
    Ok(CommandOutput::ok(format!("{target} is {state}\n")))
}

async fn wait_until_gone(
    target: &str,
    wait: time::Duration,
    leader: &leader::LeaderClient,
) -> Result<String, error::CommandError> {
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let status = leader.get("/v1/status").await?;
        let targets = status
            .body
            .get("targets")
            .and_then(|value| value.as_array());
        let record = targets
            .into_iter()
            .flatten()
            .find(|record| record.get("name").and_then(|name| name.as_str()) == Some(target));
        let flag = |name: &str| record.and_then(|record| record.get(name)?.as_bool());
        if record.is_none() || flag("gone") == Some(true) {
            return Ok("gone: its process may be stopped".to_owned());
        }
        if tokio::time::Instant::now() >= deadline {
            return Err(error::CommandError::Failed(format!(
                "{target} is leaving but still announces itself after {}: stop its process when \
                 its running work has ended",
                humantime::format_duration(wait)
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
