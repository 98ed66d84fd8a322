//! Implements `explain`, which shows the records that entries and control have of a request, target
//! or engine. Not for: recording them.

use std::{net, time};

use crate::{args, client, command, command::CommandOutput, error, leader};

const HELP: &str = "\
Shows what is known of a request, a target or an engine, and why it was decided.

usage: pimentousher explain ID [OPTIONS]

Entries know the routing of the newest requests by their X-Request-Id; control knows orders,
claims and configuration changes. All entries that are given are asked, and control.

options:
  --entry IP:PORT    address of an entry; may be repeated";

/// Time allowed for an entry to respond.
const ENTRY_TIMEOUT: time::Duration = time::Duration::from_secs(3);

#[derive(Debug, Default)]
struct ExplainArgs {
    id: String,
    entries: Vec<net::SocketAddr>,
    control: args::ControlArgs,
}

pub(super) fn run(mut reader: args::ArgReader<'_>) -> Result<CommandOutput, error::CommandError> {
    let Some(arguments) = parse_args(&mut reader)? else {
        return Ok(CommandOutput::ok(format!(
            "{HELP}\n{}\n",
            args::CONTROL_HELP
        )));
    };
    // Entries can be queried even if no control address is configured or control has no leader.
    let addresses = arguments.control.addresses();
    let control = match addresses {
        Ok(addresses) => Some(leader::LeaderClient::new(
            addresses,
            arguments.control.timeout,
        )),
        Err(_) if !arguments.entries.is_empty() => None,
        Err(error) => return Err(error),
    };
    command::block_on(explain(&arguments, control.as_ref()))
}

fn parse_args(
    reader: &mut args::ArgReader<'_>,
) -> Result<Option<ExplainArgs>, error::CommandError> {
    let mut parsed = ExplainArgs::default();
    while let Some(argument) = reader.next()? {
        if parsed.control.parse_option(&argument, reader)? {
            continue;
        }
        match &argument {
            args::OwnedArg::Long(name) => match name.as_str() {
                "help" => return Ok(None),
                "entry" => parsed.entries.push(reader.parse("IP:PORT")?),
                _ => return Err(reader.unexpected_argument(&argument)),
            },
            args::OwnedArg::Value(value) if parsed.id.is_empty() => {
                parsed.id = value.to_string_lossy().into_owned();
            }
            args::OwnedArg::Value(_) => return Err(reader.unexpected_argument(&argument)),
        }
    }
    if parsed.id.is_empty() {
        return Err(reader.missing_argument("ID"));
    }
    Ok(Some(parsed))
}

/// Records that one process returned, or the reason why it returned none.
struct SourceAnswer {
    source: String,
    result: Result<serde_json::Value, String>,
}

async fn explain(
    arguments: &ExplainArgs,
    control: Option<&leader::LeaderClient>,
) -> Result<CommandOutput, error::CommandError> {
    let path = format!("/v1/explain/{}", escape_path(&arguments.id));
    let client = client::JsonClient::new();
    let mut answers = Vec::new();
    for entry in &arguments.entries {
        let response = client
            .send(*entry, &http::Method::GET, &path, None, ENTRY_TIMEOUT)
            .await;
        answers.push(SourceAnswer {
            source: format!("entry {entry}"),
            result: response
                .map_err(|error| error.to_string())
                .and_then(body_of),
        });
    }
    if let Some(leader) = control {
        let response = leader.get(&path).await;
        answers.push(SourceAnswer {
            source: "control".to_owned(),
            result: response
                .map_err(|error| error.to_string())
                .and_then(body_of),
        });
    }
    if answers.iter().all(|answer| answer.result.is_err()) {
        let lines: Vec<_> = answers
            .iter()
            .map(|answer| format!("{}: {}", answer.source, error_of(answer)))
            .collect();
        return Err(error::CommandError::Failed(format!(
            "nothing is known of {:?}\n{}",
            arguments.id,
            lines.join("\n")
        )));
    }
    Ok(render(arguments, &answers))
}

fn body_of(response: client::JsonResponse) -> Result<serde_json::Value, String> {
    if response.status.is_success() {
        Ok(response.body)
    } else {
        Err(response.error_text())
    }
}

fn error_of(answer: &SourceAnswer) -> String {
    answer.result.as_ref().err().cloned().unwrap_or_default()
}

fn render(arguments: &ExplainArgs, answers: &[SourceAnswer]) -> CommandOutput {
    if arguments.control.format == args::OutputFormat::Json {
        let list: Vec<_> = answers
            .iter()
            .map(|answer| match &answer.result {
                Ok(body) => serde_json::json!({ "source": answer.source, "known": body }),
                Err(reason) => serde_json::json!({ "source": answer.source, "error": reason }),
            })
            .collect();
        return CommandOutput::json(&serde_json::json!({ "id": arguments.id, "sources": list }));
    }
    let mut text = String::new();
    for answer in answers {
        match &answer.result {
            Ok(body) => {
                let body = usher_report::explain_text(body);
                text.push_str(&format!("{}\n{body}\n", answer.source));
            }
            Err(reason) => text.push_str(&format!("{}: {reason}\n\n", answer.source)),
        }
    }
    CommandOutput::ok(text)
}

/// Percent-encodes an id for use in a URL path.
fn escape_path(id: &str) -> String {
    let mut escaped = String::with_capacity(id.len());
    for byte in id.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            escaped.push_str(&format!("%{byte:02X}"));
        }
    }
    escaped
}
