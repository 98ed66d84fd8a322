//! Converts prompts to text, token counts and prefix hashes. Not for: answers.

use crate::tokens;

/// Number of bytes of text that count as one token.
pub const BYTES_PER_TOKEN: u64 = 4;

/// Number of bytes of text that fill one piece of KV cache memory.
const BYTES_PER_PIECE: usize = (usher_types::TOKENS_PER_PIECE * BYTES_PER_TOKEN) as usize;

/// Returns the prompt of a request body as a single text: `prompt`, or the roles and contents of
/// `messages`.
pub fn prompt_text(body: &serde_json::Value) -> String {
    if let Some(messages) = body.get("messages").and_then(|value| value.as_array()) {
        let mut text = String::new();
        for message in messages {
            push_text(&mut text, message.get("role"));
            text.push('\n');
            push_text(&mut text, message.get("content"));
            text.push('\n');
        }
        return text;
    }
    let mut text = String::new();
    push_text(&mut text, body.get("prompt"));
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

/// Returns the number of tokens of a text, at least 1.
pub fn count_tokens(text: &str) -> usher_types::TokenCount {
    let bytes = text.len() as u64;
    usher_types::TokenCount::new(bytes.div_ceil(BYTES_PER_TOKEN).max(1))
}

/// Returns the hash of each prefix of a prompt that consists of complete pieces, shortest first.
///
/// ```
/// let text = "x".repeat(2 * 4_096 + 10);
/// assert_eq!(usher_fake::prefix_hashes(&text).len(), 2);
/// ```
pub fn prefix_hashes(text: &str) -> Vec<String> {
    let mut hash = tokens::hash_bytes(b"");
    text.as_bytes()
        .chunks_exact(BYTES_PER_PIECE)
        .map(|piece| {
            hash = tokens::extend_hash(hash, piece);
            format!("{hash:016x}")
        })
        .collect()
}
