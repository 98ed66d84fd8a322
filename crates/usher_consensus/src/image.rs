//! A snapshot of the state with the log index and membership it covers. Not for: its storage.

use crate::membership;

/// State machine snapshot up to a log index, with the membership at that index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SnapshotImage {
    /// Last index that the state includes.
    pub index: u64,
    /// Term of that index.
    pub term: u64,
    /// Membership at that index.
    pub membership: membership::MemberTable,
    /// Encoded state of the replicated state machine.
    pub data: Vec<u8>,
}
