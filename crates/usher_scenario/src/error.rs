//! Errors of parsing and running a script. Not for: errors of the daemons.

use std::{io, time};

/// A syntax error in a script, with its line and the accepted syntax.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("line {line}: {text:?} is not valid: expected {expected}")]
pub struct ParseScriptError {
    /// Line number, starting at 1.
    pub line: usize,
    /// Text of the line.
    pub text: String,
    /// The accepted syntax.
    pub expected: &'static str,
}

/// The reason why a script failed.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The script has a syntax error.
    #[error(transparent)]
    Parse(#[from] ParseScriptError),
    /// A process could not be started or reached.
    #[error("{what}: {source}")]
    Io {
        /// The failed operation, or the process or resource that it concerns.
        what: String,
        /// The cause.
        source: io::Error,
    },
    /// An expectation was not met.
    #[error("line {line}: expected {expected}, found {found}")]
    Expectation {
        /// Line number.
        line: usize,
        /// The expected state.
        expected: String,
        /// The observed state.
        found: String,
    },
    /// A condition was not reached in time.
    #[error("line {line}: {what} not reached within {limit:?}")]
    Timeout {
        /// Line number.
        line: usize,
        /// The expected condition.
        what: String,
        /// The time limit.
        limit: time::Duration,
    },
    /// The script names a process that it hasn't started.
    #[error("line {line}: process {name} was not started")]
    NoProcess {
        /// Line number.
        line: usize,
        /// Name of the process as written in the script.
        name: String,
    },
}
