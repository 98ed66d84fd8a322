//! Waits for the signals that stop a daemon or reload its settings.

use std::time;

use tokio::signal::unix;

use crate::error;

/// Receives SIGTERM and SIGINT, which ask a daemon to stop.
///
/// A subscription to a signal gets only what arrives after it was made, so a daemon makes one listener
/// before it accepts any work and keeps it until it ends.
#[derive(Debug)]
pub struct StopListener {
    terminate: unix::Signal,
    interrupt: unix::Signal,
}

impl StopListener {
    /// Installs the handlers of SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers can't be installed.
    pub fn new() -> Result<Self, error::CommandError> {
        Ok(Self {
            terminate: subscribe(unix::SignalKind::terminate())?,
            interrupt: subscribe(unix::SignalKind::interrupt())?,
        })
    }

    /// Waits for a signal that no earlier call has returned, and returns its name. No signal is lost
    /// when the wait is cancelled.
    pub async fn wait(&mut self) -> &'static str {
        tokio::select! {
            _ = self.terminate.recv() => "SIGTERM",
            _ = self.interrupt.recv() => "SIGINT",
        }
    }
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
