//! Deterministic text generation of a fake engine. Not for: the timing of tokens.

/// Syllables of the generated words; two syllables make a word of constant length.
const SYLLABLES: [&str; 16] = [
    "ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "va",
];

/// Returns the token at `index` of the answer to the request with id `seed`.
///
/// The same seed gives the same tokens on every engine, so that tests can verify a resumed
/// stream.
///
/// ```
/// use usher_fake::token_text;
/// assert_eq!(token_text("request-1", 4), token_text("request-1", 4));
/// ```
pub fn token_text(seed: &str, index: u64) -> String {
    let hash = mix_bits(hash_bytes(seed.as_bytes()) ^ index.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let first = SYLLABLES[(hash & 15) as usize];
    let second = SYLLABLES[((hash >> 4) & 15) as usize];
    let space = if index == 0 { "" } else { " " };
    // The index makes a lost or duplicate token detectable in the text.
    format!("{space}{first}{second}{index}")
}

/// Returns the complete answer of `count` tokens to the request with id `seed`.
pub fn reply_text(seed: &str, count: u64) -> String {
    (0..count).map(|index| token_text(seed, index)).collect()
}

/// Hashes bytes with 64-bit FNV-1a.
pub(crate) fn hash_bytes(bytes: &[u8]) -> u64 {
    extend_hash(0xCBF2_9CE4_8422_2325, bytes)
}

/// Continues a 64-bit FNV-1a hash.
pub(crate) fn extend_hash(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01B3)
    })
}

/// Mixes the bits of a hash with the finalizer of SplitMix64.
fn mix_bits(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}
