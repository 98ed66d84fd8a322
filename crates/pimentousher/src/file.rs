//! Reads settings, sheets and other files. Not for: their rules.

use std::{fs, path};

use crate::error;

/// Reads a file as bytes.
///
/// # Errors
///
/// Fails when the file can't be read.
pub fn read_file(file: &path::Path) -> Result<Vec<u8>, error::CommandError> {
    fs::read(file).map_err(|error| {
        error::CommandError::Usage(format!("{} can't be read: {error}", file.display()))
    })
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails with every error of the file.
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
