//! Properties of requests that several layers share. Not for: request bodies.

use std::fmt;

use crate::size;

/// The maximum prompt size of short work.
const SHORT_PROMPT_TOKENS: u64 = 1_024;
/// The maximum output size of short work.
const SHORT_OUTPUT_TOKENS: u64 = 256;

crate::value_type! {
    /// Whether a request that was refused or interrupted may have run.
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum RunState {
        /// No target has run any part of the request.
        NotRun,
        /// A target may have run the request or a part of it.
        Unknown,
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

crate::value_type! {
    /// The class of a request by the amount of its work.
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum WorkClass {
        /// A quick question: a short prompt with a short output.
        Short,
        /// A long prompt, such as a full conversation history, or a long output.
        Long,
    }
}

impl WorkClass {
    /// Classifies a request by its prompt size and its maximum output size.
    ///
    /// ```
    /// use usher_types::{TokenCount, WorkClass};
    /// let class = WorkClass::of(TokenCount::new(200), TokenCount::new(64));
    /// assert_eq!(class, WorkClass::Short);
    /// ```
    pub fn of(prompt: size::TokenCount, output: size::TokenCount) -> Self {
        if prompt.get() <= SHORT_PROMPT_TOKENS && output.get() <= SHORT_OUTPUT_TOKENS {
            Self::Short
        } else {
            Self::Long
        }
    }
}

impl fmt::Display for WorkClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "short",
            Self::Long => "long",
        })
    }
}
