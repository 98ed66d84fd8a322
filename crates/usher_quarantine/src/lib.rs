//! Finds prompt parts that crash each engine that generates from them, and tells which calls have
//! them.
//!
//! For: gateways, which record the calls that break and refuse those with such parts, and
//! registrars, which pass the records on between gateways. Not for: failures of a single engine,
//! which are in `usher_place`, nor for sending the records.

mod broken_call;
mod call_log;
mod culprit;
mod part_id;
mod part_quarantine;

pub use broken_call::{BrokenCall, CallPhase, EngineProcess};
pub use part_id::PartId;
pub use part_quarantine::{PartQuarantine, QuarantineChange, QuarantinedParts};
