//! Sets up the log output of a process: level, format and destination.

use std::io;

use tracing_subscriber::{filter, fmt, prelude::*};

use crate::error;

/// Installs a subscriber that logs to standard error; `RUST_LOG` overrides the level of the
/// settings.
///
/// # Errors
///
/// Fails if a subscriber is already installed, or the level filter isn't valid.
pub fn start_log(settings: &usher_config::LogSettings) -> Result<(), error::CommandError> {
    let filter = match std::env::var(filter::EnvFilter::DEFAULT_ENV) {
        Ok(text) if !text.is_empty() => filter::EnvFilter::try_new(text),
        _ => filter::EnvFilter::try_new(&settings.level),
    };
    let filter = filter
        .map_err(|error| error::CommandError::Usage(format!("RUST_LOG is not valid: {error}")))?;
    let registry = tracing_subscriber::registry().with(filter);
    let layer = fmt::layer().with_writer(io::stderr);
    let result = match settings.format {
        usher_config::LogFormat::Human => {
            // Colour escape sequences must not end up in log files.
            let colours = io::IsTerminal::is_terminal(&io::stderr());
            registry.with(layer.with_ansi(colours)).try_init()
        }
        usher_config::LogFormat::Json => registry.with(layer.json()).try_init(),
    };
    result.map_err(error::CommandError::failed)
}

/// Lines that may be queued for standard output; further lines are dropped, because a slow log
/// reader must not block requests.
const MAX_QUEUED_LINES: usize = 4_096;

/// Installs a subscriber that logs to standard output from a separate thread.
///
/// Logging stops when the returned guard is dropped.
///
/// # Errors
///
/// Fails if a subscriber is already installed, or the level filter isn't valid.
pub fn start_output_log(
    settings: &usher_config::LogSettings,
) -> Result<tracing_appender::non_blocking::WorkerGuard, error::CommandError> {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .finish(io::stdout());
    let filter = filter::EnvFilter::try_new(&settings.level);
    let filter = filter.map_err(error::CommandError::failed)?;
    let registry = tracing_subscriber::registry().with(filter);
    let layer = fmt::layer().with_writer(writer).with_ansi(false);
    let result = match settings.format {
        usher_config::LogFormat::Human => registry.with(layer).try_init(),
        usher_config::LogFormat::Json => {
            let json = layer.json().flatten_event(true).with_current_span(false);
            registry.with(json.with_span_list(false)).try_init()
        }
    };
    result.map_err(error::CommandError::failed)?;
    Ok(guard)
}
