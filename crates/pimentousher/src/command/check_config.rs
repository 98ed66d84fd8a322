//! Implements `check-config`, which validates settings files and sheets.

use std::path;

use crate::{args, command::CommandOutput, error, file};

const HELP: &str = "\
Checks settings files and sheets and reports every error at once.

usage: pimentousher check-config FILE...

Files that end in .csv are sheets, all others are settings. Several files are also checked
against each other, as the files of one installation.

options:
  --help    print this help

exit codes: 0 all files are accepted, 2 some file is not";

pub(super) fn run(mut reader: args::ArgReader<'_>) -> Result<CommandOutput, error::CommandError> {
    let mut files: Vec<path::PathBuf> = Vec::new();
    while let Some(argument) = reader.next()? {
        match &argument {
            args::OwnedArg::Long(name) if name == "help" => {
                return Ok(CommandOutput::ok(format!("{HELP}\n")));
            }
            args::OwnedArg::Value(value) => files.push(value.into()),
            args::OwnedArg::Long(_) => return Err(reader.unexpected_argument(&argument)),
        }
    }
    if files.is_empty() {
        return Err(reader.missing_argument("FILE"));
    }
    check(&files)
}

fn check(files: &[path::PathBuf]) -> Result<CommandOutput, error::CommandError> {
    let mut accepted = Vec::new();
    let mut errors = Vec::new();
    for path in files {
        let name = path.display().to_string();
        let result = file::read_file(path)
            .map_err(|error| vec![error.to_string()])
            .and_then(|bytes| {
                let read = usher_config::CheckedFile::read(&name, &bytes);
                read.map_err(|file_errors| {
                    let file_errors = file_errors.into_iter();
                    file_errors
                        .map(|error| format!("{name}: {error}"))
                        .collect::<Vec<_>>()
                })
            });
        match result {
            Ok(file) => accepted.push(file),
            Err(file_errors) => errors.extend(file_errors),
        }
    }
    errors.extend(usher_config::check_installation(&accepted));
    if !errors.is_empty() {
        return Err(error::CommandError::Usage(errors.join("\n")));
    }
    let count = accepted.len();
    let noun = if count == 1 { "file is" } else { "files are" };
    Ok(CommandOutput::ok(format!("{count} {noun} accepted\n")))
}
