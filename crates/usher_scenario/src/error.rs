//! Errors of reading and running a script. Not for: errors of the daemons.

use std::{io, time};

/// Tells where a script is wrong and what is accepted there.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("line {line}: {text:?} is not valid: expected {expected}")]
pub struct ParseScriptError {
    /// Number of the line, from 1.
    pub line: usize,
    /// The line.
    pub text: String,
    /// What is accepted.
    pub expected: &'static str,
}

/// Tells why a script failed.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The script can't be read.
    #[error(transparent)]
    Parse(#[from] ParseScriptError),
    /// A process could not be started or reached.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// The reason.
        source: io::Error,
    },
    /// An expectation did not come true.
    #[error("line {line}: expected {expected}, found {found}")]
    Expectation {
        /// Number of the line.
        line: usize,
        /// What was expected.
        expected: String,
        /// What was found.
        found: String,
    },
    /// A condition was not reached in time.
    #[error("line {line}: {what} not reached within {limit:?}")]
    Timeout {
        /// Number of the line.
        line: usize,
        /// The condition.
        what: String,
        /// The time given.
        limit: time::Duration,
    },
    /// The script names a process that it didn't start.
    #[error("line {line}: process {name} was not started")]
    NoProcess {
        /// Number of the line.
        line: usize,
        /// Name of the process.
        name: String,
    },
}
