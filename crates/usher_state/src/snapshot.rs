//! The versioned binary format of snapshots. Not for: the log.

use prost::Message;
use usher_wire::message;

use crate::{history, order_table, usage_state};

/// The version of the snapshot format; snapshots of other versions are refused.
pub const SNAPSHOT_VERSION: u32 = 1;

/// The first bytes of a snapshot.
const MAGIC: &[u8; 4] = b"USFS";

/// The complete state.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct StatePart {
    #[prost(uint64, tag = "1")]
    pub(crate) now_ms: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) index: u64,
    #[prost(message, optional, tag = "3")]
    pub(crate) config: Option<ConfigPart>,
    #[prost(message, optional, tag = "4")]
    pub(crate) claims: Option<ClaimPart>,
    #[prost(message, optional, tag = "5")]
    pub(crate) orders: Option<OrderPart>,
    #[prost(message, optional, tag = "6")]
    pub(crate) targets: Option<TargetPart>,
    #[prost(message, repeated, tag = "7")]
    pub(crate) history: Vec<history::HistoryRecord>,
    #[prost(message, repeated, tag = "8")]
    pub(crate) claim_history: Vec<history::HistoryRecord>,
    /// Missing in snapshots that were written before routes were part of the state.
    #[prost(message, optional, tag = "9")]
    pub(crate) routes: Option<message::RoutePut>,
    /// Missing in snapshots that were written before usage was part of the state.
    #[prost(message, repeated, tag = "20")]
    pub(crate) usage: Vec<usage_state::FixedUsage>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct ConfigPart {
    #[prost(uint64, tag = "1")]
    pub(crate) version: u64,
    #[prost(string, tag = "2")]
    pub(crate) operator: String,
    #[prost(string, tag = "3")]
    pub(crate) sheet: String,
    #[prost(message, repeated, tag = "4")]
    pub(crate) answers: Vec<AnswerPart>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct AnswerPart {
    #[prost(string, tag = "1")]
    pub(crate) operator: String,
    #[prost(string, tag = "2")]
    pub(crate) request_id: String,
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) content: Vec<u8>,
    #[prost(message, optional, tag = "4")]
    pub(crate) outcome: Option<message::ConfigOutcome>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct ClaimPart {
    /// Packed claims; see `packed_claim`.
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) claims: Vec<u8>,
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) closed: Vec<u8>,
    #[prost(uint64, tag = "3")]
    pub(crate) closed_total: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) forgotten_ms: u64,
    #[prost(message, repeated, tag = "5")]
    pub(crate) running: Vec<RunningPart>,
    /// The keys of recorded answers that have a body, oldest first.
    #[prost(bytes = "vec", tag = "6")]
    pub(crate) answer_order: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct RunningPart {
    #[prost(string, tag = "1")]
    pub(crate) entry: String,
    #[prost(uint64, tag = "2")]
    pub(crate) incarnation: u64,
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) keys: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct OrderPart {
    #[prost(message, repeated, tag = "1")]
    pub(crate) in_flight: Vec<order_table::OrderRecord>,
    #[prost(message, repeated, tag = "2")]
    pub(crate) ended: Vec<order_table::OrderEnd>,
    #[prost(message, repeated, tag = "3")]
    pub(crate) last_fences: Vec<FencePart>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct FencePart {
    #[prost(string, tag = "1")]
    pub(crate) engine: String,
    #[prost(uint64, tag = "2")]
    pub(crate) fence: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct TargetPart {
    #[prost(uint64, tag = "1")]
    pub(crate) version: u64,
    #[prost(message, repeated, tag = "2")]
    pub(crate) slots: Vec<SlotPart>,
    /// 0 in snapshots written by versions that never removed targets, where 0 is correct.
    #[prost(uint64, tag = "3")]
    pub(crate) oldest_delta: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct SlotPart {
    #[prost(message, optional, tag = "1")]
    pub(crate) record: Option<message::TargetRecord>,
    #[prost(bool, tag = "2")]
    pub(crate) gone: bool,
    #[prost(uint64, repeated, tag = "3")]
    pub(crate) retired: Vec<u64>,
    #[prost(string, tag = "4")]
    pub(crate) leaving_by: String,
    #[prost(uint64, tag = "5")]
    pub(crate) changed_at: u64,
}

/// Encodes a snapshot: magic, version, body.
pub(crate) fn encode(state: &StatePart) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(8 + state.encoded_len());
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&SNAPSHOT_VERSION.to_be_bytes());
    // Encoding into a vector can't fail, because it grows as needed.
    let _ = state.encode(&mut bytes);
    bytes
}

/// Decodes a snapshot; fails if the magic or the version differs.
pub(crate) fn decode(bytes: &[u8]) -> Result<StatePart, String> {
    let (magic, rest) = bytes.split_at_checked(4).ok_or("header is truncated")?;
    let (version, body) = rest.split_at_checked(4).ok_or("header is truncated")?;
    if magic != MAGIC {
        return Err("not a snapshot of the fleet state".to_owned());
    }
    let version = u32::from_be_bytes(to_array(version)?);
    if version != SNAPSHOT_VERSION {
        return Err(format!(
            "format version is {version}, expected {SNAPSHOT_VERSION}"
        ));
    }
    StatePart::decode(body).map_err(|error| error.to_string())
}

/// Converts bytes to an array; fails if their length differs.
pub(crate) fn to_array<const N: usize>(bytes: &[u8]) -> Result<[u8; N], String> {
    bytes
        .try_into()
        .map_err(|_| format!("expected {N} bytes, found {}", bytes.len()))
}
