//! Durable log with checksummed records, snapshots and folder lock.
//!
//! For: keeping entries, term, vote and snapshots across a loss of power. Not for: deciding what
//! is written, nor for the meaning of payloads.

mod disk;
mod durable;
mod error;
mod memory;
mod record;
mod replay;
mod segment;
mod snapshot;
mod storage;

pub use disk::DiskFolder;
pub use durable::{DurableLog, LogSettings};
pub use error::LogError;
pub use memory::{CrashLoss, MemoryFolder};
pub use record::{LogRecord, VoteRecord};
pub use replay::{CutTail, RecoveredLog};
pub use snapshot::{SnapshotWriter, StoredSnapshot};
pub use storage::{StorageFile, StorageFolder};
