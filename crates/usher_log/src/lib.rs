//! Durable log with checksummed records, snapshots and folder lock
