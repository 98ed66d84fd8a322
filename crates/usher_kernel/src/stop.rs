//! Graceful shutdown in two phases: draining, then stopped. Not for: aborting tasks.

use std::sync;

use tokio::sync as tokio_sync;

/// The phase of the shutdown.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum StopPhase {
    Running,
    Draining,
    Stopped,
}

/// Starts the shutdown; held by the main function of the daemon.
#[derive(Clone, Debug)]
pub struct StopSource {
    phase: sync::Arc<tokio_sync::watch::Sender<StopPhase>>,
}

/// Notifies services that the process is shutting down; cheap to clone.
#[derive(Clone, Debug)]
pub struct StopSignal {
    phase: tokio_sync::watch::Receiver<StopPhase>,
}

impl StopSource {
    /// Creates a source and a signal that it controls.
    pub fn new() -> (Self, StopSignal) {
        let (sender, phase) = tokio_sync::watch::channel(StopPhase::Running);
        let phase_sender = sync::Arc::new(sender);
        (
            Self {
                phase: phase_sender,
            },
            StopSignal { phase },
        )
    }

    /// Starts draining: the process becomes unready and accepts no new work, while running work
    /// continues.
    pub fn drain(&self) {
        self.advance(StopPhase::Draining);
    }

    /// Stops the background work; called after all requests have finished.
    pub fn stop(&self) {
        self.advance(StopPhase::Stopped);
    }

    fn advance(&self, phase: StopPhase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            if later {
                *current = phase;
            }
            later
        });
    }
}

impl StopSignal {
    /// Returns whether new work is no longer accepted.
    pub fn is_draining(&self) -> bool {
        *self.phase.borrow() >= StopPhase::Draining
    }

    /// Waits until new work is no longer accepted.
    pub async fn draining(&self) {
        self.wait_for_phase(StopPhase::Draining).await;
    }

    /// Waits until background work must end.
    pub async fn stopped(&self) {
        self.wait_for_phase(StopPhase::Stopped).await;
    }

    async fn wait_for_phase(&self, minimum: StopPhase) {
        let mut phase = self.phase.clone();
        // An error means that the source was dropped, which also counts as a shutdown.
        let _ = phase.wait_for(|current| *current >= minimum).await;
    }
}
