//! Signals that stop a daemon. Not for: what stopping means.

use tokio::signal::unix;

use crate::error;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signals can't be watched.
pub async fn wait_for_stop() -> Result<&'static str, error::CommandError> {
    let mut terminate = watch(unix::SignalKind::terminate())?;
    let mut interrupt = watch(unix::SignalKind::interrupt())?;
    Ok(tokio::select! {
        _ = terminate.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
    })
}

fn watch(kind: unix::SignalKind) -> Result<unix::Signal, error::CommandError> {
    unix::signal(kind).map_err(error::CommandError::failed)
}
