//! The holder of a claim. Not for: whether the holder is alive.

use std::fmt;

use sha2::Digest as _;
use usher_wire::message;

/// Identifies the attempt that holds a claim: one request of one incarnation of an entry.
///
/// Two attempts never share a holder, because an entry uses a new request id for each claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimHolder {
    /// The name of the entry.
    pub entry: String,
    /// The incarnation of the entry.
    pub incarnation: u64,
    /// The request id of the attempt.
    pub request_id: String,
}

impl ClaimHolder {
    /// Creates a holder from the fields of a message.
    ///
    /// Returns `None` if the entry or the request id is missing.
    pub fn of(entry: Option<&message::NodeIdentity>, request_id: &str) -> Option<Self> {
        let entry = entry?;
        if entry.name.is_empty() || request_id.is_empty() {
            return None;
        }
        Some(Self {
            entry: entry.name.clone(),
            incarnation: entry.incarnation,
            request_id: request_id.to_owned(),
        })
    }

    /// Returns the name and the incarnation of the entry.
    pub fn entry_incarnation(&self) -> (String, u64) {
        (self.entry.clone(), self.incarnation)
    }

    /// Returns a 16-byte digest, which the claim table stores instead of the texts to save memory.
    pub(crate) fn digest(&self) -> [u8; 16] {
        let mut hasher = sha2::Sha256::new();
        hasher.update((self.entry.len() as u64).to_be_bytes());
        hasher.update(&self.entry);
        hasher.update(self.incarnation.to_be_bytes());
        hasher.update(&self.request_id);
        truncated_digest(hasher)
    }
}

impl fmt::Display for ClaimHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.entry, self.incarnation, self.request_id)
    }
}

/// Returns the first 16 bytes of a SHA-256 digest.
pub(crate) fn truncated_digest(hasher: sha2::Sha256) -> [u8; 16] {
    let digest = hasher.finalize();
    let mut half = [0; 16];
    half.iter_mut()
        .zip(digest)
        .for_each(|(slot, byte)| *slot = byte);
    half
}
