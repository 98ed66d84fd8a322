//! Stores the routes and targets that a registrar knows, so that it can answer gateways right after
//! a restart. Without the file, gateways would wait for an election after all processes were
//! killed. Not for: data that must be durable, which is in the log.

use std::{fs, io, io::Write as _, path, time};

use prost::Message as _;
use usher_wire::message;

use crate::{fleet, registrar};

/// Name of the file in the data folder.
const FILE: &str = "last-known";

/// Size of the checksum that precedes the content.
const CHECKSUM_BYTES: usize = 4;

/// Delay between a change that nobody waits for and the write, so that a burst of changes causes a
/// single write.
const WRITE_DELAY: time::Duration = time::Duration::from_millis(500);

/// Delay before a failed write is repeated; a full disk may have space again at any moment.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(250);

/// The file with the applied routes, and with the targets that accept calls or have left.
#[derive(Clone, Debug)]
pub(crate) struct LastKnownFile {
    folder: path::PathBuf,
}

impl LastKnownFile {
    pub(crate) fn new(folder: path::PathBuf) -> Self {
        Self { folder }
    }

    /// Reads the file; returns `None` if it is missing, unreadable or corrupt.
    pub(crate) fn read(&self) -> Option<message::LastKnown> {
        let bytes = match fs::read(self.folder.join(FILE)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
            Err(error) => {
                tracing::warn!(%error, "can't read the last-known file");
                return None;
            }
        };
        let (checksum, content) = bytes.split_at_checked(CHECKSUM_BYTES)?;
        if checksum != crc32fast::hash(content).to_be_bytes() {
            tracing::warn!(
                bytes = bytes.len(),
                "checksum of the last-known file doesn't match its content"
            );
            return None;
        }
        match message::LastKnown::decode(content) {
            Ok(known) => Some(known),
            Err(error) => {
                tracing::warn!(%error, "can't decode the last-known file");
                None
            }
        }
    }

    /// Replaces the file once the new content is durable.
    ///
    /// # Errors
    ///
    /// Fails on an I/O error. An error before the rename leaves the previous file in place.
    pub(crate) fn write(&self, known: &message::LastKnown) -> io::Result<()> {
        let content = known.encode_to_vec();
        let fresh = self.folder.join(format!("{FILE}.new"));
        let mut file = fs::File::create(&fresh)?;
        file.write_all(&crc32fast::hash(&content).to_be_bytes())?;
        file.write_all(&content)?;
        file.sync_all()?;
        fs::rename(&fresh, self.folder.join(FILE))?;
        fs::File::open(&self.folder)?.sync_all()
    }
}

/// Rewrites the file after changes of the routes or targets, and after a failed write until it is up
/// to date, until the task is aborted.
pub(crate) async fn run<C>(
    file: LastKnownFile,
    targets: registrar::TargetRegistry<C>,
    routes: registrar::RouteStore<C>,
    broken_calls: registrar::broken_calls::BrokenCallRegistry<C>,
    access: fleet::FleetAccess,
) where
    C: usher_types::ClockSource,
{
    let mut changes = targets.watch_changes();
    let mut departures = targets.watch_departures();
    let mut applied = access.watch_applied();
    let mut evidence = broken_calls.watch_evidence();
    // On a busy machine, changes may precede the first poll of this task.
    changes.mark_changed();
    let mut written = message::LastKnown::default();
    let mut failed_writes = 0_u64;
    loop {
        // Acknowledgements of targets that leave, and of routes, wait for the write.
        tokio::select! {
            changed = applied.changed() => if changed.is_err() { return },
            changed = departures.changed() => if changed.is_err() { return },
            changed = evidence.changed() => if changed.is_err() { return },
            () = tokio::time::sleep(RETRY_DELAY), if failed_writes > 0 => {}
            changed = changes.changed() => {
                if changed.is_err() {
                    return;
                }
                tokio::select! {
                    () = tokio::time::sleep(WRITE_DELAY) => {}
                    _ = applied.changed() => {}
                    _ = departures.changed() => {}
                    _ = evidence.changed() => {}
                }
            }
        }
        departures.mark_unchanged();
        changes.mark_unchanged();
        applied.mark_unchanged();
        let last_change = targets.last_change();
        let newest = routes.newest_known();
        let known = message::LastKnown {
            routes_version: newest.as_ref().map_or(0, |routes| routes.version.get()),
            routes_document: newest.map_or_else(Vec::new, |routes| routes.document.to_vec()),
            targets: targets.lasting_targets(),
            broken_calls: evidence.borrow_and_update().clone(),
        };
        let version = known.routes_version;
        if known == written && failed_writes == 0 {
            targets.mark_stored(last_change);
            continue;
        }
        let (file, content) = (file.clone(), known.clone());
        // A stalled disk blocks this task only, not the async runtime.
        let result = match tokio::task::spawn_blocking(move || file.write(&content)).await {
            Ok(result) => result,
            Err(error) => Err(io::Error::other(error)),
        };
        match result {
            Ok(()) => {
                written = known;
                targets.mark_stored(last_change);
                routes.mark_stored(version);
                if failed_writes > 0 {
                    tracing::info!(failed_writes, "last-known file written again");
                }
                failed_writes = 0;
            }
            Err(error) => {
                // Once for a series of failures.
                if failed_writes == 0 {
                    tracing::warn!(%error, "can't write the last-known file; it is tried again");
                }
                failed_writes += 1;
            }
        }
    }
}
