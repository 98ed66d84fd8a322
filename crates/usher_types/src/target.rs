//! Kinds of targets and roles of engines. Not for: their state.

use std::{fmt, str};

/// The error for a text that isn't a valid kind or role.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{text:?} is not valid: expected one of {accepted}")]
pub struct ParseTargetError {
    accepted: &'static str,
    text: String,
}

crate::value_type! {
    /// The kind of a target.
    #[derive(serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "lowercase")]
    pub enum TargetKind {
        /// A model engine.
        Engine,
        /// A plain service.
        Plain,
    }
}

crate::value_type! {
    /// The part of the work that an engine does.
    #[derive(Default, serde::Deserialize, serde::Serialize)]
    #[serde(rename_all = "lowercase")]
    pub enum EngineRole {
        /// Prefill and decode, interleaved.
        #[default]
        Mixed,
        /// Only prefill.
        Prefill,
        /// Only decode.
        Decode,
    }
}

impl fmt::Display for TargetKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Engine => "engine",
            Self::Plain => "plain",
        })
    }
}

impl str::FromStr for TargetKind {
    type Err = ParseTargetError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "engine" => Ok(Self::Engine),
            "plain" => Ok(Self::Plain),
            _ => Err(ParseTargetError {
                accepted: "engine, plain",
                text: text.to_owned(),
            }),
        }
    }
}

impl fmt::Display for EngineRole {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Mixed => "mixed",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        })
    }
}

impl str::FromStr for EngineRole {
    type Err = ParseTargetError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "mixed" => Ok(Self::Mixed),
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            _ => Err(ParseTargetError {
                accepted: "mixed, prefill, decode",
                text: text.to_owned(),
            }),
        }
    }
}
