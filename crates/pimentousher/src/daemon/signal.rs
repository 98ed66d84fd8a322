//! Signals that stop a daemon. Not for: what stopping means.

use std::time;

use tokio::signal::unix;

use crate::error;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signals can't be watched.
pub async fn wait_for_stop() -> Result<&'static str, error::CommandError> {
    let mut terminate = subscribe(unix::SignalKind::terminate())?;
    let mut interrupt = subscribe(unix::SignalKind::interrupt())?;
    Ok(tokio::select! {
        _ = terminate.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
    })
}

/// Tells when settings may have changed.
#[derive(Debug)]
pub struct ReloadSignal {
    hangup: unix::Signal,
}

impl ReloadSignal {
    /// Starts to watch for SIGHUP.
    ///
    /// # Errors
    ///
    /// Fails when the signal can't be watched.
    pub fn new() -> Result<Self, error::CommandError> {
        let hangup = subscribe(unix::SignalKind::hangup())?;
        Ok(Self { hangup })
    }

    /// Waits for SIGHUP, but not longer than the interval; returns whether the signal came.
    pub async fn wait(&mut self, interval: time::Duration) -> bool {
        tokio::time::timeout(interval, self.hangup.recv())
            .await
            .is_ok()
    }
}

fn subscribe(kind: unix::SignalKind) -> Result<unix::Signal, error::CommandError> {
    unix::signal(kind).map_err(error::CommandError::failed)
}
