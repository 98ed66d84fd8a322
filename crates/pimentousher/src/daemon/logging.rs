//! Starts the log of a process. Not for: what is logged.

use std::io;

use tracing_subscriber::{filter, fmt, prelude::*};

use crate::error;

/// Starts writing events to standard error; `RUST_LOG` overrides the level of the settings.
///
/// # Errors
///
/// Fails when the process has a log already, or `RUST_LOG` isn't valid.
pub fn start_log(settings: &usher_config::LogSettings) -> Result<(), error::CommandError> {
    let filter = match std::env::var(filter::EnvFilter::DEFAULT_ENV) {
        Ok(text) if !text.is_empty() => filter::EnvFilter::try_new(text),
        _ => filter::EnvFilter::try_new(&settings.level),
    };
    let filter = filter
        .map_err(|error| error::CommandError::Usage(format!("RUST_LOG is not valid: {error}")))?;
    let registry = tracing_subscriber::registry().with(filter);
    let layer = fmt::layer().with_writer(io::stderr);
    let started = match settings.format {
        usher_config::LogFormat::Human => {
            // Control characters of colours don't belong into files.
            let colours = io::IsTerminal::is_terminal(&io::stderr());
            registry.with(layer.with_ansi(colours)).try_init()
        }
        usher_config::LogFormat::Json => registry.with(layer.json()).try_init(),
    };
    started.map_err(error::CommandError::failed)
}
