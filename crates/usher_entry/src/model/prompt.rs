//! Estimates the tokens of a prompt and hashes its prefixes the way engines do.
//!
//! Not for: validating a body.

use std::hash;

use usher_policy::PromptPrefix;
use usher_quarantine::PartId;
use usher_types::{TokenCount, TOKENS_PER_PIECE};

/// Bytes of text counted as one token: an estimate for planning, as only engines count exactly.
const BYTES_PER_TOKEN: u64 = 4;

/// Bytes of text in one piece of KV cache memory.
const BYTES_PER_PIECE: usize = (TOKENS_PER_PIECE * BYTES_PER_TOKEN) as usize;

/// Maximum number of prefixes hashed; longer shared prefixes are rare and hashing costs time.
const MAX_PREFIXES: usize = 64;

/// Concatenates the text of a prompt: role and content of each message, in order.
pub(crate) fn prompt_text(body: &serde_json::Map<String, serde_json::Value>) -> String {
    let mut text = String::new();
    match body.get("messages").and_then(serde_json::Value::as_array) {
        Some(messages) => {
            for message in messages {
                push_text(&mut text, message.get("role"));
                text.push('\n');
                push_text(&mut text, message.get("content"));
                text.push('\n');
            }
        }
        None => push_text(&mut text, body.get("prompt")),
    }
    text
}

fn push_text(text: &mut String, value: Option<&serde_json::Value>) {
    match value {
        Some(serde_json::Value::String(part)) => text.push_str(part),
        Some(serde_json::Value::Array(parts)) => {
            for part in parts {
                push_text(text, part.get("text").or(Some(part)));
            }
        }
        _ => {}
    }
}

/// Estimates the tokens of a text, at least 1.
pub(crate) fn count_tokens(text: &str) -> TokenCount {
    let bytes = text.len() as u64;
    TokenCount::new(bytes.div_ceil(BYTES_PER_TOKEN).max(1))
}

/// Returns the identities of a prompt and of its prefixes; calls with a common prefix share those of
/// the prefixes.
pub(crate) fn prompt_parts(text: &str, prefixes: &[PromptPrefix]) -> Vec<PartId> {
    let whole = PartId::new(text_hash(text));
    let prefixes = prefixes.iter().map(|prefix| PartId::new(prefix.hash));
    std::iter::once(whole).chain(prefixes).collect()
}

/// Hashes a text; the same text gives the same hash in this process.
pub(crate) fn text_hash(text: &str) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    hash::Hash::hash(text, &mut hasher);
    hash::Hasher::finish(&hasher)
}

/// Returns the prefixes of a prompt that end at a piece boundary, hashed as engines do for cache
/// events.
pub(crate) fn prompt_prefixes(text: &str) -> Vec<PromptPrefix> {
    let mut hash: u64 = 0xCBF2_9CE4_8422_2325;
    let pieces = text
        .as_bytes()
        .chunks_exact(BYTES_PER_PIECE)
        .take(MAX_PREFIXES);
    let prefixes = pieces.zip(1_u64..).map(|(piece, number)| {
        // 64-bit FNV-1a over all text up to the end of this piece.
        for byte in piece {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01B3);
        }
        PromptPrefix {
            hash,
            tokens: TokenCount::new(number * TOKENS_PER_PIECE),
        }
    });
    prefixes.collect()
}
