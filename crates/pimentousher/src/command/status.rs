//! Implements `status`, which lists control nodes, entries and targets. Not for: single requests
//! (`explain`).

use serde_json::Value;

use crate::{args, command, command::CommandOutput, error, leader};

const HELP: &str = "\
Shows the control nodes, the entries and the targets as the leader knows them.

usage: pimentousher status [OPTIONS]

options:
  --sheet            print the sheet in force as CSV instead, to keep a copy";

pub(super) fn run(mut reader: args::ArgReader<'_>) -> Result<CommandOutput, error::CommandError> {
    let mut control = args::ControlArgs::default();
    let mut sheet = false;
    while let Some(argument) = reader.next()? {
        if control.parse_option(&argument, &mut reader)? {
            continue;
        }
        match &argument {
            args::OwnedArg::Long(name) if name == "help" => {
                return Ok(CommandOutput::ok(format!(
                    "{HELP}\n{}\n",
                    args::CONTROL_HELP
                )));
            }
            args::OwnedArg::Long(name) if name == "sheet" => sheet = true,
            _ => return Err(reader.unexpected_argument(&argument)),
        }
    }
    let leader = leader::LeaderClient::new(control.addresses()?, control.timeout);
    let path = if sheet { "/v1/config" } else { "/v1/status" };
    let response = command::block_on(async { leader.get(path).await })?;
    if response.status != http::StatusCode::OK {
        return Err(error::CommandError::Failed(format!(
            "control refused with {}: {}",
            response.status,
            response.error_text()
        )));
    }
    if control.format == args::OutputFormat::Json {
        return Ok(CommandOutput::json(&response.body));
    }
    if sheet {
        let text = response.body.get("sheet").and_then(Value::as_str);
        return Ok(CommandOutput::ok(text.unwrap_or_default()));
    }
    Ok(CommandOutput::ok(status_text(&response.body)))
}

/// Formats a status as tables.
fn status_text(status: &Value) -> String {
    let mut text = format!(
        "leader {}, term {}, commit {}; configuration version {} by {}, in force everywhere: {}; \
         orders in flight {}; invariants violated {}\n",
        cell(status, "leader"),
        cell(status, "term"),
        cell(status, "commit"),
        cell(status, "config_version"),
        cell(status, "config_operator"),
        cell(&status["config_in_force"], "everywhere"),
        cell(status, "orders_in_flight"),
        cell(status, "invariants_violated"),
    );
    let tables = [
        (
            "control nodes",
            "members",
            &["name", "address", "region", "domain", "voter"][..],
        ),
        (
            "entries",
            "entries",
            &["name", "region", "stopping", "config_version"][..],
        ),
        (
            "targets",
            "targets",
            &[
                "name", "kind", "service", "region", "domain", "model", "version", "role",
                "address", "leaving", "gone",
            ][..],
        ),
    ];
    for (title, field, columns) in tables {
        let rows = status.get(field).and_then(Value::as_array);
        let rows = rows.map(Vec::as_slice).unwrap_or_default();
        text.push_str(&format!("\n{title}: {}\n", rows.len()));
        if !rows.is_empty() {
            text.push_str(&table(rows, columns));
        }
    }
    text
}

fn table(rows: &[Value], columns: &[&str]) -> String {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header(columns);
    for row in rows {
        table.add_row(columns.iter().map(|column| cell(row, column)));
    }
    format!("{table}\n")
}

fn cell(row: &Value, column: &str) -> String {
    match row.get(column) {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) if text.is_empty() => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Bool(true)) => "yes".to_owned(),
        Some(Value::Bool(false)) => "no".to_owned(),
        Some(other) => other.to_string(),
    }
}
