//! Reads settings files and other files, with errors that name the file. Not for: validation
//! (`usher_config`).

use std::{fs, path};

use crate::error;

/// Reads a file.
///
/// # Errors
///
/// Fails if the file can't be read.
pub fn read_file(file: &path::Path) -> Result<Vec<u8>, error::CommandError> {
    fs::read(file).map_err(|error| {
        error::CommandError::Usage(format!("{} can't be read: {error}", file.display()))
    })
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Fails if the file can't be read or isn't UTF-8, or with all errors of its settings, one per
/// line.
pub fn read_settings(
    file: &path::Path,
) -> Result<usher_config::ProcessSettings, error::CommandError> {
    let bytes = read_file(file)?;
    let text = String::from_utf8(bytes).map_err(|_| {
        error::CommandError::Usage(format!("{} is not UTF-8: save it as UTF-8", file.display()))
    })?;
    usher_config::ProcessSettings::parse(&text).map_err(|errors| {
        let lines: Vec<_> = errors
            .errors()
            .iter()
            .map(|error| format!("{}: {error}", file.display()))
            .collect();
        error::CommandError::Usage(lines.join("\n"))
    })
}
