//! Errors of commands and daemons, with their exit codes. Not for: errors of single requests
//! (`client`).

/// Error of a command or daemon, which determines the exit code of the process.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command line or a settings file is invalid; nothing was done. Exit code 2.
    #[error("{0}")]
    Usage(String),
    /// The command failed. Exit code 1.
    #[error("{0}")]
    Failed(String),
}

impl CommandError {
    /// Creates a command-line error that points to the help of the command.
    pub fn usage(command: &str, message: impl std::fmt::Display) -> Self {
        let space = if command.is_empty() { "" } else { " " };
        Self::Usage(format!(
            "{message}\nrun `pimentousher{space}{command} --help` for the options"
        ))
    }

    /// Creates an error of a command whose command line was valid.
    pub fn failed(message: impl std::fmt::Display) -> Self {
        Self::Failed(message.to_string())
    }

    /// Returns the exit code of the process.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Failed(_) => 1,
        }
    }
}
