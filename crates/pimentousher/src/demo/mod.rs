//! Runs a complete installation inside one process on loopback and checks every answer. Not for:
//! measuring hosts or networks.

mod caller;
mod count;
mod fleet;
mod load;
mod output;
mod serve;
mod temp_folder;

pub use count::{DemoCount, TimeFigures};
pub use output::{demo_json, demo_table};
pub use serve::serve;

use crate::error;

/// Overrides the options of the demo's entries; tests use it to disable mechanisms.
pub type EntryOverride = fn(usher_entry::EntryOptions) -> usher_entry::EntryOptions;

/// Runs the load with an engine crash and an entry shutdown, and counts the outcomes of requests.
///
/// # Errors
///
/// Fails if the installation can't be started.
pub async fn run() -> Result<DemoCount, error::CommandError> {
    run_with(|options| options).await
}

/// Runs the demo with overridden entry options, to show that it detects the faults that a disabled
/// mechanism would prevent.
#[doc(hidden)]
pub async fn run_with(override_options: EntryOverride) -> Result<DemoCount, error::CommandError> {
    let mut fleet = fleet::DemoFleet::start(None, override_options).await?;
    let count = load::run(&mut fleet).await;
    fleet.stop().await;
    Ok(count)
}
