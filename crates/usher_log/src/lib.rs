//! Durable log with checksummed records, snapshots and a folder lock.
//!
//! Keeps log entries, term, vote and snapshots across process crashes and power loss. Not for:
//! deciding what is written, nor for the meaning of payloads.

mod disk_folder;
mod durable_log;
mod error;
mod memory_folder;
mod record;
mod replay;
mod room_folder;
mod segment;
mod snapshot;
mod storage;

pub use disk_folder::DiskFolder;
pub use durable_log::{DurableLog, LogSettings};
pub use error::LogError;
pub use memory_folder::{CrashLoss, MemoryFolder};
pub use record::{LogRecord, VoteRecord};
pub use replay::{RecoveredLog, TornTail};
pub use room_folder::{DiskRoom, RoomFile, RoomFolder};
pub use snapshot::{SnapshotWriter, StoredSnapshot};
pub use storage::{StorageFile, StorageFolder};
