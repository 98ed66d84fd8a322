//! `bench`: measures routing decisions in virtual time. Not for: real traffic.

use crate::{args, command::CommandOutput, error};

const HELP: &str = "usage: pimentousher bench [OPTIONS]\n\n  --help";

pub(super) fn run(mut reader: args::ArgReader<'_>) -> Result<CommandOutput, error::CommandError> {
    if reader.next()? == Some(args::OwnedArg::Long("help".to_owned())) {
        return Ok(CommandOutput::ok(format!("{HELP}\n")));
    }
    Err(error::CommandError::failed("bench is not wired up yet"))
}
