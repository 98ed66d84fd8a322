//! Waits for the signals that stop a daemon or reload its settings.

use std::time;

use tokio::signal::unix;

use crate::error;

/// Waits for SIGTERM or SIGINT, and returns the name of the signal.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed.
pub async fn wait_for_stop() -> Result<&'static str, error::CommandError> {
    let mut terminate = subscribe(unix::SignalKind::terminate())?;
    let mut interrupt = subscribe(unix::SignalKind::interrupt())?;
    Ok(tokio::select! {
        _ = terminate.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
    })
}

/// Waits for SIGHUP, which asks a daemon to reload its settings.
#[derive(Debug)]
pub struct ReloadSignal {
    hangup: unix::Signal,
}

impl ReloadSignal {
    /// Installs the SIGHUP handler.
    ///
    /// # Errors
    ///
    /// Fails if the signal handler can't be installed.
    pub fn new() -> Result<Self, error::CommandError> {
        let hangup = subscribe(unix::SignalKind::hangup())?;
        Ok(Self { hangup })
    }

    /// Waits for SIGHUP for at most `interval`; returns whether the signal arrived.
    pub async fn wait(&mut self, interval: time::Duration) -> bool {
        tokio::time::timeout(interval, self.hangup.recv())
            .await
            .is_ok()
    }
}

fn subscribe(kind: unix::SignalKind) -> Result<unix::Signal, error::CommandError> {
    unix::signal(kind).map_err(error::CommandError::failed)
}
