//! Errors of the tool. Not for: missed goals, which are results.

/// Reason why an experiment could not run.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum BenchError {
    /// The value of an option is unknown.
    #[error("{what} {text:?} is not valid: expected one of {accepted}")]
    Unknown {
        /// Kind of the option.
        what: &'static str,
        /// Given text.
        text: String,
        /// Accepted values.
        accepted: &'static str,
    },
    /// The workload file cannot be read.
    #[error("workload {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A line of the workload file is invalid.
    #[error("workload line {line}, column {column}: {text:?} is not valid: expected {accepted}")]
    Workload {
        /// Line, counted from 1.
        line: u64,
        /// Name of the column.
        column: String,
        /// Text of the field.
        text: String,
        /// Accepted values of the field.
        accepted: &'static str,
    },
    /// The report cannot be written as JSON.
    #[error("cannot write the report as JSON: {0}")]
    Json(String),
    /// A plot cannot be written.
    #[error("plot {path}: {message}")]
    Plot {
        /// Path of the plot.
        path: String,
        /// Cause of the failure.
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
