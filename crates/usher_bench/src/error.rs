//! Errors of the tool. Not for: goals that are missed, which are results.

/// Why an experiment couldn't run.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum BenchError {
    /// An option isn't known.
    #[error("{what} {text:?} is not valid: expected one of {accepted}")]
    Unknown {
        /// What the option is.
        what: &'static str,
        /// Text given.
        text: String,
        /// Accepted texts.
        accepted: &'static str,
    },
    /// The workload file can't be read.
    #[error("workload {path}: {source}")]
    Read {
        /// File.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// A line of the workload file is wrong.
    #[error("workload line {line}, column {column}: {text:?} is not valid: expected {accepted}")]
    Workload {
        /// Line, counted from 1.
        line: u64,
        /// Name of the column.
        column: String,
        /// Text found.
        text: String,
        /// What is accepted.
        accepted: &'static str,
    },
    /// The report can't be written as JSON.
    #[error("JSON: {0}")]
    Json(String),
    /// A plot can't be written.
    #[error("plot {path}: {message}")]
    Plot {
        /// File.
        path: String,
        /// Cause.
        message: String,
    },
}

impl BenchError {
    pub(crate) fn unknown(what: &'static str, text: &str, accepted: &'static str) -> Self {
        Self::Unknown {
            what,
            text: text.to_owned(),
            accepted,
        }
    }
}
