//! `explain`: shows what is known of a request, target or engine. Not for: recording it.

use std::{net, time};

use crate::{args, client, command, command::CommandOutput, error, leader};

const HELP: &str = "\
Shows what is known of a request, a target or an engine, and why it was decided.

usage: pimentousher explain ID [OPTIONS]

Entries know the routing of the newest requests by their X-Request-Id; control knows orders,
claims and configuration changes. All entries that are given are asked, and control.

options:
  --entry IP:PORT    address of an entry; may be repeated";

/// How long an entry may take to answer.
const ENTRY_TIMEOUT: time::Duration = time::Duration::from_secs(3);

#[derive(Debug, Default)]
struct ExplainArgs {
    id: String,
    entries: Vec<net::SocketAddr>,
    control: args::ControlArgs,
}

pub(super) fn run(mut reader: args::ArgReader<'_>) -> Result<CommandOutput, error::CommandError> {
    let Some(arguments) = read(&mut reader)? else {
        return Ok(CommandOutput::ok(format!(
            "{HELP}\n{}\n",
            args::CONTROL_HELP
        )));
    };
    // Entries can be asked while control isn't named or has no leader.
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

fn read(reader: &mut args::ArgReader<'_>) -> Result<Option<ExplainArgs>, error::CommandError> {
    let mut found = ExplainArgs::default();
    while let Some(argument) = reader.next()? {
        if found.control.take(&argument, reader)? {
            continue;
        }
        match &argument {
            args::OwnedArg::Long(name) => match name.as_str() {
                "help" => return Ok(None),
                "entry" => found.entries.push(reader.parse("IP:PORT")?),
                _ => return Err(reader.unexpected(&argument)),
            },
            args::OwnedArg::Value(value) if found.id.is_empty() => {
                found.id = value.to_string_lossy().into_owned();
            }
            args::OwnedArg::Value(_) => return Err(reader.unexpected(&argument)),
        }
    }
    if found.id.is_empty() {
        return Err(reader.missing("ID"));
    }
    Ok(Some(found))
}

/// What one process knows, or why it said nothing.
struct SourceAnswer {
    source: String,
    known: Result<serde_json::Value, String>,
}

async fn explain(
    arguments: &ExplainArgs,
    control: Option<&leader::LeaderClient>,
) -> Result<CommandOutput, error::CommandError> {
    let path = format!("/v1/explain/{}", escape(&arguments.id));
    let client = client::JsonClient::new();
    let mut answers = Vec::new();
    for entry in &arguments.entries {
        let sent = client
            .send(*entry, &http::Method::GET, &path, None, ENTRY_TIMEOUT)
            .await;
        answers.push(SourceAnswer {
            source: format!("entry {entry}"),
            known: sent.map_err(|error| error.to_string()).and_then(known),
        });
    }
    if let Some(leader) = control {
        let sent = leader.get(&path).await;
        answers.push(SourceAnswer {
            source: "control".to_owned(),
            known: sent.map_err(|error| error.to_string()).and_then(known),
        });
    }
    if answers.iter().all(|answer| answer.known.is_err()) {
        let lines: Vec<_> = answers
            .iter()
            .map(|answer| format!("{}: {}", answer.source, silence(answer)))
            .collect();
        return Err(error::CommandError::Failed(format!(
            "nothing is known of {:?}\n{}",
            arguments.id,
            lines.join("\n")
        )));
    }
    Ok(show(arguments, &answers))
}

fn known(answer: client::JsonAnswer) -> Result<serde_json::Value, String> {
    if answer.status.is_success() {
        Ok(answer.body)
    } else {
        Err(answer.error_text())
    }
}

fn silence(answer: &SourceAnswer) -> String {
    answer.known.as_ref().err().cloned().unwrap_or_default()
}

fn show(arguments: &ExplainArgs, answers: &[SourceAnswer]) -> CommandOutput {
    if arguments.control.format == args::OutputFormat::Json {
        let list: Vec<_> = answers
            .iter()
            .map(|answer| match &answer.known {
                Ok(body) => serde_json::json!({ "source": answer.source, "known": body }),
                Err(why) => serde_json::json!({ "source": answer.source, "error": why }),
            })
            .collect();
        return CommandOutput::json(&serde_json::json!({ "id": arguments.id, "sources": list }));
    }
    let mut text = String::new();
    for answer in answers {
        match &answer.known {
            Ok(body) => {
                let body = usher_report::explain_text(body);
                text.push_str(&format!("{}\n{body}\n", answer.source));
            }
            Err(why) => text.push_str(&format!("{}: {why}\n\n", answer.source)),
        }
    }
    CommandOutput::ok(text)
}

/// Escapes an id for a path.
fn escape(id: &str) -> String {
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
