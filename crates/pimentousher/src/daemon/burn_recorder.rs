//! Writes request outcomes to the burn records on disk, from which `report burn` computes how fast
//! the error budgets are used up. Not for: the reports (`usher_report`).

use std::{
    path,
    sync::{self, atomic, mpsc},
    thread, time,
};

use usher_entry::{OutcomeCause, OutcomeEvent, OutcomeSink};
use usher_report::{BurnCause, BurnEvent, BurnStore, SeriesKey};

use crate::error;

/// Outcomes that may be queued for the disk; further ones are dropped and counted, because a slow
/// disk must not block requests.
const QUEUE_CAPACITY: usize = 16_384;
/// Interval between flushes; a killed entry loses the counts of at most this interval.
const FLUSH_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Message to the writer thread.
#[derive(Debug)]
enum RecorderMessage {
    /// Counts a request.
    Count(BurnEvent),
    /// Flushes the counts and ends the thread.
    Finish,
}

/// Non-blocking sink for request outcomes.
#[derive(Clone, Debug)]
pub struct BurnSink {
    cooperative: String,
    sender: Option<mpsc::SyncSender<RecorderMessage>>,
    dropped: sync::Arc<atomic::AtomicU64>,
}

impl OutcomeSink for BurnSink {
    fn record(&self, event: OutcomeEvent) {
        let (Some(sender), Some(cause)) = (&self.sender, burn_cause(event.cause)) else {
            return;
        };
        let event = BurnEvent {
            key: SeriesKey {
                service: event.service,
                cooperative: self.cooperative.clone(),
            },
            at: event.at,
            cause,
            first_token: event.first_token,
        };
        if sender.try_send(RecorderMessage::Count(event)).is_err() {
            self.dropped.fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

/// Converts a cause for the burn records; calls that the caller cancelled aren't counted, because
/// they say nothing about the service.
fn burn_cause(cause: OutcomeCause) -> Option<BurnCause> {
    match cause {
        OutcomeCause::Ok => Some(BurnCause::Ok),
        OutcomeCause::Refused => Some(BurnCause::Refused),
        OutcomeCause::Late => Some(BurnCause::Late),
        OutcomeCause::SlowTarget => Some(BurnCause::SlowTarget),
        OutcomeCause::Drain => Some(BurnCause::Drain),
        OutcomeCause::Region => Some(BurnCause::Region),
        OutcomeCause::Failed => Some(BurnCause::Failed),
        OutcomeCause::Cancelled => None,
    }
}

/// Writes outcomes to disk from a separate thread.
#[derive(Debug)]
pub struct BurnRecorder {
    sink: BurnSink,
    thread: Option<thread::JoinHandle<()>>,
}

impl BurnRecorder {
    /// Creates a recorder that discards all outcomes, for an entry without a data folder.
    pub fn disabled(cooperative: &str) -> Self {
        let sink = BurnSink {
            cooperative: cooperative.to_owned(),
            sender: None,
            dropped: sync::Arc::default(),
        };
        Self { sink, thread: None }
    }

    /// Opens the burn records of a data folder and starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails if the records can't be opened or the thread can't be started.
    pub fn start(folder: &path::Path, cooperative: &str) -> Result<Self, error::CommandError> {
        let now = time::SystemTime::now();
        let store = BurnStore::open(folder, now).map_err(|error| {
            error::CommandError::Failed(format!("{error}\ncheck [node] data and its disk"))
        })?;
        let (sender, receiver) = mpsc::sync_channel(QUEUE_CAPACITY);
        let dropped = sync::Arc::<atomic::AtomicU64>::default();
        let counter = dropped.clone();
        let thread = thread::Builder::new()
            .name("burn-records".to_owned())
            .spawn(move || run(store, &receiver, &counter))
            .map_err(error::CommandError::failed)?;
        let sink = BurnSink {
            cooperative: cooperative.to_owned(),
            sender: Some(sender),
            dropped,
        };
        let thread = Some(thread);
        Ok(Self { sink, thread })
    }

    /// Returns a sink that sends outcomes to this recorder.
    pub fn sink(&self) -> BurnSink {
        self.sink.clone()
    }

    /// Flushes the counts and ends the writer thread; later outcomes are dropped.
    pub fn finish(mut self) {
        if let Some(sender) = self.sink.sender.take() {
            let _ = sender.send(RecorderMessage::Finish);
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(
    mut store: BurnStore,
    receiver: &mpsc::Receiver<RecorderMessage>,
    dropped: &atomic::AtomicU64,
) {
    let mut next_flush = time::Instant::now() + FLUSH_INTERVAL;
    loop {
        let remaining = next_flush.saturating_duration_since(time::Instant::now());
        let finished = match receiver.recv_timeout(remaining) {
            Ok(RecorderMessage::Count(event)) => {
                store.record(&event);
                false
            }
            Err(mpsc::RecvTimeoutError::Timeout) => false,
            Ok(RecorderMessage::Finish) | Err(mpsc::RecvTimeoutError::Disconnected) => true,
        };
        if !finished && time::Instant::now() < next_flush {
            continue;
        }
        flush(&mut store, dropped);
        next_flush = time::Instant::now() + FLUSH_INTERVAL;
        if finished {
            return;
        }
    }
}

fn flush(store: &mut BurnStore, dropped: &atomic::AtomicU64) {
    if let Err(error) = store.flush(time::SystemTime::now()) {
        tracing::warn!(%error, "failed to write the burn records; keeping them in memory");
    }
    let lost = dropped.swap(0, atomic::Ordering::Relaxed);
    if lost > 0 {
        tracing::warn!(
            lost,
            "dropped outcomes because the burn-record queue of {QUEUE_CAPACITY} was full (slow disk)"
        );
    }
}
