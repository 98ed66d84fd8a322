//! The digest of a team's key. Not for: the key itself.

use std::fmt;

use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

/// The SHA-256 digest of a key, which stands for the key after a configuration or a call has been
/// read.
///
/// Digests are compared in constant time, and debug texts don't show them.
///
/// ```
/// use usher_route::KeyDigest;
/// assert_eq!(KeyDigest::of(b"a key"), KeyDigest::of(b"a key"));
/// assert_ne!(KeyDigest::of(b"a key"), KeyDigest::of(b"another"));
/// ```
#[derive(Clone, Copy, Eq)]
pub struct KeyDigest([u8; KeyDigest::BYTES]);

impl KeyDigest {
    const BYTES: usize = 32;

    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(sha2::Sha256::digest(key).into())
    }

    pub(crate) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    pub(crate) fn to_bytes(self) -> Vec<u8> {
        self.0.to_vec()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl std::hash::Hash for KeyDigest {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        self.0.hash(hasher);
    }
}
