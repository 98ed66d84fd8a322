//! The entry daemon from its settings. Not for: what an entry does.

use std::path;

use crate::error;

/// Runs the entry daemon until it is told to stop.
///
/// # Errors
///
/// Fails when the settings are wrong or the node can't start.
pub async fn run_entry(settings: &path::Path) -> Result<(), error::CommandError> {
    let _ = settings;
    Err(error::CommandError::failed("the entry is not wired up yet"))
}
