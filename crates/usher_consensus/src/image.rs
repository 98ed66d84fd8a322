//! A snapshot of the state with its place in the log. Not for: its storage.

use crate::membership;

/// State up to an index, with the membership in force there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SnapshotImage {
    /// Last index that the state includes.
    pub index: u64,
    /// Term of that index.
    pub term: u64,
    /// Membership in force at that index.
    pub membership: membership::MemberTable,
    /// State of the replicated machine.
    pub data: Vec<u8>,
}
