//! The amount of work that a model call states. Not for: its encoding on the wire.

usher_types::value_type! {
    /// A part of a prompt; calls whose prompts begin with the same parts share the prefill of
    /// these.
    #[derive(Copy)]
    pub struct PromptPart {
        /// Identity of the part.
        pub id: u64,
        /// Length in tokens.
        pub tokens: u64,
    }
}

usher_types::value_type! {
    /// The stated work of a model call.
    pub struct PromptWork {
        /// Length of the prompt in tokens.
        pub prompt_tokens: u64,
        /// Maximum number of generated tokens.
        pub output_tokens: u64,
        /// Parts of the prompt in order; the last one belongs to the call itself.
        pub parts: Vec<PromptPart>,
    }
}

/// Largest number of tokens that counts; more than any engine's memory holds. Callers state the
/// numbers, and sums over all calls of an engine must not overflow.
const MAX_TOKENS: u64 = 1 << 32;

impl PromptWork {
    /// Limits all numbers to a size that can be summed up.
    #[must_use]
    pub fn limited(mut self) -> Self {
        self.prompt_tokens = self.prompt_tokens.min(MAX_TOKENS);
        self.output_tokens = self.output_tokens.min(MAX_TOKENS);
        for part in &mut self.parts {
            part.tokens = part.tokens.min(MAX_TOKENS);
        }
        self
    }

    /// Returns the parts that other calls may have too: all but the last one.
    pub fn shared_parts(&self) -> impl Iterator<Item = &PromptPart> {
        let shared = self.parts.len().saturating_sub(1);
        self.parts.iter().take(shared)
    }

    /// Returns the length of the shared prefix.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().map(|part| part.tokens).sum()
    }

    /// Returns the number of prompt tokens after the shared prefix.
    pub fn own_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_sub(self.shared_tokens())
    }

    /// Returns a key that differs between calls, for sampling.
    pub(crate) fn call_key(&self) -> u64 {
        self.parts.last().map_or(self.prompt_tokens, |part| part.id)
    }

    /// Returns the key of the shared prefix; `None` when the prompt has none.
    pub fn shared_key(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(1);
        let parts = self.parts.get(..shared).filter(|parts| !parts.is_empty())?;
        Some(parts.iter().fold(FNV_OFFSET, |key, part| mix(key, part.id)))
    }
}

/// Offset basis of the 64-bit FNV-1a hash, as its authors published it.
pub(crate) const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Mixes a number into a key, so that close numbers give distant keys.
pub(crate) fn mix(key: u64, number: u64) -> u64 {
    let mut value = key ^ number;
    // The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Hashes a text; the same text gives the same key in all processes.
pub fn text_key(name: &str) -> u64 {
    name.bytes()
        .fold(FNV_OFFSET, |key, byte| mix(key, u64::from(byte)))
}
