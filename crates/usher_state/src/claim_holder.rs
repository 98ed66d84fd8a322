//! Who holds a claim. Not for: whether the holder is alive.

use std::fmt;

use sha2::Digest as _;
use usher_wire::message;

/// The attempt that a claim belongs to: one request of one incarnation of an entry.
///
/// Two attempts never share a holder, so an entry uses a new request id for each claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimHolder {
    /// Name of the entry.
    pub entry: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Request id of the attempt.
    pub request_id: String,
}

impl ClaimHolder {
    /// Makes a holder from its parts of a message; `None` without an entry or request id.
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

    /// Returns the part that names the entry and its incarnation.
    pub fn entry_incarnation(&self) -> (String, u64) {
        (self.entry.clone(), self.incarnation)
    }

    /// Returns a short digest; the table keeps it in place of the texts.
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
