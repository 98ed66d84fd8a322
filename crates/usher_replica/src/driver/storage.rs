//! Threads that write and sync the log and the snapshots. Not for: deciding what is written.

use std::{io, sync, thread, time};

use tokio::sync::mpsc;
use usher_consensus::{OutputBatch, SnapshotImage};
use usher_log::StorageFolder;

use crate::conversion;

/// Pause before a snapshot for which the disk had no room is written again.
const SNAPSHOT_PAUSE: time::Duration = time::Duration::from_millis(250);

/// Jobs of the log thread, executed in order.
#[derive(Debug)]
pub(crate) enum StorageJob {
    /// Writes the changes of a batch.
    Batch(Box<OutputBatch>),
    /// Publishes the written snapshot of this node's own state at this index.
    PublishSnapshot(u64),
}

/// Events that the storage threads report.
#[derive(Debug)]
pub(crate) enum StorageEvent {
    /// All batches up to this sequence number are durable.
    Persisted(u64),
    /// A snapshot of this node's own state is durable.
    SnapshotSaved,
    /// Writing failed; the log is unusable and nothing more is written.
    Failed(String),
}

/// Handle of the storage threads; they end when it is dropped.
#[derive(Debug)]
pub(crate) struct StorageThreads {
    pub(crate) jobs: sync::mpsc::Sender<StorageJob>,
    /// Snapshots of this node's own state, written concurrently with the log.
    pub(crate) snapshots: sync::mpsc::Sender<sync::Arc<SnapshotImage>>,
    pub(crate) events: mpsc::UnboundedReceiver<StorageEvent>,
    pub(crate) threads: [thread::JoinHandle<()>; 2],
    /// Lets the threads wait for room on a full disk.
    pub(crate) room: usher_log::DiskRoom,
}

impl StorageThreads {
    pub(crate) fn start<D>(
        log: usher_log::DurableLog<D>,
        room: usher_log::DiskRoom,
    ) -> io::Result<Self>
    where
        D: StorageFolder,
        D::File: Send,
    {
        room.begin_waiting();
        let (jobs, source) = sync::mpsc::channel();
        let (reports, events) = mpsc::unbounded_channel();
        let (snapshots, images) = sync::mpsc::channel();
        let writer = log.snapshot_writer();
        let (finished, failed) = (jobs.clone(), reports.clone());
        let snapshot_room = room.clone();
        let snapshot_thread = thread::Builder::new()
            .name("usher-snapshot".to_owned())
            .spawn(move || run_snapshots(&writer, &images, &finished, &failed, &snapshot_room))?;
        let log_thread = thread::Builder::new()
            .name("usher-storage".to_owned())
            .spawn(move || run(log, &source, &reports))?;
        Ok(Self {
            jobs,
            snapshots,
            events,
            threads: [snapshot_thread, log_thread],
            room,
        })
    }
}

/// Writes snapshots; the log thread publishes them between its own writes.
fn run_snapshots<D>(
    writer: &usher_log::SnapshotWriter<D>,
    images: &sync::mpsc::Receiver<sync::Arc<SnapshotImage>>,
    finished: &sync::mpsc::Sender<StorageJob>,
    failed: &mpsc::UnboundedSender<StorageEvent>,
    room: &usher_log::DiskRoom,
) where
    D: StorageFolder,
{
    while let Ok(image) = images.recv() {
        let snapshot = conversion::stored_snapshot(&image);
        let mut written = writer.write(&snapshot);
        while written.as_ref().is_err_and(usher_log::LogError::is_full) {
            if !room.wait(SNAPSHOT_PAUSE) {
                return;
            }
            written = writer.write(&snapshot);
        }
        if let Err(error) = written {
            tracing::error!(%error, "writing a snapshot failed");
            let _ = failed.send(StorageEvent::Failed(error.to_string()));
            return;
        }
        if finished
            .send(StorageJob::PublishSnapshot(image.index))
            .is_err()
        {
            return;
        }
    }
}

fn run<D>(
    mut log: usher_log::DurableLog<D>,
    jobs: &sync::mpsc::Receiver<StorageJob>,
    reports: &mpsc::UnboundedSender<StorageEvent>,
) where
    D: StorageFolder,
{
    while let Ok(first) = jobs.recv() {
        if let Err(error) = write_group(&mut log, first, jobs, reports) {
            tracing::error!(%error, "writing the log failed");
            let _ = reports.send(StorageEvent::Failed(error.to_string()));
            return;
        }
    }
}

/// Writes the first job and all queued jobs with one fsync (group commit).
fn write_group<D>(
    log: &mut usher_log::DurableLog<D>,
    first: StorageJob,
    jobs: &sync::mpsc::Receiver<StorageJob>,
    reports: &mpsc::UnboundedSender<StorageEvent>,
) -> Result<(), usher_log::LogError>
where
    D: StorageFolder,
{
    let mut next = Some(first);
    let mut sequence = None;
    let mut saved = 0;
    while let Some(job) = next {
        match job {
            StorageJob::Batch(batch) => {
                conversion::write_batch(log, &batch)?;
                sequence = Some(batch.sequence);
            }
            StorageJob::PublishSnapshot(index) => {
                log.publish_snapshot(index)?;
                saved += 1;
            }
        }
        next = jobs.try_recv().ok();
    }
    log.sync()?;
    for _ in 0..saved {
        let _ = reports.send(StorageEvent::SnapshotSaved);
    }
    if let Some(sequence) = sequence {
        let _ = reports.send(StorageEvent::Persisted(sequence));
    }
    Ok(())
}
