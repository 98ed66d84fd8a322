//! Words about requests that several layers share. Not for: request bodies.

use std::fmt;

use crate::size;

/// The largest prompt of short work, in tokens.
const SHORT_PROMPT_TOKENS: u64 = 1_024;
/// The largest output of short work, in tokens.
const SHORT_OUTPUT_TOKENS: u64 = 256;

crate::value_type! {
    /// Tells what is known of a request that was refused or broken off.
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum RunState {
        /// No target has run any part of it.
        NotRun,
        /// A target may have run it.
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
    /// Tells short work from long work.
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum WorkClass {
        /// A quick question.
        Short,
        /// A full history or a long answer.
        Long,
    }
}

impl WorkClass {
    /// Classes a request by its prompt and its largest output.
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
