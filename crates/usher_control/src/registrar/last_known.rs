//! What a registrar knew when it stopped, so that gateways needn't wait for an election after all
//! processes were killed. Not for: what must be durable, which is in the log.

use std::{fs, io, io::Write as _, path, time};

use prost::Message as _;
use usher_wire::message;

use crate::{fleet, registrar};

/// Name of the file in the data folder.
const FILE: &str = "last-known";

/// Bytes of the checksum in front of the content.
const CHECKSUM_BYTES: usize = 4;

/// How long after a change the file is written at least, so that a series of changes is one write.
const WRITE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// A file with the routes that were applied and the targets that took work.
#[derive(Clone, Debug)]
pub(crate) struct LastKnownFile {
    folder: path::PathBuf,
}

impl LastKnownFile {
    pub(crate) fn new(folder: path::PathBuf) -> Self {
        Self { folder }
    }

    /// Reads the file; `None` when there is none, or when it isn't whole.
    pub(crate) fn read(&self) -> Option<message::LastKnown> {
        let bytes = match fs::read(self.folder.join(FILE)) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return None,
            Err(error) => {
                tracing::warn!(%error, "what was known last can't be read");
                return None;
            }
        };
        let (checksum, content) = bytes.split_at_checked(CHECKSUM_BYTES)?;
        if checksum != crc32fast::hash(content).to_be_bytes() {
            tracing::warn!(bytes = bytes.len(), "what was known last is not whole");
            return None;
        }
        match message::LastKnown::decode(content) {
            Ok(known) => Some(known),
            Err(error) => {
                tracing::warn!(%error, "what was known last can't be read");
                None
            }
        }
    }

    /// Writes the file; the one before stays until the new one is durable.
    ///
    /// # Errors
    ///
    /// Fails when the disk refuses it; the one before then stays.
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

/// Writes what is known after each change, until it is aborted.
pub(crate) async fn run<C>(
    file: LastKnownFile,
    targets: registrar::TargetRegistry<C>,
    routes: registrar::RouteStore<C>,
    access: fleet::FleetAccess,
) where
    C: usher_types::ClockSource,
{
    let mut changes = targets.watch_changes();
    let mut applied = access.watch_applied();
    let mut written = message::LastKnown::default();
    loop {
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            changed = applied.changed() => if changed.is_err() { return },
        }
        tokio::time::sleep(WRITE_INTERVAL).await;
        changes.mark_unchanged();
        applied.mark_unchanged();
        let held = routes.newest_known();
        let known = message::LastKnown {
            routes_version: held.as_ref().map_or(0, |held| held.version.get()),
            routes_document: held.map_or_else(Vec::new, |held| held.document.to_vec()),
            targets: targets.usable_targets(),
        };
        if known == written {
            continue;
        }
        let (file, content) = (file.clone(), known.clone());
        // A disk that stalls holds up this task only.
        match tokio::task::spawn_blocking(move || file.write(&content)).await {
            Ok(Ok(())) => written = known,
            Ok(Err(error)) => tracing::warn!(%error, "what is known can't be written"),
            Err(error) => tracing::warn!(%error, "writing what is known failed"),
        }
    }
}
