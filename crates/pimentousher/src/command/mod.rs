//! Implements the commands of `pimentousher`. Not for: daemons (`daemon`).

mod apply;
mod bench;
mod check_config;
mod demo;
mod drain;
mod explain;
mod report;
mod status;

use std::{ffi, future};

use crate::{args, error};

/// Help text of the program.
pub const HELP: &str = "\
Operates a pimentousher installation.

usage: pimentousher COMMAND [OPTIONS]

commands:
  check-config FILE...   check settings files and sheets, also against each other
  apply SHEET            put a sheet of the fleet in force, or show what it would change
  status                 show control nodes, entries and targets
  drain TARGET           take a target out of service without cutting requests short
  report burn            show how fast the service-level budget is used up, and why
  explain ID             show what is known of a request, target or engine
  bench EXPERIMENT       measure the routing decisions in virtual time
  demo                   run a whole installation on loopback under a mixed load

options:
  --help       print this help; `pimentousher COMMAND --help` explains a command
  --version    print the version

exit codes: 0 success, 1 failure, 2 wrong command line or settings";

/// Output and success of a command.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CommandOutput {
    /// Text for standard output.
    pub text: String,
    /// Whether the exit code is 1 although the command completed, such as a demo that lost a
    /// request.
    pub failed: bool,
}

impl CommandOutput {
    /// Creates the output of a command that succeeded.
    pub fn ok(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            failed: false,
        }
    }

    pub(crate) fn json(value: &serde_json::Value) -> Self {
        Self::ok(format!("{value:#}\n"))
    }
}

/// Runs a command line, given without the program name.
///
/// # Errors
///
/// Fails if the command line is invalid or the command fails.
pub fn run<I>(arguments: I) -> Result<CommandOutput, error::CommandError>
where
    I: IntoIterator<Item = ffi::OsString>,
{
    let mut parser = lexopt::Parser::from_args(arguments);
    let first = parser
        .next()
        .map_err(|error| error::CommandError::usage("", error))?;
    let command = match first {
        None => return Err(error::CommandError::usage("", "a command is missing")),
        Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h')) => {
            return Ok(CommandOutput::ok(format!("{HELP}\n")));
        }
        Some(lexopt::Arg::Long("version") | lexopt::Arg::Short('V')) => {
            return Ok(CommandOutput::ok(version("pimentousher")));
        }
        Some(lexopt::Arg::Value(command)) => command.to_string_lossy().into_owned(),
        Some(other) => return Err(error::CommandError::usage("", other.unexpected())),
    };
    run_command(&command, parser)
}

fn run_command(
    command: &str,
    parser: lexopt::Parser,
) -> Result<CommandOutput, error::CommandError> {
    let reader = args::ArgReader::new(command, parser);
    match command {
        "check-config" => check_config::run(reader),
        "apply" => apply::run(reader),
        "status" => status::run(reader),
        "drain" => drain::run(reader),
        "report" => report::run(reader),
        "explain" => explain::run(reader),
        "bench" => bench::run(reader),
        "demo" => demo::run(reader),
        _ => Err(error::CommandError::usage(
            "",
            format!("command {command:?} is not known"),
        )),
    }
}

/// Returns the line that `--version` prints.
pub fn version(program: &str) -> String {
    format!("{program} {}\n", env!("CARGO_PKG_VERSION"))
}

/// Runs the future of a command on a single-threaded runtime.
pub(crate) fn block_on<F, T>(future: F) -> Result<T, error::CommandError>
where
    F: future::Future<Output = Result<T, error::CommandError>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(error::CommandError::failed)?;
    runtime.block_on(future)
}
