//! Graceful stop in two steps: draining, then stopped. Not for: killing tasks.

use std::sync;

use tokio::sync as tokio_sync;

/// How far the stop has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum StopPhase {
    Running,
    Draining,
    Stopped,
}

/// Starts the stop; held by the daemon's main function.
#[derive(Clone, Debug)]
pub struct StopSource {
    phase: sync::Arc<tokio_sync::watch::Sender<StopPhase>>,
}

/// Tells services that the process is stopping; cheap to clone.
#[derive(Clone, Debug)]
pub struct StopSignal {
    phase: tokio_sync::watch::Receiver<StopPhase>,
}

impl StopSource {
    /// Makes a source and its first signal.
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

    /// Makes the process unready and ends new work; running work goes on.
    pub fn drain(&self) {
        self.advance(StopPhase::Draining);
    }

    /// Ends the background work, once all requests are done.
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
    /// Returns whether new work is no longer taken.
    pub fn is_draining(&self) -> bool {
        *self.phase.borrow() >= StopPhase::Draining
    }

    /// Waits until new work is no longer taken.
    pub async fn draining(&self) {
        self.reach(StopPhase::Draining).await;
    }

    /// Waits until background work must end.
    pub async fn stopped(&self) {
        self.reach(StopPhase::Stopped).await;
    }

    async fn reach(&self, wanted: StopPhase) {
        let mut phase = self.phase.clone();
        // A dropped source also ends the process.
        let _ = phase.wait_for(|current| *current >= wanted).await;
    }
}
