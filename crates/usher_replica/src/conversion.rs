//! Conversion between the types of the consensus core and the records of the log. Not for:
//! deciding when they are written.

use std::sync;

use usher_consensus::{OutputBatch, SnapshotImage};
use usher_log::StorageFolder;
use usher_wire::message;

use crate::error;

/// Converts the recovered log into the initial state of the core.
///
/// # Errors
///
/// Fails when the membership of the snapshot cannot be decoded.
pub fn initial_state(
    recovered: usher_log::RecoveredLog,
) -> Result<usher_consensus::InitialState, error::StartError> {
    let decode = |error: prost::DecodeError| error::StartError::Decode(error.to_string());
    let image = match recovered.snapshot {
        Some(snapshot) => Some(sync::Arc::new(usher_consensus::SnapshotImage {
            index: snapshot.index,
            term: snapshot.term,
            membership: usher_consensus::MemberTable::decode(&snapshot.membership)
                .map_err(decode)?,
            data: snapshot.data,
        })),
        None => None,
    };
    let vote = recovered.vote.vote;
    Ok(usher_consensus::InitialState {
        hard_state: usher_consensus::HardState {
            term: recovered.vote.term,
            vote: vote.map(|(name, number)| usher_consensus::NodeId::new(&name, number)),
        },
        image,
        entries: recovered
            .entries
            .into_iter()
            .map(|record| message::LogEntry {
                index: record.index,
                term: record.term,
                kind: i32::from(record.kind),
                payload: record.payload,
            })
            .collect(),
    })
}

/// Writes the changes of a batch to the log, which makes them durable with its next sync.
///
/// # Errors
///
/// Fails when a snapshot cannot be written; the log is then unusable.
pub fn write_batch<D>(
    log: &mut usher_log::DurableLog<D>,
    batch: &OutputBatch,
) -> Result<(), usher_log::LogError>
where
    D: StorageFolder,
{
    // Term and vote come first: entries of a term must never be on disk without them.
    if let Some(hard_state) = &batch.hard_state {
        log.set_vote(&usher_log::VoteRecord {
            term: hard_state.term,
            vote: hard_state
                .vote
                .as_ref()
                .map(|node| (node.name.to_string(), node.incarnation.get())),
        });
    }
    if let Some(image) = &batch.snapshot {
        if batch.keeps_log {
            log.save_snapshot(&stored_snapshot(image))?;
        } else {
            log.install_snapshot(&stored_snapshot(image))?;
        }
    }
    if let Some(from) = batch.truncate_from {
        log.truncate(from);
    }
    for entry in &batch.entries {
        log.append(&record_of(entry));
    }
    Ok(())
}

/// Converts a snapshot into the form that the log stores.
pub fn stored_snapshot(image: &SnapshotImage) -> usher_log::StoredSnapshot {
    usher_log::StoredSnapshot {
        index: image.index,
        term: image.term,
        membership: image.membership.encode(),
        data: image.data.clone(),
    }
}

fn record_of(entry: &message::LogEntry) -> usher_log::LogRecord {
    usher_log::LogRecord {
        index: entry.index,
        term: entry.term,
        kind: u8::try_from(entry.kind).unwrap_or_default(),
        payload: entry.payload.clone(),
    }
}
