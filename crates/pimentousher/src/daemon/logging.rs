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
    let result = match settings.format {
        usher_config::LogFormat::Human => {
            // Control characters of colours don't belong into files.
            let colours = io::IsTerminal::is_terminal(&io::stderr());
            registry.with(layer.with_ansi(colours)).try_init()
        }
        usher_config::LogFormat::Json => registry.with(layer.json()).try_init(),
    };
    result.map_err(error::CommandError::failed)
}

/// Lines that may wait for standard output; more are dropped, because a reader that is slow must
/// not hold up requests.
const MAX_QUEUED_LINES: usize = 4_096;

/// Starts writing events to standard output from a thread of its own.
///
/// The log is written as long as the returned guard lives.
///
/// # Errors
///
/// Fails when the process has a log already.
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
