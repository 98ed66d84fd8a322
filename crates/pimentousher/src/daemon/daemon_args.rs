//! Parses the command line of a daemon. Not for: its settings file.

use std::{ffi, path};

use crate::{args, command, error};

/// Parsed command line of a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonArgs {
    /// Runs the daemon with this settings file.
    Run(path::PathBuf),
    /// Prints a text, such as the help, and exits.
    Print(String),
}

/// Parses a daemon's arguments, without the program name.
///
/// # Errors
///
/// Fails if the command line is invalid.
pub fn parse_daemon_args<I>(
    program: &str,
    purpose: &str,
    arguments: I,
) -> Result<DaemonArgs, error::CommandError>
where
    I: IntoIterator<Item = ffi::OsString>,
{
    let parser = lexopt::Parser::from_args(arguments);
    let mut reader = args::ArgReader::new("", parser);
    let mut settings = std::env::var_os(args::SETTINGS_VARIABLE).map(path::PathBuf::from);
    // The errors of `reader` point to the help of `pimentousher` instead of the daemon's.
    let replace_hint = |error: error::CommandError| {
        let text = error.to_string();
        let first = text.lines().next().unwrap_or_default();
        error::CommandError::Usage(format!("{first}\nrun `{program} --help` for the options"))
    };
    while let Some(argument) = reader.next().map_err(replace_hint)? {
        match &argument {
            args::OwnedArg::Long(name) => match name.as_str() {
                "help" => return Ok(DaemonArgs::Print(help_text(program, purpose))),
                "version" => return Ok(DaemonArgs::Print(command::version(program))),
                "settings" => settings = Some(reader.value().map_err(replace_hint)?.into()),
                _ => return Err(replace_hint(reader.unexpected_argument(&argument))),
            },
            args::OwnedArg::Value(_) => {
                return Err(replace_hint(reader.unexpected_argument(&argument)))
            }
        }
    }
    settings
        .map(DaemonArgs::Run)
        .ok_or_else(|| replace_hint(reader.missing_argument("--settings FILE")))
}

fn help_text(program: &str, purpose: &str) -> String {
    format!(
        "{purpose}

usage: {program} --settings FILE

options:
  --settings FILE    settings of the process (default: $PIMENTOUSHER_SETTINGS);
                     `pimentousher check-config FILE` checks them
  --help             print this help
  --version          print the version

SIGTERM and SIGINT stop it gracefully; a second signal ends it at once.
exit codes: 0 stopped, 1 failure, 2 wrong command line or settings
"
    )
}
