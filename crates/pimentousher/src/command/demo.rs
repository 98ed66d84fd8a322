//! Implements `demo`, which runs a complete installation on loopback. Not for: the installation and
//! its load (`crate::demo`).

use std::net;

use crate::{args, command::CommandOutput, daemon, demo, error};

const HELP: &str = "\
Runs a whole installation inside one process on loopback: three control nodes, three entries, six
fake engines and a plain service. Sends a mixed load while an engine crashes and an entry stops,
and checks every answer.

usage: pimentousher demo [OPTIONS]

options:
  --format FORMAT    table or json (default: table)
  --serve IP:PORT    send no load; serve callers at this address until SIGTERM, and print the base
                     URL and the model names
  --verbose          write the log of all parts to standard error
  --help             print this help

exit codes: 0 no request was doubled or lost, 1 some was or the demo failed, 2 wrong command line";

#[derive(Debug, Default)]
struct DemoArgs {
    format: args::OutputFormat,
    serve: Option<net::SocketAddr>,
    verbose: bool,
}

pub(super) fn run(mut reader: args::ArgReader<'_>) -> Result<CommandOutput, error::CommandError> {
    let Some(arguments) = parse_args(&mut reader)? else {
        return Ok(CommandOutput::ok(format!("{HELP}\n")));
    };
    if arguments.verbose {
        daemon::start_log(&usher_config::LogSettings::default())?;
    }
    let runtime = tokio::runtime::Runtime::new().map_err(error::CommandError::failed)?;
    if let Some(address) = arguments.serve {
        runtime.block_on(demo::serve(address))?;
        return Ok(CommandOutput::default());
    }
    let count = runtime.block_on(demo::run())?;
    let text = match arguments.format {
        args::OutputFormat::Json => demo::demo_json(&count),
        _ => demo::demo_table(&count),
    };
    let failed = !count.is_good();
    Ok(CommandOutput { text, failed })
}

fn parse_args(reader: &mut args::ArgReader<'_>) -> Result<Option<DemoArgs>, error::CommandError> {
    let mut parsed = DemoArgs::default();
    while let Some(argument) = reader.next()? {
        match &argument {
            args::OwnedArg::Long(name) => match name.as_str() {
                "help" => return Ok(None),
                "format" => parsed.format = reader.parse("table or json")?,
                "serve" => parsed.serve = Some(reader.parse("IP:PORT")?),
                "verbose" => parsed.verbose = true,
                _ => return Err(reader.unexpected_argument(&argument)),
            },
            args::OwnedArg::Value(_) => return Err(reader.unexpected_argument(&argument)),
        }
    }
    Ok(Some(parsed))
}
