//! `demo`: runs a whole installation on loopback. Not for: real traffic.

use crate::{args, command::CommandOutput, error};

const HELP: &str = "usage: pimentousher demo [OPTIONS]\n\n  --help";

pub(super) fn run(mut reader: args::ArgReader<'_>) -> Result<CommandOutput, error::CommandError> {
    if reader.next()? == Some(args::OwnedArg::Long("help".to_owned())) {
        return Ok(CommandOutput::ok(format!("{HELP}\n")));
    }
    Err(error::CommandError::failed("demo is not wired up yet"))
}
